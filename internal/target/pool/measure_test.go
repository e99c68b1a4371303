package pool_test

import (
	"context"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
	"chestnutbay.dev/chestnutbay/internal/report/event"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
	"chestnutbay.dev/chestnutbay/internal/target/pool"
)

const seeds = 3

var zones = []string{"north", "south", "west"}

func deploymentA() layout {
	return layout{
		name: "A", zones: zones, vms: 48, delay: 1500 * time.Microsecond, slots: 2, ramp: 10 * time.Second, floor: 0.5, rate: 1900,
		services: map[string]int{"catalogue": 7, "custom-shop": 15, "orders": 15},
	}
}

func deploymentB() layout {
	return layout{
		name: "B", zones: zones, vms: 48, delay: 500 * time.Microsecond, slots: 3, ramp: 10 * time.Second, floor: 0.5, rate: 1900,
		services: map[string]int{"archiv": 9, "regal": 6, "rezervacie": 9},
	}
}

// strategy is one of the compared strategies of choosing targets.
type strategy struct {
	name        string
	detect      contract.Detection
	newAcquirer func(*node) pool.Acquirer
}

var strategies = []strategy{
	{"round robin", contract.DetectFast, func(n *node) pool.Acquirer { return newBaseline(n, false, false, false) }},
	{"power of two", contract.DetectFast, func(n *node) pool.Acquirer { return newBaseline(n, true, false, false) }},
	{"errors in a row", contract.DetectFast, func(n *node) pool.Acquirer { return newBaseline(n, false, true, false) }},
	{"pools, fast", contract.DetectFast, nil},
	{"pools, careful", contract.DetectCareful, nil},
}

type results struct {
	detection        [3]time.Duration // for a dead instance, failures on one route and a slow instance; negative if not detected
	falseEjections   int
	worstSuccess     float64 // success of the worst-served account while another one bursts
	refused, sent    int     // at normal load
	graySuccess      float64
	zoneP50, zoneP99 time.Duration // while a zone is taken out and brought back
	zoneSuccess      float64
	coldOverloads    int
	acquireP50       time.Duration
	acquireP99       time.Duration
}

// timedAcquirer measures how long Acquire takes.
type timedAcquirer struct {
	pool.Acquirer
	times *[]time.Duration
	fleet *fleet
}

func (a timedAcquirer) Acquire(ctx context.Context, r pool.Request) (pool.Permit, error) {
	began := time.Now()
	p, err := a.Acquirer.Acquire(ctx, r)
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	*a.times = append(*a.times, time.Since(began))
	return p, err
}

// grayFor is how long the instances have gray failures.
const grayFor = 4 * time.Second

// detectionTime returns how long an instance still got more than half of its fair
// share of the requests after its gray failure began at since. It returns a
// negative value if that did not end. Requests of a ramp after an ejection do not
// count, because they stay below half of the fair share.
func (f *fleet) detectionTime(address string, since time.Time) time.Duration {
	const window, step = 250 * time.Millisecond, 10 * time.Millisecond
	fair := f.rate / float64(len(f.targets)) * window.Seconds()
	last := time.Duration(0)
	for at := time.Duration(0); at+window <= grayFor; at += step {
		n := 0
		for _, arrived := range f.targets[address].arrivals {
			if d := arrived.Sub(since); d >= at && d < at+window {
				n++
			}
		}
		if float64(n) > fair/2 {
			last = at + step
		}
	}
	if last+window >= grayFor-window {
		return -1
	}
	return last
}

// scenario runs all measurements on one fleet, one after the other.
func scenario(t *testing.T, l layout, s strategy, seed uint64) (r results) {
	l.seed, l.detect = seed, s.detect
	run(t, l, s.newAcquirer, func(f *fleet) {
		var times []time.Duration
		for _, n := range f.nodes {
			p := n.process.Load()
			p.acquirer = timedAcquirer{Acquirer: p.acquirer, times: &times, fleet: f}
		}
		// One response in 50 is a 500 whose cause is not the instance.
		var count atomic.Int64
		for _, instance := range f.targets {
			instance.fault = func(string, string) (evidence.Outcome, bool) {
				return evidence.Outcome{Kind: evidence.Answered, Status: 500, FirstByte: 20 * time.Millisecond}, count.Add(1)%50 == 0
			}
		}
		f.warmUp()
		times = nil
		f.load(5*time.Second, 0.1)
		slices.Sort(times)
		r.acquireP50, r.acquireP99 = times[len(times)/2], times[len(times)*99/100]
		f.stats.reset()
		f.load(20*time.Second, 1)
		r.refused = f.stats.refused
		r.sent, _ = f.stats.total()
		f.measureGray(&r)
		f.measureZone(&r)
		f.stats.reset()
		f.burst(10 * time.Second)
		r.worstSuccess = f.stats.worstAccount("large0")
		_, r.coldOverloads = f.overSlots()
	})
	return r
}

