package feed_test

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
)

// store is the platform's store in memory.
type store struct {
	mu      sync.Mutex
	records [2][]feed.Record
	first   [2]int64
	reads   int
	// delivered is how far the instances were read.
	delivered int64
	down      func(vm int) bool
}

// count returns how many calls were made.
func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// begun reports whether a read has taken in all records.
func (s *store) begun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delivered == int64(len(s.records[feed.Instances]))
}

func (s *store) put(t feed.Topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := feed.Record{Offset: int64(len(s.records[t])), Key: key}
	if value != "" {
		r.Value = []byte(value)
	}
	s.records[t] = append(s.records[t], r)
}

// storeTime is how long a call takes.
const storeTime = 4 * time.Millisecond

// client is one VM's way to the store.
type client struct {
	*store
	vm int
}

// call counts a call. The caller holds the lock.
func (c client) call() error {
	c.reads++
	if c.down != nil && c.down(c.vm) {
		return feed.ErrUnavailable
	}
	return nil
}

func (c client) Newest(_ context.Context, t feed.Topic) ([]feed.Record, int64, error) {
	time.Sleep(storeTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.call(); err != nil {
		return nil, 0, err
	}
	newest := make(map[string]feed.Record)
	for _, r := range c.records[t] {
		newest[r.Key] = r
		if r.Value == nil {
			delete(newest, r.Key)
		}
	}
	var list []feed.Record
	for _, r := range newest {
		list = append(list, r)
	}
	return list, int64(len(c.records[t])), nil
}

func (c client) Read(_ context.Context, t feed.Topic, from int64) ([]feed.Record, int64, error) {
	time.Sleep(storeTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.call(); err != nil {
		return nil, 0, err
	}
	if from < c.first[t] {
		return nil, 0, feed.ErrExpired
	}
	if t == feed.Instances {
		c.delivered = int64(len(c.records[t]))
	}
	return append([]feed.Record(nil), c.records[t][from:]...), int64(len(c.records[t])), nil
}

// vm is one VM with its copy of the store.
type vm struct {
	index  int
	feed   *feed.Feed
	cancel context.CancelFunc
	mu     sync.Mutex
	values map[string]string
}

func (v *vm) get(key string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.values[key]
}

type fleet struct {
	store *store
	group errgroup.Group

	mu  sync.Mutex
	vms []*vm
	// deaf VMs hear no announcements.
	deaf map[int]bool
	// random draws the announcements that are lost, which are loss of all. It may be
	// nil.
	random *rand.Rand
	loss   float64
}

// lose makes a part of the announcements get lost.
func (f *fleet) lose(part float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random, f.loss = rand.New(rand.NewPCG(1, 2)), part
}

// hearing returns the VMs but one that hear an announcement.
func (f *fleet) hearing(self int) []*vm {
	others := f.others(self)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random == nil {
		return others
	}
	return slices.DeleteFunc(others, func(*vm) bool { return f.random.Float64() < f.loss })
}

func (f *fleet) setDeaf(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaf[i] = true
}

// others returns the VMs but one that hear announcements.
func (f *fleet) others(self int) []*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*vm
	for i, v := range f.vms {
		if i != self && !f.deaf[i] {
			list = append(list, v)
		}
	}
	return list
}

func newFleet(n int) *fleet {
	f := &fleet{store: &store{}, deaf: make(map[int]bool)}
	for range n {
		f.start()
	}
	return f
}

func (f *fleet) start() {
	i := len(f.vms)
	v := &vm{index: i, values: make(map[string]string)}
	v.feed = feed.New(feed.Config{
		Source: client{store: f.store, vm: i},
		Apply: func(_ feed.Topic, r feed.Record, _ bool) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.values[r.Key] = string(r.Value)
		},
		Announce: func(a feed.Announcement) {
			for _, other := range f.hearing(i) {
				other.feed.Heard(fmt.Sprint("vm-", i), a)
			}
		},
		Rank:        func(string) int { return i },
		ZoneRank:    func(string) int { return i },
		Peers:       peers{f: f, self: i},
		Significant: func(_ feed.Topic, before, now []byte) bool { return string(before) != string(now) },
	})
	f.mu.Lock()
	f.vms = append(f.vms, v)
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	f.group.Go(func() error { return v.feed.Run(ctx) })
}

