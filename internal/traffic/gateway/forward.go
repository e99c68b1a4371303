package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
	"chestnutbay.dev/chestnutbay/internal/target/pool"
	"chestnutbay.dev/chestnutbay/internal/traffic/retry"
	"chestnutbay.dev/chestnutbay/internal/traffic/transport"
)

// retryPermitWait bounds the wait for a permit for another instance when the last
// attempt got an error response, which can be passed on if no permit is available.
const retryPermitWait = 250 * time.Millisecond

var (
	// errWrongRequestID reports a response that carries the ID of another request.
	errWrongRequestID = merry.Sentinel("gateway: the response belongs to another request")
	// errUnidentifiedRefusal reports a refusal without an ID on a reused connection, which
	// may be a late copy of the refusal of an earlier request.
	errUnidentifiedRefusal = merry.Sentinel("gateway: the refusal on a reused connection names no request")
)

// attempt is one attempt to send the request to an instance, with the permit for it.
type attempt struct {
	x               *exchange
	permit          pool.Permit
	sent            *transport.Attempt
	refusalsTrusted bool // the target's refusals prove that it did not run the request
	permitEnded     bool // the permit has ended
}

// hasResponse reports whether the attempt has a response and reading its body has not
// failed.
func (a *attempt) hasResponse() bool { return a.sent.Err() == nil }

// refused reports whether the response is a trusted refusal: the target did not run
// the request.
func (a *attempt) refused() bool {
	if !a.refusalsTrusted || !a.hasResponse() || a.sent.Status() != http.StatusServiceUnavailable {
		return false
	}
	return a.sent.Header(NotRunHeader) == "true"
}

// possiblyRan reports whether the target may have executed the request.
func (a *attempt) possiblyRan() bool { return a.sent.Written() && !a.refused() }

// acceptable reports whether there is a response that needs no retry. 502, 503 and
// 504 are retried if the request allows it.
func (a *attempt) acceptable() bool {
	if !a.hasResponse() {
		return false
	}
	switch a.sent.Status() {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	}
	return true
}

// endPermit ends the permit and reports the outcome of the attempt with it. Further
// calls have no effect.
func (a *attempt) endPermit() {
	if a.permitEnded {
		return
	}
	a.permitEnded = true
	o := evidence.Outcome{Kind: a.sent.Kind(), Status: a.sent.Status(), FirstByte: a.sent.FirstByte()}
	if o.Kind == evidence.Answered && a.refused() {
		o.Kind = evidence.Refused
	}
	if o.Kind == evidence.TimedOut && a.deadlineTooShort() {
		o.Kind = evidence.Cancelled
	}
	a.permit.Done(o)
}

// deadlineTooShort reports whether the deadline left the target less time than the
// route's hedge delay, the 95th percentile of its times to the first byte. A timeout is
// then no evidence about the target.
func (a *attempt) deadlineTooShort() bool {
	usualDelay, ok := a.x.gateway.latency(a.x.service.Name(), a.x.route.Name()).HedgeDelay()
	return ok && a.sent.Uploaded() && a.x.deadline.Sub(a.sent.Sent()) < usualDelay
}

// end ends the attempt and its permit, and discards the unread rest of the response.
func (a *attempt) end() {
	a.sent.Discard()
	a.endPermit()
}

// forward sends the request to targets until there is a response to pass on or a
// reason to give up.
func (x *exchange) forward() {
	if f := x.prepare(); f != nil {
		x.refuse(f)
		return
	}
	x.gateway.retryBudget.Request(x.service.Name(), x.accountName())
	permit, err := x.acquire(x.ctx, nil)
	if err != nil {
		x.refuse(permitFailure(x.ctx, err))
		return
	}
	for attempts := 1; ; attempts++ {
		a := x.sendWithHedge(permit)
		if a.acceptable() || !x.mayRetry(a, attempts) {
			x.respond(a)
			return
		}
		permit = x.acquireRetryPermit(a)
		if permit == nil {
			x.respond(a)
			return
		}
		a.end()
	}
}

// acquire asks for a permit for an instance other than the excluded ones.
func (x *exchange) acquire(ctx context.Context, exclude []string) (pool.Permit, error) {
	return x.gateway.config.Targets.Acquire(ctx, pool.Request{
		Service: x.service.Name(),
		Route:   x.route.Name(),
		Class:   x.route.Class(),
		Account: x.accountName(),
		Exclude: exclude,
	})
}

