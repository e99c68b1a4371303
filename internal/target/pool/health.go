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

// Time limits of what a home asks.
const (
	probeTimeout   = 2 * time.Second
	siblingTimeout = 500 * time.Millisecond
	// refusedPause is how long the floor's refusal of an ejection stands.
	refusedPause = time.Second
	// refusedEvery bounds how often a floor refusal of one instance is recorded.
	refusedEvery = 10 * time.Second
)

// capacityOnly, in place of a window, asks for no outcomes. They are several
// kilobytes, and a home with ejected instances asks every 2 s.
const capacityOnly = -time.Millisecond

// observe takes an outcome as evidence.
func (h *home) observe(now time.Time, vm string, r result) {
	i := h.instances[r.Address]
	if i == nil || i.state == stateEjected || r.Outcome.Kind == evidence.Cancelled {
		return
	}
	o := evidence.Observation{
		At: now, Instance: r.Address, Route: r.Route, VM: vm,
		Warm: i.state == stateActive, Outcome: r.Outcome,
	}
	if i.state == stateCold {
		i.ramp.observe(now, r.Outcome.Failed())
	}
	if i.watching && i.observeWatch(r.Outcome, h.judge.MedianFirstByte(r.Route, r.Address)) {
		h.endWatch(now, i)
	}
	for _, f := range h.judge.Observe(o) {
		h.conclude(now, i, f)
	}
	if i.suspect != nil && !i.undecided && !r.Outcome.Failed() && !h.judge.Suspected(r.Address) {
		i.suspect = nil
	}
}

func (h *home) endWatch(now time.Time, i *instance) {
	if i.watchSlow >= watchSlow {
		h.becomeCold(now, i, "connections broke, then answers were slow or failed")
		return
	}
	i.warm(now)
	h.version++
	h.record(event.RampStep{
		Service: h.key.service, Zone: h.key.zone, Address: i.address,
		Step: rampSteps, Of: rampSteps, OK: i.watched - i.watchSlow, Bad: i.watchSlow,
	})
}

func (h *home) conclude(now time.Time, i *instance, f evidence.Finding) {
	switch f := f.(type) {
	case evidence.Failing:
		if i.suspect != nil && now.Sub(i.refusedAt) < refusedPause {
			return
		}
		i.suspect = &f
		i.undecided = true
		h.decide(now)
	case evidence.PathBroken:
		i.pausePath(f.VM, now)
		h.record(event.PathChanged{
			Service: h.key.service, Zone: h.key.zone, Address: i.address, VM: f.VM,
			Broken: true, Failed: int(f.Window.Bad), Others: int(f.Others.Total - f.Others.Bad),
		})
	case evidence.PathWorks:
		delete(i.paths, f.VM)
		h.record(event.PathChanged{Service: h.key.service, Zone: h.key.zone, Address: i.address, VM: f.VM})
	case evidence.PossibleRestart:
		h.suspectFallback(now, i, f)
	}
}

func (h *home) suspectFallback(now time.Time, i *instance, f evidence.PossibleRestart) {
	if i.state == stateCold && !i.watching {
		i.ramp.move(now, 1)
		return
	}
	if i.state != stateActive {
		return
	}
	i.watch(now)
	h.version++
	h.record(event.BecameCold{
		Service: h.key.service, Zone: h.key.zone, Address: i.address,
		Reason: fmt.Sprintf("%d connections of %d VMs broke at once; the next answers show whether it restarted", f.Connections, f.VMs),
	})
}

// decide ejects the suspects that the floor allows to be ejected. It asks the
// other zones' homes first when it has not heard of them lately.
func (h *home) decide(now time.Time) {
	if h.asking || !h.any(func(i *instance) bool { return i.undecided }) {
		return
	}
	if len(h.otherZones()) == 0 || now.Sub(h.remoteAt) <= siblingFresh && h.siblingsKnown(now, siblingFresh) {
		h.ejectSuspects(now)
		return
	}
	h.startAsking()
}

func (h *home) any(is func(*instance) bool) bool {
	for _, i := range h.order {
		if is(i) {
			return true
		}
	}
	return false
}

func (h *home) startAsking() {
	epoch := h.epoch
	h.asking = h.pools.start(func(ctx context.Context) { h.askSiblings(ctx, epoch) })
}