func (f *fleet) stop() {
	for _, v := range f.vms {
		v.cancel()
	}
	f.group.Wait() //nolint:errcheck // Run returns nil.
}

type peers struct {
	f    *fleet
	self int
}

func (p peers) State(_ context.Context, q feed.Query) (feed.State, error) {
	for _, v := range p.f.others(p.self) {
		if s, ok := v.feed.Since(q.Topic, q.From); ok && s.Next >= q.Least {
			return s, nil
		}
	}
	return feed.State{}, feed.ErrUnavailable
}

// inForce is the time within which a change must be in force on every VM.
const inForce = 2 * time.Second

func (f *fleet) expect(t *testing.T, key, value string) {
	t.Helper()
	for i, v := range f.vms {
		if got := v.get(key); got != value {
			t.Errorf("vm %d has %.20q for %s, want %.20q", i, got, key, value)
		}
	}
}

// TestReadsDoNotGrow guards against a number of reads that grows with the fleet.
func TestReadsDoNotGrow(t *testing.T) {
	for _, n := range []int{1, 10, 100} {
		t.Run(fmt.Sprintf("%d VMs", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(n)
				defer f.stop()
				time.Sleep(3 * time.Second)
				f.store.mu.Lock()
				f.store.reads = 0
				f.store.mu.Unlock()
				for i := range 60 {
					f.store.put(feed.Instances, "i-1", fmt.Sprint("state ", i/10))
					time.Sleep(time.Second)
				}
				f.store.mu.Lock()
				is.True(f.store.reads < 250) // two topics, every 0.6 s at most
				f.store.mu.Unlock()
				f.expect(t, "i-1", "state 5")
			})
		})
	}
}

// TestLostAnnouncements guards against reads of the store, which grow with the fleet,
// by VMs that miss an announcement, and against changes that they learn too late.
func TestLostAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(30)
		defer f.stop()
		f.lose(0.1)
		time.Sleep(3 * time.Second)
		before := f.store.count()
		for i := range 20 {
			f.store.put(feed.Instances, "i-1", fmt.Sprint("state ", i))
			for range 20 { // another instance writes the same again and again
				f.store.put(feed.Instances, "i-2", "ready")
				time.Sleep(inForce / 20)
			}
			f.expect(t, "i-1", fmt.Sprint("state ", i))
		}
		is.True(f.store.count()-before < 200) // 40 s, two topics, every 0.6 s at most: 134
	})
}

// TestForgottenRemovals guards against memory that grows with every instance that
// ever was, and against a VM that keeps an instance whose removal the others no
// longer remember.
func TestForgottenRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		defer f.stop()
		time.Sleep(time.Second)
		for i := range 100 {
			f.store.put(feed.Instances, fmt.Sprint("i-", i), "ready")
			f.store.put(feed.Instances, fmt.Sprint("i-", i), "")
		}
		f.store.put(feed.Instances, "i-100", "ready")
		time.Sleep(time.Second)
		s, _ := f.vms[0].feed.Since(feed.Instances, 0)
		is.Equal(len(s.Records), 101) // a VM that is behind learns of the removals
		is.True(!s.Whole)
		time.Sleep(10 * time.Minute)
		s, _ = f.vms[0].feed.Since(feed.Instances, 50)
		is.Equal(len(s.Records), 1)
		is.True(s.Whole) // what is not listed is gone
		s, _ = f.vms[0].feed.Since(feed.Instances, 201)
		is.Equal(len(s.Records), 0)
		is.True(!s.Whole)
	})
}

// TestReaderGone guards against a fleet that stops reading when its reader dies or
// is cut off.
func TestReaderGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		defer f.stop()
		time.Sleep(3 * time.Second)
		for i := range 5 {
			f.vms[i].cancel()
			f.store.put(feed.Instances, "i-1", fmt.Sprint("after ", i))
			time.Sleep(inForce)
			for _, v := range f.vms[i+1:] {
				if got := v.get("i-1"); got != fmt.Sprint("after ", i) {
					t.Fatalf("a VM has %q after the death of reader %d", got, i)
				}
			}
		}
	})
}

