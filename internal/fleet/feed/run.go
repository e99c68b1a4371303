package feed

import (
	"context"
	"errors"
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

// follow reads one topic whenever this VM's turn has come.
func (f *Feed) follow(ctx context.Context, t Topic) {
	for ctx.Err() == nil {
		f.await(ctx, t)
		if ctx.Err() != nil {
			return
		}
		if f.asksFirst(ctx, t) && f.ask(ctx, t) || f.read(ctx, t) {
			continue
		}
		if f.isBehind(t) {
			f.ask(ctx, t)
		}
		sleep(ctx, retryDelay)
	}
}

// await waits until this VM should read the topic: when its turn has come, or when
// another VM is known to be ahead.
func (f *Feed) await(ctx context.Context, t Topic) {
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
		case <-f.kick[t]:
			timer.Stop()
			if f.isBehind(t) { // The records may have come by another way.
				return
			}
		case <-timer.C:
		}
		f.mu.Lock()
		f.expire(t, time.Now())
		f.mu.Unlock()
	}
}

// untilTurn returns how long this VM leaves the next read to others.
func (f *Feed) untilTurn(t Topic) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &f.topics[t]
	if !p.loaded {
		return 0
	}
	return time.Until(p.verified.Add(period + turnDelay(f.config.Rank(t.String()))))
}

// isBehind reports whether other VMs are known to hold more, or this VM nothing.
func (f *Feed) isBehind(t Topic) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &f.topics[t]
	return !p.loaded || p.ahead > p.next
}

// asksFirst reports whether another VM is the better source: it has read further,
// and this VM is refused by the store, or lacks a few small records, or is not one of
// those that read a large one. It waits until the others may have it.
func (f *Feed) asksFirst(ctx context.Context, t Topic) bool {
	f.mu.Lock()
	p := &f.topics[t]
	behind, lost := p.loaded && p.ahead > p.next, p.lost
	f.mu.Unlock()
	if !behind || lost || t == Instances || f.config.ZoneRank == nil {
		return behind && (lost || t == Instances)
	}
	rank := f.config.ZoneRank(t.String())
	if rank < zoneReaders {
		return false
	}
	sleep(ctx, min(pullDelay+time.Duration(rank)*pullStep, maxPullDelay))
	return true
}

// read brings the topic up to date from the store and announces the result.
func (f *Feed) read(ctx context.Context, t Topic) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.mu.Lock()
	from, loaded := f.topics[t].next, f.topics[t].loaded
	f.reads++
	f.mu.Unlock()
	began := time.Now()
	var records []Record
	var next int64
	err := ErrExpired
	if loaded {
		records, next, err = f.config.Source.Read(ctx, t, from)
	}
	whole := false
	if errors.Is(err, ErrExpired) {
		whole = true
		records, next, err = f.config.Source.Newest(ctx, t)
	}
	if err != nil {
		f.failed(t, err)
		return false
	}
	f.succeeded(t, from, records, next, began, whole)
	return true
}

func (f *Feed) succeeded(t Topic, from int64, records []Record, next int64, began time.Time, whole bool) {
	f.mu.Lock()
	p := &f.topics[t]
	if p.lost {
		p.lost = false
		f.config.Logger.Info("store answers again", zap.Stringer("topic", t), zap.Duration("proof_age", time.Since(p.verified)))
	}
	p.prove(began)
	if whole {
		f.replace(t, records, next)
		// A listing holds the newest records only. A VM that has read up to an offset in
		// between may know an older one that nothing in the listing replaces.
		p.history = history{}
	} else {
		f.apply(t, records, next)
	}
	first := !p.loaded
	p.loaded = true
	f.expire(t, time.Now())
	p.sweep(time.Now())
	a := Announcement{Topic: t, Next: p.next, Whole: !whole}
	a.From, a.Records = p.history.since(from, time.Now())
	f.mu.Unlock()
	if first {
		f.config.Logger.Info("topic loaded", zap.Stringer("topic", t), zap.Int("records", len(records)), zap.Int64("next", next))
	}
	a.Age = time.Since(began)
	for _, part := range split(a) {
		f.config.Announce(part)
	}
}

// split spreads the records of an announcement over several that fit a datagram
// each. A record that fits none is left out, and its announcement is not whole.
func split(a Announcement) []Announcement {
	if !a.Whole || len(a.Records) == 0 {
		return []Announcement{a}
	}
	var list []Announcement
	part, groups := a, batches(a.Records)
	for i, group := range groups {
		part.Records = group
		part.Next = group[len(group)-1].Offset + 1
		if i == len(groups)-1 {
			part.Next = a.Next
		}
		if len(group) == 1 && group[0].size() > announceBytes {
			part.Records, part.Whole = nil, false
		}
		list = append(list, part)
		part.From, part.Whole = part.Next, true
	}
	return list
}

// batches groups records that fit a datagram together. One that fits none is alone.
func batches(records []Record) [][]Record {
	var groups [][]Record
	size := 0
	for _, r := range records {
		if len(groups) == 0 || size+r.size() > announceBytes {
			groups, size = append(groups, nil), 0
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], r)
		size += r.size()
	}
	return groups
}

func (f *Feed) failed(t Topic, err error) {
	f.mu.Lock()
	p := &f.topics[t]
	first := !p.lost
	p.lost = true
	age := time.Since(p.verified)
	f.mu.Unlock()
	if first {
		f.config.Logger.Warn("store does not answer", zap.Stringer("topic", t), zap.Duration("proof_age", age), zap.Error(err))
	}
}

// ask takes in what another VM holds, and reports whether one had what was missing.
func (f *Feed) ask(ctx context.Context, t Topic) bool {
	if f.config.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.mu.Lock()
	p := &f.topics[t]
	q := Query{Topic: t, From: p.next, Least: p.ahead, First: p.aheadVM, Near: t == Configuration && p.loaded && !p.lost}
	f.mu.Unlock()
	s, err := f.config.Peers.State(ctx, q)
	if err != nil {
		f.config.Logger.Debug("no other VM answers", zap.Stringer("topic", t), zap.Error(err))
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Whole {
		f.replace(t, s.Records, s.Next)
	} else {
		f.apply(t, s.Records, s.Next)
	}
	p.history = history{} // The state lacks records that newer ones have replaced.
	p.loaded = true
	f.config.Logger.Info("topic taken from another VM", zap.Stringer("topic", t), zap.Int64("from", q.From), zap.Int64("next", s.Next),
		zap.Int("records", len(s.Records)), zap.String("announced_by", q.First))
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
