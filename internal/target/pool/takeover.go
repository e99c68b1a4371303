package pool

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/platform/roster"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

// Parameters of a takeover.
const (
	// takeoverTimeout limits the wait for the nodes' reports of held permits. It is
	// needed because a former owner that has died never replies.
	takeoverTimeout = time.Second
	// takeoverParallel is the maximum number of concurrent calls.
	takeoverParallel = 64
	// warmFor is the maximum age of a good response under full load that counts as
	// evidence that an instance is warm.
	warmFor = 10 * time.Second
	// minWarmReports is how many nodes must have such evidence. If fewer nodes are
	// listed, all of them must.
	minWarmReports = 2
)

// nodeReply is one node's reply to a new owner.
type nodeReply struct {
	node  string
	reply heldReply
	err   error
}

// takeOver asks all nodes for the permits they hold and then starts to issue
// permits. Before that no permit is issued, because the slots may be in use.
func (o *owner) takeOver(ctx context.Context, epoch uint64) {
	nodes := o.pools.config.Nodes()
	replies := make([]nodeReply, len(nodes)+1)
	params := heldParams{Service: o.key.service, Zone: o.key.zone, Owner: o.pools.config.Self}
	replies[0] = nodeReply{node: o.pools.config.Self, reply: o.pools.holdings(params)}
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(takeoverParallel)
	for n, node := range nodes {
		g.Go(func() error {
			a := &replies[n+1]
			a.node = node.ID()
			a.err = o.pools.call(ctx, node.ID(), methodHeld, params, &a.reply)
			return nil
		})
	}
	g.Wait() //nolint:errcheck // The calls' errors are in the replies.
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if o.epoch != epoch || o.phase != phaseTakingOver || !o.refresh(now) || o.epoch != epoch {
		return
	}
	o.startServing(now, replies, nodes)
}

func (o *owner) startServing(now time.Time, replies []nodeReply, nodes []roster.Node) {
	answered := 0
	var recent []recentInstance
	var latest *handover
	for _, a := range replies {
		if a.err != nil {
			o.members[a.node] = &member{mayKnowSlots: true, replied: now, seen: now}
			continue
		}
		answered++
		o.members[a.node] = &member{incarnation: a.reply.Incarnation, seen: now, replied: now, acknowledged: now}
		for _, p := range a.reply.Permits {
			o.adopt(now, permitKey{node: a.node, incarnation: a.reply.Incarnation, id: p.ID}, p)
		}
		recent = append(recent, a.reply.Recent...)
		if h := a.reply.Handover; h != nil && (latest == nil || h.AgeMillis < latest.AgeMillis) {
			latest = a.reply.Handover
		}
	}
	if latest != nil {
		o.applyHandover(now, latest)
	} else if answered >= quorum(o.pools.config.VMs()) {
		o.startWarm(now, recent, min(minWarmReports, len(nodes)+1))
	}
	o.phase = phaseServing
	o.viewVersion++
	o.recordEvent(event.PoolHomeChanged{
		Service: o.key.service, Zone: o.key.zone, Home: true,
		Answered: answered, Asked: len(replies), Permits: len(o.permits),
		Warm: o.healthy(), Instances: len(o.sorted),
	})
	o.reserveSlots(now)
	o.serveQueue(now)
}

func quorum(vms int) int { return vms/2 + 1 }

func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// startWarm marks an instance as warm if at least need nodes report it as warm. A
// node's report counts if its good response came from the instance's listed
// process, is at most warmFor old and is newer than any node's latest reason for
// doubt.
func (o *owner) startWarm(now time.Time, recent []recentInstance, need int) {
	doubt := make(map[string]int64)
	for _, r := range recent {
		if r.DoubtMillis > 0 && (doubt[r.Address] == 0 || r.DoubtMillis < doubt[r.Address]) {
			doubt[r.Address] = r.DoubtMillis
		}
	}
	warmReports := make(map[string]int)
	for _, r := range recent {
		i := o.instances[r.Address]
		if i == nil || r.WarmMillis == 0 || r.WarmMillis > warmFor.Milliseconds() || unixNano(i.started) != r.Started {
			continue
		}
		if d := doubt[r.Address]; d == 0 || r.WarmMillis < d {
			warmReports[r.Address]++
		}
	}
	for address, n := range warmReports {
		if n >= need && !o.zoneOut {
			o.instances[address].markWarm(now)
		}
	}
}

// applyHandover takes over the state that the former owner saved: the hold time,
// the permits of nodes that did not reply, and the state of the instances.
func (o *owner) applyHandover(now time.Time, h *handover) {
	o.holdTime = time.Duration(h.HoldNanos)
	for _, p := range h.Permits {
		if m := o.members[p.Node]; m != nil && m.incarnation == "" {
			o.adopt(now, permitKey{node: p.Node, incarnation: p.Incarnation, id: p.ID}, p.heldPermit)
		}
	}
	for _, saved := range h.Instances {
		i := o.instances[saved.Address]
		if i == nil || unixNano(i.started) != saved.Started {
			continue
		}
		i.ejections = saved.Ejections
		switch saved.State {
		case stateActive:
			i.markWarm(now)
		case stateCold:
			i.ramp.moveTo(now, max(1, saved.Step))
		case stateEjected:
			i.state = stateEjected
			i.ejectedFor = backoff(firstEjection, longestEjection, saved.Ejections-1)
			i.ejectedUntil = now.Add(time.Duration(saved.RemainingMillis) * time.Millisecond)
		}
	}
}

// buildHandover returns the state of the pool for its next owner.
func (o *owner) buildHandover(now time.Time) *handover {
	h := &handover{HoldNanos: int64(o.holdTime)}
	for key, g := range o.permits {
		h.Permits = append(h.Permits, handoverPermit{
			Node: key.node, Incarnation: key.incarnation,
			heldPermit: heldPermit{ID: key.id, Address: g.address, Route: g.route, Class: g.class},
		})
	}
	if o.zoneOut {
		return h
	}
	for _, i := range o.sorted {
		h.Instances = append(h.Instances, handoverInstance{
			Address: i.address, Started: unixNano(i.started), State: i.state, Step: i.ramp.step,
			Ejections: i.ejections, RemainingMillis: max(0, i.ejectedUntil.Sub(now).Milliseconds()),
		})
	}
	return h
}

// recentHandover returns the state that this node saved as the pool's former
// owner, or nil if there is none or it is older than handoverMaxAge.
func (o *owner) recentHandover(now time.Time) *handover {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.pools.config.Leases.Holds(o.key.lease()); !ok {
		o.stepDown(now)
	}
	if o.handover == nil || now.Sub(o.handoverAt) > handoverMaxAge {
		return nil
	}
	h := *o.handover
	h.AgeMillis = now.Sub(o.handoverAt).Milliseconds()
	return &h
}
