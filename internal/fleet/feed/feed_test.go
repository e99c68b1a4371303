package feed_test

import (
	"context"
	"encoding/hex"
	"fmt"
	"maps"
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

// store simulates the platform's store in memory.
type store struct {
	mu      sync.Mutex
	records [2][]feed.Record // by topic
	first   [2]int64         // lowest offset of each topic that can still be read
	reads   int
	// delivered is the end offset of the last read of the instances.
	delivered int64
	down      func(vm int) bool // reports whether the store refuses a VM's calls; may be nil
}

// count returns the number of calls to the store.
func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// allDelivered reports whether the latest read of the instances covered all their
// records. The client of the read may not have its result yet.
func (s *store) allDelivered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delivered == int64(len(s.records[feed.Instances]))
}

// put appends a record. An empty value removes the key.
func (s *store) put(t feed.Topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := feed.Record{Offset: int64(len(s.records[t])), Key: key}
	if value != "" {
		r.Value = []byte(value)
	}
	s.records[t] = append(s.records[t], r)
}

// storeLatency is the duration of one call to the store.
const storeLatency = 4 * time.Millisecond

// client is one VM's connection to the store.
type client struct {
	*store
	vm int
}

// countCall counts a call and returns an error if the store refuses it. The caller
// holds the lock.
func (c client) countCall() error {
	c.reads++
	if c.down != nil && c.down(c.vm) {
		return feed.ErrUnavailable
	}
	return nil
}

// pageKey is the first key of the second page of a listing.
const pageKey = "i-3"

// Newest returns the newest records in two pages, of which the second one may be newer.
func (c client) Newest(_ context.Context, t feed.Topic) ([]feed.Record, int64, error) {
	list, end, err := c.page(t, func(key string) bool { return key < pageKey })
	if err != nil {
		return nil, 0, err
	}
	second, _, err := c.page(t, func(key string) bool { return key >= pageKey })
	return append(list, second...), end, err
}

// page returns the newest records of the keys that include accepts, and the end of the
// topic.
func (c client) page(t feed.Topic, include func(key string) bool) ([]feed.Record, int64, error) {
	time.Sleep(storeLatency)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.countCall(); err != nil {
		return nil, 0, err
	}
	newest := make(map[string]feed.Record)
	for _, r := range c.records[t] {
		newest[r.Key] = r
		if r.Value == nil || !include(r.Key) {
			delete(newest, r.Key)
		}
	}
	return slices.Collect(maps.Values(newest)), int64(len(c.records[t])), nil
}

func (c client) Read(_ context.Context, t feed.Topic, from int64) ([]feed.Record, int64, error) {
	time.Sleep(storeLatency)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.countCall(); err != nil {
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

// vm is a simulated VM with the values that its feed has applied.
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

// fleet simulates VMs that share a store and exchange announcements.
type fleet struct {
	store *store
	group errgroup.Group

	mu  sync.Mutex
	vms []*vm
	// isolated holds the indexes of VMs that receive no announcements.
	isolated map[int]bool
	// cut holds the indexes of VMs that are cut off from all others.
	cut map[int]bool
	// random selects the announcements that are lost; if it is nil, none is. loss is
	// the probability that one receiver does not get an announcement.
	random *rand.Rand
	loss   float64
}

// setLoss sets the probability with which announcements are lost.
func (f *fleet) setLoss(probability float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random, f.loss = rand.New(rand.NewPCG(1, 2)), probability
}

// receivers returns the VMs that receive an announcement of the VM self, after random
// loss.
func (f *fleet) receivers(self int) []*vm {
	others := f.reachable(self)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random == nil {
		return others
	}
	return slices.DeleteFunc(others, func(*vm) bool { return f.random.Float64() < f.loss })
}

// isolate makes a VM receive no more announcements.
func (f *fleet) isolate(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[i] = true
}

// reachable returns the VMs other than self that can receive announcements.
func (f *fleet) reachable(self int) []*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*vm
	for i, v := range f.vms {
		if i != self && !f.isolated[i] && f.cut[i] == f.cut[self] {
			list = append(list, v)
		}
	}
	return list
}

// cutOff cuts VMs off from the store and from all others, or restores all contacts if it
// names none.
func (f *fleet) cutOff(vms ...int) {
	cut := make(map[int]bool)
	for _, i := range vms {
		cut[i] = true
	}
	f.mu.Lock()
	f.cut = cut
	f.mu.Unlock()
	f.refuse(vms...)
}

// refuse makes the store refuse the calls of VMs, or of none.
func (f *fleet) refuse(vms ...int) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.down = func(vm int) bool { return slices.Contains(vms, vm) }
}