// TestReadersGoneTogether guards against a change that comes late when the reader
// dies together with the VMs that stand ready to read in its place.
func TestReadersGoneTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(12)
		defer f.stop()
		time.Sleep(3 * time.Second)
		for _, v := range f.vms[:6] {
			v.cancel()
		}
		f.store.put(feed.Instances, "i-1", "leaving")
		time.Sleep(inForce - 400*time.Millisecond) // the rest is for the network and the processor
		for _, v := range f.vms[6:] {
			if got := v.get("i-1"); got != "leaving" {
				t.Fatalf("vm %d has %q", v.index, got)
			}
		}
	})
}

// noise returns a value that does not get smaller by compression.
func noise(bytes int) string {
	random := rand.NewChaCha8([32]byte{7})
	b := make([]byte, bytes/2)
	random.Read(b) //nolint:errcheck // It always fills the slice.
	return hex.EncodeToString(b)
}

// large is a value that announcements do not carry.
var large = noise(200_000)

// TestLargeRecord guards against a configuration that every VM reads from the store
// because it fits no datagram, and against one that comes late by way of other VMs.
func TestLargeRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(30)
		defer f.stop()
		f.lose(0.02)
		time.Sleep(3 * time.Second)
		before := f.store.count()
		for i := range 20 {
			config := fmt.Sprint(i, " ", noise(8000))
			f.store.put(feed.Configuration, "config", config)
			time.Sleep(inForce)
			f.expect(t, "config", config)
		}
		is.True(f.store.count()-before < 300) // 20 times 30 if every VM reads
	})
}

// TestStoreRefusesSome guards against a VM that keeps a withdrawn configuration
// because the store turns it away, while others know better.
func TestStoreRefusesSome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		defer f.stop()
		f.store.put(feed.Configuration, "config", "1")
		time.Sleep(3 * time.Second)
		f.store.mu.Lock()
		f.store.down = func(vm int) bool { return vm < 3 } // the first readers among them
		f.store.mu.Unlock()
		f.store.put(feed.Configuration, "config", "2"+large)
		time.Sleep(inForce)
		f.expect(t, "config", "2"+large)
	})
}

// TestStartWithoutStore guards against a VM that starts while the store is away and
// serves nothing, though others hold all it needs.
func TestStartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		defer f.stop()
		f.store.put(feed.Configuration, "config", "1")
		time.Sleep(3 * time.Second)
		f.store.mu.Lock()
		f.store.down = func(int) bool { return true }
		f.store.mu.Unlock()
		f.start()
		time.Sleep(inForce)
		f.expect(t, "config", "1")
	})
}

// TestDeaf guards against a VM that hears no announcements and falls behind.
func TestDeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		defer f.stop()
		f.setDeaf(2)
		time.Sleep(3 * time.Second)
		f.store.put(feed.Configuration, "config", "2")
		time.Sleep(inForce)
		f.expect(t, "config", "2")
	})
}

// TestExpired guards against a VM that stops following when the records that it
// has not read are gone, and against keys whose removal it never saw.
func TestExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		defer f.stop()
		f.store.put(feed.Instances, "i-1", "ready")
		f.store.put(feed.Instances, "i-2", "ready")
		time.Sleep(2 * time.Second)
		f.store.put(feed.Instances, "i-1", "")
		f.store.put(feed.Instances, "i-3", "ready")
		f.store.mu.Lock()
		f.store.first[feed.Instances] = int64(len(f.store.records[feed.Instances]))
		f.store.mu.Unlock()
		time.Sleep(inForce)
		f.expect(t, "i-1", "")
		f.expect(t, "i-2", "ready")
		f.expect(t, "i-3", "ready")
	})
}

// TestLapsedEntries guards against living instances that are dropped because their
// entries lapsed while the store was away, and against entries that are gone for
// good and kept.
func TestLapsedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		defer f.stop()
		f.store.put(feed.Instances, "alive", "ready")
		f.store.put(feed.Instances, "dead", "ready")
		time.Sleep(2 * time.Second)
		f.store.mu.Lock()
		f.store.down = func(int) bool { return true }
		f.store.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.store.put(feed.Instances, "alive", "")
		f.store.put(feed.Instances, "dead", "")
		f.store.mu.Lock()
		f.store.down = nil
		f.store.mu.Unlock()
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(f.vms[0].get("alive"), "ready")
		}
		f.store.put(feed.Instances, "alive", "ready again")
		time.Sleep(3 * time.Second)
		f.expect(t, "alive", "ready again")
		f.expect(t, "dead", "")
	})
}

