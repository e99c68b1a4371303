package follower

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

const (
	// superviseInterval is how often a node checks whether it can start to serve
	// or must catch up with a snapshot from a peer.
	superviseInterval = 250 * time.Millisecond
	// snapshotTimeout is the timeout of one snapshot: 82,000 contracts are some
	// 40 MB.
	snapshotTimeout = 20 * time.Second
	// catchUpAfter is how long a peer may be ahead of a serving node before the
	// node requests a snapshot. Until then it relies on the log and the records in
	// heartbeats.
	catchUpAfter = 2 * time.Second
	// maxSnapshotTries is how many peers are asked for a snapshot in one round.
	maxSnapshotTries = 3
)

// start makes the node serve. rule describes the start rule that the node has met; it
// appears in the event and in the log line. The caller holds f.mu.
func (f *Follower) start(rule string) {
	if f.started {
		return
	}
	f.ledger.EndPartialReplay()
	f.started = true
	next := f.ledger.Next()
	f.config.Events.Record(event.NodeStarted{Rule: rule, Next: int64(next)})
	f.config.Logger.Info("node begins to serve", zap.String("rule", rule), zap.Int64("next", int64(next)))
}

// supervise lets the node catch up with a peer's snapshot when it can't get records
// otherwise, and starts it without the log when that is safe.
func (f *Follower) supervise(ctx context.Context) {
	f.mu.Lock()
	peers := f.servingPeersAhead()
	needSnapshot := f.needsSnapshot()
	f.mu.Unlock()
	for _, id := range peers {
		if !needSnapshot || f.mergeSnapshot(ctx, id) {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startPartialReplay()
	f.startWithoutLog()
}

// needsSnapshot reports whether the node lacks records that serving peers have and
// gets them neither from the log nor from heartbeats. The caller holds f.mu.
func (f *Follower) needsSnapshot() bool {
	if f.earliest > 0 {
		return true
	}
	if f.readsFailedSince.IsZero() {
		return false
	}
	for _, p := range f.peers {
		if len(p.aheadReports) > 0 && (!f.started || clock.Elapsed(p.aheadSince) > catchUpAfter) {
			return true
		}
	}
	return false
}

// servingPeersAhead returns up to maxSnapshotTries serving peers whose snapshot would
// advance this node. If the next record to apply has expired from the log, the snapshot
// must reach at least the log's earliest offset. The peers with the highest position come
// first. The caller holds f.mu.
func (f *Follower) servingPeersAhead() []string {
	minNext := max(f.ledger.Next()+1, f.earliest)
	var ids []string
	for id, p := range f.peers {
		if p.position.Serving && p.repliedRecently() && p.position.Next >= minNext {
			ids = append(ids, id)
		}
	}
	// Many nodes may start at once. The random order distributes their requests over
	// peers with the same position.
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	slices.SortStableFunc(ids, func(a, b string) int {
		return int(f.peers[b].position.Next - f.peers[a].position.Next)
	})
	return ids[:min(len(ids), maxSnapshotTries)]
}

// mergeSnapshot requests a peer's snapshot and merges it. It reports whether the snapshot
// advanced this node's position.
func (f *Follower) mergeSnapshot(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	sent := clock.Now()
	s, err := f.config.Peers.Snapshot(ctx, id)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			f.config.Logger.Info("requesting a snapshot from a peer failed", zap.String("peer", id), zap.Error(err))
		}
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.Position.Serving || s.Position.Next < f.earliest || s.Position.Next <= f.ledger.Next() {
		return false
	}
	f.ledger.Merge(s.Entries, s.Position.Next)
	f.recentRecords = buffer{}
	f.earliest = 0
	f.config.Events.Record(event.SnapshotMerged{Peer: id, Next: int64(s.Position.Next), Entries: len(s.Entries)})
	f.config.Logger.Info("snapshot merged", zap.String("peer", id), zap.Int64("next", int64(s.Position.Next)), zap.Int("entries", len(s.Entries)))
	p := f.peers[id]
	if p == nil {
		p = new(peer)
		f.peers[id] = p
	}
	p.recordReply(sent, s.Position, f.ledger.Next())
	f.coverPeers()
	f.notifyProgress()
	f.readNow()
	return true
}

// startPartialReplay lets the node replay a log whose older records have expired, if a
// quorum of nodes is starting and none is known to serve. Then the whole fleet is
// starting, and the restatements in the log include every document in force. The caller
// holds f.mu.
func (f *Follower) startPartialReplay() {
	if f.started || f.earliest <= f.ledger.Next() {
		return
	}
	if starting, serving := f.countReplies(); serving > 0 || starting+1 < f.config.Quorum() {
		return
	}
	f.config.Logger.Warn("no node serves; replaying the log from its earliest record", zap.Int64("earliest", int64(f.earliest)))
	f.ledger.BeginPartialReplay(f.earliest)
	f.earliest = 0
	f.readNow()
}

// countReplies counts the peers that replied within EvidenceLifetime: those that don't
// serve yet and those that do. The caller holds f.mu.
func (f *Follower) countReplies() (starting, serving int) {
	for _, p := range f.peers {
		switch {
		case !p.repliedRecently():
		case p.position.Serving:
			serving++
		default:
			starting++
		}
	}
	return starting, serving
}

// startWithoutLog makes the node serve if it can't read the log but has reached the
// positions of a quorum of serving peers. The node need not merge a snapshot from each of
// them, because a snapshot includes everything that one at a lower position includes. The
// caller holds f.mu.
func (f *Follower) startWithoutLog() {
	if f.started || f.readsFailedSince.IsZero() || f.earliest > 0 {
		return
	}
	quorum := f.config.Quorum()
	if _, found := f.quorumEvidence(quorum); found >= quorum {
		f.start(fmt.Sprintf("log unavailable, has all that %d serving nodes have", found))
	}
}