func (f *fleet) measureGray(r *results) {
	gray := []string{"10.0.0.0:80", "10.1.0.1:80", "10.2.0.2:80"}
	normalFault := f.targets[gray[0]].fault
	f.targets[gray[0]].fault = alwaysFail(evidence.ConnectFailed, 0)
	f.targets[gray[1]].fault = func(_, route string) (evidence.Outcome, bool) {
		return evidence.Outcome{Kind: evidence.Answered, Status: 500, FirstByte: 5 * time.Millisecond}, route == "order"
	}
	f.targets[gray[2]].slowdown = 10
	f.stats.reset()
	began := time.Now()
	f.load(grayFor, 1)
	for n, address := range gray {
		r.detection[n] = f.detectionTime(address, began)
		f.targets[address].fault = normalFault
		f.targets[address].slowdown = 1
		r.falseEjections -= countEvents[event.Ejected](f, "target/"+address)
	}
	r.falseEjections += countEvents[event.Ejected](f, "")
	r.graySuccess = f.stats.success()
	f.load(20*time.Second, 1)
}

// measureZone takes a zone out of service, restarts its instances and brings the
// zone back.
func (f *fleet) measureZone(r *results) {
	f.stats.reset()
	f.loadWhile(30*time.Second, 1, func() {
		time.Sleep(2 * time.Second)
		f.setOut("west", true)
		time.Sleep(5 * time.Second)
		for _, instance := range f.targets {
			if instance.zone == "west" {
				instance.restart(false)
			}
		}
		time.Sleep(3 * time.Second)
		f.setOut("west", false)
	})
	r.zoneP50, r.zoneP99, r.zoneSuccess = f.stats.quantile(0.5), f.stats.quantile(0.99), f.stats.success()
}

// burst sends a large number of one account's requests in addition to the normal
// load.
func (f *fleet) burst(d time.Duration) {
	service := slices.Sorted(maps.Keys(f.services))[len(f.services)-1]
	var g errgroup.Group
	g.Go(func() error {
		end := time.Now().Add(d)
		var flood errgroup.Group
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(time.Duration(float64(time.Second) / f.rate / 0.8))
			flood.Go(func() error {
				f.request(f.nodes[n%len(f.nodes)], "large0", service, "lookup", workMean)
				return nil
			})
		}
		return flood.Wait()
	})
	f.load(d, 1)
	g.Wait()
}

// TestMeasureDeployments prints the table of docs/targets.md. Without -measure
// it runs one cell of the table. It guards against pools that, at the size of a
// whole deployment, overload cold instances or keep sending requests to instances
// with gray failures.
func TestMeasureDeployments(t *testing.T) {
	layouts, compared, count := []layout{deploymentB()}, strategies[len(strategies)-1:], 1
	if *measure {
		layouts, compared, count = []layout{deploymentA(), deploymentB()}, strategies, seeds
	}
	for _, l := range layouts {
		t.Run(l.name, func(t *testing.T) {
			is := is.New(t)
			for _, s := range compared {
				var all []results
				for seed := range uint64(count) {
					all = append(all, scenario(t, l, s, seed+1))
				}
				t.Log(l.name, "|", s.name, "|", summary(all))
				for _, r := range all {
					is.True(s.newAcquirer != nil || r.coldOverloads == 0)            // more load than cold instances can bear
					is.True(s.newAcquirer != nil || slices.Min(r.detection[:]) >= 0) // all gray failures were detected
				}
			}
		})
	}
}