// followSiblings keeps up with the other zones' capacity while instances are
// ejected, so that the ejections end when the others lose theirs.
func (h *home) followSiblings(now time.Time) {
	if h.asking || h.siblingsKnown(now, siblingPoll) {
		return
	}
	if h.any(func(i *instance) bool { return i.state == stateEjected }) {
		h.startAsking()
	}
}

func (h *home) siblingsKnown(now time.Time, age time.Duration) bool {
	for _, zone := range h.otherZones() {
		if now.Sub(h.siblings[zone].at) > age {
			return false
		}
	}
	return true
}

func (h *home) otherZones() []string {
	var zones []string
	for _, z := range h.pools.index().zones[h.key.service] {
		if z != h.key.zone && !h.pools.config.Configuration.ZoneOut(z) {
			zones = append(zones, z)
		}
	}
	return zones
}

// askSiblings learns the capacity and the outcomes of the service's other zones.
func (h *home) askSiblings(ctx context.Context, epoch uint64) {
	h.mu.Lock()
	zones := h.otherZones()
	window := h.suspectWindow(time.Now())
	h.mu.Unlock()
	replies := make([]stateReply, len(zones))
	reached := make([]bool, len(zones))
	var g errgroup.Group
	for n, zone := range zones {
		g.Go(func() error {
			key := poolKey{service: h.key.service, zone: zone}
			ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
			defer cancel()
			reply, err := h.pools.state(ctx, key, window)
			replies[n], reached[n] = reply, err == nil && !reply.NotHome
			return nil
		})
	}
	g.Wait() //nolint:errcheck // The calls' errors are in reached.
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asking = false
	now := time.Now()
	if h.epoch != epoch || !h.enter(now) {
		return
	}
	for n, zone := range zones {
		if reached[n] {
			h.siblings[zone] = sibling{at: now, reply: replies[n]}
		}
	}
	if window != capacityOnly {
		h.judge.SetRemote(h.remoteRecords(now))
		h.remoteAt = now
	}
	h.ejectSuspects(now)
	h.pump(now)
}

// suspectWindow returns the time since the first bad outcome of any suspect, or
// capacityOnly when there is none.
func (h *home) suspectWindow(now time.Time) time.Duration {
	window := capacityOnly
	for _, i := range h.order {
		if i.undecided && i.suspect != nil {
			window = max(window, now.Sub(i.suspect.Since))
		}
	}
	return window
}

func (h *home) remoteRecords(now time.Time) map[string]evidence.Record {
	var lists []map[string]evidence.Record
	for _, s := range h.siblings {
		if now.Sub(s.at) < siblingStale {
			lists = append(lists, s.reply.Routes)
		}
	}
	return evidence.Merge(lists...)
}

// state answers the home of another zone of the service.
func (h *home) state(window time.Duration) stateReply {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.enter(now) || h.phase != phaseServing {
		return stateReply{NotHome: true}
	}
	reply := stateReply{Total: len(h.order), Healthy: h.healthy()}
	if window != capacityOnly {
		reply.Routes = h.judge.Records(now, window)
	}
	return reply
}

func (h *home) healthy() int {
	n := 0
	for _, i := range h.order {
		if i.healthy() {
			n++
		}
	}
	return n
}

// capacities gives what this home knows of all zones of the service. The
// instances of a zone whose home is out of contact may all be in cold start,
// which only their home can see: with strict they count for nothing, otherwise
// the list counts.
func (h *home) capacities(now time.Time, strict bool) []Capacity {
	index := h.pools.index()
	var zones []Capacity
	for _, zone := range index.zones[h.key.service] {
		listed := index.pools[poolKey{service: h.key.service, zone: zone}]
		c := Capacity{Zone: zone, Total: len(listed), Out: h.pools.config.Configuration.ZoneOut(zone)}
		if zone == h.key.zone {
			c.Healthy = h.healthy()
			zones = append(zones, c)
			continue
		}
		if s := h.siblings[zone]; now.Sub(s.at) < siblingStale {
			c.Healthy = min(s.reply.Healthy, inUse(listed))
		} else if !strict {
			c.Healthy = inUse(listed)
		}
		zones = append(zones, c)
	}
	return zones
}

func inUse(listed []roster.Instance) int {
	n := 0
	for _, l := range listed {
		if !l.Leaving() {
			n++
		}
	}
	return n
}