// refuseAll makes the store refuse all calls.
func (f *fleet) refuseAll() {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.down = func(int) bool { return true }
}

// forget makes the store delete all records but the newest of each key.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t, records := range s.records {
		s.first[t] = int64(len(records))
	}
}

// newFleet starts n VMs with an empty store.
func newFleet(n int) *fleet {
	f := &fleet{store: &store{}, isolated: make(map[int]bool)}
	for range n {
		f.start()
	}
	return f
}

// start adds a VM, which ranks after all earlier ones, and runs its feed.
func (f *fleet) start() {
	v := f.newVM(len(f.vms))
	f.mu.Lock()
	f.vms = append(f.vms, v)
	f.mu.Unlock()
}

// restart stops a VM and starts it again without its records.
func (f *fleet) restart(i int) {
	f.vms[i].cancel()
	v := f.newVM(i)
	f.mu.Lock()
	f.vms[i] = v
	f.mu.Unlock()
}

// newVM returns a VM and runs its feed.
func (f *fleet) newVM(i int) *vm {
	v := &vm{index: i, values: make(map[string]string)}
	v.feed = feed.New(feed.Config{
		Source: client{store: f.store, vm: i},
		Apply: func(_ feed.Topic, r feed.Record, _ bool) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.values[r.Key] = string(r.Value)
		},
		Announce: func(a feed.Announcement) {
			for _, other := range f.receivers(i) {
				other.feed.HandleAnnouncement(fmt.Sprint("vm-", i), a)
			}
		},
		Rank:        func(string) int { return i },
		ZoneRank:    func(string) int { return i },
		Peers:       peers{f: f, self: i},
		Significant: func(_ feed.Topic, before, now []byte) bool { return string(before) != string(now) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	f.group.Go(func() error { return v.feed.Run(ctx) })
	return v
}

func (f *fleet) stop() {
	for _, v := range f.vms {
		v.cancel()
	}
	f.group.Wait() //nolint:errcheck // Run returns nil.
}

// peers answers a VM's queries with the state of the fleet's other VMs.
type peers struct {
	f    *fleet
	self int
}

func (p peers) State(_ context.Context, q feed.Query) (feed.State, error) {
	for _, v := range p.f.reachable(p.self) {
		if s, ok := v.feed.Since(q.Topic, q.From); ok && s.Next >= q.MinNext {
			return s, nil
		}
	}
	return feed.State{}, feed.ErrUnavailable
}

// propagationLimit is the time within which every VM must have applied a change.
const propagationLimit = 2 * time.Second

// expect fails the test for each VM that has another value for the key.
func (f *fleet) expect(t *testing.T, key, value string) {
	t.Helper()
	for i, v := range f.vms {
		if got := v.get(key); got != value {
			t.Errorf("vm %d has %.20q for %s, want %.20q", i, got, key, value)
		}
	}
}

// TestReadsDoNotGrow guards against a number of reads from the store that grows with the
// number of VMs.
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

// TestLostAnnouncements guards against VMs that read from the store whenever they miss an
// announcement, so that the reads grow with the fleet, and against changes that such VMs
// apply too late.
func TestLostAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(30)
		defer f.stop()
		f.setLoss(0.1)
		time.Sleep(3 * time.Second)
		before := f.store.count()
		for i := range 20 {
			f.store.put(feed.Instances, "i-1", fmt.Sprint("state ", i))
			for range 20 { // another instance repeats an unchanged registration
				f.store.put(feed.Instances, "i-2", "ready")
				time.Sleep(propagationLimit / 20)
			}
			f.expect(t, "i-1", fmt.Sprint("state ", i))
		}
		is.True(f.store.count()-before < 200) // 40 s, two topics, every 0.6 s at most: 134
	})
}

// TestTombstonesExpire guards against memory that grows with every instance that was
// ever registered, and against a VM that keeps an instance because the other VMs have
// already dropped the tombstone of its removal.
func TestTombstonesExpire(t *testing.T) {
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
		is.Equal(len(s.Records), 101) // the state includes the 100 removals
		is.True(!s.Full)
		time.Sleep(10 * time.Minute)
		s, _ = f.vms[0].feed.Since(feed.Instances, 50)
		is.Equal(len(s.Records), 1)
		is.True(s.Full) // keys without a record do not exist
		s, _ = f.vms[0].feed.Since(feed.Instances, 201)
		is.Equal(len(s.Records), 0)
		is.True(!s.Full)
	})
}

