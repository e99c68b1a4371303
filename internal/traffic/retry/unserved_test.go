package retry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/traffic/retry"
)

// TestRecent guards against a VM that counts only its own unserved requests, and against
// counting requests for longer than recentSeconds.
func TestRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := retry.NewFleetBudget(retry.FleetConfig{})
		expect := func(rate, share float64) {
			t.Helper()
			perSecond, unserved := b.RecentTraffic("orders")
			is.Equal(perSecond, rate)
			is.Equal(unserved, share)
		}
		expect(0, 0)
		for range 10 {
			b.Request("orders")
		}
		b.Unserved("orders")
		b.Observe("vm-2", 1, []retry.Report{{Service: "orders", Requests: 10, Unserved: 4}}, false)
		expect(20.0/3, 0.25)
		time.Sleep(4 * time.Second)
		expect(0, 0)
	})
}
