// Package feed keeps a VM up to date with what the platform's store holds for it:
// the operator's configuration and the registrations of target instances.
//
// One VM at a time reads the store. It announces to the other VMs how far it has read
// and which records it has found. The others read only if they receive no announcement
// for a while; the higher a VM's rank, the longer it waits. The number of reads
// therefore does not grow with the fleet, and a VM that receives no announcements reads
// for itself. A VM that learns that it is behind catches up without waiting for its
// turn, from the store or from another VM.
//
// # Usage
//
//	f := feed.New(feed.Config{Source: store, Apply: apply, Announce: announce, Rank: members.Rank})
//	group.Go(func() error { return f.Run(ctx) })
//	f.HandleAnnouncement("vm-2", announcement) // received from another VM
package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

// Topic identifies one stream of records in the store.
type Topic int

// Topics.
const (
	// Configuration holds the operator's published configuration.
	Configuration Topic = iota
	// Instances holds the registrations of target instances.
	Instances
)

// topics lists all topics. Configuration is the first, since no request is served
// without it.
var topics = [...]Topic{Configuration, Instances}

// Valid reports whether t is one of the topics.
func (t Topic) Valid() bool { return t >= 0 && int(t) < len(topics) }

// String returns the topic's name in logs.
func (t Topic) String() string {
	if t == Configuration {
		return "configuration"
	}
	return "instances"
}

var (
	// ErrExpired reports a read from an offset whose records the store has deleted.
	ErrExpired = merry.Sentinel("feed: records have expired")
	// ErrUnavailable reports a store that did not answer or refused the call.
	ErrUnavailable = merry.Sentinel("feed: store unavailable")
)

// Record is one write to a topic: the value of a key, or its removal if Value is nil.
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
	// Read returns the records from an offset on, and the offset to read from next. It
	// returns ErrExpired if the store no longer has all of these records.
	Read(ctx context.Context, t Topic, from int64) ([]Record, int64, error)
}

// Peers asks other VMs for the records that they hold.
type Peers interface {
	// State returns the state of a VM that has read up to q.MinNext.
	State(ctx context.Context, q Query) (State, error)
}

// Timing and sizes of reads and announcements.
const (
	// readPeriod is the interval between two reads of a topic, counted over the whole
	// fleet. Within 2 s, a leaving instance must stop receiving requests and a
	// configuration change must be in force.
	readPeriod = 600 * time.Millisecond
	// rankDelay is the extra delay per rank of the first ranks. It covers a read and
	// its announcement.
	rankDelay = 60 * time.Millisecond
	// standbyReaders is the number of VMs besides the first one that wait only rankDelay
	// per rank before they read.
	standbyReaders = 2
	// fallbackDelay is the extra delay of all VMs after the standby readers. A VM that
	// missed one announcement receives the next one within this time and need not read
	// for itself. A record that is read after this delay is at most 1.5 s old, within
	// the 2 s allowed for a leaving instance.
	fallbackDelay = 700 * time.Millisecond
	// fallbackSpread bounds the part of the delay that differs between these VMs, so that
	// they do not all read at the same time.
	fallbackSpread = 150 * time.Millisecond
	// fallbackStep is the difference in delay between two of them with adjacent ranks.
	fallbackStep = 10 * time.Millisecond
	// callTimeout bounds the calls to other VMs for one topic.
	callTimeout = time.Second
	// readTimeout bounds one read of the store. A slow store takes a few hundred
	// milliseconds, and a large configuration as much on a link of 10 Mbit/s.
	readTimeout = 1500 * time.Millisecond
	// listTimeout bounds a listing of an entire topic, which takes a call for each page.
	listTimeout = 4 * time.Second
	// retryDelay is the pause after a failed read.
	retryDelay = 250 * time.Millisecond
	// maxAnnounceBytes bounds the encoded size of the records in one announcement.
	maxAnnounceBytes = 900
	// announceWindow is the time span that an announcement covers if the records fit.
	// Announcements overlap, so the next ones repeat the records of a lost datagram.
	announceWindow = 2 * time.Second
	// recordOverhead is the encoded size of a record in an announcement beyond its key
	// and value.
	recordOverhead = 16
	// outageThreshold is the gap between two proofs of completeness after which the store
	// counts as having been unavailable: neither this VM nor any VM whose
	// announcements it received could read the store.
	outageThreshold = 2 * time.Second
	// tombstoneTTL is how long a removed key is remembered for VMs that are behind.
	// A VM that is further behind gets the entire topic.
	tombstoneTTL = 5 * time.Minute
	// sweepPeriod is the interval between two searches for expired tombstones.
	sweepPeriod = 30 * time.Second
	// spreadTimeout bounds the time in which a VM gets such a change from other VMs of
	// its zone. It then reads the store, which still ends within the 2 s in which a
	// configuration must be in force.
	spreadTimeout = 1100 * time.Millisecond
	// removalGracePeriod is the grace period for removals after an outage of the store:
	// instances whose registrations expired during the outage register again within 2 s.
	removalGracePeriod = 2 * time.Second
)

