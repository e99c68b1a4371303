package heartbeat_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/contract/follower"
	"chestnutbay.dev/chestnutbay/internal/fleet/heartbeat"
	"chestnutbay.dev/chestnutbay/internal/fleet/lease"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
)

type handler = func(ctx context.Context, from string, params json.RawMessage) (any, error)

// network connects fake nodes. A cut stops messages in one direction.
type network struct {
	mu       sync.Mutex
	handlers map[string]handler
	cut      map[[2]string]bool
	delay    time.Duration
	nodes    []roster.Node
}

func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

func (n *network) passes(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[[2]string{from, to}]
}

type mesh struct {
	self    string
	network *network

	mu     sync.Mutex
	resets int
	calls  int
	bytes  int
}

func (m *mesh) Nodes() []roster.Node {
	var others []roster.Node
	for _, n := range m.network.nodes {
		if n.ID() != m.self {
			others = append(others, n)
		}
	}
	return others
}

func (m *mesh) Handle(_ string, h func(ctx context.Context, from string, params json.RawMessage) (any, error)) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	m.network.handlers[m.self] = h
}

func (m *mesh) Reset(string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resets++
}

func (m *mesh) Call(ctx context.Context, node, _ string, params, result any) error {
	m.mu.Lock()
	m.calls++
	m.mu.Unlock()
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	if !m.network.passes(m.self, node) {
		<-ctx.Done()
		return ctx.Err()
	}
	m.network.mu.Lock()
	h, delay := m.network.handlers[node], m.network.delay
	m.network.mu.Unlock()
	answer, err := h(ctx, m.self, raw)
	if err != nil {
		return err
	}
	<-time.After(delay)
	if !m.network.passes(node, m.self) {
		<-ctx.Done()
		return ctx.Err()
	}
	m.mu.Lock()
	m.bytes += len(raw)
	m.mu.Unlock()
	raw, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.bytes += len(raw)
	m.mu.Unlock()
	return json.Unmarshal(raw, result)
}

// configuration is a log position whose records are their own offsets.
type configuration struct {
	mu      sync.Mutex
	next    journal.Offset
	marks   []clock.Mark
	changed chan struct{}

	incarnation string
}

func (c *configuration) Position() follower.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return follower.Position{Next: c.next, Serving: true, Incarnation: c.incarnation}
}

func (c *configuration) RecordsFrom(next journal.Offset, limit int) []follower.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []follower.Record
	for o := next; o < c.next && len(list) < limit; o++ {
		list = append(list, follower.Record{Offset: o})
	}
	return list
}

func (c *configuration) Observe(_ string, sent clock.Mark, _ follower.Position, records []follower.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.marks = append(c.marks, sent)
	for _, r := range records {
		if r.Offset == c.next {
			c.next++
		}
	}
}

func (c *configuration) HeartbeatRequests() <-chan struct{} { return c.changed }

func (c *configuration) advance(by journal.Offset) {
	c.mu.Lock()
	c.next += by
	c.mu.Unlock()
	c.changed <- struct{}{}
}

type leases struct {
	mu    sync.Mutex
	votes map[string]int
}

func (*leases) Claims() lease.Claims { return lease.Claims{Names: []string{"account/01"}} }
func (l *leases) Vote(from, incarnation string, _ lease.Claims) lease.Votes {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.votes[from+"/"+incarnation]++
	return lease.Votes{}
}
func (*leases) Count(string, clock.Mark, lease.Votes) {}
func (*leases) Urgent() <-chan struct{}               { return nil }

type node struct {
	*mesh
	*configuration
	leases *leases
	beat   *heartbeat.Heartbeat
}

