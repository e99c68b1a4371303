package burn

import "time"

// Verdict is the result of a request with regard to the account's objective.
type Verdict string

// Verdicts on a request.
const (
	// Good means a complete response within the deadline with any 2xx to 4xx status of
	// the target.
	Good Verdict = "good"
	// OverRate means a refusal because the account is over its rate; it is not a failure.
	OverRate Verdict = "over-rate"
	// CallerDisconnected means that the caller cancelled the request or disconnected
	// before the response was complete; it is not a failure.
	CallerDisconnected Verdict = "caller-left"
	// BadRequest means a request that could not be served for the caller's own
	// reasons, such as an unknown key; it is not a failure.
	BadRequest Verdict = "bad-request"
	// NotRun means that the fleet refused the request for a reason of its own, although
	// the account was entitled to a response.
	NotRun Verdict = "not-run"
	// Unknown means that the request failed but may have been executed.
	Unknown Verdict = "unknown"
	// Truncated means that the response broke off.
	Truncated Verdict = "truncated"
	// TargetError means a 5xx response of the target.
	TargetError Verdict = "target-error"
)

// Sample is one finished request.
type Sample struct {
	// Account is the client account, or "" on a route that needs no key.
	Account string
	// Service and Route name the matched route; both are "" when none matched.
	Service string
	Route   string
	// Verdict is the result of the request.
	Verdict Verdict
	// Duration is the time from the start to the end of the request.
	Duration time.Duration
}
