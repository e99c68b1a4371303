package event

import (
	"fmt"
	"time"
)

// Ejected records that an instance was ejected: it gets no requests for a time.
type Ejected struct {
	Service, Zone, Address string
	// Route is the route on which the instance failed.
	Route string
	// Bad and Total count the instance's bad outcomes and all its outcomes since the
	// first bad one.
	Bad, Total int
	// PeerBad and PeerTotal count the outcomes of the other instances on the route in
	// the same time.
	PeerBad, PeerTotal int
	// VMs is how many VMs reported bad outcomes.
	VMs int
	// Took is the time from the first bad outcome to the ejection.
	Took time.Duration
	// For is the time until the first probe.
	For time.Duration
}

// EjectionRefused records that a failing instance stays in use, because its ejection
// would leave fewer healthy instances than the floor requires.
type EjectionRefused struct {
	Service, Zone, Address, Route string
	Bad, Total                    int
	// Healthy is how many healthy instances would have remained in the zone. Share is
	// how many the zone must keep, and Need how many the service must keep in all zones.
	Healthy, Share, Need int
}

// EjectionLifted records that an ejected instance was returned to use to meet the floor,
// because other instances left, became cold or were taken out of service.
type EjectionLifted struct {
	Service, Zone, Address string
	Healthy, Share         int
}

// PathChanged records that one VM cannot reach an instance that other VMs reach, or that
// the VM reaches the instance again.
type PathChanged struct {
	Service, Zone, Address, VM string
	// Broken is true if the VM cannot reach the instance.
	Broken bool
	// Failed counts the VM's consecutive failures, and Others the VMs that reached the
	// instance in the meantime.
	Failed, Others int
}

// BecameCold records that an instance is in cold start: a new ramp limits its load.
type BecameCold struct {
	Service, Zone, Address string
	Reason                 string
}

// RampStep records that the load limit of an instance in cold start was changed.
type RampStep struct {
	Service, Zone, Address string
	// Step/Of is the share of its full load that the instance may now get.
	Step, Of int
	// OK and Bad count the good and bad outcomes in the previous step.
	OK, Bad int
}

// Probed records a probe of an ejected instance.
type Probed struct {
	Service, Zone, Address string
	// Error is empty when the probe succeeded.
	Error string
}

// PoolHomeChanged records that this node became the owner of a pool or is no longer its
// owner. A pool is the set of a service's instances in a zone.
type PoolHomeChanged struct {
	Service, Zone string
	// Home is true if this node became the owner.
	Home bool
	// Answered is how many nodes reported their permits to the new owner, and Asked how
	// many were asked.
	Answered, Asked int
	// Permits is how many permits were outstanding, Instances how many instances the
	// pool has, and Warm how many of them need no cold start.
	Permits, Warm, Instances int
}

// targetSubjects returns the subjects of an event about an instance.
func targetSubjects(service, zone, address string) []string {
	return []string{"target/" + address, "service/" + service, "zone/" + zone}
}

// Subjects names the instance, its service and zone.
func (e Ejected) Subjects() []string { return targetSubjects(e.Service, e.Zone, e.Address) }

// Subjects names the instance, its service and zone.
func (e EjectionRefused) Subjects() []string { return targetSubjects(e.Service, e.Zone, e.Address) }

// Subjects names the instance, its service and zone.
func (e EjectionLifted) Subjects() []string { return targetSubjects(e.Service, e.Zone, e.Address) }

// Subjects names the instance, its service and zone, and the VM.
func (e PathChanged) Subjects() []string {
	return append(targetSubjects(e.Service, e.Zone, e.Address), "node/"+e.VM)
}

// Subjects names the instance, its service and zone.
func (e BecameCold) Subjects() []string { return targetSubjects(e.Service, e.Zone, e.Address) }

// Subjects names the instance, its service and zone.
func (e RampStep) Subjects() []string { return targetSubjects(e.Service, e.Zone, e.Address) }

// Subjects names the instance, its service and zone.
func (e Probed) Subjects() []string { return targetSubjects(e.Service, e.Zone, e.Address) }

// Subjects names the service and the zone.
func (e PoolHomeChanged) Subjects() []string {
	return []string{"service/" + e.Service, "zone/" + e.Zone}
}

// Summary implements Event.
func (e Ejected) Summary() string {
	return fmt.Sprintf("%s of %s ejected for %s: %d of %d answers on route %s bad, seen by %d VMs; peers %d of %d; took %s",
		e.Address, e.Service, e.For, e.Bad, e.Total, e.Route, e.VMs, e.PeerBad, e.PeerTotal, e.Took)
}

// Summary implements Event.
func (e EjectionRefused) Summary() string {
	return fmt.Sprintf("%s of %s fails on route %s (%d of %d answers bad) but stays in use: %d instances would remain in zone %s, the floor needs %d here and %d in all",
		e.Address, e.Service, e.Route, e.Bad, e.Total, e.Healthy, e.Zone, e.Share, e.Need)
}

// Summary implements Event.
func (e EjectionLifted) Summary() string {
	return fmt.Sprintf("ejection of %s of %s lifted: %d healthy instances in zone %s, the floor needs %d",
		e.Address, e.Service, e.Healthy, e.Zone, e.Share)
}

// Summary implements Event.
func (e PathChanged) Summary() string {
	if e.Broken {
		return fmt.Sprintf("VM %s does not reach %s of %s: %d failures in a row, %d other VMs reach it",
			e.VM, e.Address, e.Service, e.Failed, e.Others)
	}
	return fmt.Sprintf("VM %s reaches %s of %s again", e.VM, e.Address, e.Service)
}

// Summary implements Event.
func (e BecameCold) Summary() string {
	return fmt.Sprintf("%s of %s is in cold start: %s", e.Address, e.Service, e.Reason)
}

// Summary implements Event.
func (e RampStep) Summary() string {
	return fmt.Sprintf("%s of %s may bear %d/%d of its load (%d good and %d bad answers in the step before)",
		e.Address, e.Service, e.Step, e.Of, e.OK, e.Bad)
}

// Summary implements Event.
func (e Probed) Summary() string {
	if e.Error == "" {
		return fmt.Sprintf("probe of ejected %s of %s succeeded", e.Address, e.Service)
	}
	return fmt.Sprintf("probe of ejected %s of %s failed: %s", e.Address, e.Service, e.Error)
}

// Summary implements Event.
func (e PoolHomeChanged) Summary() string {
	if !e.Home {
		return fmt.Sprintf("no longer home of %s in zone %s", e.Service, e.Zone)
	}
	return fmt.Sprintf("home of %s in zone %s: %d of %d nodes reported, %d permits outstanding, %d of %d instances warm",
		e.Service, e.Zone, e.Answered, e.Asked, e.Permits, e.Warm, e.Instances)
}

func (Ejected) event()         {}
func (EjectionRefused) event() {}
func (EjectionLifted) event()  {}
func (PathChanged) event()     {}
func (BecameCold) event()      {}
func (RampStep) event()        {}
func (Probed) event()          {}
func (PoolHomeChanged) event() {}
