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

// network connects fake nodes.
type network struct {
	mu       sync.Mutex
	handlers map[string]handler
	cuts     map[[2]string]bool
	delay    time.Duration
	nodes    []roster.Node
}

func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = cut
}

func (n *network) passes(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cuts[[2]string{from, to}]
}

// fakeMesh connects one node to the network and counts its calls.
type fakeMesh struct {
	self    string
	network *network

	mu     sync.Mutex
	resets int
	calls  int
	bytes  int
}

func (m *fakeMesh) Nodes() []roster.Node {
	var others []roster.Node
	for _, n := range m.network.nodes {
		if n.ID() != m.self {
			others = append(others, n)
		}
	}
	return others
}

func (m *fakeMesh) Handle(_ string, h func(ctx context.Context, from string, params json.RawMessage) (any, error)) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	m.network.handlers[m.self] = h
}

func (m *fakeMesh) Reset(string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resets++
}

func (m *fakeMesh) Call(ctx context.Context, node, _ string, params, result any) error {
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
	response, err := h(ctx, m.self, raw)
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
	raw, err = json.Marshal(response)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.bytes += len(raw)
	m.mu.Unlock()
	return json.Unmarshal(raw, result)
}

// fakeFollower is a follower whose records consist of their offsets only.
type fakeFollower struct {
	mu      sync.Mutex
	next    journal.Offset
	marks   []clock.Mark
	changed chan struct{}

	incarnation string
}

func (c *fakeFollower) Position() follower.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return follower.Position{Next: c.next, Serving: true, Incarnation: c.incarnation}
}

func (c *fakeFollower) RecordsFrom(next journal.Offset, limit int) []follower.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []follower.Record
	for o := next; o < c.next && len(list) < limit; o++ {
		list = append(list, follower.Record{Offset: o})
	}
	return list
}

func (c *fakeFollower) Observe(_ string, sent clock.Mark, _ follower.Position, records []follower.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.marks = append(c.marks, sent)
	for _, r := range records {
		if r.Offset == c.next {
			c.next++
		}
	}
}

func (c *fakeFollower) HeartbeatRequests() <-chan struct{} { return c.changed }

func (c *fakeFollower) advance(by journal.Offset) {
	c.mu.Lock()
	c.next += by
	c.mu.Unlock()
	c.changed <- struct{}{}
}

type fakeLeases struct {
	mu    sync.Mutex
	votes map[string]int
}

func (*fakeLeases) Claims() lease.Claims { return lease.Claims{Names: []string{"account/01"}} }
func (l *fakeLeases) Vote(from, incarnation string, _ lease.Claims) lease.Votes {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.votes[from+"/"+incarnation]++
	return lease.Votes{}
}
func (*fakeLeases) Count(string, clock.Mark, lease.Votes) {}
func (*fakeLeases) Urgent() <-chan struct{}               { return nil }

type node struct {
	*fakeMesh
	*fakeFollower
	leases    *fakeLeases
	heartbeat *heartbeat.Heartbeat
}

