// Package heartbeat exchanges what nodes report to each other regularly: the
// configuration position with missing records, and lease claims with votes.
//
// One message carries all of it, so that the number of messages between nodes
// does not grow with the number of mechanisms. A reply is evidence of the peer's
// state at the time when the request was sent.
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
	// Interval is the time between two heartbeats to one peer. Three of them fit
	// into a lease, so that one lost heartbeat does not end a lease.
	Interval = 1500 * time.Millisecond
	// callTimeout bounds one heartbeat. Evidence older than this is of little
	// use.
	callTimeout = 2 * time.Second
	// urgentDelay collects changes that follow each other closely, so that they
	// do not cause a heartbeat each.
	urgentDelay = 20 * time.Millisecond
	// maxRecords bounds the records in one message.
	maxRecords = 256
	// resetAfter is how many heartbeats in a row must fail before the connection
	// is dropped.
	resetAfter = 2
	// method is the name of the method that peers call.
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

// Mesh exchanges calls with other nodes.
type Mesh interface {
	Nodes() []roster.Node
	Call(ctx context.Context, node, method string, params, result any) error
	Handle(method string, h func(ctx context.Context, from string, params json.RawMessage) (any, error))
	Reset(node string)
}

// Config holds the dependencies of New.
type Config struct {
	Mesh     Mesh
	Follower Follower
	Leases   Leases
	// Logger is optional; nil disables logging.
	Logger *zap.Logger
}

// Heartbeat sends heartbeats to the peers and replies to theirs.
type Heartbeat struct {
	config Config

	mu      sync.Mutex
	peers   map[string]*peerState
	senders map[string]*senderState
	// replyNumber is the number of the last numbered payload sent in a reply. It
	// starts at random, so that a number from an earlier process on this VM is
	// not taken for one of this process.
	replyNumber uint64
}

// peerState is what this node knows of a node that it sends heartbeats to.
type peerState struct {
	// wake triggers a heartbeat before the interval is over.
	wake   chan struct{}
	cancel context.CancelFunc
	// position is what the peer last reported in a reply, and confirmedSent is
	// when the heartbeat that caused this reply was sent.
	position      follower.Position
	confirmedSent clock.Mark
	failures      int
	// confirmed is this node's state as the peer is known to hold it. received
	// is the last complete payload from the peer.
	confirmed numberedState
	received  numberedPayload
	// stateNumber is the number of the last numbered state sent to the peer.
	stateNumber uint64
}

// New returns a Heartbeat and registers its handler with the mesh.
func New(c Config) *Heartbeat {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	h := &Heartbeat{config: c, peers: make(map[string]*peerState), senders: make(map[string]*senderState)}
	h.replyNumber = uint64(rand.Uint32())
	c.Mesh.Handle(method, h.serve)
	return h
}

// Peer returns the position that a peer last reported, and the time since the
// heartbeat that it replied to was sent.
func (h *Heartbeat) Peer(node string) (position follower.Position, since time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[node]
	if p == nil || p.confirmedSent.IsZero() {
		return follower.Position{}, 0, false
	}
	return p.position, clock.Elapsed(p.confirmedSent), true
}

// serve handles another node's heartbeat.
func (h *Heartbeat) serve(_ context.Context, from string, params json.RawMessage) (any, error) {
	var r request
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, merry.Prepend(err, "heartbeat")
	}
	state, ok := h.resolveState(from, r)
	if !ok {
		return reply{Resend: true}, nil
	}
	// The zero mark says that the request proves nothing about the peer's
	// present state: it may have been in transit for long. The records in it
	// are valid at any time.
	h.config.Follower.Observe(from, clock.Mark{}, state.Position, r.Records)
	own := h.config.Follower.Position()
	if own.Next < state.Position.Next {
		h.trigger(from)
	}
	votes := h.config.Leases.Vote(from, state.Position.Incarnation, state.Claims)
	response := h.replyTo(from, r.Have, payload{Position: own, Votes: votes})
	response.Records = h.config.Follower.RecordsFrom(state.Position.Next, maxRecords)
	return response, nil
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

// wakeOnChange triggers heartbeats to all peers when there is something new to
// report.
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
			p.trigger()
		}
		h.mu.Unlock()
	}
}

func (p *peerState) trigger() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (h *Heartbeat) trigger(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.peers[node]; p != nil {
		p.trigger()
	}
}

// reconcile starts a loop for each new node on the VM list and ends the loops of
// nodes that are no longer on it.
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
		p := &peerState{wake: make(chan struct{}, 1), cancel: cancel, stateNumber: uint64(rand.Uint32())}
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
	// Entries of nodes that are not listed are removed here, because a
	// heartbeat that was in progress when its sender left the list creates a
	// new entry. A sender that is not listed yet loses its entry too and is
	// asked for its state again.
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
			if !sleep(ctx, urgentDelay) {
				return
			}
		}
		again := h.exchange(ctx, node, p)
		timer.Reset(Interval)
		if again {
			timer.Reset(urgentDelay)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// exchange sends one heartbeat and handles the reply. It returns true if the
// next heartbeat is due at once. That is the case if one message could not
// hold all records that one node has for the other, or if one of them lacks a
// state or payload that the other left out.
func (h *Heartbeat) exchange(ctx context.Context, node string, p *peerState) (again bool) {
	current := state{Position: h.config.Follower.Position(), Claims: h.config.Leases.Claims()}
	h.mu.Lock()
	r, number := p.request(current)
	next, known := p.position.Next, !p.confirmedSent.IsZero()
	h.mu.Unlock()
	if known && next < current.Position.Next {
		r.Records = h.config.Follower.RecordsFrom(next, maxRecords)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := clock.Now()
	var response reply
	if err := h.config.Mesh.Call(ctx, node, method, r, &response); err != nil {
		h.recordFailure(node, p, err)
		return false
	}
	h.mu.Lock()
	content, ok := p.accept(current, number, response)
	if ok {
		p.position, p.confirmedSent, p.failures = content.Position, sent, 0
	}
	h.mu.Unlock()
	if !ok {
		return true
	}
	h.config.Follower.Observe(node, sent, content.Position, response.Records)
	h.config.Leases.Count(node, sent, content.Votes)
	return len(response.Records) == maxRecords || len(r.Records) == maxRecords
}

func (h *Heartbeat) recordFailure(node string, p *peerState, err error) {
	h.mu.Lock()
	p.failures++
	drop := p.failures == resetAfter
	h.mu.Unlock()
	if !drop {
		return
	}
	h.config.Logger.Info("node does not reply to heartbeats; connection dropped", zap.String("node", node), zap.Error(err))
	h.config.Mesh.Reset(node)
}