// TestLeavesAfterReturn guards against an instance that leaves soon after the store is
// back and is kept for longer than an entry that lapsed may take to come back.
func TestLeavesAfterReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		defer f.stop()
		f.store.put(feed.Instances, "i-1", "ready")
		time.Sleep(2 * time.Second)
		f.store.mu.Lock()
		f.store.down = func(int) bool { return true }
		f.store.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.store.mu.Lock()
		f.store.down = nil
		f.store.mu.Unlock()
		time.Sleep(1700 * time.Millisecond)
		f.store.put(feed.Instances, "i-1", "")
		time.Sleep(inForce - 200*time.Millisecond) // the rest is for the network and the processor
		f.expect(t, "i-1", "")
	})
}

// TestNeverBack guards against an older record that replaces a newer one because
// it arrives later by another way.
func TestNeverBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		defer f.stop()
		f.store.put(feed.Configuration, "config", "1")
		f.store.put(feed.Configuration, "config", "2")
		time.Sleep(2 * time.Second)
		f.vms[0].feed.Heard("vm-9", feed.Announcement{
			Topic: feed.Configuration, From: 0, Next: 9, Whole: true,
			Records: []feed.Record{{Offset: 0, Key: "config", Value: []byte("1")}},
		})
		f.expect(t, "config", "2")
	})
}

// TestRemovalIsNotHeld guards against a VM that takes the store for away because
// its own last read failed, and keeps an instance that has left though others
// follow the store all the while.
func TestRemovalIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		defer f.stop()
		f.store.put(feed.Instances, "i-1", "ready")
		time.Sleep(3 * time.Second)
		f.store.mu.Lock()
		f.store.down = func(vm int) bool { return vm == 0 }
		f.store.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.store.put(feed.Instances, "i-1", "")
		time.Sleep(1500 * time.Millisecond)
		f.expect(t, "i-1", "")
	})
}

// slowSource answers reads as they were at their beginning, after a while.
type slowSource struct {
	client
	delay time.Duration
}

func (s slowSource) Read(ctx context.Context, t feed.Topic, from int64) ([]feed.Record, int64, error) {
	records, next, err := s.client.Read(ctx, t, from)
	time.Sleep(s.delay)
	return records, next, err
}

// TestAnnouncedWhileReading guards against an announcement that passes for whole and
// lacks a record, because the reader had heard of it from another VM while its own
// read was under way.
func TestAnnouncedWhileReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put(feed.Instances, "i-1", "ready")
		var announced []feed.Announcement
		reader := feed.New(feed.Config{
			Source:      slowSource{client: client{store: s}, delay: 200 * time.Millisecond},
			Apply:       func(feed.Topic, feed.Record, bool) {},
			Announce:    func(a feed.Announcement) { announced = append(announced, a) },
			Rank:        func(string) int { return 0 },
			Significant: func(_ feed.Topic, before, now []byte) bool { return string(before) != string(now) },
		})
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error { return reader.Run(ctx) })
		time.Sleep(time.Second)
		s.put(feed.Instances, "i-1", "leaving")
		for reader.Next(feed.Instances) == 1 && s.count() < 1000 {
			time.Sleep(10 * time.Millisecond)
			if s.begun() { // the read that brings the record is under way
				reader.Heard("vm-2", feed.Announcement{
					Topic: feed.Instances, From: 1, Next: 2, Whole: true,
					Records: []feed.Record{{Offset: 1, Key: "i-1", Value: []byte("leaving")}},
				})
			}
		}
		time.Sleep(300 * time.Millisecond)
		cancel()
		group.Wait() //nolint:errcheck // Run returns nil.
		for _, a := range announced {
			lacks := a.Topic == feed.Instances && a.Whole && a.From <= 1 && a.Next >= 2 && len(a.Records) == 0
			is.True(!lacks) // a VM that has read up to 1 would never learn of the record
		}
	})
}