// Config holds the dependencies of a Feed. Source, Apply, Announce and Rank are
// required.
type Config struct {
	Source Source
	// Apply is called with each record that is newer than the last one of its key. It
	// runs under the feed's lock and must not call the Feed. loaded is false during the
	// first load of the topic.
	Apply func(t Topic, r Record, loaded bool)
	// Announce sends an announcement to the other VMs.
	Announce func(a Announcement)
	// Rank returns the number of VMs that rank before this one for a name. The VM with
	// rank 0 for a topic's name reads the topic.
	Rank func(name string) int
	// Peers asks other VMs for records that this VM lacks. If it is nil, this VM gets
	// records only from the store and from announcements.
	Peers Peers
	// StartFromPeers makes this VM ask other VMs before the store when it starts, so that
	// the calls to the store do not follow the number of VMs that start together.
	StartFromPeers bool
	// ZoneRank returns the number of VMs of this VM's zone that rank before it for a
	// name. If it is nil, this VM has rank 0.
	ZoneRank func(name string) int
	// Significant reports whether a value carries new information compared with the
	// previous value of its key. Only such records are announced. If it is nil, all are.
	Significant func(t Topic, before, now []byte) bool
	Logger      *zap.Logger
}

// turnDelay returns how long a VM of the given rank waits after a read is due, so that
// VMs that rank before it can read first.
func turnDelay(rank int) time.Duration {
	if rank <= standbyReaders {
		return time.Duration(rank) * rankDelay
	}
	return fallbackDelay + time.Duration(rank)*fallbackStep%fallbackSpread
}

// Feed follows the topics. It is safe for concurrent use.
type Feed struct {
	config Config
	wake   [len(topics)]chan struct{}

	mu     sync.Mutex
	topics [len(topics)]topicState
	reads  uint64
}

// New returns a feed that has not read anything yet.
func New(c Config) *Feed {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	f := &Feed{config: c}
	for i := range f.topics {
		f.wake[i] = make(chan struct{}, 1)
		f.topics[i].records = make(map[string]Record)
		f.topics[i].heldRemovals = make(map[string]heldRemoval)
		f.topics[i].tombstones = make(map[string]time.Time)
	}
	return f
}

// Age returns the age of the latest proof that this VM's copy of a topic is complete:
// the time since the start of the read that reached the topic's end. It reports false
// before the topic is loaded.
func (f *Feed) Age(t Topic) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := &f.topics[t]
	return time.Since(state.verified), state.loaded
}

// Next returns the offset after the last record that this VM has read or received.
func (f *Feed) Next(t Topic) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.topics[t].next
}

// Reads returns the number of reads from the store since the start, failed ones
// included.
func (f *Feed) Reads() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

