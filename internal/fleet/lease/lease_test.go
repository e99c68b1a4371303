package lease_test

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/fleet/lease"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// voters is a set of tables that exchange heartbeats step by step, with messages
// lost at random.
type voters struct {
	t           *testing.T
	rng         *rand.Rand
	tables      []*lease.Table
	cancel      []context.CancelFunc
	startCount  []int
	down        map[int]bool
	cutLinks    map[[2]int]bool
	lossRate    float64
	group       errgroup.Group
	names       []string
	doubleHolds []string
	events      event.Ring
	rank        func(node int, name string) int
}

// rankByNumber prefers the lower number for every name.
func rankByNumber(node int, _ string) int { return node }

func newVoters(t *testing.T, n int, names ...string) *voters {
	v := newStoppedVoters(t, n, names...)
	for i := range n {
		v.start(i)
	}
	return v
}

func newStoppedVoters(t *testing.T, n int, names ...string) *voters {
	return &voters{
		t: t, rng: rand.New(rand.NewPCG(3, uint64(n))), tables: make([]*lease.Table, n), cancel: make([]context.CancelFunc, n),
		startCount: make([]int, n), down: make(map[int]bool), cutLinks: make(map[[2]int]bool), names: names, rank: rankByNumber,
	}
}

func (v *voters) start(i int) {
	var ctx context.Context
	ctx, v.cancel[i] = context.WithCancel(context.Background())
	v.startCount[i]++
	t := lease.New(lease.Config{
		Self: fmt.Sprint(i), Incarnation: fmt.Sprint(v.startCount[i]), Quorum: func() int { return len(v.tables)/2 + 1 },
		Rank: func(name string) int { return v.rank(i, name) }, Events: &v.events,
	})
	t.SetNames(v.names)
	v.tables[i] = t
	delete(v.down, i)
	v.group.Go(func() error { return t.Run(ctx) })
}

func (v *voters) stop(i int) {
	v.cancel[i]()
	v.down[i] = true
}

