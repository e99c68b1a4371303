// Package heartbeat carries what nodes tell each other all the time: the
// configuration position with missing records, and lease claims with votes.
//
// One message does for all of it, so that the number of messages between nodes
// does not grow with the number of mechanisms. The answer is evidence that
// dates from when the request was sent.
//
// # Usage
//
//	h := heartbeat.New(heartbeat.Config{
//		Mesh: mesh, Follower: follower, Leases: table,
//	})
//	group.Add("heartbeat", h.Run)
package heartbeat

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/contract/follower"
	"chestnutbay.dev/chestnutbay/internal/fleet/lease"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
)

const (
	// Interval is the time between two heartbeats to one peer. Three of them
	// fit into a lease, so that one lost heartbeat loses no lease.
	Interval = 1500 * time.Millisecond
	// callTimeout bounds one heartbeat. Evidence older than it is of little use.
	callTimeout = 2 * time.Second
	// urgentPause keeps a burst of changes from sending a heartbeat for each.
	urgentPause = 20 * time.Millisecond
	// maxRecords bounds the records in one message.
	maxRecords = 256
	// resetAfter is how many heartbeats in a row time out before the
	// connection is dropped.
	resetAfter = 2
	// method is the message's name between nodes.
	method = "heartbeat"
)

// Follower is the part of the configuration follower that a heartbeat carries.
type Follower interface {
	Position() follower.Position
	RecordsFrom(next journal.Offset, limit int) []follower.Record
	Observe(peer string, sent clock.Mark, p follower.Position, records []follower.Record)
	HeartbeatRequests() <-chan struct{}
}

// Leases is the part of the lease table that a heartbeat carries.
type Leases interface {
	Claims() lease.Claims
	Vote(from, incarnation string, c lease.Claims) lease.Votes
	Count(peer string, sent clock.Mark, v lease.Votes)
	Urgent() <-chan struct{}
}

// Mesh calls other nodes.
type Mesh interface {
	Nodes() []roster.Node
	Call(ctx context.Context, node, method string, params, result any) error
	Handle(method string, h func(ctx context.Context, from string, params json.RawMessage) (any, error))
	Reset(node string)
}

// Config is what heartbeats need.
type Config struct {
	Mesh     Mesh
	Follower Follower
	Leases   Leases
	// Logger may be nil.
	Logger *zap.Logger
}

// Heartbeat sends and answers heartbeats.
type Heartbeat struct {
	config Config

	mu      sync.Mutex
	peers   map[string]*peerState
	senders map[string]*senderState
	// numbers counts the answers given. It starts at random, so that a number of
	// an earlier process on this VM is not taken for one of this process.
	numbers uint64
}

type peerState struct {
	// wake asks for a heartbeat before the interval is over.
	wake   chan struct{}
	cancel context.CancelFunc
	// position is what the peer answered to the heartbeat that was sent at seen.
	position follower.Position
	seen     clock.Mark
	failures int
	// told is the state that the peer is known to hold, and answer the last
	// whole answer that came back.
	told   told
	answer answered
	// numbers counts the states sent to the peer.
	numbers uint64
}

// New returns heartbeats and registers their handler.
func New(c Config) *Heartbeat {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	h := &Heartbeat{config: c, peers: make(map[string]*peerState), senders: make(map[string]*senderState)}
	h.numbers = uint64(rand.Uint32())
	c.Mesh.Handle(method, h.serve)
	return h
}

// Peer returns a peer's last known position, and how long ago it answered.
func (h *Heartbeat) Peer(node string) (position follower.Position, since time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[node]
	if p == nil || p.seen.IsZero() {
		return follower.Position{}, 0, false
	}
	return p.position, clock.Elapsed(p.seen), true
}

// serve answers another node's heartbeat.
func (h *Heartbeat) serve(_ context.Context, from string, params json.RawMessage) (any, error) {
	var r request
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, merry.Prepend(err, "heartbeat")
	}
	state, ok := h.stateOf(from, r)
	if !ok {
		return reply{Resend: true}, nil
	}
	// A request proves nothing about the present: it may have been on its way
	// for long. Its records are facts at any time.
	h.config.Follower.Observe(from, clock.Mark{}, state.Position, r.Records)
	own := h.config.Follower.Position()
	if own.Next < state.Position.Next {
		h.wake(from)
	}
	votes := h.config.Leases.Vote(from, state.Position.Incarnation, state.Claims)
	answer := h.answerTo(from, r.Have, answer{Position: own, Votes: votes})
	answer.Records = h.config.Follower.RecordsFrom(state.Position.Next, maxRecords)
	return answer, nil
}

