package feed

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Run follows all topics until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, t := range topics {
		group.Go(func() error {
			f.follow(ctx, t)
			return nil
		})
	}
	return group.Wait()
}

// follow keeps one topic up to date until ctx ends: it reads whenever this VM's turn
// has come or this VM is behind.
func (f *Feed) follow(ctx context.Context, t Topic) {
	for ctx.Err() == nil {
		f.awaitTurn(ctx, t)
		if ctx.Err() != nil {
			return
		}
		if !f.catchUp(ctx, t) {
			sleep(ctx, retryDelay)
		}
	}
}

// awaitTurn waits until this VM should read the topic: until its turn has come or another
// VM is known to be ahead. Meanwhile it applies held removals that are due.
func (f *Feed) awaitTurn(ctx context.Context, t Topic) {
	for {
		wait := f.untilTurn(t)
		if wait <= 0 {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-f.wake[t]:
			timer.Stop()
			if f.isBehind(t) { // The records may have arrived in an announcement since.
				return
			}
		case <-timer.C:
		}
		f.mu.Lock()
		f.applyDueRemovals(t, time.Now())
		f.mu.Unlock()
	}
}

// untilTurn returns the time until it is this VM's turn to read the topic, or 0 or less
// if the read is due.
func (f *Feed) untilTurn(t Topic) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := &f.topics[t]
	if !state.loaded {
		return 0
	}
	return time.Until(state.verified.Add(readPeriod + turnDelay(f.config.Rank(t.String()))))
}

// isBehind reports whether another VM is known to have read further, or this VM has not
// loaded the topic yet.
func (f *Feed) isBehind(t Topic) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := &f.topics[t]
	return !state.loaded || state.announcedNext > state.next
}

// catchUp brings the topic up to date and reports whether that succeeded. A VM that has
// just started asks the store and the other VMs at the same time, or the other VMs first
// if StartFromPeers is set. A VM that is behind asks the other VMs first if the missing
// records are few and small, as those of Instances are, or if it is not one of its zone's
// readers. If its last read of the store failed, it asks the store and the other VMs at
// the same time.
func (f *Feed) catchUp(ctx context.Context, t Topic) bool {
	f.mu.Lock()
	state := &f.topics[t]
	behind := !state.loaded || state.announcedNext > state.next
	loaded, storeFailed := state.loaded, state.lastReadFailed
	f.mu.Unlock()
	switch {
	case !behind:
		return f.readStore(ctx, t)
	case storeFailed:
		return f.askAll(ctx, t)
	case !loaded && !f.config.StartFromPeers:
		return f.askAll(ctx, t)
	case !loaded:
		return f.askPeers(ctx, t) || f.askAll(ctx, t)
	case t == Instances || !f.isZoneReader(t):
		return f.askPeers(ctx, t) || f.readStore(ctx, t)
	default:
		return f.readStore(ctx, t) || f.askPeers(ctx, t)
	}
}

// askAll asks the store and the other VMs at the same time. It reports whether one of them
// supplied the topic, and then does not wait for the other.
func (f *Feed) askAll(ctx context.Context, t Topic) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	var supplied atomic.Bool
	for _, ask := range []func(context.Context, Topic) bool{f.askPeers, f.readStore} {
		group.Go(func() error {
			if ask(ctx, t) {
				supplied.Store(true)
				cancel()
			}
			return nil
		})
	}
	group.Wait() //nolint:errcheck // The functions return nil.
	return supplied.Load()
}

// isZoneReader reports whether this VM reads a change from the store if no announcement
// carries it.
func (f *Feed) isZoneReader(t Topic) bool {
	return f.config.ZoneRank == nil || f.config.ZoneRank(t.String()) < ZoneReaders
}

// readStore brings the topic up to date from the store, announces the result and reports
// whether the store answered.
func (f *Feed) readStore(parent context.Context, t Topic) bool {
	f.mu.Lock()
	from, loaded := f.topics[t].next, f.topics[t].loaded
	f.reads++
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(parent, readTimeout)
	defer cancel()
	began := time.Now()
	var records []Record
	var next int64
	err := ErrExpired
	if loaded {
		records, next, err = f.config.Source.Read(ctx, t, from)
	}
	fullListing := false
	if errors.Is(err, ErrExpired) {
		fullListing = true
		ctx, cancel := context.WithTimeout(parent, listTimeout)
		defer cancel()
		records, next, err = f.config.Source.Newest(ctx, t)
	}
	if err != nil {
		if parent.Err() == nil {
			f.readFailed(t, err)
		}
		return false
	}
	f.readSucceeded(t, from, records, next, began, fullListing)
	return true
}

