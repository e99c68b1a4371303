// Package feed keeps a VM up to date with what the platform's store holds for it:
// the operator's configuration and the registrations of target instances.
//
// One VM at a time reads the store. It announces to the others how far it has read
// and what it has found. The others read only if they hear no announcement for a
// while: the longer a VM's rank, the later. So the number of reads does not grow
// with the fleet, and a VM that hears nobody reads for itself. A VM that sees that
// it is behind reads at once, or asks another VM if the store does not answer.
//
// # Usage
//
//	f := feed.New(feed.Config{Source: store, Apply: apply, Announce: announce, Rank: members.Rank})
//	group.Go(func() error { return f.Run(ctx) })
//	f.Heard(announcement) // from another VM
package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

// Topic names one stream of records in the store.
type Topic int

// Topics.
const (
	// Configuration holds what the operator publishes.
	Configuration Topic = iota
	// Instances holds the registrations of target instances.
	Instances
)

// topics lists all topics. Configuration comes first, since no request is served
// without it.
var topics = [...]Topic{Configuration, Instances}

// String returns the topic's name in logs.
func (t Topic) String() string {
	if t == Configuration {
		return "configuration"
	}
	return "instances"
}

var (
	// ErrExpired reports a read from an offset whose record is gone.
	ErrExpired = merry.Sentinel("feed: records have expired")
	// ErrUnavailable reports a store that did not answer or refused the call.
	ErrUnavailable = merry.Sentinel("feed: store unavailable")
)

// Record is one value that was written under a key. A nil Value removes the key.
type Record struct {
	Offset int64  `cbor:"1,keyasint" json:"offset"`
	Key    string `cbor:"2,keyasint" json:"key"`
	Value  []byte `cbor:"3,keyasint,omitempty" json:"value,omitempty"`
}

// Source reads the store.
type Source interface {
	// Newest returns the newest record of each key, and the offset after the last
	// record of the topic.
	Newest(ctx context.Context, t Topic) ([]Record, int64, error)
	// Read returns the records from an offset on, and the offset to read from next.
	Read(ctx context.Context, t Topic, from int64) ([]Record, int64, error)
}

// Peers asks other VMs for what one of them holds.
type Peers interface {
	// State returns the state of a VM that has read far enough.
	State(ctx context.Context, q Query) (State, error)
}

// Query says what a VM needs of another one.
type Query struct {
	Topic Topic
	// From is the offset up to which the asking VM knows the topic.
	From int64
	// Least is the offset up to which the other VM must have read.
	Least int64
	// First is a VM that has read far enough, or "".
	First string
	// Near leaves out VMs of other zones: what crosses zones costs more than a call
	// to the store.
	Near bool
}

// State is what a VM holds of a topic: the newest record of each key, from an offset
// on or of the whole topic.
type State struct {
	Records []Record `json:"records"`
	Next    int64    `json:"next"`
	// Whole says that keys without a record do not exist.
	Whole bool `json:"whole,omitempty"`
}

// Announcement says how far a VM has read a topic.
type Announcement struct {
	Topic Topic `cbor:"1,keyasint"`
	// From and Next bound what was read.
	From int64 `cbor:"2,keyasint"`
	Next int64 `cbor:"3,keyasint"`
	// Age is how long ago the read began.
	Age time.Duration `cbor:"4,keyasint"`
	// Records are those between From and Next that say something new. Whole reports
	// whether none was left out.
	Records []Record `cbor:"5,keyasint,omitempty"`
	Whole   bool     `cbor:"6,keyasint,omitempty"`
}