func (h *home) floor(now time.Time, strict bool) (Floor, []Capacity) {
	zones := h.capacities(now, strict)
	return PlanFloor(h.pools.config.Configuration.Floor(h.key.service), zones), zones
}

func (h *home) ejectSuspects(now time.Time) {
	for _, i := range h.order {
		if !i.undecided || i.suspect == nil {
			continue
		}
		i.undecided = false
		if !h.judge.Confirm(i.suspect.Route, i.address, now) {
			i.suspect = nil
			continue
		}
		h.ejectOrKeep(now, i)
	}
}

func (h *home) ejectOrKeep(now time.Time, i *instance) {
	floor, zones := h.floor(now, true)
	healthy := h.healthy()
	if i.healthy() {
		healthy--
	}
	s := *i.suspect
	if !floor.Holds(h.key.zone, healthy, zones) {
		i.refusedAt = now
		if now.Sub(i.refusalRecorded) < refusedEvery {
			return
		}
		i.refusalRecorded = now
		h.record(event.EjectionRefused{
			Service: h.key.service, Zone: h.key.zone, Address: i.address, Route: s.Route,
			Bad: int(s.Window.Bad), Total: int(s.Window.Total),
			Healthy: healthy, Share: floor.Share(h.key.zone), Need: floor.Need(),
		})
		return
	}
	lasts := i.eject(now)
	h.judge.Forget(i.address)
	h.version++
	h.record(event.Ejected{
		Service: h.key.service, Zone: h.key.zone, Address: i.address, Route: s.Route,
		Bad: int(s.Window.Bad), Total: int(s.Window.Total),
		PeerBad: int(s.Peers.Bad), PeerTotal: int(s.Peers.Total),
		VMs: s.VMs, Took: now.Sub(s.Since), For: lasts,
	})
}

// liftEjections brings ejected instances back when others left, became cold or
// were taken out, so that the ejections are not what takes the service below
// its floor. The one with the fewest ejections comes first.
func (h *home) liftEjections(now time.Time) {
	for {
		var best *instance
		for _, i := range h.order {
			if i.state == stateEjected && !i.leaving && (best == nil || i.ejections < best.ejections) {
				best = i
			}
		}
		if best == nil {
			return
		}
		floor, zones := h.floor(now, false)
		healthy := h.healthy()
		if floor.Holds(h.key.zone, healthy, zones) {
			return
		}
		best.warm(now)
		best.suspect = &evidence.Failing{Instance: best.address, Since: now}
		h.version++
		h.record(event.EjectionLifted{
			Service: h.key.service, Zone: h.key.zone, Address: best.address,
			Healthy: healthy, Share: floor.Share(h.key.zone),
		})
	}
}

func (h *home) advanceRamps(now time.Time) {
	for _, i := range h.order {
		if i.state != stateCold {
			continue
		}
		ok, bad := i.ramp.ok, i.ramp.bad
		if !i.ramp.advance(now, h.service.Ramp()) {
			continue
		}
		if i.ramp.done() {
			i.warm(now)
			h.version++
		}
		h.record(event.RampStep{
			Service: h.key.service, Zone: h.key.zone, Address: i.address,
			Step: min(i.ramp.step, rampSteps), Of: rampSteps, OK: ok, Bad: bad,
		})
	}
}

// probeEjected tries the instances whose ejection is over. A probe that
// succeeds only starts the ramp: an instance may answer probes and fail requests.
func (h *home) probeEjected(now time.Time) {
	for _, i := range h.order {
		if i.state != stateEjected || i.probing || i.leaving || h.out || now.Before(i.back) {
			continue
		}
		i.probing = true
		epoch := h.epoch
		i.probing = h.pools.start(func(ctx context.Context) { h.probe(ctx, epoch, i) })
	}
}

func (h *home) probe(ctx context.Context, epoch uint64, i *instance) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var err error
	if h.pools.config.Probe != nil {
		err = h.pools.config.Probe(ctx, i.address)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	i.probing = false
	if h.epoch != epoch || i.state != stateEjected {
		return
	}
	now := time.Now()
	probed := event.Probed{Service: h.key.service, Zone: h.key.zone, Address: i.address}
	if err != nil {
		probed.Error = err.Error()
		i.back = now.Add(min(i.ejectedFor, firstEjection))
		h.record(probed)
		return
	}
	h.record(probed)
	h.becomeCold(now, i, "ejection is over and a probe succeeded")
}