// run connects two nodes, runs steps in virtual time, and stops them.
func run(t *testing.T, steps func(a, b *node, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{handlers: make(map[string]handler), cut: make(map[[2]string]bool), nodes: []roster.Node{
			roster.NewNode("a", "", "north", false), roster.NewNode("b", "", "south", false),
		}}
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		var nodes []*node
		for _, id := range []string{"a", "b"} {
			x := &node{
				mesh:          &mesh{self: id, network: n},
				configuration: &configuration{changed: make(chan struct{}), incarnation: "first"},
				leases:        &leases{votes: make(map[string]int)},
			}
			x.beat = heartbeat.New(heartbeat.Config{Mesh: x.mesh, Follower: x.configuration, Leases: x.leases})
			nodes = append(nodes, x)
		}
		for _, x := range nodes {
			g.Go(func() error { return x.beat.Run(ctx) })
		}
		steps(nodes[0], nodes[1], n)
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against changes that wait for the next periodic heartbeat, and against
// a node far behind that gets one message of records per interval.
func TestChangesGoOutAtOnce(t *testing.T) {
	for _, records := range []journal.Offset{1, 256, 5000} {
		run(t, func(a, b *node, _ *network) {
			is := is.New(t)
			<-time.After(heartbeat.Interval / 2)
			a.advance(records)
			<-time.After(heartbeat.Interval / 2)
			is.Equal(b.Position().Next, records)
		})
	}
}

// Guards against evidence from a message of unknown age: only answers to own
// requests carry a mark, and it is the time of sending.
func TestOnlyAnswersAreEvidence(t *testing.T) {
	run(t, func(a, b *node, n *network) {
		is := is.New(t)
		<-time.After(2 * heartbeat.Interval)
		n.setCut("a", "b", true)
		<-time.After(10 * time.Second)
		a.configuration.mu.Lock()
		before := len(a.marks)
		a.configuration.mu.Unlock()
		b.advance(1)
		<-time.After(5 * time.Second)
		a.configuration.mu.Lock()
		defer a.configuration.mu.Unlock()
		is.True(len(a.marks) > before) // b's requests still arrive with records,
		for _, m := range a.marks[before:] {
			is.True(m.IsZero()) // but none counts as an answer.
		}
		is.Equal(a.next, journal.Offset(1))
	})
}

// Guards against a mark that dates from the answer instead of the request.
func TestMarkIsTheTimeOfSending(t *testing.T) {
	run(t, func(a, _ *node, n *network) {
		is := is.New(t)
		n.mu.Lock()
		n.delay = time.Second
		n.mu.Unlock()
		<-time.After(20 * time.Second)
		a.configuration.mu.Lock()
		defer a.configuration.mu.Unlock()
		for _, m := range a.marks {
			is.True(m.IsZero() || clock.Elapsed(m) >= time.Second)
		}
		position, since, ok := a.beat.Peer("b")
		is.True(ok)
		is.True(position.Serving)
		is.True(since >= time.Second)
	})
}

// Guards against a connection to a replaced VM that is kept for ever, and
// against a node that stops trying.
func TestSilentPeerIsReconnected(t *testing.T) {
	run(t, func(a, b *node, n *network) {
		is := is.New(t)
		n.setCut("b", "a", true)
		<-time.After(20 * time.Second)
		a.mesh.mu.Lock()
		is.Equal(a.resets, 1)
		a.mesh.mu.Unlock()
		n.setCut("b", "a", false)
		<-time.After(5 * time.Second)
		_, since, ok := a.beat.Peer("b")
		is.True(ok)
		is.True(since < 2*heartbeat.Interval)
		b.leases.mu.Lock()
		defer b.leases.mu.Unlock()
		is.True(b.leases.votes["a/first"] > 0) // Claims name the incarnation.
	})
}

// Guards against a restarted node that is taken to hold what its earlier process
// was told, and against answers of the earlier process that pass for new ones.
func TestRestartedPeerIsToldAgain(t *testing.T) {
	run(t, func(a, b *node, _ *network) {
		is := is.New(t)
		a.advance(3)
		<-time.After(5 * time.Second)
		again := &configuration{changed: make(chan struct{}), next: 1, incarnation: "second"}
		votes := &leases{votes: make(map[string]int)}
		heartbeat.New(heartbeat.Config{Mesh: b.mesh, Follower: again, Leases: votes})
		<-time.After(2 * heartbeat.Interval)
		is.Equal(again.Position().Next, journal.Offset(3)) // It got the missing records.
		votes.mu.Lock()
		is.True(votes.votes["a/first"] > 0)
		votes.mu.Unlock()
		position, _, ok := a.beat.Peer("b")
		is.True(ok)
		is.Equal(position.Incarnation, "second")
	})
}

// Guards against a heartbeat that repeats what the peer already holds.
func TestUnchangedStateIsLeftOut(t *testing.T) {
	run(t, func(a, _ *node, _ *network) {
		is := is.New(t)
		<-time.After(3 * heartbeat.Interval)
		a.mesh.mu.Lock()
		before := a.bytes
		a.mesh.mu.Unlock()
		<-time.After(10 * heartbeat.Interval)
		a.mesh.mu.Lock()
		defer a.mesh.mu.Unlock()
		is.True(a.bytes-before < 11*50) // Two numbers each way.
	})
}

// Guards against one heartbeat per change while many changes come at once.
func TestBurstOfChangesIsJoined(t *testing.T) {
	run(t, func(a, b *node, _ *network) {
		is := is.New(t)
		<-time.After(heartbeat.Interval / 2)
		a.mesh.mu.Lock()
		before := a.calls
		a.mesh.mu.Unlock()
		for range 100 {
			a.advance(1)
		}
		<-time.After(heartbeat.Interval / 4)
		a.mesh.mu.Lock()
		defer a.mesh.mu.Unlock()
		is.True(a.calls-before <= 3)
		is.Equal(b.Position().Next, journal.Offset(100))
	})
}

// Guards against a handler that takes a broken message for an empty one.
func TestBrokenMessageIsRefused(t *testing.T) {
	run(t, func(_, b *node, n *network) {
		is := is.New(t)
		_, err := n.handlers["b"](t.Context(), "a", json.RawMessage(`{"s":3}`))
		var syntax *json.UnmarshalTypeError
		is.True(errors.As(err, &syntax))
		is.Equal(b.Position().Next, journal.Offset(0))
	})
}