// Times of the reads.
const (
	// period is the time between two reads of a topic over the whole fleet. A
	// leaving instance must get no more requests within 2 s, and a change of the
	// configuration must be in force by then.
	period = 600 * time.Millisecond
	// rankDelay is added for each VM that ranks before, for the first few. It covers
	// a read and its announcement.
	rankDelay = 60 * time.Millisecond
	// substitutes is how many VMs beside the first one stand ready to read.
	substitutes = 2
	// lateDelay is added for all others, so that a VM that missed one announcement
	// hears the next one before it reads for itself. A record that they read then is
	// younger than 1.5 s, of the 2 s that there are for a leaving instance.
	lateDelay = 700 * time.Millisecond
	// lateSpread keeps these from reading at the same time.
	lateSpread = 150 * time.Millisecond
	// lateStep is the difference between two of them.
	lateStep = 10 * time.Millisecond
	// callTimeout bounds one call to the store. A store that is slow takes some
	// hundred milliseconds.
	callTimeout = time.Second
	// retryDelay is the time between two failed reads.
	retryDelay = 250 * time.Millisecond
	// announceBytes bounds the records in one announcement.
	announceBytes = 900
	// reachTime is how far back an announcement reaches if its records fit: a lost
	// datagram is made up for by the next announcements.
	reachTime = 2 * time.Second
	// recordOverhead is what a record takes in an announcement beside its key and
	// value.
	recordOverhead = 16
	// awayAfter is the age of the last proof from which the store counts as having
	// been away: no VM that is heard could read it.
	awayAfter = 2 * time.Second
	// tombstoneTime is how long a removed key is remembered, for VMs that are behind.
	// One that is further behind gets the whole topic.
	tombstoneTime = 5 * time.Minute
	// sweepPeriod is the time between two searches for tombstones to drop.
	sweepPeriod = 30 * time.Second
	// zoneReaders is how many VMs of each zone read a change that no announcement
	// carries. The others ask them and each other.
	zoneReaders = 2
	// pullDelay is how long the first of the others waits for that, and pullStep how
	// much longer each further one: the zone's VMs that have the change double in each
	// round of asking.
	pullDelay = 100 * time.Millisecond
	pullStep  = 12 * time.Millisecond
	// maxPullDelay bounds it. A configuration must be in force within 2 s.
	maxPullDelay = 500 * time.Millisecond
	// returnGrace is how long a registration may stay away after the store could
	// not be read: entries that lapsed meanwhile come back within 2 s.
	returnGrace = 2 * time.Second
)

// Config is what a Feed works with. All but Peers and Logger are required.
type Config struct {
	Source Source
	// Apply takes in a record that is newer than the last one of its key. It is
	// called under a lock and must not call the Feed. loaded is false while the
	// topic is read for the first time.
	Apply func(t Topic, r Record, loaded bool)
	// Announce tells the other VMs.
	Announce func(a Announcement)
	// Rank returns how many VMs come before this one for a name.
	Rank func(name string) int
	// Peers may be nil.
	Peers Peers
	// ZoneRank returns how many VMs of the own zone come before this one for a name.
	// It may be nil; then this VM is the first.
	ZoneRank func(name string) int
	// Significant reports whether a record says more than the last one of its key.
	// It may be nil.
	Significant func(t Topic, before, now []byte) bool
	Logger      *zap.Logger
}

// turnDelay returns how long a VM with a rank leaves a read that is due to others.
func turnDelay(rank int) time.Duration {
	if rank <= substitutes {
		return time.Duration(rank) * rankDelay
	}
	return lateDelay + time.Duration(rank)*lateStep%lateSpread
}

// Feed follows the topics. It is safe for concurrent use.
type Feed struct {
	config Config
	kick   [len(topics)]chan struct{}

	mu     sync.Mutex
	topics [len(topics)]progress
	reads  uint64
}

// progress is what is known of one topic.
type progress struct {
	records  map[string]Record // the newest of each key, removals included
	next     int64
	verified time.Time // when the read began that proved next to be the end
	loaded   bool
	ahead    int64     // how far another VM is known to have read
	aheadVM  string    // that VM
	lost     bool      // this VM's last read failed
	regained time.Time // when a proof came after a time without any
	removals map[string]removal
	history  history

	tombstones map[string]time.Time // when each removed key was removed
	complete   int64                // removals from this offset on are all remembered
	swept      time.Time
}

// removal is a removed key that may come back.
type removal struct {
	record Record
	due    time.Time
}

// New returns a feed that has read nothing.
func New(c Config) *Feed {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	f := &Feed{config: c}
	for i := range f.topics {
		f.kick[i] = make(chan struct{}, 1)
		f.topics[i].records = make(map[string]Record)
		f.topics[i].removals = make(map[string]removal)
		f.topics[i].tombstones = make(map[string]time.Time)
	}
	return f
}

// Age returns how old the proof is that this VM knows the whole topic. It reports
// false before the first read.
func (f *Feed) Age(t Topic) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &f.topics[t]
	return time.Since(p.verified), p.loaded
}

// Next returns the offset after the last record that is known.
func (f *Feed) Next(t Topic) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.topics[t].next
}

// Reads returns how many calls were made to the store.
func (f *Feed) Reads() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

