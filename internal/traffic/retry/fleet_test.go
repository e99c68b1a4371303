package retry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/traffic/retry"
)

// The users' upper bound of the retries within any 10 s: 0.2 of the requests plus 64.
const (
	ratio = 0.2
	slack = 64.0
)

// outage simulates an outage of a service: 50 requests per second, which all fail, with
// reports every 100 ms. It records when requests and retries were sent.
type outage struct {
	fleet             []*retry.FleetBudget
	requests, retries []time.Time
	sent              int
}

func newOutage(vms int) *outage {
	o := &outage{fleet: make([]*retry.FleetBudget, vms)}
	o.restart()
	return o
}

// restart replaces all VMs by new ones without counts.
func (o *outage) restart() {
	for i := range o.fleet {
		o.fleet[i] = retry.NewFleetBudget(retry.FleetConfig{Ratio: ratio, Slack: slack})
	}
}

// run sends requests for the duration d.
func (o *outage) run(d time.Duration) {
	for start := time.Now(); time.Since(start) < d; time.Sleep(100 * time.Millisecond) {
		for range 5 {
			// Seven is coprime to the sizes of the fleets, so all VMs get requests.
			b := o.fleet[o.sent*7%len(o.fleet)]
			o.sent++
			b.Request("orders")
			o.requests = append(o.requests, time.Now())
			if b.Take("orders") {
				o.retries = append(o.retries, time.Now())
			}
		}
		exchangeReports(o.fleet)
	}
}

// check fails the test if more retries than allowed were sent within any 10 s.
func (o *outage) check(t *testing.T) {
	t.Helper()
	for _, from := range o.retries {
		requests, retries := countWithin(o.requests, from), countWithin(o.retries, from)
		if float64(retries) > ratio*float64(requests)+slack {
			t.Fatalf("%d retries for %d requests within 10 s", retries, requests)
		}
	}
}

// countWithin returns how many of the times lie in the 10 s that begin at from.
func countWithin(list []time.Time, from time.Time) int {
	n := 0
	for _, at := range list {
		if d := at.Sub(from); d >= 0 && d < 10*time.Second {
			n++
		}
	}
	return n
}

// TestFleetBudget guards against VMs that each stay within the bound but together send
// more retries within some 10 s than the fleet may.
func TestFleetBudget(t *testing.T) {
	for _, vms := range []int{1, 2, 48, 300} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newOutage(vms)
				o.run(30 * time.Second)
				o.check(t)
				is.True(len(o.retries) >= 3*50) // half of the allowed retries can be used
			})
		})
	}
}

// TestFleetBudgetAfterRestart guards against a fleet that uses the slack a second time
// within the same 10 s after all its VMs have restarted.
func TestFleetBudgetAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOutage(32)
		o.run(15 * time.Second)
		o.restart()
		o.run(15 * time.Second)
		o.check(t)
	})
}

// exchangeReports passes the reports of every VM to all others.
func exchangeReports(fleet []*retry.FleetBudget) {
	for i, from := range fleet {
		reports := from.Reports()
		for j, to := range fleet {
			if i != j {
				to.Observe(fmt.Sprintf("vm-%d", i), 1, reports, false)
			}
		}
	}
}

// TestFleetBudgetOfIsolatedVM guards against a VM that reaches no other VM and uses the
// slack of the whole fleet.
func TestFleetBudgetOfIsolatedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := retry.NewFleetBudget(retry.FleetConfig{Ratio: ratio, Slack: slack, Heard: func() float64 { return 1.0 / 32 }})
		time.Sleep(time.Minute)
		n := 0
		for b.Take("orders") {
			n++
		}
		is.True(n > 0 && n <= 2)
	})
}

// TestFleetBudgetExpiry guards against counting retries for longer than a window, and
// against misreading the counts of another VM that start again from 0 after its restart.
func TestFleetBudgetExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := retry.NewFleetBudget(retry.FleetConfig{Ratio: 0.2, Slack: 4})
		b.Observe("vm-2", 1, []retry.Report{{Service: "orders", Requests: 10, Retries: 5}}, false)
		is.True(!b.Take("orders"))
		b.Observe("vm-2", 2, []retry.Report{{Service: "orders", Requests: 1}}, false)
		requests, retries := b.Counts("orders")
		is.Equal(requests, 11)
		is.Equal(retries, 5)
		time.Sleep(retry.Window + 3*time.Second)
		is.True(b.Take("orders"))
	})
}
