package retry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/traffic/retry"
)

// TestFleetBudget guards against repeats that each VM allows for itself and that
// add up to more than the fleet may send: 0.2 of the requests and 64 in 10 s.
func TestFleetBudget(t *testing.T) {
	const ratio, slack = 0.2, 64.0
	for _, vms := range []int{1, 2, 48, 300} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var fleet []*retry.FleetBudget
				for range vms {
					fleet = append(fleet, retry.NewFleetBudget(retry.FleetConfig{Ratio: ratio, Slack: slack}))
				}
				requests, repeats := 0, 0
				// Every request fails, 50 a second, reports every 100 ms.
				for tick := range 90 {
					for k := range 5 {
						b := fleet[(tick*5+k)*7%vms]
						b.Request("orders")
						requests++
						if b.Take("orders") {
							repeats++
						}
					}
					shareBudgets(fleet)
					time.Sleep(100 * time.Millisecond)
				}
				is.True(float64(repeats) <= ratio*float64(requests)+slack)
				is.True(float64(repeats) >= 0.5*(ratio*float64(requests)+slack)) // the budget is usable
			})
		})
	}
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
		b := retry.NewFleetBudget(retry.FleetConfig{Ratio: 0.2, Slack: 64, Heard: func() float64 { return 1.0 / 32 }})
		n := 0
		for b.Take("orders") {
			n++
		}
		is.True(n <= 2)
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
		time.Sleep(retry.Window + time.Second)
		is.True(b.Take("orders"))
	})
}
