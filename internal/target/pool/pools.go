package pool

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"
)

// Periods of the background work of a node.
const (
	tickEvery = 50 * time.Millisecond
	// scanEvery is how often a node looks for pools whose lease it has acquired.
	scanEvery = 250 * time.Millisecond
	// keepAliveEvery is how often a node reports the permits that it holds.
	keepAliveEvery = 2 * time.Second
	// taskBuffer is the maximum number of tasks that wait to be started.
	taskBuffer = 1024
)

// Pools issues permits to the requests of one node and manages the pools that
// the node owns.
type Pools struct {
	config      Config
	indexMu     sync.Mutex
	cachedIndex atomic.Pointer[index]
	cachedNodes atomic.Pointer[nodeSet]
	lastID      atomic.Uint64 // of the permits of this process
	stopped     atomic.Bool
	tasks       chan func(ctx context.Context)
	flushSoon   chan struct{} // makes runOutboxes flush after releaseDelay
	flushNow    chan struct{} // makes runOutboxes flush at once

	mu          sync.Mutex
	owners      map[poolKey]*owner
	contacts    map[poolKey]*contact
	held        map[uint64]*permit // permits and pending requests, by ID
	outboxes    map[poolKey]*outbox
	unreachable map[string]time.Time // when a call to a node last failed
}

// New returns the Pools of a node. Run must be running before Acquire is called.
func New(c Config) *Pools {
	c.defaults()
	return &Pools{
		config:      c,
		tasks:       make(chan func(ctx context.Context), taskBuffer),
		flushSoon:   make(chan struct{}, 1),
		flushNow:    make(chan struct{}, 1),
		owners:      make(map[poolKey]*owner),
		contacts:    make(map[poolKey]*contact),
		held:        make(map[uint64]*permit),
		outboxes:    make(map[poolKey]*outbox),
		unreachable: make(map[string]time.Time),
	}
}

// LeaseName returns the name of the lease of a service's pool in a zone.
func LeaseName(service, zone string) string {
	return "pool/" + service + "/" + zone
}

// LeaseNames returns the sorted lease names of all pools: the listed pairs of a
// configured service and a zone.
func (p *Pools) LeaseNames() []string {
	x := p.index()
	var names []string
	for n, key := range x.keys {
		if _, _, ok := p.config.Configuration.Service(key.service); ok {
			names = append(names, x.names[n])
		}
	}
	return names
}

// Run performs the node's background work until ctx ends.
func (p *Pools) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.runTasks(ctx, g) })
	g.Go(func() error { return p.runTicks(ctx) })
	g.Go(func() error { return p.runOutboxes(ctx, g) })
	return g.Wait()
}

func (p *Pools) runTasks(ctx context.Context, g *errgroup.Group) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case task := <-p.tasks:
			g.Go(func() error {
				task(ctx)
				return nil
			})
		}
	}
}

// startTask runs a task in its own goroutine. It reports false when too many
// tasks wait to be started.
func (p *Pools) startTask(task func(ctx context.Context)) bool {
	select {
	case p.tasks <- task:
		return true
	default:
		return false
	}
}