// Since returns the newest record of each key that was written from an offset on, or
// the entire topic if removals since then are no longer remembered. It reports false
// before the topic is loaded.
func (f *Feed) Since(t Topic, from int64) (State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := &f.topics[t]
	s := State{Next: state.next, Full: from < state.removalsFrom}
	if !state.verified.IsZero() {
		s.Age = max(time.Since(state.verified), 1)
	}
	for _, r := range state.records {
		if r.Offset >= from || s.Full && r.Value != nil {
			s.Records = append(s.Records, r)
		}
	}
	return s, state.loaded
}

// wakeFollower wakes the loop that follows a topic, which catches up if it is behind.
func (f *Feed) wakeFollower(t Topic) {
	select {
	case f.wake[t] <- struct{}{}:
	default:
	}
}

// apply merges records that are newer than the known records of their keys and
// advances the topic to the offset next. The caller holds the lock.
func (f *Feed) apply(t Topic, records []Record, next int64) {
	state := &f.topics[t]
	if t == Configuration {
		records = withoutSuperseded(records)
	}
	var changes []Record
	for _, r := range records {
		previous, known := state.records[r.Key]
		if known && previous.Offset == r.Offset && r.Offset >= state.next {
			// A listing held it beyond its end. The other VMs learn of it now.
			changes = append(changes, r)
			continue
		}
		if known && previous.Offset >= r.Offset || !known && state.loaded && r.Offset < state.next {
			// Ignore a record that is older than the known one of its key. Also ignore an
			// old record of an unknown key, because the key may have been removed later
			// and the tombstone of that removal deleted.
			continue
		}
		state.records[r.Key] = r
		state.updateTombstone(r)
		if state.holdRemoval(t, r) {
			changes = append(changes, r)
			continue
		}
		delete(state.heldRemovals, r.Key)
		if f.config.Significant == nil || !known || f.config.Significant(t, previous.Value, r.Value) {
			changes = append(changes, r)
		}
		f.config.Apply(t, r, state.loaded)
	}
	next = max(state.next, next)
	state.history.add(step{from: state.next, next: next, at: time.Now(), changes: changes})
	state.next = next
	state.signalAdvance()
}

// noteAnnounced makes this VM catch up if it has not read up to an offset.
func (f *Feed) noteAnnounced(t Topic, next int64) {
	f.mu.Lock()
	state := &f.topics[t]
	unknown := state.loaded && next > max(state.next, state.announcedNext)
	if unknown {
		state.announcedNext, state.announcedAt = next, time.Now()
	}
	f.mu.Unlock()
	if unknown {
		f.wakeFollower(t)
	}
}

// AwaitNext waits until this VM has read a topic up to an offset that another VM knows of,
// or until ctx ends. The offset counts as announced: this VM may have missed the
// announcement.
func (f *Feed) AwaitNext(ctx context.Context, t Topic, next int64) {
	f.noteAnnounced(t, next)
	for {
		f.mu.Lock()
		state := &f.topics[t]
		if state.loaded && state.next >= next {
			f.mu.Unlock()
			return
		}
		if state.advanced == nil {
			state.advanced = make(chan struct{})
		}
		advanced := state.advanced
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-advanced:
		}
	}
}

// applyDueRemovals applies the held removals whose grace period is over. The caller
// holds the lock.
func (f *Feed) applyDueRemovals(t Topic, now time.Time) {
	state := &f.topics[t]
	for key, r := range state.heldRemovals {
		if now.Before(r.due) {
			continue
		}
		delete(state.heldRemovals, key)
		f.config.Apply(t, r.record, state.loaded)
	}
}

// replace merges a full listing of a topic, in which removed keys have no record. The
// caller holds the lock.
func (f *Feed) replace(t Topic, records []Record, next int64) {
	state := &f.topics[t]
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	for key, r := range state.records {
		if !listed[key] && r.Value != nil && r.Offset < next {
			records = append(records, Record{Offset: next - 1, Key: key})
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return int(a.Offset - b.Offset) })
	f.apply(t, records, next)
	state.removalsFrom = max(state.removalsFrom, next) // keys removed before may have been unknown here
}
