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
		if f.read(ctx, t) {
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
			return
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
	delay := min(time.Duration(f.config.Rank(t.String()))*rankDelay, maxRankDelay)
	return time.Until(p.verified.Add(period + delay))
}

// isBehind reports whether other VMs are known to hold more, or this VM nothing.
func (f *Feed) isBehind(t Topic) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &f.topics[t]
	return !p.loaded || p.ahead > p.next
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
	// What came from other VMs while the read was under way is not news here, so the
	// announcement must not reach back beyond it.
	from = max(from, p.next)
	var news []Record
	if whole {
		news = f.replace(t, records, next)
	} else {
		news = f.apply(t, records, next)
	}
	first := !p.loaded
	p.loaded = true
	f.expire(t, time.Now())
	f.mu.Unlock()
	if first {
		f.config.Logger.Info("topic loaded", zap.Stringer("topic", t), zap.Int("records", len(records)), zap.Int64("next", next))
	}
	for _, a := range split(news, Announcement{Topic: t, From: from, Next: max(from, next), Age: time.Since(began), Whole: !whole}) {
		f.config.Announce(a)
	}
}

// split spreads the records of an announcement over several that fit a datagram
// each. A record that fits none is left out, and its announcement is not whole.
func split(records []Record, a Announcement) []Announcement {
	if !a.Whole {
		return []Announcement{a}
	}
	var list []Announcement
	part, size := a, 0
	for _, r := range records {
		n := len(r.Key) + len(r.Value) + recordOverhead
		if size > 0 && size+n > announceBytes {
			part.Next = r.Offset
			list = append(list, part)
			part = a
			part.From, size = r.Offset, 0
		}
		size += n
		if n > announceBytes {
			part.Whole = false
			continue
		}
		part.Records = append(part.Records, r)
	}
	return append(list, part)
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

// ask takes in what another VM holds.
func (f *Feed) ask(ctx context.Context, t Topic) {
	if f.config.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.mu.Lock()
	least, first := f.topics[t].ahead, f.topics[t].aheadVM
	f.mu.Unlock()
	s, err := f.config.Peers.State(ctx, t, least, first)
	if err != nil {
		f.config.Logger.Debug("no other VM answers", zap.Stringer("topic", t), zap.Error(err))
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &f.topics[t]
	f.apply(t, s.Records, s.Next)
	p.loaded = true
	f.config.Logger.Info("topic taken from another VM", zap.Stringer("topic", t), zap.Int64("next", s.Next), zap.String("other", first))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
