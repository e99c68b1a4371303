package pool

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/platform/roster"
	"chestnutbay.dev/chestnutbay/internal/report/event"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// Time limits of an owner's calls, and limits of refused ejections.
const (
	probeTimeout   = 2 * time.Second
	siblingTimeout = 500 * time.Millisecond
	// refusalPause is how long an instance is not considered again after the floor
	// refused its ejection.
	refusalPause = time.Second
	// refusalEventEvery is the minimum interval between the recorded refusals for
	// one instance.
	refusalEventEvery = 10 * time.Second
)

// capacityOnly is passed as the window to ask for no outcomes. They are several
// kilobytes, and an owner with ejected instances asks every 2 s.
const capacityOnly = -time.Millisecond

// observe evaluates an outcome that a VM reported for an instance.
func (o *owner) observe(now time.Time, vm string, r result) {
	i := o.instances[r.Address]
	if i == nil || i.state == stateEjected || r.Outcome.Kind == evidence.Cancelled {
		return
	}
	observation := evidence.Observation{
		At: now, Instance: r.Address, Route: r.Route, VM: vm,
		Warm: i.state == stateActive, Outcome: r.Outcome,
	}
	if i.state == stateCold {
		i.ramp.observe(now, r.Outcome.Failed())
	}
	if i.checkingRestart && i.observeRestartCheck(r.Outcome, o.judge.MedianFirstByte(r.Route, r.Address)) {
		o.endRestartCheck(now, i)
	}
	for _, f := range o.judge.Observe(observation) {
		o.applyFinding(now, i, f)
	}
	if i.suspect != nil && !i.undecided && !r.Outcome.Failed() && !o.judge.Suspected(r.Address) {
		i.suspect = nil
	}
}

func (o *owner) endRestartCheck(now time.Time, i *instance) {
	if i.restartSlow >= restartMinSlow {
		o.becomeCold(now, i, "connections broke, then answers were slow or failed")
		return
	}
	i.markWarm(now)
	o.viewVersion++
	o.recordEvent(event.RampStep{
		Service: o.key.service, Zone: o.key.zone, Address: i.address,
		Step: rampSteps, Of: rampSteps, OK: i.restartChecked - i.restartSlow, Bad: i.restartSlow,
	})
}

func (o *owner) applyFinding(now time.Time, i *instance, f evidence.Finding) {
	switch f := f.(type) {
	case evidence.Failing:
		if i.suspect != nil && now.Sub(i.refusedAt) < refusalPause {
			return
		}
		i.suspect = &f
		i.undecided = true
		o.decideSuspects(now)
	case evidence.PathBroken:
		i.pausePath(f.VM, now)
		o.recordEvent(event.PathChanged{
			Service: o.key.service, Zone: o.key.zone, Address: i.address, VM: f.VM,
			Broken: true, Failed: int(f.Window.Bad), Others: int(f.Others.Total - f.Others.Bad),
		})
	case evidence.PathWorks:
		delete(i.paths, f.VM)
		o.recordEvent(event.PathChanged{Service: o.key.service, Zone: o.key.zone, Address: i.address, VM: f.VM})
	case evidence.PossibleRestart:
		o.suspectRestart(now, i, f)
	}
}

func (o *owner) suspectRestart(now time.Time, i *instance, f evidence.PossibleRestart) {
	if i.state == stateCold && !i.checkingRestart {
		i.ramp.moveTo(now, 1)
		return
	}
	if i.state != stateActive {
		return
	}
	i.startRestartCheck(now)
	o.viewVersion++
	o.recordEvent(event.BecameCold{
		Service: o.key.service, Zone: o.key.zone, Address: i.address,
		Reason: fmt.Sprintf("%d connections of %d VMs broke at once; the next answers show whether it restarted", f.Connections, f.VMs),
	})
}

// decideSuspects ejects the undecided suspects as far as the floor allows. It asks
// the other zones' owners first unless their reports are fresh; then the decision
// follows once they have replied.
func (o *owner) decideSuspects(now time.Time) {
	if o.askingSiblings || !o.any(func(i *instance) bool { return i.undecided }) {
		return
	}
	if len(o.otherZones()) == 0 || now.Sub(o.remoteUpdated) <= siblingFresh && o.siblingsFresh(now, siblingFresh) {
		o.ejectSuspects(now)
		return
	}
	o.startAskingSiblings()
}

func (o *owner) any(match func(*instance) bool) bool {
	for _, i := range o.sorted {
		if match(i) {
			return true
		}
	}
	return false
}

func (o *owner) startAskingSiblings() {
	epoch := o.epoch
	o.askingSiblings = o.pools.startTask(func(ctx context.Context) { o.askSiblings(ctx, epoch) })
}

