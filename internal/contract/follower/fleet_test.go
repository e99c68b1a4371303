package follower_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/follower"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/platform/memorylog"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	latency           = time.Millisecond
	callTimeout       = 500 * time.Millisecond
	// inForceLimit is the longest time that an accepted change may take to reach every
	// node that takes new work.
	inForceLimit = 6 * time.Second
)

// fleet runs followers on one log and injects faults into their communication.
type fleet struct {
	t         *testing.T
	log       *memorylog.Log
	quorum    int
	retention time.Duration
	group     errgroup.Group

	mu    sync.Mutex
	nodes map[string]*node
	cuts  map[[2]string]bool

	heartbeatRounds int

	// Hooks that corrupt messages, to simulate faulty nodes. corruptReply changes the
	// replies to heartbeats, corruptSnapshot the snapshots and corruptPayload the
	// records that are appended.
	corruptReply    func(*follower.Position, *[]follower.Record)
	corruptSnapshot func(*follower.Snapshot)
	corruptPayload  func(*fleet, []byte) []byte
}

type node struct {
	*follower.Follower
	id     string
	events event.Ring
	log    *faultyLog
	cancel context.CancelFunc
	done   chan struct{}
}

// runFleet starts n nodes of a fleet with the given declared size in virtual time, waits
// until they serve, and stops them after the test.
func runFleet(t *testing.T, declared, n int, test func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, declared, 0)
		defer f.stopAll()
		for i := range n {
			f.start(i)
		}
		time.Sleep(3 * time.Second)
		test(f)
	})
}

func newFleet(t *testing.T, declared int, retention time.Duration) *fleet {
	return &fleet{
		t: t, log: memorylog.New(retention), quorum: declared/2 + 1, retention: retention,
		nodes: make(map[string]*node), cuts: make(map[[2]string]bool),
	}
}

func (f *fleet) quorumSize() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quorum
}

// update changes fields of the fleet while it runs.
func (f *fleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) rounds() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heartbeatRounds
}

func nodeName(i int) string { return fmt.Sprintf("vm-%d", i) }

func (f *fleet) start(i int, faults ...func(*faultyLog)) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{id: nodeName(i), log: &faultyLog{fleet: f}, cancel: cancel, done: make(chan struct{})}
	for _, fault := range faults {
		fault(n.log)
	}
	n.Follower = follower.New(follower.Config{
		Log: n.log, Self: n.id, Quorum: f.quorumSize, Peers: peersOf{fleet: f, self: n.id},
		Retention: f.retention, Events: &n.events,
	})
	f.mu.Lock()
	f.nodes[n.id] = n
	f.mu.Unlock()
	f.group.Go(func() error {
		defer close(n.done)
		g, ctx := errgroup.WithContext(ctx)
		g.Go(func() error { return n.Run(ctx) })
		g.Go(func() error { return f.heartbeats(ctx, n) })
		return g.Wait()
	})
	return n
}

func (f *fleet) stop(i int) {
	f.mu.Lock()
	n := f.nodes[nodeName(i)]
	delete(f.nodes, nodeName(i))
	f.mu.Unlock()
	n.cancel()
	<-n.done
}

func (f *fleet) stopAll() {
	for _, n := range f.sortedNodes() {
		n.cancel()
	}
	if err := f.group.Wait(); err != nil {
		f.t.Error(err)
	}
}

func (f *fleet) node(i int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[nodeName(i)]
}

func (f *fleet) sortedNodes() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*node
	for _, n := range f.nodes {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b *node) int {
		return len(a.id)*1000 - len(b.id)*1000 + int(a.id[len(a.id)-1]) - int(b.id[len(b.id)-1])
	})
	return list
}

// cut starts or stops losing the messages that one node sends to another.
func (f *fleet) cut(from, to int, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]string{nodeName(from), nodeName(to)}] = lost
}

// isolate starts or stops losing all messages between the nodes of a group and the nodes
// outside it. total is the number of nodes in the fleet.
func (f *fleet) isolate(group []int, total int, lost bool) {
	for _, a := range group {
		for b := range total {
			if !slices.Contains(group, b) {
				f.cut(a, b, lost)
				f.cut(b, a, lost)
			}
		}
	}
}

var errCallTimeout = merry.Sentinel("call timed out")

// call simulates a call from one node to another. It fails if the request or the reply is
// lost.
func (f *fleet) call(from, to string, serve func(*node)) error {
	lost := func(a, b string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.cuts[[2]string{a, b}] || f.nodes[to] == nil
	}
	if lost(from, to) {
		time.Sleep(callTimeout)
		return errCallTimeout
	}
	time.Sleep(latency)
	f.mu.Lock()
	n := f.nodes[to]
	f.mu.Unlock()
	if n == nil {
		return errCallTimeout
	}
	serve(n)
	time.Sleep(latency)
	if lost(to, from) {
		time.Sleep(callTimeout)
		return errCallTimeout
	}
	return nil
}

