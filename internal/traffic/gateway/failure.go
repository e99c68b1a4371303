package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"chestnutbay.dev/chestnutbay/internal/limit/allowance"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
	"chestnutbay.dev/chestnutbay/internal/report/event"
	"chestnutbay.dev/chestnutbay/internal/target/pool"
)

// Outcome states whether a target responded to a request and, if none did, whether
// the request may have run.
type Outcome string

// Outcomes, with the values that callers receive.
const (
	// Answered means that the response is the target's.
	Answered Outcome = "answered"
	// NotRun means that it is certain that no target executed the request.
	NotRun Outcome = "not-run"
	// Unknown means that a target may have executed the request.
	Unknown Outcome = "unknown"
)

// Failure is an error response of the gateway's own. Its exported fields are the JSON
// body.
type Failure struct {
	// Outcome states whether the request may have run.
	Outcome Outcome `json:"outcome"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Reason is the cause of the failure, in a few words.
	Reason string `json:"reason"`
	// Request is the request ID, by which operators find the request.
	Request string `json:"request"`
	// RetryAfterMs is the time in milliseconds after which a retry may succeed, or 0
	// if none can be given.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`

	verdict    burn.Verdict
	retryAfter time.Duration
}

// badRequest returns a refusal for which the caller is responsible. It does not
// count against the account's error budget.
func badRequest(status int, reason string) *Failure {
	return &Failure{Outcome: NotRun, Status: status, Reason: reason, verdict: burn.BadRequest}
}

// unavailable returns a refusal for which the fleet is responsible. It counts
// against the account's error budget.
func unavailable(status int, reason string, retryAfter time.Duration) *Failure {
	return &Failure{Outcome: NotRun, Status: status, Reason: reason, verdict: burn.NotRun, retryAfter: retryAfter}
}

// callerDisconnected returns the failure of a request whose caller disconnected.
func callerDisconnected() *Failure {
	return &Failure{Outcome: NotRun, Status: http.StatusServiceUnavailable, Reason: "the caller left", verdict: burn.CallerDisconnected}
}

// deadlinePassed returns the failure of a request whose deadline passed before it
// was sent to a target.
func deadlinePassed() *Failure {
	return unavailable(http.StatusGatewayTimeout, "the deadline passed before a target could take the request", 0)
}

// contextFailure returns the failure of a request whose context is done, or nil if
// it is not.
func contextFailure(ctx context.Context) *Failure {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return deadlinePassed()
	case ctx.Err() != nil:
		return callerDisconnected()
	}
	return nil
}

// admissionFailure returns the failure for an error of Admission.Admit.
func admissionFailure(ctx context.Context, err error) *Failure {
	var refusal *allowance.Refusal
	// The rate could not be checked, so the request may be within it. The refusal is
	// then a fault of the fleet, and the report on error budgets must not count it as
	// over the rate.
	if errors.Is(err, allowance.ErrUnreachable) && errors.As(err, &refusal) {
		return unavailable(http.StatusServiceUnavailable, refusal.Reason(), refusal.RetryAfter())
	}
	if errors.As(err, &refusal) {
		return &Failure{
			Outcome: NotRun, Status: http.StatusTooManyRequests, Reason: refusal.Reason(),
			verdict: burn.OverRate, retryAfter: max(refusal.RetryAfter(), time.Millisecond),
		}
	}
	if f := contextFailure(ctx); f != nil {
		return f
	}
	return unavailable(http.StatusServiceUnavailable, "the rate could not be checked", time.Second)
}

// permitFailure returns the failure for an error of Config.Targets.Acquire.
func permitFailure(ctx context.Context, err error) *Failure {
	var refusal *pool.Refusal
	if errors.As(err, &refusal) {
		return unavailable(http.StatusServiceUnavailable, refusal.Reason(), refusal.RetryAfter())
	}
	if f := contextFailure(ctx); f != nil {
		return f
	}
	return unavailable(http.StatusServiceUnavailable, "no target can take the request", time.Second)
}

// write sends the failure to the caller as the response.
func (f *Failure) write(w http.ResponseWriter) {
	h := w.Header()
	if f.retryAfter > 0 {
		f.RetryAfterMs = max(f.retryAfter.Milliseconds(), 1)
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	if f.Status == http.StatusUnauthorized {
		h.Set("Www-Authenticate", "Bearer")
	}
	body, err := json.Marshal(f)
	if err != nil {
		body = nil
	}
	h.Set(OutcomeHeader, string(f.Outcome))
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.Status)
	w.Write(body) //nolint:errcheck // It fails only if the caller has disconnected.
}

// Limits of the failure events.
const (
	// failurePeriod is the time over which failures of one kind are combined into one
	// event.
	failurePeriod = 10 * time.Second
	// maxFailureKinds bounds how many kinds are counted separately in a period. All
	// further kinds are counted together as one.
	maxFailureKinds = 512
	// maxFailureExamples bounds the requests that an event lists by ID, with the
	// instances that they tried.
	maxFailureExamples = 8
)

// failureRecorder combines failed requests into events. It records the first failure of
// each kind in a period at once, and the further ones of that kind in one more event
// when the period ends. The next period starts with no kinds.
type failureRecorder struct {
	ring *event.Ring

	mu          sync.Mutex
	pending     map[failureKind]*event.RequestsFailed // count the failures after the first of each kind; nil between periods
	periodStart time.Time                             // start of the period
	timer       *time.Timer                           // ends the period
}

// failureKind identifies failures that are combined into one event: all its fields are
// equal for them.
type failureKind struct {
	status  int
	outcome string
	reason  string
	account string
	service string
	route   string
}

// record counts one failed request, and starts a period if there is none.
func (f *failureRecorder) record(e event.RequestsFailed) {
	if f.ring == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending == nil {
		f.pending = make(map[failureKind]*event.RequestsFailed)
		f.periodStart = time.Now()
		f.timer = time.AfterFunc(failurePeriod, f.flush)
	}
	kind := failureKind{e.Status, e.Outcome, e.Reason, e.Account, e.Service, e.Route}
	counted := f.pending[kind]
	if counted == nil && len(f.pending) >= maxFailureKinds {
		kind = failureKind{reason: "other reasons"}
		e = event.RequestsFailed{Reason: kind.reason, Requests: e.Requests, Targets: e.Targets}
		counted = f.pending[kind]
	}
	if counted == nil {
		e.Count = 1
		f.ring.Record(e)
		f.pending[kind] = &event.RequestsFailed{
			Status: e.Status, Outcome: e.Outcome, Reason: e.Reason,
			Account: e.Account, Service: e.Service, Route: e.Route,
		}
		return
	}
	counted.Count++
	if len(counted.Requests) < maxFailureExamples {
		counted.Requests = append(counted.Requests, e.Requests...)
		counted.Targets = append(counted.Targets, e.Targets...)
	}
}

// flush ends the period. It records the failures after the first one of each kind.
func (f *failureRecorder) flush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending == nil {
		return
	}
	f.timer.Stop()
	for _, e := range f.pending {
		if e.Count > 0 {
			e.Period = time.Since(f.periodStart)
			f.ring.Record(*e)
		}
	}
	f.pending = nil
}
