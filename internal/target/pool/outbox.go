package pool

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// Parameters of releases.
const (
	// releaseDelay is how long an outcome waits so that several can be sent to the
	// same owner in one message. An owner with few free slots asks for outcomes
	// without this delay.
	releaseDelay = time.Millisecond
	// resendAfter is the pause after a release that the owner did not acknowledge.
	resendAfter = 100 * time.Millisecond
	// outboxLimit is the maximum number of outcomes kept for an unreachable owner.
	// The oldest are dropped; the next report of held permits frees their slots.
	outboxLimit = 4096
)

// outbox holds outcomes until the pool's owner has acknowledged them.
type outbox struct {
	results []result
	sending bool
	retryAt time.Time
	sent    time.Time
}

// permit is a permit that this node holds, or a request for one that has no
// address yet.
type permit struct {
	pools   *Pools
	key     poolKey
	id      uint64
	address string
	route   string
	class   contract.Class
	warm    bool
	started time.Time // listed start time of the instance when the permit was issued
	slot    *staticSlot
	once    sync.Once
}

// newPermit registers a permit or, without an address, the request for one. slot
// is nil unless the permit uses a static slot. The caller holds p.mu.
func (p *Pools) newPermit(key poolKey, r Request, address string, slot *staticSlot) *permit {
	m := &permit{
		pools: p, key: key, id: p.lastID.Add(1), address: address,
		route: r.Route, class: r.Class, slot: slot, warm: slot != nil,
	}
	p.held[m.id] = m
	return m
}

// Address returns the instance's ip:port.
func (m *permit) Address() string { return m.address }

// Done ends the permit and reports the outcome to the pool's owner.
func (m *permit) Done(o evidence.Outcome) {
	m.once.Do(func() { m.pools.finish(m, o) })
}

func (p *Pools) finish(m *permit, o evidence.Outcome) {
	p.mu.Lock()
	delete(p.held, m.id)
	c := p.contact(m.key)
	if m.slot != nil {
		delete(c.usedSlots, *m.slot)
	}
	c.recordOutcome(m, o)
	p.mu.Unlock()
	p.report(m.key, result{ID: m.id, Address: m.address, Route: m.route, Outcome: o})
}

// recordOutcome updates the node's experience with the instance, which decides on
// the use of static slots and is reported to a new owner.
func (c *contact) recordOutcome(m *permit, o evidence.Outcome) {
	if o.Kind == evidence.Cancelled {
		return
	}
	h := c.history[m.address]
	if h == nil {
		h = new(instanceHistory)
		c.history[m.address] = h
	}
	now := time.Now()
	if !m.warm || o.Kind == evidence.ConnectFailed || o.Kind == evidence.Reset {
		h.doubt = now
	}
	c.failed[m.address] = o.Failed()
	if m.warm && !o.Failed() {
		h.warm, h.started = now, m.started
	}
}

// report passes a result to the pool's owner: directly when this node is the
// owner, otherwise through the outbox.
func (p *Pools) report(key poolKey, r result) {
	if _, ok := p.config.Leases.Holds(key.lease()); ok && !p.stopping() {
		reply := p.owner(key).release(releaseParams{
			sender: p.sender(key), Service: key.service, Zone: key.zone, Done: []result{r},
		})
		p.noteReply(key, p.config.Self, time.Now(), reply.replyHeader)
		if !reply.NotOwner {
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.outbox(key)
	b.results = append(b.results, r)
	if len(b.results) > outboxLimit {
		b.results = b.results[len(b.results)-outboxLimit:]
	}
	if p.contact(key).slotsScarce {
		p.wake(p.flushNow)
		return
	}
	p.wake(p.flushSoon)
}

func (p *Pools) outbox(key poolKey) *outbox {
	b := p.outboxes[key]
	if b == nil {
		b = new(outbox)
		p.outboxes[key] = b
	}
	return b
}

func (p *Pools) wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (p *Pools) runOutboxes(ctx context.Context, g *errgroup.Group) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.flushNow:
		case <-p.flushSoon:
			p.waitForMore(ctx)
		}
		p.flush(ctx, g)
	}
}

