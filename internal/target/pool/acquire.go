package pool

import (
	"context"
	"time"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// Time limits of a node's search for a permit.
const (
	// maxWait limits the wait of every request, also of one without a deadline.
	maxWait = 10 * time.Second
	// spillWait is how long a request waits in the node's own zone before the node
	// asks the other zones. It is about the extra time that a request to another
	// zone takes.
	spillWait = 10 * time.Millisecond
	// waitChunk is the minimum time for which a request waits in one zone before
	// the node asks all zones again.
	waitChunk = 200 * time.Millisecond
	// retryPause is the pause before the zones are asked again when none of them
	// offered a place in its queue.
	retryPause = 50 * time.Millisecond
	// minWait is the remaining time below which a request is refused at once.
	minWait = time.Millisecond
	// defaultRetryAfter is the retry time of a refusal because no zone has an
	// instance.
	defaultRetryAfter = time.Second
)

// search is the state of one request's search for a permit in all zones.
type search struct {
	pools    *Pools
	request  Request
	begun    time.Time
	deadline time.Time
	// Results of the latest round over all zones. reached is true if an owner
	// replied. queueFull is true if a queue accepted no more requests or the
	// shortest estimated wait was too long for the deadline. bestZone is the zone
	// with the shortest estimated wait. reason is that of the latest refusal;
	// unlike the others it is kept for later rounds.
	reached   bool
	queueFull bool
	bestZone  string
	estimate  time.Duration
	reason    string
}

// Acquire returns a permit for an instance of the service. It prefers the node's
// own zone and waits for a free slot until ctx ends, or 10 s at most. The error
// is a *Refusal.
func (p *Pools) Acquire(ctx context.Context, r Request) (Permit, error) {
	if _, _, ok := p.config.Configuration.Service(r.Service); !ok {
		return nil, NewRefusal("service is not configured", 0)
	}
	if r.Class == "" {
		r.Class = contract.Interactive
	}
	s := &search{pools: p, request: r, begun: time.Now()}
	s.deadline = s.begun.Add(maxWait)
	if d, ok := ctx.Deadline(); ok && d.Before(s.deadline) {
		s.deadline = d
	}
	m, err := s.run(ctx)
	if err != nil {
		return nil, err
	}
	return m, nil
}

func (s *search) run(ctx context.Context) (*permit, error) {
	lastOffer := s.begun
	for s.remaining() > minWait && ctx.Err() == nil {
		zones := s.pools.zoneOrder(s.request.Service)
		if len(zones) == 0 {
			return nil, NewRefusal("no instance in any zone", defaultRetryAfter)
		}
		if m := s.tryZones(ctx, zones); m != nil {
			return m, nil
		}
		if s.queueFull {
			break
		}
		if s.bestZone != "" {
			lastOffer = time.Now()
			continue
		}
		if !s.reached {
			if m, ok := s.pools.takeStatic(s.request); ok {
				return m, nil
			}
		}
		if time.Since(lastOffer) >= staticWait || s.reached && len(s.request.Exclude) > 0 {
			break
		}
		s.sleep(ctx, retryPause)
	}
	return nil, NewRefusal(s.lastReason(), max(s.estimate, time.Millisecond))
}

// tryZones asks every zone once and then waits in the zone with the shortest
// estimate.
func (s *search) tryZones(ctx context.Context, zones []string) *permit {
	s.reached, s.queueFull, s.bestZone, s.estimate = false, false, "", 0
	for n, zone := range zones {
		wait := time.Duration(0)
		if n == 0 && zone == s.pools.config.Zone {
			wait = spillWait
		}
		if m := s.tryZone(ctx, zone, wait); m != nil {
			return m
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	if s.bestZone == "" {
		return nil
	}
	if s.estimate > estimateSlack*s.remaining() {
		s.queueFull = true
		return nil
	}
	s.queueFull = false
	return s.tryZone(ctx, s.bestZone, min(s.remaining(), max(waitChunk, s.estimate)))
}

// tryZone asks the owner in one zone for a permit and notes its reply.
func (s *search) tryZone(ctx context.Context, zone string, wait time.Duration) *permit {
	wait = max(0, min(wait, s.remaining()))
	m, reply, ok := s.pools.requestPermit(ctx, zone, s.request, wait, time.Since(s.begun))
	if m != nil || !ok {
		return m
	}
	s.reached = true
	s.reason = reply.Refusal
	s.queueFull = s.queueFull || reply.QueueFull
	estimate := time.Duration(reply.RetryMillis) * time.Millisecond
	if !reply.Final && !reply.QueueFull && (s.bestZone == "" || estimate < s.estimate) {
		s.bestZone, s.estimate = zone, estimate
	}
	return nil
}

func (s *search) remaining() time.Duration { return time.Until(s.deadline) }

func (s *search) lastReason() string {
	if s.reason == "" {
		return "no home of the service's pools is reachable"
	}
	return s.reason
}

func (s *search) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(min(d, max(0, s.remaining())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// requestPermit asks the owner of a pool for a permit. It reports false when no
// owner replied.
func (p *Pools) requestPermit(ctx context.Context, zone string, r Request, wait, waited time.Duration) (*permit, acquireReply, bool) {
	key := poolKey{service: r.Service, zone: zone}
	ownerNode, ok := p.config.Leases.Holder(key.lease())
	if !ok {
		return nil, acquireReply{}, false
	}
	p.mu.Lock()
	m := p.newPermit(key, r, "", nil)
	p.contact(key).lastRequest = time.Now()
	p.mu.Unlock()
	q := acquireParams{
		sender: p.sender(key), ID: m.id, Service: r.Service, Zone: zone, Route: r.Route,
		Class: r.Class, Account: r.Account, WaitMillis: wait.Milliseconds(),
		WaitedMillis: waited.Milliseconds(), Exclude: r.Exclude,
	}
	reply, err := p.askOwner(ctx, key, ownerNode, q)
	if err == nil && reply.NotOwner && reply.Owner != "" && reply.Owner != ownerNode {
		reply, err = p.askOwner(ctx, key, reply.Owner, q)
	}
	if err == nil && reply.Address != "" && ctx.Err() == nil {
		started, _ := p.index().started(key, reply.Address)
		p.mu.Lock()
		m.address, m.warm, m.started = reply.Address, reply.Warm, started
		p.mu.Unlock()
		return m, reply, true
	}
	p.dropRequest(m, err != nil || reply.Address != "")
	return nil, reply, err == nil && !reply.NotOwner
}

func (p *Pools) askOwner(ctx context.Context, key poolKey, ownerNode string, q acquireParams) (acquireReply, error) {
	sent := time.Now()
	var reply acquireReply
	if ownerNode == p.config.Self {
		reply = p.owner(key).acquire(ctx, q)
	} else if err := p.call(ctx, ownerNode, methodAcquire, q, &reply); err != nil {
		return reply, err
	}
	p.noteReply(key, ownerNode, sent, reply.replyHeader)
	return reply, nil
}

// dropRequest ends a request that got no permit or whose caller left. With
// withdraw, it also withdraws the request from the owner, which may have granted a
// permit, for example when the reply was lost.
func (p *Pools) dropRequest(m *permit, withdraw bool) {
	p.mu.Lock()
	delete(p.held, m.id)
	p.mu.Unlock()
	if withdraw {
		p.report(m.key, result{ID: m.id, Outcome: evidence.Outcome{Kind: evidence.Cancelled}})
	}
}
