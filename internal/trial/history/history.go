// Package history compares the results that callers saw with the requests that
// targets ran, and reports violations of what the fleet guarantees.
//
// # Usage
//
// A target records what it runs in a Recorder. A caller adds its attempts and
// the targets' records to a History and asks for its violations:
//
//	var h history.History
//	h.AddAttempt(history.Attempt{ID: "a-1", Account: "acme", Sent: sent, Status: 200})
//	h.AddRecord(record)
//	h.AddAllowance("acme", history.Allowance{Rate: 50, Burst: 100})
//	for _, v := range h.Violations() {
//		fmt.Println(v)
//	}
//
// Send and arrival times are compared, so callers and targets must share a clock.
package history

import (
	"fmt"
	"time"
)

// IDHeader is the header with the unique ID that a caller gives to a request.
const IDHeader = "X-Trial-Id"

// Execution is one run of a request at a target. Arrived is the time at which the
// request reached the target.
type Execution struct {
	ID      string    `json:"id"`
	Arrived time.Time `json:"arrived"`
}

// Record holds the executions of one target, oldest first.
type Record struct {
	Target     string      `json:"target"`
	Executions []Execution `json:"executions"`
	// Dropped counts older executions that were dropped to limit the record's
	// size.
	Dropped int `json:"forgotten"`
}

// Attempt is one request as its caller saw it.
type Attempt struct {
	ID      string
	Account string
	Sent    time.Time
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Status is the HTTP status, or 0 without a complete response.
	Status int
	// Outcome is the outcome that the fleet reported in a response header.
	Outcome string
	// Mismatch describes how a complete response differs from the expected one. It
	// is empty when they agree.
	Mismatch string
}

// Allowance limits the requests that are admitted for an account: at most
// Rate·w + Burst in every window of w seconds.
type Allowance struct {
	Rate  float64
	Burst float64
}

// History holds the attempts of callers, the executions of targets and the
// allowances of accounts. The zero value is empty.
// It is not safe for concurrent use.
type History struct {
	attempts   []Attempt
	executions []Execution
	dropped    int
	allowances map[string]Allowance
}

// AddAttempt adds a request that its caller has completed or given up.
func (h *History) AddAttempt(a Attempt) {
	h.attempts = append(h.attempts, a)
}

// AddRecord adds the executions of a target.
func (h *History) AddRecord(r Record) {
	h.executions = append(h.executions, r.Executions...)
	h.dropped += r.Dropped
}

// AddAllowance sets the allowance that an account's requests are checked against.
func (h *History) AddAllowance(account string, a Allowance) {
	if h.allowances == nil {
		h.allowances = make(map[string]Allowance)
	}
	h.allowances[account] = a
}

// Admitted returns how many of an account's requests ran.
func (h *History) Admitted(account string) int {
	return len(h.spans(account, h.arrivals()))
}

// Counts returns the number of attempts for each combination of status, outcome
// and whether the request ran. The keys are text for people.
func (h *History) Counts() map[string]int {
	arrived := h.arrivals()
	counts := make(map[string]int)
	for _, a := range h.attempts {
		_, ran := arrived[a.ID]
		counts[fmt.Sprintf("status %d, %q, ran %t", a.Status, a.Outcome, ran)]++
	}
	return counts
}

// arrivals returns the first arrival of each request that ran, by ID.
func (h *History) arrivals() map[string]time.Time {
	first := make(map[string]time.Time, len(h.executions))
	for _, e := range h.executions {
		if at, ok := first[e.ID]; !ok || e.Arrived.Before(at) {
			first[e.ID] = e.Arrived
		}
	}
	return first
}