// acquireRetryPermit ends the permit of a failed attempt and acquires one for an
// instance that was not tried yet. It returns nil if it gets none.
func (x *exchange) acquireRetryPermit(a *attempt) pool.Permit {
	a.endPermit()
	ctx := x.ctx
	if a.hasResponse() {
		limited, cancel := context.WithTimeout(ctx, retryPermitWait)
		defer cancel()
		ctx = limited
	}
	permit, err := x.acquire(ctx, slices.Clone(x.triedAddresses))
	if err != nil {
		return nil
	}
	return permit
}

// mayRetry reports whether the request may be retried after a failed attempt. If so,
// it has used one retry of the budget.
func (x *exchange) mayRetry(a *attempt, attempts int) bool {
	if x.ctx.Err() != nil || a.sent.BodyError() != nil {
		return false
	}
	state := retry.Request{
		Idempotent: x.route.Idempotent(x.r.Method),
		Replayable: x.replayable(),
		Attempts:   attempts,
		MayHaveRun: x.mayHaveRun,
	}
	return state.Allows() && x.takeRetry()
}

// takeRetry uses one retry of the budget and reports whether it is allowed.
func (x *exchange) takeRetry() bool {
	share := contract.DefaultRetryBudget
	if x.account != nil {
		share = x.account.RetryBudget()
	}
	return x.gateway.retryBudget.Take(x.service.Name(), x.accountName(), share)
}

// send makes one attempt. informational receives the target's 1xx responses; it may
// be nil.
func (x *exchange) send(ctx context.Context, permit pool.Permit, outgoing *http.Request, informational func(int, http.Header)) *attempt {
	a := &attempt{x: x, permit: permit, refusalsTrusted: x.service.TrustedRefusals()}
	a.sent = x.gateway.transport.Send(ctx, permit.Address(), outgoing, transport.Options{
		MaxIdle:       x.gateway.maxIdle(x.service),
		Retryable:     x.route.Idempotent(x.r.Method) && x.replayable(),
		Informational: informational,
		Interrupt:     x.body.Interrupt,
	})
	if !a.hasResponse() {
		return a
	}
	// A target may return the request ID. Another ID proves that the response belongs
	// to another request.
	if id := a.sent.Header(RequestIDHeader); id != "" && id != x.requestID {
		a.sent.Reject(errWrongRequestID)
		return a
	} else if id == "" && a.refused() && a.sent.Reused() {
		a.sent.Reject(errUnidentifiedRefusal)
		return a
	}
	if d := a.sent.FirstByte(); d > 0 {
		x.gateway.latency(x.service.Name(), x.route.Name()).Observe(d)
	}
	return a
}

// recordAttempt records which instance was tried and whether it may have executed
// the request.
func (x *exchange) recordAttempt(a *attempt) {
	x.triedAddresses = append(x.triedAddresses, a.permit.Address())
	x.mayHaveRun = x.mayHaveRun || a.possiblyRan()
}

// sendWithHedge makes an attempt, with a hedge if the request allows it. It returns
// the attempt whose response counts.
func (x *exchange) sendWithHedge(permit pool.Permit) *attempt {
	outgoing := x.newAttemptRequest()
	delay, ok := x.hedgeDelay()
	if !ok {
		a := x.send(x.ctx, permit, outgoing, x.relayInformational)
		x.recordAttempt(a)
		return a
	}
	h := x.newHedge(permit.Address())
	timer := time.AfterFunc(delay, h.run)
	first := x.send(h.firstCtx, permit, outgoing, x.relayInformational)
	x.recordAttempt(first)
	if timer.Stop() {
		return first
	}
	return h.choose(first)
}

// hedgeDelay returns the delay after which a second attempt starts if the first one
// has not ended. Only interactive requests that may run twice and whose body can be
// sent twice are hedged.
func (x *exchange) hedgeDelay() (time.Duration, bool) {
	if x.route.Class() != contract.Interactive || !x.route.Idempotent(x.r.Method) {
		return 0, false
	}
	if x.r.ContentLength != 0 && x.memory == nil {
		return 0, false
	}
	return x.gateway.latency(x.service.Name(), x.route.Name()).HedgeDelay()
}

