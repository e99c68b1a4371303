// Package follower keeps a node's configuration up to date: it applies the log
// in offset order, determines whether the configuration is recent enough for the
// node to take new work, and publishes changes.
//
// # Usage
//
//	f := follower.New(follower.Config{Log: log, Self: "vm-1", Quorum: quorum, Peers: peers})
//	group.Add("follower", f.Run)
//	if err := f.Fresh(); err != nil {
//		return err // refuse new work
//	}
//	receipt, err := f.Publish(ctx, ledger.NewZoneOut(ledger.NewID(), "north"))
//
// The package does not send heartbeats; its user does. The user replies to a peer's
// heartbeat with Position and RecordsFrom, and passes each reply that it receives to
// Observe:
//
//	sent := clock.Now()
//	reply := call(peer, "heartbeat", f.Position())
//	f.Observe(peer, sent, reply.Position, reply.Records)
//
// # Evidence
//
// A change is accepted once a quorum of q nodes has applied it at the same moment,
// where q is more than half of the declared fleet size. A node may take new work
// while it has evidence, younger than 4 s, that it has every accepted change: it
// read the log to its tail, or q nodes including itself reported positions that it
// has reached.
package follower

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

// Errors of a follower. Publish also returns ledger.ErrConflict,
// ledger.ErrInvalid and ledger.ErrKeyTaken.
var (
	// ErrStale reports a node without recent evidence that it has every accepted
	// change.
	ErrStale = merry.Sentinel("configuration may be out of date")
	// ErrUnavailable reports a change that was not made, because the node is not
	// fresh or the log is unavailable. It can be retried.
	ErrUnavailable = merry.Sentinel("configuration can't be changed now")
	// ErrUnknown reports a change that may have been made. The error is an *Unknown.
	ErrUnknown = merry.Sentinel("outcome of the change is unknown")
)

// Peers gives a follower access to the other nodes of the fleet.
type Peers interface {
	// IDs returns the names of the other nodes.
	IDs() []string
	// Snapshot requests a node's whole configuration.
	Snapshot(ctx context.Context, peer string) (Snapshot, error)
}

// Config holds the parameters of a follower.
type Config struct {
	// Log is the platform's log.
	Log journal.Log
	// Self is the node's name.
	Self string
	// Quorum returns ⌊n/2⌋+1 for the declared fleet size n.
	Quorum func() int
	// Peers gives access to the other nodes. Nil means that there are none.
	Peers Peers
	// Retention is how long the log keeps a record. Zero means that records never
	// expire.
	Retention time.Duration
	// Events records the follower's events. Nil records none.
	Events *event.Ring
	// Logger logs the follower's messages. Nil logs none.
	Logger *zap.Logger
}

// Follower keeps the configuration of one node up to date with the log.
type Follower struct {
	config            Config
	incarnation       string
	ledger            ledger.Ledger
	heartbeatRequests chan struct{} // see HeartbeatRequests
	wake              chan struct{} // ends the pause before the next read of the log

	mu                sync.Mutex
	started           bool           // whether the node serves: it has met a start rule
	tailReadAt        clock.Mark     // start of the newest read that reached the log's tail
	earliest          journal.Offset // the log's earliest offset if the next record to apply has expired, otherwise 0
	readsFailedSince  clock.Mark     // start of the first failed read since the last success, or zero
	recentRecords     buffer
	peers             map[string]*peer                // by node
	quorumMark        clock.Mark                      // time of the newest evidence from a quorum, see quorumEvidence
	refusingSince     clock.Mark                      // when reportFreshness found that the node began to refuse new work, or zero
	freshnessReported bool                            // whether reportFreshness has reported a state before
	waiters           map[string][]chan ledger.Result // by identity of the change
	progress          chan struct{}                   // closed and replaced when any of the fields above advances
}

// New returns a follower with an empty ledger. It does nothing before Run.
func New(c Config) *Follower {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Peers == nil {
		c.Peers = noPeers{}
	}
	return &Follower{
		config:            c,
		incarnation:       ledger.NewID(),
		heartbeatRequests: make(chan struct{}, 1),
		wake:              make(chan struct{}, 1),
		peers:             make(map[string]*peer),
		waiters:           make(map[string][]chan ledger.Result),
		progress:          make(chan struct{}),
	}
}

type noPeers struct{}

func (noPeers) IDs() []string { return nil }
func (noPeers) Snapshot(context.Context, string) (Snapshot, error) {
	return Snapshot{}, merry.Prepend(ErrUnavailable, "no peers")
}

// Run applies the log, catches up through peers and restates documents until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.tailLog(ctx) })
	g.Go(func() error { return f.runEvery(ctx, superviseInterval, f.supervise) })
	g.Go(func() error { return f.runEvery(ctx, freshnessReportInterval, f.reportFreshness) })
	if f.config.Retention > 0 {
		g.Go(func() error { return f.runEvery(ctx, restateInterval(f.config.Retention), f.restate) })
	}
	return g.Wait()
}

// runEvery calls step at an interval until ctx ends.
func (f *Follower) runEvery(ctx context.Context, interval time.Duration, step func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			step(ctx)
		}
	}
}

// Ledger returns the configuration. Run keeps updating it.
func (f *Follower) Ledger() *ledger.Ledger { return &f.ledger }

// HeartbeatRequests returns a channel that receives a value when this node publishes a
// change and heartbeats should be sent at once. Changes published on other nodes are
// received from the log and through the periodic heartbeats: at 1,100 nodes, a round of
// heartbeats from every node for every change would cost more than the periodic ones.
func (f *Follower) HeartbeatRequests() <-chan struct{} { return f.heartbeatRequests }

// Position returns how far the node has applied the log.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position()
}

func (f *Follower) position() Position {
	return Position{Next: f.ledger.Next(), Serving: f.started, Incarnation: f.incarnation}
}

// RecordsFrom returns at most limit records from the offset next on, or none if the
// node does not keep the record at that offset.
func (f *Follower) RecordsFrom(next journal.Offset, limit int) []Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recentRecords.from(next, limit)
}

// Snapshot returns the whole configuration.
func (f *Follower) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries, next := f.ledger.Entries()
	p := f.position()
	p.Next = next
	return Snapshot{Position: p, Entries: entries}
}

// requestHeartbeats requests heartbeats at once, through HeartbeatRequests.
func (f *Follower) requestHeartbeats() {
	select {
	case f.heartbeatRequests <- struct{}{}:
	default:
	}
}

// readNow ends the pause between two reads of the log.
func (f *Follower) readNow() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// notifyProgress wakes all goroutines in waitProgress. The caller holds f.mu.
func (f *Follower) notifyProgress() {
	close(f.progress)
	f.progress = make(chan struct{})
}

// waitProgress waits until progress is closed or ctx ends, for at most d. It reports
// whether d has elapsed.
func (f *Follower) waitProgress(ctx context.Context, progress <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-progress:
	case <-timer.C:
		return true
	}
	return false
}
