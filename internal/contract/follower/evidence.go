package follower

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

const (
	// EvidenceLifetime is how long evidence that a node has every accepted change
	// allows it to take new work. Together with the time that a change needs to
	// reach the nodes, it must stay below the 6 s within which a change is in force
	// everywhere.
	EvidenceLifetime = 4 * time.Second
	// freshnessReportInterval is the interval between two calls of reportFreshness.
	freshnessReportInterval = 250 * time.Millisecond
	// forgetAfter is how long the node keeps the state of a peer that does not
	// reply.
	forgetAfter = time.Minute
	// maxAheadReports limits the stored reports of a peer that are ahead of this
	// node's position.
	maxAheadReports = 8
)

// peer is the state that a node keeps about another node.
type peer struct {
	// sent is the time at which this node sent the newest heartbeat that the peer has
	// replied to.
	sent clock.Mark
	// position is the position in the reply to that heartbeat.
	position Position
	// coveredSent is the time at which this node sent the newest heartbeat whose reply
	// reported a position that this node has reached.
	coveredSent clock.Mark
	// aheadReports lists reports of positions ahead of this node's position, oldest
	// first.
	aheadReports []aheadReport
	// aheadSince is the time at which this node sent the heartbeat whose reply first
	// showed that the peer is ahead. It is zero if one of the peer's own heartbeats
	// showed this first. It is valid only while aheadReports is not empty.
	aheadSince clock.Mark
}

// aheadReport is a position that a peer reported in its reply to a heartbeat. sent is the
// time of the heartbeat, and next is the first offset that the peer had not applied.
type aheadReport struct {
	sent clock.Mark
	next journal.Offset
}

// recordReply records the position that the peer reported in its reply to a heartbeat.
// sent is the time of the heartbeat, and ownNext is this node's position.
func (p *peer) recordReply(sent clock.Mark, position Position, ownNext journal.Offset) {
	if newer(sent, p.sent) {
		p.sent = sent
		p.position = position
	}
	if !position.Serving {
		return
	}
	if len(p.aheadReports) == 0 {
		p.aheadSince = sent
	}
	p.aheadReports = append(p.aheadReports, aheadReport{sent: sent, next: position.Next})
	p.coverReports(ownNext)
	if len(p.aheadReports) > maxAheadReports {
		// Drops the oldest report: evidence from newer reports expires later.
		p.aheadReports = slices.Delete(p.aheadReports, 0, 1)
	}
}

// coverReports removes the reports of positions that the node has reached, and updates
// coveredSent from them. ownNext is this node's position.
func (p *peer) coverReports(ownNext journal.Offset) {
	p.aheadReports = slices.DeleteFunc(p.aheadReports, func(r aheadReport) bool {
		if r.next > ownNext {
			return false
		}
		if newer(r.sent, p.coveredSent) {
			p.coveredSent = r.sent
		}
		return true
	})
}

// repliedRecently reports whether the peer replied to a heartbeat sent within
// EvidenceLifetime.
func (p *peer) repliedRecently() bool { return clock.Elapsed(p.sent) < EvidenceLifetime }

// newer reports whether a is later than b.
func newer(a, b clock.Mark) bool { return clock.Elapsed(a) < clock.Elapsed(b) }

// Observe handles a peer's reply to a heartbeat: it uses the position as evidence and
// applies the records that this node lacks. sent is when the heartbeat was sent. For a
// heartbeat that the peer sent itself, sent is the zero mark: the position is then no
// evidence, because the message may have been delayed.
func (f *Follower) Observe(id string, sent clock.Mark, position Position, records []Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id == f.config.Self {
		return
	}
	for _, r := range records {
		// Records are applied in offset order without gaps, because each decision
		// depends on all earlier records.
		if r.Offset == f.ledger.Next() {
			f.applyRecord(journal.NewRecord(r.Offset, r.Appended, r.Payload))
		}
	}
	p := f.peers[id]
	if p == nil {
		p = new(peer)
		f.peers[id] = p
	}
	p.recordReply(sent, position, f.ledger.Next())
	if len(records) > 0 {
		f.coverPeers()
	}
	f.notifyProgress()
}

// coverPeers updates the evidence from the peers' reports after this node's position
// has advanced, and removes peers that have not replied for forgetAfter. The caller
// holds f.mu.
func (f *Follower) coverPeers() {
	next := f.ledger.Next()
	for id, p := range f.peers {
		p.coverReports(next)
		if clock.Elapsed(p.sent) > forgetAfter {
			delete(f.peers, id)
		}
	}
}