// Run sends heartbeats to every listed node until ctx ends.
func (h *Heartbeat) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.wakeOnChange(ctx) })
	g.Go(func() error {
		ticker := time.NewTicker(Interval)
		defer ticker.Stop()
		for {
			h.reconcile(ctx, g)
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
	return g.Wait()
}

// wakeOnChange sends heartbeats at once when there is something to tell.
func (h *Heartbeat) wakeOnChange(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.config.Follower.HeartbeatRequests():
		case <-h.config.Leases.Urgent():
		}
		h.mu.Lock()
		for _, p := range h.peers {
			p.signal()
		}
		h.mu.Unlock()
	}
}

func (p *peerState) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (h *Heartbeat) wake(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.peers[node]; p != nil {
		p.signal()
	}
}

// reconcile starts a loop for each new node on the VM list and ends the loops
// of nodes that left it.
func (h *Heartbeat) reconcile(ctx context.Context, g *errgroup.Group) {
	nodes := h.config.Mesh.Nodes()
	listed := make(map[string]bool, len(nodes))
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range nodes {
		listed[n.ID()] = true
		if h.peers[n.ID()] != nil {
			continue
		}
		peerCtx, cancel := context.WithCancel(ctx)
		p := &peerState{wake: make(chan struct{}, 1), cancel: cancel, numbers: uint64(rand.Uint32())}
		h.peers[n.ID()] = p
		g.Go(func() error {
			h.loop(peerCtx, n.ID(), p)
			return nil
		})
	}
	for id, p := range h.peers {
		if !listed[id] {
			p.cancel()
			delete(h.peers, id)
		}
	}
	// A heartbeat that was under way when its sender left the list would leave an
	// entry for ever. A sender that is not listed yet is asked for its state again.
	for id := range h.senders {
		if !listed[id] {
			delete(h.senders, id)
		}
	}
}

func (h *Heartbeat) loop(ctx context.Context, node string, p *peerState) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-p.wake:
			if !pause(ctx, urgentPause) {
				return
			}
		}
		behind := h.beat(ctx, node, p)
		timer.Reset(Interval)
		if behind {
			timer.Reset(urgentPause)
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// beat exchanges one heartbeat. It reports whether the next one is due at once:
// one of the two nodes is behind the other by more records than a message holds,
// or does not hold what the other left out.
func (h *Heartbeat) beat(ctx context.Context, node string, p *peerState) (behind bool) {
	now := state{Position: h.config.Follower.Position(), Claims: h.config.Leases.Claims()}
	h.mu.Lock()
	r, number := p.request(now)
	next, known := p.position.Next, !p.seen.IsZero()
	h.mu.Unlock()
	if known && next < now.Position.Next {
		r.Records = h.config.Follower.RecordsFrom(next, maxRecords)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := clock.Now()
	var back reply
	if err := h.config.Mesh.Call(ctx, node, method, r, &back); err != nil {
		h.failed(node, p, err)
		return false
	}
	h.mu.Lock()
	answer, ok := p.accept(now, number, back)
	if ok {
		p.position, p.seen, p.failures = answer.Position, sent, 0
	}
	h.mu.Unlock()
	if !ok {
		return true
	}
	h.config.Follower.Observe(node, sent, answer.Position, back.Records)
	h.config.Leases.Count(node, sent, answer.Votes)
	return len(back.Records) == maxRecords || len(r.Records) == maxRecords
}

func (h *Heartbeat) failed(node string, p *peerState, err error) {
	h.mu.Lock()
	p.failures++
	reset := p.failures == resetAfter
	h.mu.Unlock()
	if !reset {
		return
	}
	h.config.Logger.Info("node does not answer heartbeats; connection dropped", zap.String("node", node), zap.Error(err))
	h.config.Mesh.Reset(node)
}