// hedge is a second attempt that runs concurrently with the first.
type hedge struct {
	x           *exchange
	exclude     []string // addresses of the instances tried so far
	firstCtx    context.Context
	cancelFirst context.CancelCauseFunc
	decided     atomic.Bool   // set by the first attempt with an acceptable response
	done        chan struct{} // closed when the second attempt has ended
	second      *attempt      // nil if no second attempt was made
	secondWon   bool          // the second attempt was the one that set decided

	mu           sync.Mutex
	abandoned    bool               // the second attempt must not start any more
	cancelSecond context.CancelFunc // cancels the second attempt; nil before it starts
}

func (x *exchange) newHedge(firstAddress string) *hedge {
	h := &hedge{x: x, exclude: append(slices.Clone(x.triedAddresses), firstAddress), done: make(chan struct{})}
	h.firstCtx, h.cancelFirst = context.WithCancelCause(x.ctx)
	x.cancelFuncs = append(x.cancelFuncs, func() { h.cancelFirst(nil) }, h.abandon)
	return h
}

// begin returns the context for the second attempt, or false if the hedge was
// abandoned.
func (h *hedge) begin() (context.Context, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.abandoned {
		return nil, false
	}
	ctx, cancel := context.WithCancel(h.x.ctx)
	h.cancelSecond = cancel
	return ctx, true
}

// abandon cancels the second attempt or keeps it from starting.
func (h *hedge) abandon() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.abandoned = true
	if h.cancelSecond != nil {
		h.cancelSecond()
	}
}

// run makes the second attempt, if the budget allows it. Its result is read after
// done is closed. It does not pass 1xx responses on, because it runs concurrently
// with the goroutine that writes to the caller.
func (h *hedge) run() {
	defer close(h.done)
	ctx, ok := h.begin()
	if !ok || !h.x.takeRetry() {
		return
	}
	permit, err := h.x.acquire(ctx, h.exclude)
	if err != nil {
		return
	}
	h.second = h.x.send(ctx, permit, h.x.newAttemptRequest(), nil)
	if h.second.acceptable() && h.decided.CompareAndSwap(false, true) {
		h.secondWon = true
		h.cancelFirst(transport.ErrSuperseded)
	}
}

// choose waits for the second attempt to end, if there is one. It returns the attempt
// that was first to get an acceptable response, or the first attempt if neither got
// one, and ends the other.
func (h *hedge) choose(first *attempt) *attempt {
	firstWon := first.acceptable() && h.decided.CompareAndSwap(false, true)
	if firstWon || h.x.ctx.Err() != nil {
		h.abandon()
	}
	<-h.done
	if h.second == nil {
		return first
	}
	h.x.recordAttempt(h.second)
	if h.secondWon {
		first.end()
		return h.second
	}
	h.second.end()
	return first
}

// respond passes the response on, or responds with the reason why there is none.
func (x *exchange) respond(a *attempt) {
	if a.hasResponse() {
		x.relay(a)
		return
	}
	a.end()
	x.refuse(x.attemptFailure(a))
}

// attemptFailure returns the failure for a last attempt that got no response.
func (x *exchange) attemptFailure(a *attempt) *Failure {
	outcome := NotRun
	if x.mayHaveRun {
		outcome = Unknown
	}
	if err := a.sent.BodyError(); err != nil {
		return bodyFailure(err, outcome)
	}
	f := contextFailure(x.ctx)
	switch {
	case f != nil && outcome == Unknown && f.verdict != burn.CallerDisconnected:
		f = &Failure{Status: http.StatusGatewayTimeout, Reason: "the target did not answer within the deadline", verdict: burn.Unknown}
	case f != nil:
	case outcome == NotRun:
		f = unavailable(http.StatusServiceUnavailable, "no target could be reached", time.Second)
	default:
		f = &Failure{Status: http.StatusBadGateway, Reason: attemptFailureReason(a.sent), verdict: burn.Unknown}
	}
	f.Outcome = outcome
	return f
}

// attemptFailureReason returns the reason why an attempt failed. There are only a
// few, because failures are counted by their reason.
func attemptFailureReason(a *transport.Attempt) string {
	switch {
	case errors.Is(a.Err(), errWrongRequestID):
		return "the target's answer belonged to another request"
	case a.Kind() == evidence.Malformed:
		return "the target's answer was malformed"
	case a.Kind() == evidence.TimedOut:
		return "the target made no progress"
	}
	return "the connection to the target broke"
}
