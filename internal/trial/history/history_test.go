package history_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/trial/history"
)

// Guards against a check that misses a violation or reports one in a correct
// history, and against records of unlimited size. Requests are sent every
// intervalMs, arrive transitMs later and run "runs" times; extraRuns executions
// belong to no attempt, two for each ID. A rate of 10 per second and a burst of 2
// are allowed.
func TestChecks(t *testing.T) {
	ok, notRun, lost := history.Attempt{Status: 200, Outcome: "answered"}, history.Attempt{Status: 503, Outcome: "not-run"}, history.Attempt{}
	for _, tt := range []struct {
		name                                             string
		attempt                                          history.Attempt
		requests, intervalMs, transitMs, runs, extraRuns int
		want                                             history.Check
	}{
		{name: "a correct history is rejected", attempt: ok, requests: 1, runs: 1},
		{name: "a second run is missed", attempt: ok, requests: 1, runs: 2, want: history.CheckAtMostOnce},
		{name: "a second run without an attempt is missed", extraRuns: 2, want: history.CheckAtMostOnce},
		{name: "a retry of an idempotent request is rejected", attempt: history.Attempt{Status: 200, Idempotent: true}, requests: 1, runs: 2},
		{name: "a false not-run is missed", attempt: notRun, requests: 1, runs: 1, want: history.CheckNotRun},
		{name: "a true not-run is rejected", attempt: notRun, requests: 1},
		{name: "an unknown outcome is rejected", attempt: lost, requests: 1, runs: 1},
		{name: "a 200 without a run is missed", attempt: ok, requests: 1, want: history.CheckRan},
		{name: "a response to another request is missed", attempt: history.Attempt{Status: 200, Mismatch: "for b"}, requests: 1, runs: 1, want: history.CheckOwnAnswer},
		{name: "dropped executions are missed", extraRuns: history.MaxExecutions + 1, want: history.CheckComplete},
		{name: "four requests in 151 ms are missed", attempt: ok, requests: 4, intervalMs: 50, transitMs: 1, runs: 1, want: history.CheckAllowance},
		{name: "requests at the allowed rate are rejected", attempt: ok, requests: 40, intervalMs: 100, transitMs: 1, runs: 1},
		{name: "requests that may have been admitted at greater intervals are rejected", attempt: ok, requests: 4, intervalMs: 50, transitMs: 500, runs: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var h history.History
			var r history.Recorder
			for i := range tt.extraRuns {
				r.Add(fmt.Sprint("extra", i/2), time.UnixMilli(0))
			}
			for i := range tt.requests {
				a := tt.attempt
				a.ID, a.Account, a.Sent = fmt.Sprint(i), "acme", time.UnixMilli(int64(i*tt.intervalMs))
				h.AddAttempt(a)
				for range tt.runs {
					r.Add(a.ID, a.Sent.Add(time.Duration(tt.transitMs)*time.Millisecond))
				}
			}
			h.AddRecord(r.Record("t"))
			h.AddAllowance("acme", history.Allowance{Rate: 10, Burst: 2})
			var got history.Check
			if list := h.Violations(); len(list) > 0 {
				got = list[0].Check
			}
			is.New(t).Equal(got, tt.want)
		})
	}
}