// TestReaderStops guards against a fleet that stops reading from the store when the VM
// that reads for all stops.
func TestReaderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		defer f.stop()
		time.Sleep(3 * time.Second)
		for i := range 5 {
			f.vms[i].cancel()
			f.store.put(feed.Instances, "i-1", fmt.Sprint("after ", i))
			time.Sleep(propagationLimit)
			for _, v := range f.vms[i+1:] {
				if got := v.get("i-1"); got != fmt.Sprint("after ", i) {
					t.Fatalf("a VM has %q after reader %d has stopped", got, i)
				}
			}
		}
	})
}

// TestReadersStopTogether guards against a change that is applied too late when the
// reading VM and the standby readers stop at the same time.
func TestReadersStopTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(12)
		defer f.stop()
		time.Sleep(3 * time.Second)
		for _, v := range f.vms[:6] {
			v.cancel()
		}
		f.store.put(feed.Instances, "i-1", "leaving")
		time.Sleep(propagationLimit - 400*time.Millisecond) // 400 ms are reserved for network and processing delays
		for _, v := range f.vms[6:] {
			if got := v.get("i-1"); got != "leaving" {
				t.Fatalf("vm %d has %q", v.index, got)
			}
		}
	})
}

// randomHex returns a pseudo-random hexadecimal text of the given length. It has no
// repeated parts that compression could shorten.
func randomHex(bytes int) string {
	random := rand.NewChaCha8([32]byte{7})
	b := make([]byte, bytes/2)
	random.Read(b) //nolint:errcheck // It always fills the slice.
	return hex.EncodeToString(b)
}

// largeValue is a value that exceeds the size of a datagram, so that announcements
// leave it out.
var largeValue = randomHex(200_000)

// TestLargeRecord guards against a configuration too large for a datagram that every VM
// reads from the store, and against one that VMs get too late from other VMs.
func TestLargeRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(30)
		defer f.stop()
		f.setLoss(0.02)
		time.Sleep(3 * time.Second)
		before := f.store.count()
		for i := range 20 {
			config := fmt.Sprint(i, " ", randomHex(8000))
			f.store.put(feed.Configuration, "config", config)
			time.Sleep(propagationLimit)
			f.expect(t, "config", config)
		}
		is.True(f.store.count()-before < 300) // 20 changes read by all 30 VMs would be 600
	})
}

// TestStoreRefusesSome guards against a VM that keeps an outdated configuration because
// the store refuses its reads, although other VMs have the new one.
func TestStoreRefusesSome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		defer f.stop()
		f.store.put(feed.Configuration, "config", "1")
		time.Sleep(3 * time.Second)
		f.refuse(0, 1, 2) // includes the VMs that read first
		f.store.put(feed.Configuration, "config", "2"+largeValue)
		time.Sleep(propagationLimit)
		f.expect(t, "config", "2"+largeValue)
	})
}

// TestStartWithoutStore guards against a VM that stays without a configuration because
// it started while the store was unavailable, although other VMs have it.
func TestStartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		defer f.stop()
		f.store.put(feed.Configuration, "config", "1")
		time.Sleep(3 * time.Second)
		f.refuseAll()
		f.start()
		time.Sleep(propagationLimit)
		f.expect(t, "config", "1")
	})
}

// TestNoAnnouncementsReceived guards against a VM that falls behind because it receives
// no announcements.
func TestNoAnnouncementsReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		defer f.stop()
		f.isolate(2)
		time.Sleep(3 * time.Second)
		f.store.put(feed.Configuration, "config", "2")
		time.Sleep(propagationLimit)
		f.expect(t, "config", "2")
	})
}

// TestRecordsExpired guards against a VM that cannot catch up because the store has
// deleted records that it has not read, and against removed keys that it keeps because
// it never read their removal.
func TestRecordsExpired(t *testing.T) {
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
		time.Sleep(propagationLimit)
		f.expect(t, "i-1", "")
		f.expect(t, "i-2", "ready")
		f.expect(t, "i-3", "ready")
	})
}