// Since returns what is known of a topic from an offset on, or the whole topic if
// removals since then are no longer remembered. It reports false before the first
// read.
func (f *Feed) Since(t Topic, from int64) (State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &f.topics[t]
	s := State{Next: p.next, Whole: from < p.complete}
	for _, r := range p.records {
		if r.Offset >= from || s.Whole && r.Value != nil {
			s.Records = append(s.Records, r)
		}
	}
	return s, p.loaded
}

// kicked makes a topic's loop read at once.
func (f *Feed) kicked(t Topic) {
	select {
	case f.kick[t] <- struct{}{}:
	default:
	}
}

// Heard takes in another VM's announcement.
func (f *Feed) Heard(vm string, a Announcement) {
	if a.Topic < 0 || int(a.Topic) >= len(topics) {
		return
	}
	began := time.Now().Add(-a.Age)
	f.mu.Lock()
	p := &f.topics[a.Topic]
	if !p.loaded {
		f.mu.Unlock()
		return
	}
	if a.Next > p.ahead {
		p.ahead, p.aheadVM = a.Next, vm
	}
	behind := a.Next > p.next
	switch {
	case !behind:
		if a.Next == p.next {
			p.prove(began)
		}
	case a.Whole && a.From <= p.next:
		p.prove(began)
		f.apply(a.Topic, a.Records, a.Next)
		behind = false
	}
	f.mu.Unlock()
	if behind {
		f.kicked(a.Topic)
	}
}

// apply takes in records that are newer than the known ones and brings the topic up
// to an offset. The caller holds the lock.
func (f *Feed) apply(t Topic, records []Record, next int64) {
	p := &f.topics[t]
	var news []Record
	for _, r := range records {
		old, known := p.records[r.Key]
		if known && old.Offset >= r.Offset || !known && p.loaded && r.Offset < p.next {
			continue // The second is older than a removal that is no longer remembered.
		}
		p.records[r.Key] = r
		p.bury(r)
		if p.holdRemoval(t, r) {
			news = append(news, r)
			continue
		}
		delete(p.removals, r.Key)
		if f.config.Significant == nil || !known || f.config.Significant(t, old.Value, r.Value) {
			news = append(news, r)
		}
		f.config.Apply(t, r, p.loaded)
	}
	next = max(p.next, next)
	p.history.add(step{from: p.next, next: next, at: time.Now(), news: news})
	p.next = next
}

// bury notes when a key was removed.
func (p *progress) bury(r Record) {
	if r.Value != nil {
		delete(p.tombstones, r.Key)
		return
	}
	p.tombstones[r.Key] = time.Now()
}

// sweep drops what is remembered of keys that were removed long ago.
func (p *progress) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepPeriod {
		return
	}
	p.swept = now
	for key, at := range p.tombstones {
		if now.Sub(at) < tombstoneTime {
			continue
		}
		p.complete = max(p.complete, p.records[key].Offset+1)
		delete(p.records, key)
		delete(p.tombstones, key)
	}
}

// prove notes a read that began at a time and proved what is known to be the end.
func (p *progress) prove(began time.Time) {
	if p.loaded && began.Sub(p.verified) > awayAfter {
		p.regained = time.Now()
	}
	if began.After(p.verified) {
		p.verified = began
	}
}

// holdRemoval keeps the registration of an instance for a moment when the store
// was away: its entry may have lapsed only because the instance could not renew it.
func (p *progress) holdRemoval(t Topic, r Record) bool {
	if t != Instances || r.Value != nil {
		return false
	}
	due := p.regained.Add(returnGrace)
	if time.Now().After(due) {
		return false
	}
	p.removals[r.Key] = removal{record: r, due: due}
	return true
}

// expire applies the removals whose time is over. The caller holds the lock.
func (f *Feed) expire(t Topic, now time.Time) {
	p := &f.topics[t]
	for key, r := range p.removals {
		if now.Before(r.due) {
			continue
		}
		delete(p.removals, key)
		f.config.Apply(t, r.record, p.loaded)
	}
}

// replace takes in a whole listing: keys that it lacks were removed. The caller
// holds the lock.
func (f *Feed) replace(t Topic, records []Record, next int64) {
	p := &f.topics[t]
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	for key, r := range p.records {
		if !listed[key] && r.Value != nil && r.Offset < next {
			records = append(records, Record{Offset: next - 1, Key: key})
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return int(a.Offset - b.Offset) })
	f.apply(t, records, next)
}
