package balancer_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/target/balancer"
	"chestnutbay.dev/chestnutbay/internal/target/directory"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

const warmupRate = 2.5 // requests per second that a cold instance may get

// fleet is a number of VMs with one directory. The VMs receive each other's reports
// when exchangeReports is called.
type fleet struct {
	vms       []*balancer.Balancer
	directory directory.Directory
}

// hashOwnership assigns each name to one VM, as rendezvous hashing does.
type hashOwnership struct{ vm, vms int }

func (r hashOwnership) Owns(name string) bool {
	h := 0
	for _, c := range name {
		h = (h*31 + int(c)) % 1000003
	}
	return h%r.vms == r.vm
}

type warmup struct{}

func (warmup) WarmupRate(string) float64 { return warmupRate }

func newFleet(vms, instances int) *fleet {
	f := &fleet{}
	for i := range instances {
		f.directory.Put(directory.NewInstance(directory.Registration{
			ID: fmt.Sprintf("i-%d", i), Service: "orders", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "north", Slots: 2, Started: 1,
		}))
	}
	for i := range vms {
		f.vms = append(f.vms, balancer.New(balancer.Config{Directory: &f.directory, Warmup: warmup{}, Fleet: hashOwnership{vm: i, vms: vms}, Zone: "north"}))
	}
	return f
}

// exchangeReports passes the reports of every VM to all others.
func (f *fleet) exchangeReports() {
	for i, from := range f.vms {
		reports := from.Reports()
		for j, to := range f.vms {
			if i != j {
				to.Observe(fmt.Sprintf("vm-%d", i), 1, reports, false)
			}
		}
	}
}

func (f *fleet) choose(t *testing.T, vm int) *balancer.Choice {
	t.Helper()
	c, err := f.vms[vm].Choose(balancer.Request{Service: "orders"})
	is.New(t).NoErr(err)
	return c
}

var (
	good = evidence.Outcome{Kind: evidence.Answered, Status: 200}
	bad  = evidence.Outcome{Kind: evidence.Answered, Status: 500}
)

// TestFailureIsShared guards against a VM that sends requests to an instance at which
// a request of another VM has just failed, and against an instance that is never used
// again after a failure.
func TestFailureIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, 4)
		c := f.choose(t, 0)
		failed := c.Instance().ID()
		c.Done(bad)
		f.exchangeReports()
		for vm := range f.vms {
			for range 20 {
				c := f.choose(t, vm)
				is.True(c.Instance().ID() != failed)
				c.Done(good)
			}
		}
		time.Sleep(time.Minute)
		seen := false
		var held []*balancer.Choice
		for range 8 { // as many as there are slots
			c := f.choose(t, 1)
			seen = seen || c.Instance().ID() == failed
			held = append(held, c)
		}
		is.True(seen) // the instance is used again
		for _, c := range held {
			c.Done(good)
		}
	})
}

// TestAbsentIsShared guards against VMs that still use an instance which other VMs
// have found to be down: one VM got a response from another instance at its address,
// or two VMs could not reach it.
func TestAbsentIsShared(t *testing.T) {
	wrongInstance := evidence.Outcome{Kind: evidence.Refused, Status: 421}
	unreached := evidence.Outcome{Kind: evidence.ConnectFailed}
	tests := []struct {
		name     string
		outcomes []evidence.Outcome // one per VM, from the first
	}{
		{name: "an instance whose address another instance has taken was used", outcomes: []evidence.Outcome{wrongInstance}},
		{name: "an instance that two VMs could not reach was used", outcomes: []evidence.Outcome{unreached, unreached}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(4, 1)
				for vm, outcome := range tt.outcomes {
					f.choose(t, vm).Done(outcome)
				}
				f.exchangeReports()
				f.directory.Put(directory.NewInstance(directory.Registration{
					ID: "i-other", Service: "orders", Address: "10.0.0.9:80", Zone: "north", Slots: 1, Started: 1,
				}))
				for range 4 {
					is.Equal(f.choose(t, 3).Instance().ID(), "i-other")
				}
			})
		})
	}
}

// TestGrayFailure guards against requests that keep going to an instance while it
// fails most of them, and against healthy instances that get no more requests after
// single errors.
func TestGrayFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8, 8)
		random := rand.New(rand.NewPCG(1, 2))
		failures, sent := 0, make(map[string]int)
		// i-0 is gray for 9 s and fails three of four requests; all others fail 1 in
		// 80. The load is 50 requests per second that take 250 ms each.
		for tick := range 900 {
			c := f.choose(t, tick%len(f.vms))
			id := c.Instance().ID()
			sent[id]++
			failureShare := 1.0 / 80
			if id == "i-0" && tick < 450 {
				failureShare = 0.75
			}
			outcome := good
			if random.Float64() < failureShare {
				outcome = bad
				if id == "i-0" && tick < 450 {
					failures++
				}
			}
			time.AfterFunc(250*time.Millisecond, func() { c.Done(outcome) })
			time.Sleep(20 * time.Millisecond)
			f.exchangeReports()
		}
		time.Sleep(time.Second)
		is.True(failures <= 3)
		is.Equal(len(sent), 8)
	})
}

