package retry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/traffic/retry"
)

// The users' bound on repeats: 0.2 of the requests and 64 within any 10 s.
const (
	ratio = 0.2
	slack = 64.0
)

// outage plays requests that all fail, 50 a second, with reports every 100 ms, and
// keeps when requests and repeats were sent.
type outage struct {
	fleet             []*retry.FleetBudget
	requests, repeats []time.Time
	sent              int
}

func newOutage(vms int) *outage {
	o := &outage{fleet: make([]*retry.FleetBudget, vms)}
	o.restart()
	return o
}

// restart replaces all VMs, which know nothing of before.
func (o *outage) restart() {
	for i := range o.fleet {
		o.fleet[i] = retry.NewFleetBudget(retry.FleetConfig{Ratio: ratio, Slack: slack})
	}
}

func (o *outage) play(d time.Duration) {
	for start := time.Now(); time.Since(start) < d; time.Sleep(100 * time.Millisecond) {
		for range 5 {
			// Seven is prime to the sizes of the fleets, so all VMs get requests.
			b := o.fleet[o.sent*7%len(o.fleet)]
			o.sent++
			b.Request("orders")
			o.requests = append(o.requests, time.Now())
			if b.Take("orders") {
				o.repeats = append(o.repeats, time.Now())
			}
		}
		shareBudgets(o.fleet)
	}
}

// check fails if any 10 s have more repeats than allowed.
func (o *outage) check(t *testing.T) {
	t.Helper()
	for _, from := range o.repeats {
		requests, repeats := within(o.requests, from), within(o.repeats, from)
		if float64(repeats) > ratio*float64(requests)+slack {
			t.Fatalf("%d repeats for %d requests within 10 s", repeats, requests)
		}
	}
}

func within(list []time.Time, from time.Time) int {
	n := 0
	for _, at := range list {
		if d := at.Sub(from); d >= 0 && d < 10*time.Second {
			n++
		}
	}
	return n
}

// TestFleetBudget guards against repeats that each VM allows for itself and that
// add up to more than the fleet may send in some 10 s.
func TestFleetBudget(t *testing.T) {
	for _, vms := range []int{1, 2, 48, 300} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newOutage(vms)
				o.play(30 * time.Second)
				o.check(t)
				is.True(len(o.repeats) >= 3*50) // half of what is allowed is usable
			})
		})
	}
}

// TestFleetBudgetAfterRestart guards against a fleet whose VMs all start again and
// spend the slack a second time within the same 10 s.
func TestFleetBudgetAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOutage(32)
		o.play(15 * time.Second)
		o.restart()
		o.play(15 * time.Second)
		o.check(t)
	})
}

func shareBudgets(fleet []*retry.FleetBudget) {
	for i, from := range fleet {
		reports := from.Reports()
		for j, to := range fleet {
			if i != j {
				to.Observe(fmt.Sprintf("vm-%d", i), 1, reports, false)
			}
		}
	}
}

// TestFleetBudgetAlone guards against a VM that hears nobody and spends the whole
// fleet's slack.
func TestFleetBudgetAlone(t *testing.T) {
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

// TestFleetBudgetForgets guards against repeats that count for longer than a window,
// and against a VM's counts from before its restart.
func TestFleetBudgetForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := retry.NewFleetBudget(retry.FleetConfig{Ratio: 0.2, Slack: 4})
		b.Observe("vm-2", 1, []retry.Report{{Service: "orders", Requests: 10, Repeats: 5}}, false)
		is.True(!b.Take("orders"))
		b.Observe("vm-2", 2, []retry.Report{{Service: "orders", Requests: 1}}, false)
		requests, repeats := b.Counts("orders")
		is.Equal(requests, 11)
		is.Equal(repeats, 5)
		time.Sleep(retry.Window + 3*time.Second)
		is.True(b.Take("orders"))
	})
}
