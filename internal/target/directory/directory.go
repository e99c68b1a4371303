// Package directory lists the target instances that may get requests: those that
// registered themselves, except those that are leaving or are in an availability
// zone that was taken out of service. An instance is leaving if its registration says
// so, or if it said so in a response (MarkLeaving).
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

// Registration is the data that an instance reports about itself.
type Registration struct {
	// ID is the instance's name. A restarted instance keeps its ID and has another
	// Started.
	ID      string
	Service string
	Address string // ip:port
	Zone    string
	// Slots is how many requests the instance processes at the same time.
	Slots int
	// Leaving instances get no new requests.
	Leaving bool
	// Started is when the instance started, by its own clock, in Unix milliseconds,
	// or 0 if unknown.
	Started int64
	// ColdUntil is when the instance's cold start ends, by this VM's clock. This VM
	// computes it from the reported time that remains.
	ColdUntil time.Time
}

// Instance is the registration of a target instance. It is immutable; a change of
// the registration creates a new Instance.
type Instance struct {
	registration Registration
}

// NewInstance returns an instance with the given registration and at least one slot.
func NewInstance(r Registration) *Instance {
	r.Slots = max(r.Slots, 1)
	return &Instance{registration: r}
}

// ID returns the instance's name.
func (i *Instance) ID() string { return i.registration.ID }

// Service returns the name of the instance's service.
func (i *Instance) Service() string { return i.registration.Service }

// Address returns the instance's address as ip:port.
func (i *Instance) Address() string { return i.registration.Address }

// Zone returns the instance's availability zone.
func (i *Instance) Zone() string { return i.registration.Zone }

// Slots returns how many requests the instance processes at the same time, at least 1.
func (i *Instance) Slots() int { return i.registration.Slots }

// Leaving reports whether the instance is leaving and so gets no new requests.
func (i *Instance) Leaving() bool { return i.registration.Leaving }

// Started returns when the instance started, by its own clock, in Unix milliseconds,
// or 0 if unknown.
func (i *Instance) Started() int64 { return i.registration.Started }

// ColdUntil returns when the instance's cold start ends, by this VM's clock.
func (i *Instance) ColdUntil() time.Time { return i.registration.ColdUntil }

// Directory holds the instances. The zero value is empty. It is safe for
// concurrent use.
type Directory struct {
	mu         sync.RWMutex
	instances  map[string]*Instance
	zonesOut   map[string]bool
	departures map[run]time.Time      // when each departure became known
	serving    map[string][]*Instance // by service, ordered by ID
}

// departureMemory is how long a departure is remembered. An instance that leaves ends
// within seconds, but its registration may outlive it.
const departureMemory = 10 * time.Minute

// run identifies one run of an instance. A departure holds for one run, whatever the
// instance's registration says.
type run struct {
	id      string
	started int64 // as Registration.Started
}

// Put adds an instance or replaces the one with the same ID. It reports whether the
// instance is new or has restarted.
func (d *Directory) Put(i *Instance) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.instances == nil {
		d.instances = make(map[string]*Instance)
	}
	previous := d.instances[i.ID()]
	d.instances[i.ID()] = i
	if previous != nil {
		d.index(previous.Service())
	}
	d.index(i.Service())
	return previous == nil || previous.Started() != i.Started()
}

// Remove removes an instance and reports whether it was listed.
func (d *Directory) Remove(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	removed := d.instances[id]
	if removed == nil {
		return false
	}
	delete(d.instances, id)
	if removed.Started() == 0 {
		// The next registration under this ID cannot be told from a new start.
		delete(d.departures, run{id: id})
	}
	d.index(removed.Service())
	return true
}

// MarkLeaving records that the run of an instance that began at started is leaving. It
// gets no new requests from then on, even if it registers again. A later start of the
// instance under the same ID gets requests. It reports whether that was not yet known.
func (d *Directory) MarkLeaving(id string, started int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	departing := run{id: id, started: started}
	if _, known := d.departures[departing]; known {
		return false
	}
	d.forgetDepartures(now)
	if d.departures == nil {
		d.departures = make(map[run]time.Time)
	}
	d.departures[departing] = now
	if i := d.instances[id]; i != nil {
		d.index(i.Service())
	}
	return true
}

// departed reports whether this run of an instance said that it is leaving. The caller
// holds the lock.
func (d *Directory) departed(i *Instance) bool {
	_, known := d.departures[run{id: i.ID(), started: i.Started()}]
	return known
}

// forgetDepartures drops the departures older than departureMemory, except those of
// listed instances. The caller holds the lock.
func (d *Directory) forgetDepartures(now time.Time) {
	for r, at := range d.departures {
		if d.instances[r.id] == nil && now.Sub(at) > departureMemory {
			delete(d.departures, r)
		}
	}
}

// SetZoneOut takes an availability zone out of service or puts it back into service,
// and reports whether that is a change.
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

// index rebuilds the list of a service's serving instances as a new slice, since
// callers of Serving may still use the old one. The caller holds the lock.
func (d *Directory) index(service string) {
	if d.serving == nil {
		d.serving = make(map[string][]*Instance)
	}
	var list []*Instance
	for _, i := range d.instances {
		if i.Service() == service && !i.Leaving() && !d.departed(i) && !d.zonesOut[i.Zone()] {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b *Instance) int { return strings.Compare(a.ID(), b.ID()) })
	d.serving[service] = list
}

// Get returns the instance with an ID, also if it may not get requests.
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

// ZoneOut reports whether an availability zone is taken out of service.
func (d *Directory) ZoneOut(zone string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.zonesOut[zone]
}

// Size returns the number of listed instances, including those that may not get
// requests.
func (d *Directory) Size() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.instances)
}

// MarkZoneCold marks all instances of an availability zone as cold until the time that
// until returns for their service. It never shortens a cold start.
func (d *Directory) MarkZoneCold(zone string, until func(service string) time.Time) {
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
