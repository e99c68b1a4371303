package history

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Check is the name of a rule that every history must satisfy.
type Check string

// Rules that Violations checks.
const (
	// CheckComplete requires that no target dropped a part of its record.
	CheckComplete Check = "complete"
	// CheckAtMostOnce requires that only idempotent requests ran more than once.
	CheckAtMostOnce Check = "at-most-once"
	// CheckNotRun requires that no request with the outcome OutcomeNotRun ran.
	CheckNotRun Check = "not-run"
	// CheckRan requires that every request with status 200 ran.
	CheckRan Check = "ran"
	// CheckOwnAnswer requires that every response belongs to its request.
	CheckOwnAnswer Check = "own-answer"
	// CheckAllowance requires that no account exceeded its rate and burst.
	CheckAllowance Check = "allowance"
)

// OutcomeNotRun is the outcome that the fleet reports for a request that certainly
// did not run.
const OutcomeNotRun = "not-run"

// Violation describes one breach of a rule.
type Violation struct {
	Check Check  `json:"check"`
	Text  string `json:"text"`
}

// String returns the violation as one line.
func (v Violation) String() string { return string(v.Check) + ": " + v.Text }

func violation(c Check, format string, arguments ...any) Violation {
	return Violation{Check: c, Text: fmt.Sprintf(format, arguments...)}
}

// Violations returns every breach of a rule, but at most one breach of
// CheckAllowance for each account.
func (h *History) Violations() []Violation {
	arrived := h.arrivals()
	var list []Violation
	if h.dropped > 0 {
		list = append(list, violation(CheckComplete, "targets dropped %d executions from their records", h.dropped))
	}
	list = append(list, h.repeatedRuns()...)
	for _, a := range h.attempts {
		_, ran := arrived[a.ID]
		list = append(list, a.violations(ran)...)
	}
	for account, allowance := range h.allowances {
		list = append(list, overAllowance(account, allowance, h.spans(account, arrived))...)
	}
	return list
}

// repeatedRuns returns a violation for each repeated execution of a request that
// is not idempotent. An execution whose ID belongs to no attempt counts as not
// idempotent.
func (h *History) repeatedRuns() []Violation {
	idempotent := make(map[string]bool)
	for _, a := range h.attempts {
		idempotent[a.ID] = a.Idempotent
	}
	var list []Violation
	seen := make(map[string]bool)
	for _, e := range h.executions {
		if seen[e.ID] && !idempotent[e.ID] {
			list = append(list, violation(CheckAtMostOnce, "%s ran twice", e.ID))
		}
		seen[e.ID] = true
	}
	return list
}

func (a Attempt) violations(ran bool) []Violation {
	var list []Violation
	if a.Outcome == OutcomeNotRun && ran {
		list = append(list, violation(CheckNotRun, "%s was answered %d %s, but ran", a.ID, a.Status, a.Outcome))
	}
	if a.Status == http.StatusOK && !ran {
		list = append(list, violation(CheckRan, "%s was answered %d, but never ran", a.ID, a.Status))
	}
	if a.Mismatch != "" {
		list = append(list, violation(CheckOwnAnswer, "%s: %s", a.ID, a.Mismatch))
	}
	return list
}

// span is the time between the sending of a request and its arrival at a target.
// The request was admitted within it.
type span struct{ sent, arrived time.Time }

// spans returns the spans of an account's requests that ran, in order of arrival.
func (h *History) spans(account string, arrived map[string]time.Time) []span {
	var list []span
	for _, a := range h.attempts {
		if at, ok := arrived[a.ID]; ok && a.Account == account {
			list = append(list, span{a.Sent, at})
		}
	}
	slices.SortFunc(list, func(a, b span) int { return a.arrived.Compare(b.arrived) })
	return list
}

// overAllowance checks every window that begins when a request was sent and ends
// when the same or a later request arrived. It returns a violation for the first
// window that holds more requests than the allowance. Only requests that were
// sent and arrived within the window count, because only these were certainly
// admitted in it.
func overAllowance(account string, a Allowance, spans []span) []Violation {
	for _, first := range spans {
		count := 0
		for _, s := range spans {
			if s.sent.Before(first.sent) {
				continue
			}
			count++
			window := s.arrived.Sub(first.sent)
			if allowed := a.Rate*window.Seconds() + a.Burst; float64(count) > allowed {
				return []Violation{violation(CheckAllowance, "%s: %d requests admitted within %s, %g are allowed", account, count, window, allowed)}
			}
		}
	}
	return nil
}