// TestOwnZone guards against requests that cross availability zones although their own
// zone has free instances, and against overloading the instances of one zone while
// those of other zones are free.
func TestOwnZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, each = 9, 27
		f := newFleet(0, 0)
		for i := range 3 * each {
			f.directory.Put(directory.NewInstance(directory.Registration{
				ID: fmt.Sprintf("i-%d", i), Service: "orders", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: fmt.Sprint("zone-", i%3), Slots: 2, Started: 1,
			}))
		}
		for i := range vms {
			f.vms = append(f.vms, balancer.New(balancer.Config{Directory: &f.directory, Zone: fmt.Sprint("zone-", i%3)}))
		}
		// sendRequests sends requests for 4 s, each from the VM that vm returns. A
		// request takes 200 ms. The result is the share of requests that stay in the
		// zone of their VM.
		sendRequests := func(perSecond int, vm func(n int) int) float64 {
			inOwnZone := 0
			for n := range 4 * perSecond {
				v := vm(n)
				c := f.choose(t, v)
				if c.Instance().Zone() == fmt.Sprint("zone-", v%3) {
					inOwnZone++
				}
				time.AfterFunc(200*time.Millisecond, func() { c.Done(good) })
				time.Sleep(time.Second / time.Duration(perSecond))
				if n%8 == 0 {
					f.exchangeReports()
				}
			}
			time.Sleep(time.Second)
			return float64(inOwnZone) / float64(4*perSecond)
		}
		even := sendRequests(150, func(n int) int { return n % vms }) // a fifth of the slots
		if even < 0.6 {
			t.Errorf("%.2f of the requests stay in their zone", even)
		}
		// All requests come to one zone, which has slots for 270 a second.
		if shifted := sendRequests(500, func(n int) int { return n % 3 * 3 }); shifted > 0.6 {
			t.Errorf("%.2f of the requests stay in a zone that has slots for 0.54", shifted)
		}
	})
}

// TestLate guards against avoiding healthy instances because some requests take longer
// than their timeout on any instance, and against sending request after request to an
// instance that does not answer at all.
func TestLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 2)
		timedOut := evidence.Outcome{Kind: evidence.TimedOut}
		first := f.choose(t, 0)
		first.Done(good)
		for range 10 {
			f.choose(t, 0).Done(good)
			time.Sleep(300 * time.Millisecond)
		}
		c := f.choose(t, 0)
		c.Done(timedOut)
		for f.choose(t, 0).Instance() != c.Instance() { // choices of other instances stay in progress
		}
		is.True(f.choose(t, 0).View().Gray < 0.5)
		c.Done(timedOut)
		hanging := f.choose(t, 0)
		hanging.Done(timedOut)
		for range 20 {
			other := f.choose(t, 0)
			other.Done(good)
			is.True(other.Instance() != hanging.Instance())
		}
	})
}

// TestUnreachableIsNotShared guards against all VMs avoiding an instance that only one
// of them cannot reach.
func TestUnreachableIsNotShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 2)
		c := f.choose(t, 0)
		lost := c.Instance().ID()
		c.Done(evidence.Outcome{Kind: evidence.ConnectFailed})
		f.exchangeReports()
		is.True(f.choose(t, 0).Instance().ID() != lost)
		seen := false
		for range 4 {
			seen = seen || f.choose(t, 1).Instance().ID() == lost
		}
		is.True(seen)
	})
}

// TestManyVMs guards against VMs that all choose the same instance before they receive
// each other's reports: 100 VMs, 80 instances with 2 slots, about 40 requests in
// progress, reports every 100 ms.
func TestManyVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(100, 80)
		random := rand.New(rand.NewPCG(3, 4))
		var mu sync.Mutex
		busy := make(map[string]int)
		queued, total := 0, 0
		for tick := range 2000 { // 10 s
			for range 1 + tick%2 { // 300 a second on average
				c := f.choose(t, random.IntN(len(f.vms)))
				id := c.Instance().ID()
				total++
				mu.Lock()
				if busy[id] >= 2 {
					queued++
				}
				busy[id]++
				mu.Unlock()
				time.AfterFunc(130*time.Millisecond, func() {
					mu.Lock()
					busy[id]--
					mu.Unlock()
					c.Done(good)
				})
			}
			time.Sleep(5 * time.Millisecond)
			if tick%20 == 0 {
				f.exchangeReports()
			}
		}
		time.Sleep(time.Second)
		if share := float64(queued) / float64(total); share > 0.5 {
			t.Errorf("%.2f of the requests wait though half of the slots are free", share)
		}
	})
}

