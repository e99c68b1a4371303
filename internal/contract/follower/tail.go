package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

const (
	// readLimit is the maximum number of records of one read.
	readLimit = 1024
	// readTimeout is the timeout of one read. It leaves time for a retry before
	// the evidence expires after EvidenceLifetime.
	readTimeout = 2500 * time.Millisecond
	// readInterval is the minimum time between the starts of two reads that find no
	// records. It has no effect if the log delays the response to a read until
	// there are records.
	readInterval = time.Second
	// minBackOff and maxBackOff are the minimum and maximum of the exponential
	// back-off after failed reads, before jitter.
	minBackOff = 100 * time.Millisecond
	maxBackOff = 5 * time.Second
)

// tailLog reads and applies records until ctx ends.
func (f *Follower) tailLog(ctx context.Context) error {
	backOff := minBackOff
	for ctx.Err() == nil {
		begun := clock.Now()
		more, err := f.readOnce(ctx, begun)
		switch {
		case err != nil:
			f.pause(ctx, backOff/2+rand.N(backOff/2))
			backOff = min(2*backOff, maxBackOff)
		case !more:
			backOff = minBackOff
			f.pause(ctx, readInterval-clock.Elapsed(begun))
		default:
			backOff = minBackOff
		}
	}
	return nil
}

// pause waits for d, until readNow is called or until ctx ends.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

// readOnce reads from the log once and applies the records. more reports whether there
// may be more records, so that the next read should follow at once. begun is the time
// just before the read.
func (f *Follower) readOnce(ctx context.Context, begun clock.Mark) (more bool, err error) {
	from := f.ledger.Next()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := f.config.Log.Read(ctx, from, readLimit)
	if err == nil {
		err = checkBatch(batch, from)
	}
	var expired *journal.Expired
	if errors.As(err, &expired) && expired.Earliest() > from {
		f.handleExpired(expired.Earliest())
		return false, nil
	}
	if err != nil {
		f.recordReadFailure(begun, err)
		return false, merry.Prepend(err, "Follower.readOnce")
	}
	f.applyBatch(batch, begun)
	return len(batch.Records()) > 0, nil
}

// checkBatch returns an error if a batch does not begin at the offset from or has a gap.
// The error matches journal.ErrExpired or journal.ErrUnavailable.
func checkBatch(b journal.Batch, from journal.Offset) error {
	if b.Earliest() > from {
		return journal.NewExpired(b.Earliest())
	}
	for _, r := range b.Records() {
		if r.Offset() != from {
			return merry.Errorf("log returned offset %d, expected %d: %w", r.Offset(), from, journal.ErrUnavailable)
		}
		from++
	}
	if b.Next() != from {
		return merry.Errorf("log continues at offset %d, expected %d: %w", b.Next(), from, journal.ErrUnavailable)
	}
	return nil
}

// applyBatch applies the records of a successful read that began at begun.
func (f *Follower) applyBatch(batch journal.Batch, begun clock.Mark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordReadSuccess()
	f.earliest = 0
	for _, r := range batch.Records() {
		// The record may have been received from a peer in the meantime.
		if r.Offset() == f.ledger.Next() {
			f.applyRecord(r)
		}
	}
	if len(batch.Records()) > 0 {
		f.coverPeers()
	}
	if batch.AtTail() && f.ledger.Next() >= batch.Next() {
		f.tailReadAt = begun
		f.start("replayed the log to its tail")
	}
	f.notifyProgress()
}

// handleExpired makes the node stop serving if it has not applied records that have
// expired. earliest is the first offset that the log still has.
func (f *Follower) handleExpired(earliest journal.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordReadSuccess()
	if f.ledger.Next() >= earliest {
		return
	}
	if f.earliest == 0 {
		f.config.Logger.Warn("log records that this node has not applied have expired",
			zap.Int64("next", int64(f.ledger.Next())), zap.Int64("earliest", int64(earliest)))
	}
	f.earliest = earliest
	f.started = false
	f.notifyProgress()
}

// recordReadFailure reports the first of a series of failed reads. The read began at begun.
func (f *Follower) recordReadFailure(begun clock.Mark, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.readsFailedSince.IsZero() {
		return
	}
	f.readsFailedSince = begun
	f.config.Events.Record(event.LogLost{Reason: err.Error()})
	f.config.Logger.Warn("reading the log failed", zap.Error(err))
}

// recordReadSuccess reports that reads succeed again. The caller holds f.mu.
func (f *Follower) recordReadSuccess() {
	if f.readsFailedSince.IsZero() {
		return
	}
	outage := clock.Elapsed(f.readsFailedSince)
	f.readsFailedSince = clock.Mark{}
	f.config.Events.Record(event.LogFound{Missing: outage})
	f.config.Logger.Info("reading the log succeeds again", zap.Duration("missing", outage))
}

// applyRecord applies the record at the node's position and passes its result to the
// publications that wait for it. The caller holds f.mu.
func (f *Follower) applyRecord(r journal.Record) {
	result := f.ledger.Apply(r)
	f.recentRecords.add(r)
	f.reportRecord(r, result)
	if result.Change() == nil {
		return
	}
	if _, restated := result.Change().(ledger.Restatement); restated {
		return
	}
	id := result.Change().ID()
	for _, waiter := range f.waiters[id] {
		waiter <- result
	}
	delete(f.waiters, id)
}

// reportRecord records an event for a record and logs it.
func (f *Follower) reportRecord(r journal.Record, result ledger.Result) {
	if result.Change() == nil || result.Subject() == "" {
		f.config.Events.Record(event.RecordSkipped{Offset: int64(r.Offset()), Reason: result.Err().Error()})
		f.config.Logger.Error("log record skipped", zap.Int64("offset", int64(r.Offset())), zap.Error(result.Err()))
		return
	}
	if _, restated := result.Change().(ledger.Restatement); restated {
		return
	}
	id := result.Change().ID()
	if result.Err() != nil {
		f.config.Events.Record(event.ChangeRefused{
			Document: result.Subject(), ID: id, Offset: int64(r.Offset()), Reason: result.Err().Error(),
		})
		f.config.Logger.Info("change refused", zap.String("document", result.Subject()), zap.String("change", id), zap.Error(result.Err()))
		return
	}
	// A second record of a known change has no effect and is not reported. Neither
	// are records during the start, because a replay would fill the event ring.
	if result.Version() != r.Offset() || !f.started {
		return
	}
	f.config.Events.Record(event.ChangeApplied{
		Document: result.Subject(), ID: id, Version: int64(result.Version()), Delay: time.Since(r.Appended()),
	})
	f.config.Logger.Info("change applied", zap.String("document", result.Subject()), zap.String("change", id), zap.Int64("version", int64(result.Version())))
}
