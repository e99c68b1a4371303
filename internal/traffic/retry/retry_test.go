package retry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"chestnutbay.dev/chestnutbay/internal/traffic/retry"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestBudget guards against retries beyond the bounds of the service and of the
// account, and against refusing retries within them.
func TestBudget(t *testing.T) {
	for _, tc := range []struct {
		name     string
		accounts int
		requests int // per account
		share    float64
		want     int
	}{
		{name: "a service without requests gets no retry", accounts: 1, requests: 0, share: 1, want: 1},
		{name: "an account exceeds its share", accounts: 1, requests: 1000, share: 0.02, want: 20},
		{name: "an account exceeds the service's share", accounts: 1, requests: 1000, share: 1, want: 100},
		{name: "many small accounts together exceed 1 retry per second", accounts: 40, requests: 1, share: 1, want: 10},
		{name: "small accounts together get less than 10%", accounts: 200, requests: 1, share: 0.1, want: 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var b retry.Budget
				for range 3 { // windows
					got := 0
					for range 1 + tc.requests {
						for a := range tc.accounts {
							account := fmt.Sprint(a)
							if tc.requests > 0 {
								b.Request("orders", account)
							}
						}
					}
					for range 500 {
						for a := range tc.accounts {
							if b.Take("orders", fmt.Sprint(a), tc.share) {
								got++
							}
						}
					}
					// The loop above sends one request more per account than the table
					// says, which allows a few more retries.
					is.True(got >= tc.want && got <= tc.want+max(tc.accounts/10, 1))
					time.Sleep(retry.Window)
				}
			})
		})
	}
}

// TestBudgetBound guards against interleavings of requests and retries that exceed the
// bound of a window, and against keeping the counters of idle accounts.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 400).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			var b retry.Budget
			type attempt struct {
				at    time.Time
				retry bool
			}
			var history []attempt
			for i, s := range steps {
				account := fmt.Sprint(i % 7)
				switch s {
				case 0:
					time.Sleep(300 * time.Millisecond)
				case 1:
					b.Request("s", account)
					history = append(history, attempt{at: time.Now()})
				default:
					if b.Take("s", account, 1) {
						history = append(history, attempt{at: time.Now(), retry: true})
					}
				}
				requests, retries := 0, 0
				for _, m := range history {
					// A window counts whole seconds, so it may be up to one second
					// shorter than 10 s.
					if time.Since(m.at) <= retry.Window-time.Second && m.retry {
						retries++
					}
					if time.Since(m.at) <= retry.Window && !m.retry {
						requests++
					}
				}
				if float64(retries) > max(retry.MaxRetryShare*float64(requests), 10) {
					t.Errorf("%d retries for %d requests", retries, requests)
				}
			}
			time.Sleep(2 * retry.Window)
			b.Request("s", "last")
			if b.Accounts() != 1 {
				t.Errorf("%d accounts still have counters", b.Accounts())
			}
		})
	})
}

// TestRule guards against executing a request twice that is not idempotent, and against
// giving up on a request that may be retried.
func TestRule(t *testing.T) {
	for _, tc := range []struct {
		name string
		r    retry.Request
		want bool
	}{
		{name: "an order that may have been executed is retried", r: retry.Request{Replayable: true, Attempts: 1, MayHaveRun: true}},
		{name: "an order that was not executed is not retried", r: retry.Request{Replayable: true, Attempts: 1}, want: true},
		{name: "an idempotent lookup is not retried", r: retry.Request{Idempotent: true, Replayable: true, Attempts: 2, MayHaveRun: true}, want: true},
		{name: "a request whose body cannot be replayed is retried", r: retry.Request{Idempotent: true, Attempts: 1}},
		{name: "a request is retried after MaxAttempts attempts", r: retry.Request{Idempotent: true, Replayable: true, Attempts: retry.MaxAttempts}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(tc.r.Allows(), tc.want)
		})
	}
}

// TestLatency guards against a hedge delay from too few responses, and against one that
// still depends on old responses.
func TestLatency(t *testing.T) {
	is := is.New(t)
	var l retry.Latency
	for range 63 {
		l.Observe(time.Second)
	}
	_, ok := l.HedgeDelay()
	is.True(!ok)
	l.Observe(time.Second)
	d, ok := l.HedgeDelay()
	is.True(ok)
	is.Equal(d, time.Second)
	for i := range 128 {
		l.Observe(time.Duration(i+1) * time.Millisecond)
	}
	d, _ = l.HedgeDelay()
	is.Equal(d, 122*time.Millisecond)
	for range 128 {
		l.Observe(time.Microsecond)
	}
	d, _ = l.HedgeDelay()
	is.Equal(d, retry.MinHedgeDelay)
}