func (p *Pools) runTicks(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var scanned time.Time
	for {
		now := time.Now()
		if now.Sub(scanned) >= scanEvery {
			scanned = now
			p.createOwners()
		}
		p.tickOwners(now)
		p.keepPermitsAlive(now)
		p.confirmStatic(now)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// createOwners creates the owner state of the pools whose lease this node holds.
func (p *Pools) createOwners() {
	x := p.index()
	for n, key := range x.keys {
		if _, ok := p.config.Leases.Holds(x.names[n]); ok {
			p.owner(key)
		}
	}
}

func (p *Pools) owner(key poolKey) *owner {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.owners[key]
	if o == nil {
		o = newOwner(p, key)
		p.owners[key] = o
	}
	return o
}

// existingOwner returns the owner state of a pool, or nil if this node has
// neither owned the pool nor been called for it.
func (p *Pools) existingOwner(key poolKey) *owner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owners[key]
}

func (p *Pools) tickOwners(now time.Time) {
	p.mu.Lock()
	owners := make([]*owner, 0, len(p.owners))
	for _, o := range p.owners {
		owners = append(owners, o)
	}
	p.mu.Unlock()
	for _, o := range owners {
		o.tick(now)
	}
}

func (p *Pools) stopping() bool { return p.stopped.Load() }

// notOwner returns the reply of a node that does not own the pool. It names the
// owner that this node knows of.
func (p *Pools) notOwner(key poolKey) replyHeader {
	ownerNode, ok := p.config.Leases.Holder(key.lease())
	if !ok || ownerNode == p.config.Self {
		ownerNode = ""
	}
	return replyHeader{NotOwner: true, Owner: ownerNode}
}

// Register registers the handlers of the messages between pools.
func (p *Pools) Register(h Handlers) {
	h.Handle(methodAcquire, handler(func(ctx context.Context, q acquireParams) (any, error) {
		return p.owner(poolKey{q.Service, q.Zone}).acquire(ctx, q), nil
	}))
	h.Handle(methodRelease, handler(func(_ context.Context, q releaseParams) (any, error) {
		return p.owner(poolKey{q.Service, q.Zone}).release(q), nil
	}))
	h.Handle(methodHeld, handler(func(_ context.Context, q heldParams) (any, error) {
		return p.holdings(q), nil
	}))
	h.Handle(methodState, handler(func(_ context.Context, q stateParams) (any, error) {
		return p.owner(poolKey{q.Service, q.Zone}).state(time.Duration(q.WindowMillis) * time.Millisecond), nil
	}))
	h.Handle(methodRelay, handler(p.relay))
}

// handler wraps the implementation of a method and decodes its parameters.
func handler[T any](handle func(ctx context.Context, params T) (any, error)) func(context.Context, string, json.RawMessage) (any, error) {
	return func(ctx context.Context, _ string, raw json.RawMessage) (any, error) {
		var params T
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, merry.Prepend(err, "Pools: decode call parameters")
		}
		return handle(ctx, params)
	}
}

// holdings returns what a new owner needs to know from this node. The node drops
// its view of the pool, and so takes no more static slots of it, because an owner
// is reachable again.
func (p *Pools) holdings(q heldParams) heldReply {
	key := poolKey{q.Service, q.Zone}
	r := heldReply{Incarnation: p.config.Incarnation}
	if o := p.existingOwner(key); o != nil && q.Owner != p.config.Self {
		r.Handover = o.recentHandover(time.Now())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, m := range p.held {
		if m.key == key && m.address != "" {
			r.Permits = append(r.Permits, heldPermit{ID: id, Address: m.address, Route: m.route, Class: m.class})
		}
	}
	c := p.contact(key)
	c.view = view{}
	now := time.Now()
	for address, h := range c.history {
		r.Recent = append(r.Recent, recentInstance{
			Address: address, Started: unixNano(h.started),
			WarmMillis: millisSince(now, h.warm), DoubtMillis: millisSince(now, h.doubt),
		})
	}
	return r
}

// millisSince returns the milliseconds since at, or 0 if at is zero. It adds 1 to
// the elapsed time because 0 stands for never.
func millisSince(now, at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at).Milliseconds() + 1
}

// Drain prepares for a planned stop. The pools that this node owns stop issuing
// permits, their state is saved for the next owners, and all outstanding outcomes
// are reported. It returns an error if ctx ends before that. The leases must be
// released afterwards.
func (p *Pools) Drain(ctx context.Context) error {
	p.stopped.Store(true)
	p.tickOwners(time.Now())
	for {
		p.wake(p.flushNow)
		if p.allReported() {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Prepend(ctx.Err(), "Pools.Drain: not all outcomes were reported")
		case <-time.After(tickEvery):
		}
	}
}
