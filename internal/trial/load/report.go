package load

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"chestnutbay.dev/chestnutbay/internal/trial/history"
)

// maxViolationLines limits the violations that WriteText prints.
const maxViolationLines = 20

// Summary counts the results of one account's requests, or of all requests.
type Summary struct {
	Account string `json:"account"`
	Sent    int    `json:"sent"`
	// Succeeded requests got a complete response with status 200.
	Succeeded int `json:"succeeded"`
	// Refused requests certainly did not run.
	Refused int `json:"refused"`
	// Unanswered requests got no complete response.
	Unanswered int `json:"unanswered"`
	// Admitted requests ran at a target.
	Admitted int `json:"admitted"`
	// P50 and P99 are latency percentiles in milliseconds of the requests that
	// succeeded.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

// successShare returns the share of requests that succeeded, from 0 to 1.
func (s Summary) successShare() float64 {
	return float64(s.Succeeded) / float64(max(s.Sent, 1))
}

// Report is the result of a run.
type Report struct {
	Seconds float64 `json:"seconds"`
	Total   Summary `json:"total"`
	// Accounts are sorted by their share of successful requests, lowest first, and
	// then by P99, highest first.
	Accounts   []Summary           `json:"accounts"`
	Outcomes   map[string]int      `json:"outcomes"`
	Violations []history.Violation `json:"violations"`
}

// report reads the targets' records, even if the run was interrupted, and returns
// the report of the run.
func (r *run) report(ctx context.Context, elapsed time.Duration) (*Report, error) {
	var h history.History
	for _, res := range r.results {
		h.AddAttempt(res.attempt)
	}
	for _, address := range r.Targets {
		record, err := r.collect(context.WithoutCancel(ctx), address)
		if err != nil {
			return nil, err
		}
		h.AddRecord(record)
	}
	report := &Report{Seconds: elapsed.Seconds(), Outcomes: h.Counts(), Total: summarize("all", r.results)}
	for _, account := range r.Accounts {
		h.AddAllowance(account.name, account.allowance)
		accountResults := slices.DeleteFunc(slices.Clone(r.results), func(res result) bool { return res.attempt.Account != account.name })
		s := summarize(account.name, accountResults)
		s.Admitted = h.Admitted(account.name)
		report.Total.Admitted += s.Admitted
		report.Accounts = append(report.Accounts, s)
	}
	slices.SortStableFunc(report.Accounts, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.successShare(), b.successShare()), cmp.Compare(b.P99, a.P99))
	})
	report.Violations = h.Violations()
	return report, nil
}

func summarize(account string, results []result) Summary {
	s := Summary{Account: account, Sent: len(results)}
	var latencies []time.Duration
	for _, res := range results {
		switch a := res.attempt; {
		case a.Status == http.StatusOK:
			s.Succeeded++
			latencies = append(latencies, res.latency)
		case a.Outcome == history.OutcomeNotRun:
			s.Refused++
		case a.Status == 0:
			s.Unanswered++
		}
	}
	slices.Sort(latencies)
	s.P50, s.P99 = quantile(latencies, 0.5), quantile(latencies, 0.99)
	return s
}

// quantile returns the q-quantile of sorted latencies in milliseconds, or 0 when
// there are none.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds()) / 1000
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ACCOUNT\tSENT\tSUCCESS\tREFUSED\tUNANSWERED\tADMITTED\tP50 MS\tP99 MS")
	for _, s := range append(r.Accounts[:len(r.Accounts):len(r.Accounts)], r.Total) {
		fmt.Fprintf(t, "%s\t%d\t%.2f%%\t%d\t%d\t%d\t%.1f\t%.1f\n",
			s.Account, s.Sent, 100*s.successShare(), s.Refused, s.Unanswered, s.Admitted, s.P50, s.P99)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\n%.1f s, worst-served account: %s\n", r.Seconds, r.Accounts[0].Account)
	for i, v := range r.Violations {
		if i == maxViolationLines {
			fmt.Fprintf(w, "and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintln(w, v)
	}
	_, err := fmt.Fprintf(w, "%d violations\n", len(r.Violations))
	return err
}
