// Package directory lists the target instances that may get requests: those that
// registered themselves, without the ones that are leaving and those in
// availability zones that were taken out.
//
// # Usage
//
//	var d directory.Directory
//	d.Put(directory.NewInstance(directory.Registration{ID: "i-1", Service: "orders", Address: "10.0.0.7:80"}))
//	d.SetZoneOut("north", true)
//	for _, i := range d.Serving("orders") {
//		...
//	}
package directory

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Registration is what an instance says of itself.
type Registration struct {
	// ID is the instance's name; a start under the same name has another Started.
	ID      string
	Service string
	Address string // ip:port
	Zone    string
	// Slots is how many requests it works on at a time.
	Slots int
	// Leaving instances get no new requests.
	Leaving bool
	// Started is when it started, by its own clock, in Unix milliseconds, or 0.
	Started int64
	// ColdUntil is when it is warmed up, by this VM's clock.
	ColdUntil time.Time
}

// Instance is one registered start of a target instance. It is immutable; a change
// replaces it.
type Instance struct {
	registration Registration
}

// NewInstance returns an instance.
func NewInstance(r Registration) *Instance {
	r.Slots = max(r.Slots, 1)
	return &Instance{registration: r}
}

// ID is the instance's name.
func (i *Instance) ID() string { return i.registration.ID }

// Service is the instance's service.
func (i *Instance) Service() string { return i.registration.Service }

// Address is the instance's ip:port.
func (i *Instance) Address() string { return i.registration.Address }

// Zone is the instance's availability zone.
func (i *Instance) Zone() string { return i.registration.Zone }

// Slots is how many requests the instance works on at a time.
func (i *Instance) Slots() int { return i.registration.Slots }

// Leaving reports whether the instance gets no new requests.
func (i *Instance) Leaving() bool { return i.registration.Leaving }

// Started is the instance's start in Unix milliseconds of its own clock, or 0.
func (i *Instance) Started() int64 { return i.registration.Started }

// ColdUntil is when the instance is warmed up.
func (i *Instance) ColdUntil() time.Time { return i.registration.ColdUntil }

// Directory holds the instances. The zero value is empty. It is safe for
// concurrent use.
type Directory struct {
	mu        sync.RWMutex
	instances map[string]*Instance
	zonesOut  map[string]bool
	serving   map[string][]*Instance // by service, ordered by ID
}

// Put adds an instance or replaces what is known of it. It reports whether the
// instance is new or has started again.
func (d *Directory) Put(i *Instance) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.instances == nil {
		d.instances = make(map[string]*Instance)
	}
	old := d.instances[i.ID()]
	d.instances[i.ID()] = i
	if old != nil {
		d.index(old.Service())
	}
	d.index(i.Service())
	return old == nil || old.Started() != i.Started()
}

// Remove drops an instance and reports whether it was listed.
func (d *Directory) Remove(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.instances[id]
	if old == nil {
		return false
	}
	delete(d.instances, id)
	d.index(old.Service())
	return true
}

// SetZoneOut takes an availability zone out or back in, and reports whether that
// is a change.
func (d *Directory) SetZoneOut(zone string, out bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.zonesOut[zone] == out {
		return false
	}
	if d.zonesOut == nil {
		d.zonesOut = make(map[string]bool)
	}
	d.zonesOut[zone] = out
	for service := range d.serving {
		d.index(service)
	}
	return true
}

// index lists a service's instances anew. Readers keep the old slice.
func (d *Directory) index(service string) {
	if d.serving == nil {
		d.serving = make(map[string][]*Instance)
	}
	var list []*Instance
	for _, i := range d.instances {
		if i.Service() == service && !i.Leaving() && !d.zonesOut[i.Zone()] {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b *Instance) int { return strings.Compare(a.ID(), b.ID()) })
	d.serving[service] = list
}

// Get returns an instance by its name.
func (d *Directory) Get(id string) (*Instance, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	i, ok := d.instances[id]
	return i, ok
}

// Serving returns a service's instances that may get requests, ordered by ID. The
// caller must not change the slice.
func (d *Directory) Serving(service string) []*Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.serving[service]
}

// ZoneOut reports whether an availability zone was taken out.
func (d *Directory) ZoneOut(zone string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.zonesOut[zone]
}

// Size returns the number of listed instances.
func (d *Directory) Size() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.instances)
}

// Chill marks the instances of a zone as cold until the time that until returns
// for their service.
func (d *Directory) Chill(zone string, until func(service string) time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, i := range d.instances {
		if i.Zone() != zone {
			continue
		}
		r := i.registration
		if t := until(r.Service); t.After(r.ColdUntil) {
			r.ColdUntil = t
		}
		d.instances[id] = NewInstance(r)
	}
	for service := range d.serving {
		d.index(service)
	}
}