// readSucceeded applies and announces the result of a read that began at the given time
// and offset. fullListing reports that records is a listing of the entire topic.
func (f *Feed) readSucceeded(t Topic, from int64, records []Record, next int64, began time.Time, fullListing bool) {
	f.mu.Lock()
	state := &f.topics[t]
	if state.lastReadFailed {
		state.lastReadFailed = false
		f.config.Logger.Info("store answers again", zap.Stringer("topic", t), zap.Duration("proof_age", time.Since(state.verified)))
	}
	state.recordProof(began)
	before := state.next
	if fullListing {
		f.replace(t, records, next)
		// A listing lacks older records and removals. A VM that has read up to an
		// offset in between may hold a record that nothing in the listing replaces, so
		// the listing cannot be part of an announcement's records.
		state.history = history{}
	} else {
		f.apply(t, records, next)
	}
	f.logAdvance("read", t, before, len(records), zap.Int64("read_from", from))
	if began.After(state.announcedAt) {
		// The store ends there. A higher offset was announced by mistake.
		state.announcedNext = min(state.announcedNext, state.next)
	}
	firstLoad := !state.loaded
	state.loaded = true
	state.signalAdvance()
	f.applyDueRemovals(t, time.Now())
	state.sweep(time.Now())
	a := Announcement{Topic: t, Next: state.next, Complete: !fullListing}
	a.From, a.Records = state.history.since(from, state.next, time.Now())
	f.mu.Unlock()
	if firstLoad {
		f.config.Logger.Info("topic loaded", zap.Stringer("topic", t), zap.Int("records", len(records)), zap.Int64("next", next))
	}
	a.Age = time.Since(began)
	for _, part := range splitAnnouncement(a) {
		f.config.Announce(part)
	}
}

// readFailed records a failed read and logs the first one after a success.
func (f *Feed) readFailed(t Topic, err error) {
	f.mu.Lock()
	state := &f.topics[t]
	firstFailure := !state.lastReadFailed
	state.lastReadFailed = true
	age := time.Since(state.verified)
	f.mu.Unlock()
	if firstFailure {
		f.config.Logger.Warn("store does not answer", zap.Stringer("topic", t), zap.Duration("proof_age", age), zap.Error(err))
	}
}

// askPeers merges the state of another VM that holds the missing records. It reports
// whether one of the VMs asked had them.
func (f *Feed) askPeers(ctx context.Context, t Topic) bool {
	if f.config.Peers == nil {
		return false
	}
	f.mu.Lock()
	state := &f.topics[t]
	q := Query{Topic: t, From: state.next, MinNext: state.announcedNext, AnnouncedBy: state.announcedBy, Spread: t == Configuration && state.loaded && !state.lastReadFailed, Start: !state.loaded}
	f.mu.Unlock()
	timeout := callTimeout
	if q.Spread {
		timeout = spreadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked := time.Now()
	s, err := f.config.Peers.State(ctx, q)
	if err != nil {
		f.config.Logger.Log(logLevel(t), "no other VM supplied the topic", zap.Stringer("topic", t), zap.Int64("from", q.From),
			zap.Int64("min_next", q.MinNext), zap.Duration("took", time.Since(asked)), zap.Error(err))
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Full {
		f.replace(t, s.Records, s.Next)
	} else {
		f.apply(t, s.Records, s.Next)
	}
	if s.Age > 0 && s.Next == state.next {
		// This VM need not read the store to see that it has everything.
		state.recordProof(asked.Add(s.Waited - s.Age))
	}
	state.history = history{} // The state lacks replaced records, so the steps have a gap.
	state.loaded = true
	state.signalAdvance()
	f.config.Logger.Info("topic taken from another VM", zap.Stringer("topic", t), zap.Int64("from", q.From), zap.Int64("next", s.Next),
		zap.Int("records", len(s.Records)), zap.String("announced_by", q.AnnouncedBy))
	return true
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