func summary(all []results) string {
	var parts []string
	for n := range 3 {
		worst := time.Duration(0)
		never := 0
		for _, r := range all {
			worst = max(worst, r.detection[n])
			if r.detection[n] < 0 {
				never++
			}
		}
		if never > 0 {
			parts = append(parts, fmt.Sprintf("never in %d of %d", never, len(all)))
			continue
		}
		parts = append(parts, worst.String())
	}
	sum := results{worstSuccess: 1, graySuccess: 1, zoneSuccess: 1}
	for _, r := range all {
		sum.falseEjections += r.falseEjections
		sum.worstSuccess = min(sum.worstSuccess, r.worstSuccess)
		sum.refused += r.refused
		sum.sent += r.sent
		sum.graySuccess = min(sum.graySuccess, r.graySuccess)
		sum.zoneSuccess = min(sum.zoneSuccess, r.zoneSuccess)
		sum.zoneP50, sum.zoneP99 = max(sum.zoneP50, r.zoneP50), max(sum.zoneP99, r.zoneP99)
		sum.coldOverloads += r.coldOverloads
		sum.acquireP50, sum.acquireP99 = max(sum.acquireP50, r.acquireP50), max(sum.acquireP99, r.acquireP99)
	}
	ms := func(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d)/1e6) }
	return strings.Join(append(parts, fmt.Sprint(sum.falseEjections), fmt.Sprintf("%.4f", sum.graySuccess),
		fmt.Sprintf("%.4f", sum.worstSuccess), fmt.Sprintf("%d of %d", sum.refused, sum.sent),
		ms(sum.zoneP50), ms(sum.zoneP99), fmt.Sprintf("%.4f", sum.zoneSuccess), fmt.Sprint(sum.coldOverloads),
		ms(sum.acquireP50), ms(sum.acquireP99)), " | ")
}

// growthFleet returns a fleet of one pool owner and one other node, in the
// proportions of the design: about 40 instances per service in 11 zones.
func growthFleet(ctx context.Context, instances int) (*fleet, []*node) {
	services := max(1, instances*370/15000)
	f := &fleet{
		layout: layout{vms: 2, slots: 2, ramp: time.Millisecond, floor: 0.5, delay: time.Millisecond},
		byName: map[string]*node{}, leaseHolders: map[string]string{}, zonesOut: map[string]bool{},
		contracts: map[string]*contract.Service{}, targets: map[string]*target{}, cuts: map[[2]string]bool{},
	}
	f.group, f.ctx = errgroup.WithContext(ctx)
	routes := []contract.Route{contract.NewRoute("lookup", "/")}
	var list []roster.Instance
	for n := range instances {
		service, zone := fmt.Sprintf("s%03d", n%services), fmt.Sprintf("z%02d", n/services%11)
		list = append(list, roster.NewInstance(service, fmt.Sprintf("10.0.%d.%d:80", n/250, n%250), zone, false, time.Time{}))
		f.contracts[service] = contract.NewService(service, f.slots, 0, time.Second, routes)
	}
	f.instances.Store(&list)
	for _, name := range []string{"home", "other"} {
		f.addNode(name, "z00")
	}
	// A node owns about 4 pools at the size of the design.
	for n := range min(services, 4) {
		f.leaseHolders[pool.LeaseName(fmt.Sprintf("s%03d", n), "z00")] = "home"
	}
	for _, n := range f.nodes {
		n.start("1")
	}
	return f, f.nodes
}

// TestMeasureGrowth prints the processor time and bytes per permit, and the
// processor time and memory of an idle node that only follows the list of
// instances. Without -measure it runs the smallest size. It guards against a
// request that is refused although slots are free.
func TestMeasureGrowth(t *testing.T) {
	sizes, acquires := []int{37}, 1000
	if *measure {
		sizes, acquires = []int{37, 370, 3700, 15000}, 20000
	}
	for _, instances := range sizes {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			before := heapBytes()
			f, nodes := growthFleet(ctx, instances)
			time.Sleep(time.Second)
			began := processorTime()
			time.Sleep(100 * time.Second)
			idle := (processorTime() - began) / 100 / 2
			acquire := func(n int) {
				r := pool.Request{Service: fmt.Sprintf("s%03d", n%min(len(f.contracts), 4)), Route: "lookup", Account: "a"}
				p, err := nodes[1].pools.Acquire(ctx, r)
				if err != nil {
					t.Fatal(err)
				}
				p.Done(evidence.Outcome{Kind: evidence.Answered, Status: 200, FirstByte: 10 * time.Millisecond})
			}
			for n := range 2000 {
				acquire(n)
				time.Sleep(20 * time.Millisecond)
			}
			f.bytes.Store(0)
			virtualStart := time.Now()
			began = processorTime()
			for n := range acquires {
				acquire(n)
				time.Sleep(8 * time.Millisecond)
			}
			spent := processorTime() - began
			spent -= time.Duration(float64(idle) * 2 * time.Since(virtualStart).Seconds())
			fmt.Printf("%d | %.1f us | %.0f | %.3f%% | %.1f MB\n", instances,
				float64(spent)/float64(acquires)/1e3, float64(f.bytes.Load())/float64(acquires),
				100*idle.Seconds(), float64(heapBytes()-before)/2e6)
			cancel()
			f.group.Wait()
		})
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