// TestRegistrationsExpireDuringOutage guards against healthy instances that are removed
// because their registrations expired during an outage of the store, and against
// instances that are kept although they do not register again.
func TestRegistrationsExpireDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		defer f.stop()
		f.store.put(feed.Instances, "running", "ready")
		f.store.put(feed.Instances, "stopped", "ready")
		time.Sleep(2 * time.Second)
		f.refuseAll()
		time.Sleep(5 * time.Second)
		f.store.put(feed.Instances, "running", "")
		f.store.put(feed.Instances, "stopped", "")
		f.refuse()
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(f.vms[0].get("running"), "ready")
		}
		f.store.put(feed.Instances, "running", "ready again")
		time.Sleep(3 * time.Second)
		f.expect(t, "running", "ready again")
		f.expect(t, "stopped", "")
	})
}

// TestLeavesAfterReturn guards against an instance that leaves soon after an outage of
// the store and is kept longer than the grace period for expired registrations.
func TestLeavesAfterReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		defer f.stop()
		f.store.put(feed.Instances, "i-1", "ready")
		time.Sleep(2 * time.Second)
		f.refuseAll()
		time.Sleep(5 * time.Second)
		f.refuse()
		time.Sleep(1700 * time.Millisecond)
		f.store.put(feed.Instances, "i-1", "")
		time.Sleep(propagationLimit - 200*time.Millisecond) // 200 ms are reserved for network and processing delays
		f.expect(t, "i-1", "")
	})
}

// TestOlderRecordIgnored guards against an older record that replaces a newer one
// because an announcement delivers it later.
func TestOlderRecordIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		defer f.stop()
		f.store.put(feed.Configuration, "config", "1")
		f.store.put(feed.Configuration, "config", "2")
		time.Sleep(2 * time.Second)
		f.vms[0].feed.HandleAnnouncement("vm-9", feed.Announcement{
			Topic: feed.Configuration, From: 0, Next: 9, Complete: true,
			Records: []feed.Record{{Offset: 0, Key: "config", Value: []byte("1")}},
		})
		f.expect(t, "config", "2")
	})
}

// TestRemovalIsNotHeld guards against a VM that treats the store as unavailable because
// only its own last read failed, and therefore holds back the removal of an instance
// that has left, although other VMs can still read the store.
func TestRemovalIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		defer f.stop()
		f.store.put(feed.Instances, "i-1", "ready")
		time.Sleep(3 * time.Second)
		f.refuse(0)
		time.Sleep(3 * time.Second)
		f.store.put(feed.Instances, "i-1", "")
		time.Sleep(1500 * time.Millisecond)
		f.expect(t, "i-1", "")
	})
}

// slowSource delays the results of reads: a result lacks records that were written
// during the delay.
type slowSource struct {
	client
	delay time.Duration
}

func (s slowSource) Read(ctx context.Context, t feed.Topic, from int64) ([]feed.Record, int64, error) {
	records, next, err := s.client.Read(ctx, t, from)
	time.Sleep(s.delay)
	return records, next, err
}

// TestAnnouncedWhileReading guards against an announcement that is marked as complete but
// lacks a record, because the reader received the record from another VM while its own
// read was in progress.
func TestAnnouncedWhileReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.put(feed.Instances, "i-1", "ready")
		var mu sync.Mutex // the loops of both topics announce
		var announced []feed.Announcement
		reader := feed.New(feed.Config{
			Source: slowSource{client: client{store: s}, delay: 200 * time.Millisecond},
			Apply:  func(feed.Topic, feed.Record, bool) {},
			Announce: func(a feed.Announcement) {
				mu.Lock()
				defer mu.Unlock()
				announced = append(announced, a)
			},
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
			if s.allDelivered() { // the read that returns the record is in progress
				reader.HandleAnnouncement("vm-2", feed.Announcement{
					Topic: feed.Instances, From: 1, Next: 2, Complete: true,
					Records: []feed.Record{{Offset: 1, Key: "i-1", Value: []byte("leaving")}},
				})
			}
		}
		time.Sleep(300 * time.Millisecond)
		cancel()
		group.Wait() //nolint:errcheck // Run returns nil.
		for _, a := range announced {
			lacks := a.Topic == feed.Instances && a.Complete && a.From <= 1 && a.Next >= 2 && len(a.Records) == 0
			is.True(!lacks) // a VM that has read up to 1 would never learn of the record
		}
	})
}