// refreshSiblings keeps the reports of the other zones' capacity up to date while
// instances are ejected, so that the ejections end when the other zones lose
// capacity.
func (o *owner) refreshSiblings(now time.Time) {
	if o.askingSiblings || o.siblingsFresh(now, siblingPoll) {
		return
	}
	if o.any(func(i *instance) bool { return i.state == stateEjected }) {
		o.startAskingSiblings()
	}
}

func (o *owner) siblingsFresh(now time.Time, maxAge time.Duration) bool {
	for _, zone := range o.otherZones() {
		if now.Sub(o.siblings[zone].at) > maxAge {
			return false
		}
	}
	return true
}

func (o *owner) otherZones() []string {
	var zones []string
	for _, z := range o.pools.index().zones[o.key.service] {
		if z != o.key.zone && !o.pools.config.Configuration.ZoneOut(z) {
			zones = append(zones, z)
		}
	}
	return zones
}

// askSiblings asks the owners in the service's other zones for their capacity and,
// if there are suspects, their outcomes. Then it decides on the suspects.
func (o *owner) askSiblings(ctx context.Context, epoch uint64) {
	o.mu.Lock()
	zones := o.otherZones()
	window := o.suspectWindow(time.Now())
	o.mu.Unlock()
	replies := make([]stateReply, len(zones))
	reached := make([]bool, len(zones))
	var g errgroup.Group
	for n, zone := range zones {
		g.Go(func() error {
			key := poolKey{service: o.key.service, zone: zone}
			ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
			defer cancel()
			reply, err := o.pools.state(ctx, key, window)
			replies[n], reached[n] = reply, err == nil && !reply.NotOwner
			return nil
		})
	}
	g.Wait() //nolint:errcheck // The calls' errors are in reached.
	o.mu.Lock()
	defer o.mu.Unlock()
	o.askingSiblings = false
	now := time.Now()
	if o.epoch != epoch || !o.refresh(now) {
		return
	}
	for n, zone := range zones {
		if reached[n] {
			o.siblings[zone] = sibling{at: now, reply: replies[n]}
		}
	}
	if window != capacityOnly {
		o.judge.SetRemote(o.remoteRecords(now))
		o.remoteUpdated = now
	}
	o.ejectSuspects(now)
	o.serveQueue(now)
}

// suspectWindow returns the time since the first bad outcome of the undecided
// suspects, or capacityOnly if there are none.
func (o *owner) suspectWindow(now time.Time) time.Duration {
	window := capacityOnly
	for _, i := range o.sorted {
		if i.undecided && i.suspect != nil {
			window = max(window, now.Sub(i.suspect.Since))
		}
	}
	return window
}

func (o *owner) remoteRecords(now time.Time) map[string]evidence.Record {
	var lists []map[string]evidence.Record
	for _, s := range o.siblings {
		if now.Sub(s.at) < siblingStale {
			lists = append(lists, s.reply.Routes)
		}
	}
	return evidence.Merge(lists...)
}

// state returns the pool's capacity and recent outcomes to the owner of another
// zone of the service.
func (o *owner) state(window time.Duration) stateReply {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.refresh(now) || o.phase != phaseServing {
		return stateReply{NotOwner: true}
	}
	reply := stateReply{Total: len(o.sorted), Healthy: o.healthy()}
	if window != capacityOnly {
		reply.Routes = o.judge.Records(now, window)
	}
	return reply
}

func (o *owner) healthy() int {
	n := 0
	for _, i := range o.sorted {
		if i.healthy() {
			n++
		}
	}
	return n
}

// capacities returns the capacity of all zones of the service, as far as this owner
// knows. If a zone's owner is unreachable, all instances of that zone may be in
// cold start, which only their owner knows. With strict, such a zone counts as
// having no healthy instance; otherwise all its listed instances that are not
// leaving count as healthy.
func (o *owner) capacities(now time.Time, strict bool) []Capacity {
	index := o.pools.index()
	var zones []Capacity
	for _, zone := range index.zones[o.key.service] {
		listed := index.pools[poolKey{service: o.key.service, zone: zone}]
		c := Capacity{Zone: zone, Total: len(listed), Out: o.pools.config.Configuration.ZoneOut(zone)}
		if zone == o.key.zone {
			c.Healthy = o.healthy()
			zones = append(zones, c)
			continue
		}
		if s := o.siblings[zone]; now.Sub(s.at) < siblingStale {
			c.Healthy = min(s.reply.Healthy, countNotLeaving(listed))
		} else if !strict {
			c.Healthy = countNotLeaving(listed)
		}
		zones = append(zones, c)
	}
	return zones
}

func countNotLeaving(listed []roster.Instance) int {
	n := 0
	for _, l := range listed {
		if !l.Leaving() {
			n++
		}
	}
	return n
}