// TestLoadIsShared guards against VMs that balance only their own requests and send a
// request to an instance with both slots in use while other slots are free.
func TestLoadIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(8, 4)
		at := make(map[string]int)
		for vm := range f.vms {
			at[f.choose(t, vm).Instance().ID()]++
			f.exchangeReports()
		}
		for id, n := range at {
			if n != 2 {
				t.Errorf("%s has %d of 8 requests at 4 instances", id, n)
			}
		}
		is.Equal(len(at), 4)
	})
}

// TestFloor guards against sending all requests to a few instances. The floor (the
// share of healthy instances that must get requests) applies as soon as many requests
// end without a successful response, which may happen without a warning, as when all
// VMs lose power.
func TestFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		unserved := 0.0
		f := newFleet(8, 14)
		for i := range f.vms {
			f.vms[i] = balancer.New(balancer.Config{Directory: &f.directory, Zone: "north", RecentTraffic: func(string) (float64, float64) { return 40, unserved }})
		}
		sendRequests := func(d time.Duration) int {
			used := make(map[string]bool)
			for tick := range int(d.Seconds() * 40) { // 40 requests a second that take 100 ms
				c := f.choose(t, tick%len(f.vms))
				used[c.Instance().ID()] = true
				time.AfterFunc(100*time.Millisecond, func() { c.Done(good) })
				time.Sleep(25 * time.Millisecond)
				f.exchangeReports()
			}
			return len(used)
		}
		for i := range 5 { // five instances look gray
			c := f.choose(t, i)
			c.Done(bad)
			f.exchangeReports()
		}
		const usageWindow = 2 * time.Second     // users expect a request at an instance within this time
		is.True(sendRequests(usageWindow) < 10) // the failed instances get no requests
		sendRequests(usageWindow)
		is.True(float64(sendRequests(usageWindow)) >= 0.7*14)
		unserved = 0.3
		sendRequests(usageWindow)
		is.True(float64(sendRequests(usageWindow)) >= 0.9*14)
		time.Sleep(time.Second)
	})
}

// TestFloorOfHealthyInstances guards against healthy instances that get no request for
// 2 s while many requests fail. This happens when each VM sends few requests, receives
// late which instances the others use, and counts unhealthy instances towards the
// floor. Of 38 instances, 15 fail 0.8 of their requests and 13 fail 0.3; the other 10
// fail 0.05.
func TestFloorOfHealthyInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, instances, healthy, perSecond = 107, 38, 10, 88
		f := newFleet(vms, instances)
		for i := range f.vms {
			f.vms[i] = balancer.New(balancer.Config{Directory: &f.directory, Zone: "north", RecentTraffic: func(string) (float64, float64) { return perSecond, 0.13 }})
		}
		var mu sync.Mutex // guards random and lastUsed, which timers use as well
		random := rand.New(rand.NewPCG(3, 4))
		// lastUsed holds the time of each instance's last request. A failure sets
		// it 2 s into the future, because users do not expect requests at an
		// instance within 2 s of a failure.
		var lastUsed [instances]time.Time
		fails := func(i int) bool {
			switch {
			case i < healthy:
				return random.Float64() < 0.05
			case i < healthy+15:
				return random.Float64() < 0.8
			}
			return random.Float64() < 0.3
		}
		end := func(c *balancer.Choice, i int) {
			mu.Lock()
			defer mu.Unlock()
			if fails(i) {
				lastUsed[i] = time.Now().Add(2 * time.Second)
				c.Done(bad)
				return
			}
			c.Done(good)
		}
		// begin sends a request and returns how many healthy instances got none for 2 s.
		begin := func() (unused int) {
			mu.Lock()
			defer mu.Unlock()
			c := f.choose(t, random.IntN(vms))
			var i int
			fmt.Sscanf(c.Instance().ID(), "i-%d", &i) //nolint:errcheck // newFleet gave all instances such an ID.
			lastUsed[i] = time.Now()
			time.AfterFunc(200*time.Millisecond, func() { end(c, i) })
			for _, at := range lastUsed[:healthy] {
				if time.Since(at) > 2*time.Second {
					unused++
				}
			}
			return unused
		}
		for n := range 15 * perSecond {
			unused := begin()
			time.Sleep(time.Second / perSecond)
			if n%(perSecond/4) == 0 { // reports every 250 ms
				f.exchangeReports()
			}
			if n > 5*perSecond && unused > 3 { // the floor is 0.7
				t.Fatalf("%d of %d healthy instances got no request for 2 s", unused, healthy)
			}
		}
		time.Sleep(time.Second)
	})
}