// exchange exchanges heartbeats for some time and checks all along that no name has
// two holders.
func (v *voters) exchange(length time.Duration) {
	end := time.Now().Add(length)
	next := make([]time.Time, len(v.tables))
	for time.Now().Before(end) {
		for i, t := range v.tables {
			urgent := false
			select {
			case <-t.Urgent():
				urgent = true
			default:
			}
			if !v.down[i] && (urgent || !time.Now().Before(next[i])) {
				next[i] = time.Now().Add(1500 * time.Millisecond)
				v.heartbeat(i)
			}
		}
		for _, name := range v.names {
			if h := v.holders(name); len(h) > 1 {
				v.doubleHolds = append(v.doubleHolds, fmt.Sprint(name, h, time.Now()))
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (v *voters) heartbeat(i int) {
	sent := clock.Now()
	claims := v.tables[i].Claims()
	for j, peer := range v.tables {
		if j == i || v.down[j] || v.cutLinks[[2]int{i, j}] || v.rng.Float64() < v.lossRate {
			continue
		}
		votes := peer.Vote(fmt.Sprint(i), fmt.Sprint(v.startCount[i]), claims)
		if v.cutLinks[[2]int{j, i}] || v.rng.Float64() < v.lossRate {
			continue
		}
		v.tables[i].Count(fmt.Sprint(j), sent, votes)
	}
}

func (v *voters) holders(name string) (list []int) {
	for i, t := range v.tables {
		if _, ok := t.Holds(name); ok && !v.down[i] {
			list = append(list, i)
		}
	}
	return list
}

func (v *voters) stopAll() {
	for _, cancel := range v.cancel {
		cancel()
	}
	v.group.Wait()
}

// TestEachNameHasOneHolder guards election, renewal, failover and the uniqueness
// of holders under failures of voters and links.
func TestEachNameHasOneHolder(t *testing.T) {
	for _, tt := range []struct {
		name    string
		act     func(v *voters)
		timeout time.Duration // time until every name has a holder again
		holder  int           // expected holder, or -1 for any
	}{
		{name: "the preferred node is not elected", act: func(*voters) {}, timeout: 0, holder: 0},
		{name: "a dead holder is not replaced", act: func(v *voters) { v.stop(0) }, timeout: 6 * time.Second, holder: 1},
		{name: "two dead nodes of five block the election", act: func(v *voters) { v.stop(0); v.stop(1) }, timeout: 7 * time.Second, holder: 2},
		{name: "a returning preferred node takes the lease away", act: func(v *voters) {
			v.stop(0)
			v.exchange(8 * time.Second)
			v.start(0)
		}, timeout: 6 * time.Second, holder: 1},
		{name: "a holder that receives but cannot send keeps the lease", act: func(v *voters) {
			for j := range v.tables {
				v.cutLinks[[2]int{0, j}] = true
			}
		}, timeout: 8 * time.Second, holder: 1},
		{name: "a released lease is not taken over before the votes expire", act: func(v *voters) {
			names := v.tables[0].ReleaseAll()
			for i, peer := range v.tables {
				if i > 0 {
					peer.EndVotes("0", "1", names)
				}
			}
		}, timeout: 1500 * time.Millisecond, holder: 1},
		{name: "lost heartbeats leave names without a holder", act: func(v *voters) { v.lossRate = 0.2 }, timeout: 8 * time.Second, holder: -1},
		{name: "voters restarted in turn vote for two holders", act: func(v *voters) {
			for i := 1; i < 5; i++ {
				v.stop(i)
				v.start(i)
				v.exchange(time.Second)
			}
		}, timeout: 12 * time.Second, holder: -1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newVoters(t, 5, "account/00", "account/01", "pool/orders/north")
				v.exchange(8 * time.Second)
				tt.act(v)
				v.exchange(tt.timeout)
				for _, name := range v.names {
					h := v.holders(name)
					is.Equal(len(h), 1) // one holder per name
					if tt.holder >= 0 && len(h) == 1 {
						is.Equal(h[0], tt.holder) // the expected holder
					}
				}
				v.exchange(20 * time.Second)
				is.Equal(len(v.doubleHolds), 0) // never two holders
				v.stopAll()
			})
		})
	}
}

func rendezvousWeight(node int, name string) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, node, name)
	return h.Sum64() * 0x9e3779b97f4a7c15
}

// TestElectionWithAThirdGone guards the time to elect new holders after a third
// of the nodes has died, which must stay below 8 s.
func TestElectionWithAThirdGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var names []string
		for i := range 64 {
			names = append(names, fmt.Sprintf("account/%02d", i))
		}
		v := newStoppedVoters(t, 48, names...)
		v.rank = func(node int, name string) int { // rendezvous hashing
			rank := 0
			for other := range 48 {
				if rendezvousWeight(other, name) > rendezvousWeight(node, name) {
					rank++
				}
			}
			return rank
		}
		for i := range 48 {
			v.start(i)
		}
		v.exchange(12 * time.Second)
		for i := range 16 {
			v.stop(i)
		}
		start := time.Now()
		vacant := func(name string) bool { return len(v.holders(name)) == 0 }
		for slices.ContainsFunc(names, vacant) && time.Since(start) < time.Minute {
			v.exchange(100 * time.Millisecond)
		}
		t.Logf("64 names have holders %s after 16 of 48 nodes died", time.Since(start))
		is.True(time.Since(start) < 8*time.Second)
		is.Equal(len(v.doubleHolds), 0)
		v.stopAll()
	})
}