// runTwoNodes connects two nodes, runs steps in virtual time, and stops the nodes.
func runTwoNodes(t *testing.T, steps func(a, b *node, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{handlers: make(map[string]handler), cuts: make(map[[2]string]bool), nodes: []roster.Node{
			roster.NewNode("a", "", "north", false), roster.NewNode("b", "", "south", false),
		}}
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		var nodes []*node
		for _, id := range []string{"a", "b"} {
			x := &node{
				fakeMesh:     &fakeMesh{self: id, network: n},
				fakeFollower: &fakeFollower{changed: make(chan struct{}), incarnation: "first"},
				leases:       &fakeLeases{votes: make(map[string]int)},
			}
			x.heartbeat = heartbeat.New(heartbeat.Config{Mesh: x.fakeMesh, Follower: x.fakeFollower, Leases: x.leases})
			nodes = append(nodes, x)
		}
		for _, x := range nodes {
			g.Go(func() error { return x.heartbeat.Run(ctx) })
		}
		steps(nodes[0], nodes[1], n)
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// TestChangesGoOutAtOnce guards against changes that wait for the next periodic
// heartbeat, and against a node far behind that gets only one message of records
// per interval.
func TestChangesGoOutAtOnce(t *testing.T) {
	for _, records := range []journal.Offset{1, 256, 5000} {
		runTwoNodes(t, func(a, b *node, _ *network) {
			is := is.New(t)
			<-time.After(heartbeat.Interval / 2)
			a.advance(records)
			<-time.After(heartbeat.Interval / 2)
			is.Equal(b.Position().Next, records)
		})
	}
}

// TestOnlyRepliesAreEvidence guards against evidence from a message of unknown
// age: only replies to a node's own requests carry a mark, the time when the
// request was sent.
func TestOnlyRepliesAreEvidence(t *testing.T) {
	runTwoNodes(t, func(a, b *node, n *network) {
		is := is.New(t)
		<-time.After(2 * heartbeat.Interval)
		n.setCut("a", "b", true)
		<-time.After(10 * time.Second)
		a.fakeFollower.mu.Lock()
		before := len(a.marks)
		a.fakeFollower.mu.Unlock()
		b.advance(1)
		<-time.After(5 * time.Second)
		a.fakeFollower.mu.Lock()
		defer a.fakeFollower.mu.Unlock()
		is.True(len(a.marks) > before) // b's requests still arrive, with records,
		for _, m := range a.marks[before:] {
			is.True(m.IsZero()) // but none counts as a reply.
		}
		is.Equal(a.next, journal.Offset(1))
	})
}

// TestMarkIsTheTimeOfSending guards against a mark that dates from the reply
// instead of the request.
func TestMarkIsTheTimeOfSending(t *testing.T) {
	runTwoNodes(t, func(a, _ *node, n *network) {
		is := is.New(t)
		n.mu.Lock()
		n.delay = time.Second
		n.mu.Unlock()
		<-time.After(20 * time.Second)
		a.fakeFollower.mu.Lock()
		defer a.fakeFollower.mu.Unlock()
		for _, m := range a.marks {
			is.True(m.IsZero() || clock.Elapsed(m) >= time.Second)
		}
		position, since, ok := a.heartbeat.Peer("b")
		is.True(ok)
		is.True(position.Serving)
		is.True(since >= time.Second)
	})
}

// TestUnresponsivePeerIsReconnected guards against a connection to a replaced VM
// that is never closed, and against a node that stops trying to reconnect.
func TestUnresponsivePeerIsReconnected(t *testing.T) {
	runTwoNodes(t, func(a, b *node, n *network) {
		is := is.New(t)
		n.setCut("b", "a", true)
		<-time.After(20 * time.Second)
		a.fakeMesh.mu.Lock()
		is.Equal(a.resets, 1)
		a.fakeMesh.mu.Unlock()
		n.setCut("b", "a", false)
		<-time.After(5 * time.Second)
		_, since, ok := a.heartbeat.Peer("b")
		is.True(ok)
		is.True(since < 2*heartbeat.Interval)
		b.leases.mu.Lock()
		defer b.leases.mu.Unlock()
		is.True(b.leases.votes["a/first"] > 0) // claims carry the incarnation
	})
}

// TestRestartedPeerGetsFullState guards against a restarted node that is assumed
// to hold what its earlier process received, and against replies of the earlier
// process that are taken for new ones.
func TestRestartedPeerGetsFullState(t *testing.T) {
	runTwoNodes(t, func(a, b *node, _ *network) {
		is := is.New(t)
		a.advance(3)
		<-time.After(5 * time.Second)
		restarted := &fakeFollower{changed: make(chan struct{}), next: 1, incarnation: "second"}
		restartedLeases := &fakeLeases{votes: make(map[string]int)}
		heartbeat.New(heartbeat.Config{Mesh: b.fakeMesh, Follower: restarted, Leases: restartedLeases})
		<-time.After(2 * heartbeat.Interval)
		is.Equal(restarted.Position().Next, journal.Offset(3)) // it received the missing records
		restartedLeases.mu.Lock()
		is.True(restartedLeases.votes["a/first"] > 0)
		restartedLeases.mu.Unlock()
		position, _, ok := a.heartbeat.Peer("b")
		is.True(ok)
		is.Equal(position.Incarnation, "second")
	})
}

// TestUnchangedStateIsLeftOut guards against heartbeats that repeat what the peer
// already holds.
func TestUnchangedStateIsLeftOut(t *testing.T) {
	runTwoNodes(t, func(a, _ *node, _ *network) {
		is := is.New(t)
		<-time.After(3 * heartbeat.Interval)
		a.fakeMesh.mu.Lock()
		before := a.bytes
		a.fakeMesh.mu.Unlock()
		<-time.After(10 * heartbeat.Interval)
		a.fakeMesh.mu.Lock()
		defer a.fakeMesh.mu.Unlock()
		is.True(a.bytes-before < 11*50) // two numbers each way
	})
}

// TestBurstOfChangesIsCombined guards against one heartbeat per change when many
// changes occur at once.
func TestBurstOfChangesIsCombined(t *testing.T) {
	runTwoNodes(t, func(a, b *node, _ *network) {
		is := is.New(t)
		<-time.After(heartbeat.Interval / 2)
		a.fakeMesh.mu.Lock()
		before := a.calls
		a.fakeMesh.mu.Unlock()
		for range 100 {
			a.advance(1)
		}
		<-time.After(heartbeat.Interval / 4)
		a.fakeMesh.mu.Lock()
		defer a.fakeMesh.mu.Unlock()
		is.True(a.calls-before <= 3)
		is.Equal(b.Position().Next, journal.Offset(100))
	})
}

// TestMalformedMessageIsRefused guards against a handler that takes a malformed
// message for an empty one.
func TestMalformedMessageIsRefused(t *testing.T) {
	runTwoNodes(t, func(_, b *node, n *network) {
		is := is.New(t)
		_, err := n.handlers["b"](t.Context(), "a", json.RawMessage(`{"s":3}`))
		var syntax *json.UnmarshalTypeError
		is.True(errors.As(err, &syntax))
		is.Equal(b.Position().Next, journal.Offset(0))
	})
}