// TestColdInstance guards against a cold instance that gets more requests from all VMs
// together than its warmup rate allows, when every VM has requests for it.
func TestColdInstance(t *testing.T) {
	for _, vms := range []int{1, 48, 1100} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(vms, 1)
				f.directory.MarkZoneCold("north", func(string) time.Time { return time.Now().Add(time.Hour) })
				var sent []time.Time
				for range 40 {
					time.Sleep(50 * time.Millisecond)
					for vm := range f.vms {
						c, err := f.vms[vm].Choose(balancer.Request{Service: "orders"})
						if errors.Is(err, balancer.ErrNoInstance) {
							continue
						}
						sent = append(sent, time.Now())
						c.Done(good)
					}
				}
				is := is.New(t)
				is.True(len(sent) > 0) // the cold instance gets requests at all
				for i := range sent {
					n := 0
					for _, at := range sent[i:] {
						if at.Sub(sent[i]) < time.Second {
							n++
						}
					}
					// The users' upper bound: 1.5 times the warmup rate, plus 5.
					if float64(n) > warmupRate*1.5+5 {
						t.Fatalf("%d requests within a second at a cold instance", n)
					}
				}
			})
		})
	}
}

// TestStartedAgain guards against avoiding a restarted instance for failures before its
// restart, and against misreading the counts that start again from 0.
func TestStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 1)
		f.choose(t, 0).Done(bad)
		f.exchangeReports()
		f.directory.Put(directory.NewInstance(directory.Registration{
			ID: "i-0", Service: "orders", Address: "10.0.0.0:80", Zone: "north", Slots: 2, Started: 2,
		}))
		c := f.choose(t, 1)
		is.True(c.View().Gray < 0.2)
		c.Done(good)
		f.choose(t, 0).Done(good)
		f.exchangeReports()
		is.True(f.choose(t, 1).View().Gray < 0.2)
	})
}

// TestBaseline guards against a newly started VM that counts the old failures in
// other VMs' reports as new failures.
func TestBaseline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 1)
		reports := []balancer.Report{{Instance: "i-0", Started: 50, Succeeded: 40, Failed: 10}}
		f.vms[0].Observe("vm-9", 1, reports, true)
		is.True(f.choose(t, 0).View().Gray < 0.2)
		reports[0].Failed++
		f.vms[0].Observe("vm-9", 1, reports, true)
		is.True(f.choose(t, 0).View().Gray > 0.5)
	})
}

// TestPause guards against requests to an instance that refused one with a Retry-After:
// from the VM that it told, until the time is over, also by way of the requests that
// bring unused instances into use, and while all other instances are gray.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const pause = 6 * time.Second
		f := newFleet(2, 3)
		f.vms[0] = balancer.New(balancer.Config{Directory: &f.directory, Zone: "north", RecentTraffic: func(string) (float64, float64) { return 40, 0.3 }})
		paused := f.choose(t, 0)
		paused.Done(evidence.Outcome{Kind: evidence.Refused, Status: 503, RetryAfter: pause})
		is.Equal(f.vms[0].RetryAfter("orders"), time.Duration(0)) // two others take requests
		seen := make(map[string]bool)
		for start := time.Now(); time.Since(start) < pause-time.Second; time.Sleep(50 * time.Millisecond) {
			c := f.choose(t, 0)
			is.True(c.Instance().ID() != paused.Instance().ID())
			c.Done(bad)
			f.exchangeReports()
			other := f.choose(t, 1)
			seen[other.Instance().ID()] = true
			other.Done(good)
		}
		is.True(seen[paused.Instance().ID()]) // the other VM was not asked to wait
		for range 2 {
			f.choose(t, 0).Done(evidence.Outcome{Kind: evidence.Refused, Status: 503, RetryAfter: pause})
		}
		_, err := f.vms[0].Choose(balancer.Request{Service: "orders"})
		is.True(errors.Is(err, balancer.ErrNoInstance))
		wait := f.vms[0].RetryAfter("orders")
		is.True(wait > 0 && wait <= time.Second) // the first one returns
		time.Sleep(wait)
		is.Equal(f.choose(t, 0).Instance().ID(), paused.Instance().ID())
	})
}

// TestForgetVM guards against counting the requests of a VM that left the fleet as still
// in progress.
func TestForgetVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 1)
		f.vms[0].Observe("vm-9", 1, []balancer.Report{{Instance: "i-0", InFlight: 2}}, false)
		is.Equal(f.choose(t, 0).View().InFlight, 2)
		f.vms[0].ForgetVM("vm-9")
		is.Equal(f.choose(t, 0).View().InFlight, 1) // this VM's own
	})
}