// heartbeats sends the heartbeats of a node to all others until ctx ends.
func (f *fleet) heartbeats(ctx context.Context, n *node) error {
	var g errgroup.Group
	defer g.Wait()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		f.mu.Lock()
		f.heartbeatRounds++
		f.mu.Unlock()
		for _, id := range (peersOf{fleet: f, self: n.id}).IDs() {
			g.Go(func() error {
				sent, next := clock.Now(), n.Position().Next
				var p follower.Position
				var records []follower.Record
				if f.call(n.id, id, func(peer *node) { p, records = peer.Position(), peer.RecordsFrom(next, 256) }) != nil {
					return nil
				}
				f.mu.Lock()
				corruptReply := f.corruptReply
				f.mu.Unlock()
				if corruptReply != nil {
					corruptReply(&p, &records)
				}
				n.Observe(id, sent, p, records)
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-n.HeartbeatRequests():
		}
	}
}

// peersOf implements follower.Peers for the node self.
type peersOf struct {
	fleet *fleet
	self  string
}

func (p peersOf) IDs() []string {
	var ids []string
	for _, n := range p.fleet.sortedNodes() {
		if n.id != p.self {
			ids = append(ids, n.id)
		}
	}
	return ids
}

func (p peersOf) Snapshot(_ context.Context, id string) (s follower.Snapshot, err error) {
	err = p.fleet.call(p.self, id, func(peer *node) {
		if wireErr := copyThroughJSON(peer.Snapshot(), &s); wireErr != nil {
			p.fleet.t.Error(wireErr)
		}
	})
	p.fleet.mu.Lock()
	corruptSnapshot := p.fleet.corruptSnapshot
	p.fleet.mu.Unlock()
	if corruptSnapshot != nil {
		corruptSnapshot(&s)
	}
	return s, err
}

// copyThroughJSON copies a message through its JSON form.
func copyThroughJSON(from, to any) error {
	data, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, to)
}

// faultyLog is one node's client of the log, with injected faults.
type faultyLog struct {
	fleet *fleet

	mu sync.Mutex
	// down makes the log unavailable to this node.
	down bool
	// loseResponses is the number of next appends that take effect but report
	// ErrUnknown.
	loseResponses int
	// loseRequests is the number of next appends that report ErrUnknown without an
	// effect.
	loseRequests int
	// appendDelay is the time before an append takes effect.
	appendDelay time.Duration
	// readDelay is the time from a read's execution to the node's receipt of the
	// response.
	readDelay time.Duration
}

func logDown(l *faultyLog) { l.down = true }

func (l *faultyLog) update(change func(*faultyLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *faultyLog) Append(ctx context.Context, payload []byte) (journal.Offset, error) {
	l.mu.Lock()
	down, delay := l.down, l.appendDelay
	loseRequest, loseResponse := l.loseRequests > 0, l.loseResponses > 0
	switch {
	case loseRequest:
		l.loseRequests--
	case loseResponse:
		l.loseResponses--
	}
	l.mu.Unlock()
	time.Sleep(latency + delay)
	if loseRequest {
		return 0, merry.Prepend(journal.ErrUnknown, "request lost")
	}
	if down {
		return 0, merry.Prepend(journal.ErrUnavailable, "down")
	}
	l.fleet.mu.Lock()
	corruptPayload := l.fleet.corruptPayload
	l.fleet.mu.Unlock()
	if corruptPayload != nil {
		payload = corruptPayload(l.fleet, payload)
	}
	offset, err := l.fleet.log.Append(ctx, payload)
	if loseResponse {
		return 0, merry.Prepend(journal.ErrUnknown, "response lost")
	}
	return offset, err
}

func (l *faultyLog) Read(ctx context.Context, from journal.Offset, limit int) (journal.Batch, error) {
	l.mu.Lock()
	down, delay := l.down, l.readDelay
	l.mu.Unlock()
	time.Sleep(latency)
	if down {
		return journal.Batch{}, merry.Prepend(journal.ErrUnavailable, "down")
	}
	batch, err := l.fleet.log.Read(ctx, from, limit)
	time.Sleep(delay)
	return batch, err
}

// setLogDown makes the log unavailable to nodes, or available again.
func (f *fleet) setLogDown(down bool, nodes ...int) {
	for _, i := range nodes {
		f.node(i).log.update(func(l *faultyLog) { l.down = down })
	}
}

func account(rate float64, keys ...contract.KeyHash) *contract.Contract {
	return contract.New("acme", rate, 10, keys, nil)
}

// publish publishes a change on node i and fails the test if it is not accepted.
func (f *fleet) publish(i int, c ledger.Change) follower.Receipt {
	f.t.Helper()
	r, err := f.node(i).Publish(context.Background(), c)
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

func zoneOut(zone string) ledger.Change { return ledger.NewZoneOut(ledger.NewID(), zone) }

// acceptedChange is a change that was reported as accepted, and when.
type acceptedChange struct {
	version ledger.Version
	at      time.Time
}

// staleNodes describes the nodes that take new work although they lack a change that was
// accepted more than inForceLimit ago.
func (f *fleet) staleNodes(changes []acceptedChange) []string {
	var stale []string
	for _, n := range f.sortedNodes() {
		for _, c := range changes {
			if time.Since(c.at) > inForceLimit && n.Ledger().Next() <= c.version && n.Fresh() == nil {
				stale = append(stale, fmt.Sprintf("%s at %d lacks %d", n.id, n.Ledger().Next(), c.version))
			}
		}
	}
	return stale
}

// freshNodes returns the names of the nodes that take new work, as formatted by fmt.
func (f *fleet) freshNodes() string {
	var ids []string
	for _, n := range f.sortedNodes() {
		if n.Fresh() == nil {
			ids = append(ids, n.id)
		}
	}
	return fmt.Sprint(ids)
}

// payloads returns the payloads of all records in the log.
func (f *fleet) payloads() []string {
	batch, err := f.log.Read(context.Background(), 0, 10000)
	if err != nil {
		f.t.Fatal(err)
	}
	var list []string
	for _, r := range batch.Records() {
		list = append(list, string(r.Payload()))
	}
	return list
}

// conflictOf returns the version in force that a conflict names, and whether err is a
// conflict.
func conflictOf(err error) (ledger.Version, bool) {
	var c *ledger.Conflict
	if !errors.As(err, &c) {
		return 0, false
	}
	return c.Current(), true
}