// TestStaleMessagesDoNoHarm guards against messages that end a vote too early: a
// late list of claims, and a release by a process that does not have the vote.
func TestStaleMessagesDoNoHarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		voter := lease.New(lease.Config{Self: "v", Quorum: func() int { return 2 }, Rank: func(string) int { return -1 }})
		is.Equal(len(voter.Vote("a", "1", lease.Claims{Sequence: 1, Names: []string{"x"}}).Denied), 1) // a new voter waits
		time.Sleep(lease.TTL)
		empty := lease.Claims{Sequence: 1}
		claims := lease.Claims{Sequence: 2, Names: []string{"x"}}
		is.Equal(len(voter.Vote("a", "1", claims).Denied), 0)
		voter.Vote("a", "1", empty) // arrives after a later list
		d := voter.Vote("b", "1", lease.Claims{Sequence: 1, Names: []string{"x"}}).Denied
		is.Equal(len(d), 1) // the vote stands
		is.Equal(d[0].Holder, "a")
		voter.EndVotes("b", "1", []string{"x"})
		is.Equal(len(voter.Vote("b", "1", lease.Claims{Sequence: 2, Names: []string{"x"}}).Denied), 1)
		voter.Vote("a", "1", lease.Claims{Sequence: 3})
		is.Equal(len(voter.Vote("b", "1", lease.Claims{Sequence: 3, Names: []string{"x"}}).Denied), 0) // withdrawn
		is.Equal(len(voter.Vote("b", "2", claims).Denied), 1)                                          // another process on the same VM
	})
}

// leaseNames returns the lease names of a fleet of n nodes: 64 partitions for
// any n, and pools in proportion to n. The design size of 1,100 nodes has 370
// services in 11 AZs.
func leaseNames(n int) (list []string) {
	for i := range 64 {
		list = append(list, fmt.Sprintf("account/%02d", i))
	}
	for i := range 370 * 11 * n / 1100 {
		list = append(list, fmt.Sprintf("pool/service-%03d/zone-%02d", i/11, i%11))
	}
	return list
}

// BenchmarkHeartbeatVote measures a voter's work and the message sizes for one
// heartbeat with the claims of one node of n, while the votes for all names are
// given.
func BenchmarkHeartbeatVote(b *testing.B) {
	for _, n := range []int{2, 12, 48, 275, 1100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			names := leaseNames(n)
			voter := lease.New(lease.Config{Self: "v", Quorum: func() int { return n/2 + 1 }, Rank: func(string) int { return -1 }, Clock: longRunningClock{}})
			voter.SetNames(names)
			claims := make([][]byte, n)
			for i := range n {
				c := lease.Claims{Sequence: 1}
				for j := i; j < len(names); j += n {
					c.Names = append(c.Names, names[j])
				}
				claims[i], _ = json.Marshal(c)
			}
			i, claimBytes, voteBytes := 0, 0, 0
			for b.Loop() {
				var c lease.Claims
				json.Unmarshal(claims[i%n], &c)
				out, _ := json.Marshal(voter.Vote(fmt.Sprint(i%n), "1", c))
				claimBytes += len(claims[i%n])
				voteBytes += len(out)
				i++
			}
			b.ReportMetric(float64(len(names)), "names")
			b.ReportMetric(float64(claimBytes)/float64(i), "claimB")
			b.ReportMetric(float64(voteBytes)/float64(i), "voteB")
		})
	}
}

// BenchmarkHeartbeatCount measures a holder's work to count the votes of one of n
// peers.
func BenchmarkHeartbeatCount(b *testing.B) {
	for _, n := range []int{2, 12, 48, 275, 1100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := lease.New(lease.Config{Self: "0", Quorum: func() int { return n/2 + 1 }, Rank: func(string) int { return 0 }, Clock: longRunningClock{}})
			t.SetNames(leaseNames(n)[:max(len(leaseNames(n))/n, 1)])
			ctx, cancel := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error { return t.Run(ctx) })
			for len(t.Claims().Names) == 0 {
				time.Sleep(time.Millisecond)
			}
			i := 0
			for b.Loop() {
				t.Count(fmt.Sprint(i%n), clock.Now(), lease.Votes{Sequence: t.Claims().Sequence})
				i++
			}
			cancel()
			group.Wait()
		})
	}
}

// longRunningClock makes a table behave as if it had been running for longer than TTL.
type longRunningClock struct{ clock.System }

func (longRunningClock) Monotonic(m clock.Mark) time.Duration {
	if e := (clock.System{}).Monotonic(m); e > time.Millisecond {
		return e + lease.TTL
	}
	return lease.TTL
}