func (o *owner) floor(now time.Time, strict bool) (Floor, []Capacity) {
	zones := o.capacities(now, strict)
	return PlanFloor(o.pools.config.Configuration.Floor(o.key.service), zones), zones
}

func (o *owner) ejectSuspects(now time.Time) {
	for _, i := range o.sorted {
		if !i.undecided || i.suspect == nil {
			continue
		}
		i.undecided = false
		if !o.judge.Confirm(i.suspect.Route, i.address, now) {
			i.suspect = nil
			continue
		}
		o.ejectOrKeep(now, i)
	}
}

func (o *owner) ejectOrKeep(now time.Time, i *instance) {
	floor, zones := o.floor(now, true)
	healthy := o.healthy()
	if i.healthy() {
		healthy--
	}
	s := *i.suspect
	if !floor.Holds(o.key.zone, healthy, zones) {
		i.refusedAt = now
		if now.Sub(i.refusalRecorded) < refusalEventEvery {
			return
		}
		i.refusalRecorded = now
		o.recordEvent(event.EjectionRefused{
			Service: o.key.service, Zone: o.key.zone, Address: i.address, Route: s.Route,
			Bad: int(s.Window.Bad), Total: int(s.Window.Total),
			Healthy: healthy, Share: floor.Share(o.key.zone), Need: floor.Need(),
		})
		return
	}
	duration := i.eject(now)
	o.judge.Forget(i.address)
	o.viewVersion++
	o.recordEvent(event.Ejected{
		Service: o.key.service, Zone: o.key.zone, Address: i.address, Route: s.Route,
		Bad: int(s.Window.Bad), Total: int(s.Window.Total),
		PeerBad: int(s.Peers.Bad), PeerTotal: int(s.Peers.Total),
		VMs: s.VMs, Took: now.Sub(s.Since), For: duration,
	})
}

// liftEjections brings ejected instances back into use when others left, became
// cold or were taken out of service, so that ejections do not keep the service
// below its floor. The instance with the fewest ejections comes first.
func (o *owner) liftEjections(now time.Time) {
	for {
		var best *instance
		for _, i := range o.sorted {
			if i.state == stateEjected && !i.leaving && (best == nil || i.ejections < best.ejections) {
				best = i
			}
		}
		if best == nil {
			return
		}
		floor, zones := o.floor(now, false)
		healthy := o.healthy()
		if floor.Holds(o.key.zone, healthy, zones) {
			return
		}
		best.markWarm(now)
		best.suspect = &evidence.Failing{Instance: best.address, Since: now}
		o.viewVersion++
		o.recordEvent(event.EjectionLifted{
			Service: o.key.service, Zone: o.key.zone, Address: best.address,
			Healthy: healthy, Share: floor.Share(o.key.zone),
		})
	}
}

func (o *owner) advanceRamps(now time.Time) {
	for _, i := range o.sorted {
		if i.state != stateCold {
			continue
		}
		ok, bad := i.ramp.ok, i.ramp.bad
		if !i.ramp.advance(now, o.service.Ramp()) {
			continue
		}
		if i.ramp.complete() {
			i.markWarm(now)
			o.viewVersion++
		}
		o.recordEvent(event.RampStep{
			Service: o.key.service, Zone: o.key.zone, Address: i.address,
			Step: min(i.ramp.step, rampSteps), Of: rampSteps, OK: ok, Bad: bad,
		})
	}
}

// probeEjected probes the instances whose ejection time is over. A probe that
// succeeds only starts the ramp, because an instance may respond to probes and
// fail requests.
func (o *owner) probeEjected(now time.Time) {
	for _, i := range o.sorted {
		if i.state != stateEjected || i.probing || i.leaving || o.zoneOut || now.Before(i.ejectedUntil) {
			continue
		}
		i.probing = true
		epoch := o.epoch
		i.probing = o.pools.startTask(func(ctx context.Context) { o.probe(ctx, epoch, i) })
	}
}

func (o *owner) probe(ctx context.Context, epoch uint64, i *instance) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var err error
	if o.pools.config.Probe != nil {
		err = o.pools.config.Probe(ctx, i.address)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	i.probing = false
	if o.epoch != epoch || i.state != stateEjected {
		return
	}
	now := time.Now()
	probed := event.Probed{Service: o.key.service, Zone: o.key.zone, Address: i.address}
	if err != nil {
		probed.Error = err.Error()
		i.ejectedUntil = now.Add(min(i.ejectedFor, firstEjection))
		o.recordEvent(probed)
		return
	}
	o.recordEvent(probed)
	o.becomeCold(now, i, "ejection is over and a probe succeeded")
}