func (p *Pools) waitForMore(ctx context.Context) {
	timer := time.NewTimer(releaseDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.flushNow:
	case <-ctx.Done():
	}
}

// flush sends the waiting outcomes, with at most one message in flight per pool.
func (p *Pools) flush(ctx context.Context, g *errgroup.Group) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, b := range p.outboxes {
		if b.sending || len(b.results) == 0 || now.Before(b.retryAt) {
			continue
		}
		p.send(ctx, g, key, b, false)
	}
}

// send starts the delivery of the outcomes in b. If it fails, they return to b.
// The caller holds p.mu.
func (p *Pools) send(ctx context.Context, g *errgroup.Group, key poolKey, b *outbox, reconcile bool) {
	results := b.results
	b.results = nil
	b.sending = true
	b.sent = time.Now()
	q := releaseParams{Service: key.service, Zone: key.zone, Done: results, Reconcile: reconcile}
	if reconcile {
		q.Held = p.heldIDs(key)
	}
	g.Go(func() error {
		ok := p.deliver(ctx, key, q)
		p.mu.Lock()
		defer p.mu.Unlock()
		b.sending = false
		if !ok {
			b.results = append(results, b.results...)
			b.retryAt = time.Now().Add(resendAfter)
			return nil
		}
		if len(b.results) > 0 {
			p.wake(p.flushSoon)
		}
		return nil
	})
}

func (p *Pools) heldIDs(key poolKey) []uint64 {
	var ids []uint64
	for id, m := range p.held {
		if m.key == key {
			ids = append(ids, id)
		}
	}
	return ids
}

func (p *Pools) deliver(ctx context.Context, key poolKey, q releaseParams) bool {
	sent := time.Now()
	renounce := q.Renounce
	q.sender = p.sender(key)
	q.Renounce = renounce
	ownerNode, ok := p.config.Leases.Holder(key.lease())
	if !ok {
		return false
	}
	var reply releaseReply
	if ownerNode == p.config.Self {
		reply = p.owner(key).release(q)
	} else if err := p.call(ctx, ownerNode, methodRelease, q, &reply); err != nil {
		return false
	}
	p.noteReply(key, ownerNode, sent, reply.replyHeader)
	return !reply.NotOwner
}

// keepPermitsAlive reports the permits that this node holds, so that they do not
// expire. It also triggers the resending of outcomes that were not acknowledged
// and deletes outboxes that have not been used for a minute.
func (p *Pools) keepPermitsAlive(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	holding := make(map[poolKey]bool)
	for _, m := range p.held {
		holding[m.key] = true
	}
	for key, b := range p.outboxes {
		if len(b.results) > 0 && !b.sending && !now.Before(b.retryAt) {
			p.wake(p.flushSoon)
		}
		if len(b.results) == 0 && !b.sending && !holding[key] && now.Sub(b.sent) > time.Minute {
			delete(p.outboxes, key)
		}
	}
	for key := range holding {
		b := p.outbox(key)
		if b.sending || now.Sub(b.sent) < keepAliveEvery || now.Before(b.retryAt) {
			continue
		}
		b.sent = now
		p.startTask(func(ctx context.Context) { p.reportHeld(ctx, key) })
	}
}

func (p *Pools) reportHeld(ctx context.Context, key poolKey) {
	p.mu.Lock()
	q := releaseParams{Service: key.service, Zone: key.zone, Held: p.heldIDs(key), Reconcile: true}
	p.mu.Unlock()
	p.deliver(ctx, key, q)
}

// allReported reports whether no outcome is waiting or being sent.
func (p *Pools) allReported() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.outboxes {
		if b.sending || len(b.results) > 0 {
			return false
		}
	}
	return true
}

// sender returns the part of a message that identifies this node to a pool's
// owner.
func (p *Pools) sender(key poolKey) sender {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.contact(key)
	s := sender{Node: p.config.Self, Incarnation: p.config.Incarnation, Stamp: c.stamp, View: c.view.Version}
	if len(c.usedSlots) == 0 {
		return s
	}
	for id, m := range p.held {
		if m.key == key && m.slot != nil {
			s.Static = append(s.Static, heldPermit{ID: id, Address: m.address, Route: m.route, Class: m.class})
		}
	}
	return s
}