// Fresh returns nil if the node has recent evidence that it has every accepted
// change, and so may take new work. Otherwise the error matches ErrStale and names
// the missing evidence.
func (f *Follower) Fresh() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh()
}

// fresh is Fresh for callers that hold f.mu.
func (f *Follower) fresh() error {
	if !f.started {
		return merry.Prependf(ErrStale, "Follower.Fresh: node is starting at log offset %d", f.ledger.Next())
	}
	if clock.Elapsed(f.tailReadAt) < EvidenceLifetime || clock.Elapsed(f.quorumMark) < EvidenceLifetime {
		return nil
	}
	need := f.config.Quorum() - 1
	mark, found := f.quorumEvidence(need)
	if found >= need {
		f.quorumMark = mark
		return nil
	}
	return merry.Prependf(ErrStale, "Follower.Fresh: log not read to its tail for %s, and %d of %d nodes confirm offset %d",
		formatAge(f.tailReadAt), found+1, need+1, f.ledger.Next())
}

// quorumEvidence returns the number of peers that have confirmed this node's position
// within EvidenceLifetime. If there are at least need such peers, it also returns the
// time from which the lifetime of the quorum's evidence counts: the oldest among the need
// newest confirmations. The caller holds f.mu.
func (f *Follower) quorumEvidence(need int) (clock.Mark, int) {
	if need <= 0 {
		return clock.Now(), 0
	}
	type confirmation struct {
		mark clock.Mark
		age  time.Duration
	}
	var confirmations []confirmation
	for _, p := range f.peers {
		if age := clock.Elapsed(p.coveredSent); age < EvidenceLifetime {
			confirmations = append(confirmations, confirmation{mark: p.coveredSent, age: age})
		}
	}
	if len(confirmations) < need {
		return clock.Mark{}, len(confirmations)
	}
	slices.SortFunc(confirmations, func(a, b confirmation) int { return cmp.Compare(a.age, b.age) })
	return confirmations[need-1].mark, len(confirmations)
}

// formatAge formats the time since a mark for an error message.
func formatAge(m clock.Mark) string {
	if m.IsZero() {
		return "the whole run"
	}
	return clock.Elapsed(m).Round(time.Millisecond).String()
}

// InForce returns the nodes that are known to have applied a version, sorted. It omits
// peers that have not replied within EvidenceLifetime.
func (f *Follower) InForce(version ledger.Version) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, p := range f.peers {
		if p.hasApplied(version) && p.repliedRecently() {
			ids = append(ids, id)
		}
	}
	if f.started && f.ledger.Next() > version {
		ids = append(ids, f.config.Self)
	}
	slices.Sort(ids)
	return ids
}

// Missing returns the nodes that are not known to have applied a version, sorted. It
// considers this node and the nodes in Config.Peers, and omits those that InForce
// returns.
func (f *Follower) Missing(version ledger.Version) []string {
	confirmed := f.InForce(version)
	var ids []string
	for _, id := range append(f.config.Peers.IDs(), f.config.Self) {
		if !slices.Contains(confirmed, id) && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// hasApplied reports whether the peer's last reply shows that it has applied a version.
func (p *peer) hasApplied(version ledger.Version) bool {
	return p.position.Serving && p.position.Next > version
}

// reportFreshness records an event and writes a log line if the node has started or
// stopped taking new work since the previous call. The first call always reports the
// current state.
func (f *Follower) reportFreshness(context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.fresh()
	refusingSince := f.refusingSince
	switch {
	case err != nil && (refusingSince.IsZero() || !f.freshnessReported):
		f.refusingSince = clock.Now()
		f.config.Events.Record(event.FreshnessLost{Reason: err.Error()})
		f.config.Logger.Warn("node refuses new work", zap.Error(err))
	case err == nil && (!refusingSince.IsZero() || !f.freshnessReported):
		f.refusingSince = clock.Mark{}
		e := event.FreshnessGained{Next: int64(f.ledger.Next())}
		if !refusingSince.IsZero() {
			e.Refused = clock.Elapsed(refusingSince)
		}
		f.config.Events.Record(e)
		f.config.Logger.Info("node takes new work", zap.Int64("next", e.Next), zap.Duration("refused", e.Refused))
	}
	f.freshnessReported = true
}
