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

// secondPermitWait bounds the wait for another instance while an answer, though a
// bad one, is at hand.
const secondPermitWait = 250 * time.Millisecond

// errCrossed reports an answer that names another request.
var errCrossed = merry.Sentinel("gateway: the answer belongs to another request")

// sending is one attempt and its permit.
type sending struct {
	x       *exchange
	permit  pool.Permit
	attempt *transport.Attempt
	trusted bool // the target's refusals are proof
	done    bool
}

// answered reports whether there is an answer of the target.
func (s *sending) answered() bool { return s.attempt.Err() == nil }

// refused reports the target's own, trusted refusal.
func (s *sending) refused() bool {
	if !s.trusted || !s.answered() || s.attempt.Status() != http.StatusServiceUnavailable {
		return false
	}
	return s.attempt.Header(NotRunHeader) == "true"
}

// ran reports whether the request may have run.
func (s *sending) ran() bool { return s.attempt.Written() && !s.refused() }

// good reports an answer that is not worth a second attempt.
func (s *sending) good() bool {
	if !s.answered() {
		return false
	}
	switch s.attempt.Status() {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	}
	return true
}

// report ends the permit. It counts once.
func (s *sending) report() {
	if s.done {
		return
	}
	s.done = true
	o := evidence.Outcome{Kind: s.attempt.Kind(), Status: s.attempt.Status(), FirstByte: s.attempt.FirstByte()}
	if o.Kind == evidence.Answered && s.refused() {
		o.Kind = evidence.Refused
	}
	if o.Kind == evidence.TimedOut && s.hurried() {
		o.Kind = evidence.Cancelled
	}
	s.permit.Done(o)
}

// hurried reports whether the deadline left the target less time than the route's
// answers usually take. That says nothing about the target.
func (s *sending) hurried() bool {
	usual, ok := s.x.g.latency(s.x.service.Name(), s.x.route.Name()).HedgeDelay()
	return ok && s.attempt.Uploaded() && s.x.deadline.Sub(s.attempt.Sent()) < usual
}

// drop ends an attempt whose answer the caller does not get.
func (s *sending) drop() {
	s.attempt.Discard()
	s.report()
}

// forward sends the request to targets until there is an answer to pass on or a
// reason to give up.
func (x *exchange) forward() {
	if f := x.prepare(); f != nil {
		x.refuse(f)
		return
	}
	x.g.budget.Request(x.service.Name(), x.accountName())
	permit, err := x.acquire(x.ctx, nil)
	if err != nil {
		x.refuse(noPermit(x.ctx, err))
		return
	}
	for attempts := 1; ; attempts++ {
		s := x.run(permit)
		if s.good() || !x.again(s, attempts) {
			x.conclude(s)
			return
		}
		permit = x.another(s)
		if permit == nil {
			x.conclude(s)
			return
		}
		s.drop()
	}
}

// acquire asks for a permit at an instance other than the excluded ones.
func (x *exchange) acquire(ctx context.Context, exclude []string) (pool.Permit, error) {
	return x.g.config.Targets.Acquire(ctx, pool.Request{
		Service: x.service.Name(),
		Route:   x.route.Name(),
		Class:   x.route.Class(),
		Account: x.accountName(),
		Exclude: exclude,
	})
}

// another ends the permit of a failed attempt and asks for a second one.
func (x *exchange) another(s *sending) pool.Permit {
	s.report()
	ctx := x.ctx
	if s.answered() {
		limited, cancel := context.WithTimeout(ctx, secondPermitWait)
		defer cancel()
		ctx = limited
	}
	permit, err := x.acquire(ctx, slices.Clone(x.tried))
	if err != nil {
		return nil
	}
	return permit
}

// again reports whether the request is sent again after a failed attempt. It
// spends a retry.
func (x *exchange) again(s *sending, attempts int) bool {
	if x.ctx.Err() != nil || s.attempt.BodyError() != nil {
		return false
	}
	rule := retry.Request{
		Idempotent: x.route.Idempotent(x.r.Method),
		Replayable: x.replayable(),
		Attempts:   attempts,
		MayHaveRun: x.mayHaveRun,
	}
	return rule.Allows() && x.takeRetry()
}

func (x *exchange) takeRetry() bool {
	share := contract.DefaultRetryBudget
	if x.account != nil {
		share = x.account.RetryBudget()
	}
	return x.g.budget.Take(x.service.Name(), x.accountName(), share)
}

// send makes one attempt.
func (x *exchange) send(ctx context.Context, permit pool.Permit, out *http.Request, informational func(int, http.Header)) *sending {
	s := &sending{x: x, permit: permit, trusted: x.service.TrustedRefusals()}
	s.attempt = x.g.transport.Send(ctx, permit.Address(), out, transport.Options{
		MaxIdle:       x.g.maxIdle(x.service),
		Retryable:     x.route.Idempotent(x.r.Method) && x.replayable(),
		Informational: informational,
		Interrupt:     x.body.Interrupt,
	})
	if !s.answered() {
		return s
	}
	// A target that repeats the request's identity proves whose answer it is.
	if id := s.attempt.Header(RequestHeader); id != "" && id != x.id {
		s.attempt.Reject(errCrossed)
		return s
	}
	if d := s.attempt.FirstByte(); d > 0 {
		x.g.latency(x.service.Name(), x.route.Name()).Observe(d)
	}
	return s
}

// note remembers an attempt that has been made.
func (x *exchange) note(s *sending) {
	x.tried = append(x.tried, s.permit.Address())
	x.mayHaveRun = x.mayHaveRun || s.ran()
}

// run makes an attempt, with a hedge if the request allows it.
func (x *exchange) run(permit pool.Permit) *sending {
	out := x.request()
	delay, ok := x.hedgeDelay()
	if !ok {
		s := x.send(x.ctx, permit, out, x.inform)
		x.note(s)
		return s
	}
	h := x.newHedge(permit.Address())
	timer := time.AfterFunc(delay, h.run)
	first := x.send(h.firstCtx, permit, out, x.inform)
	x.note(first)
	if timer.Stop() {
		return first
	}
	return h.choose(first)
}

// hedgeDelay returns when a second attempt starts beside the first. Only
// requests whose callers wait and that may run twice are hedged.
func (x *exchange) hedgeDelay() (time.Duration, bool) {
	if x.route.Class() != contract.Interactive || !x.route.Idempotent(x.r.Method) {
		return 0, false
	}
	if x.r.ContentLength != 0 && x.memory == nil {
		return 0, false
	}
	return x.g.latency(x.service.Name(), x.route.Name()).HedgeDelay()
}

// hedge is a second attempt that runs beside the first.
type hedge struct {
	x           *exchange
	exclude     []string // the instances tried so far
	firstCtx    context.Context
	cancelFirst context.CancelCauseFunc
	won         atomic.Bool // one of the attempts has the answer
	done        chan struct{}
	second      *sending
	isChosen    bool

	mu       sync.Mutex
	unwanted bool
	cancel   context.CancelFunc
}

func (x *exchange) newHedge(first string) *hedge {
	h := &hedge{x: x, exclude: append(slices.Clone(x.tried), first), done: make(chan struct{})}
	h.firstCtx, h.cancelFirst = context.WithCancelCause(x.ctx)
	x.cancels = append(x.cancels, func() { h.cancelFirst(nil) }, h.abandon)
	return h
}

// begin returns the context of the second attempt, unless it is too late for one.
func (h *hedge) begin() (context.Context, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unwanted {
		return nil, false
	}
	ctx, cancel := context.WithCancel(h.x.ctx)
	h.cancel = cancel
	return ctx, true
}

// abandon ends the second attempt.
func (h *hedge) abandon() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unwanted = true
	if h.cancel != nil {
		h.cancel()
	}
}

// run makes the second attempt. Its result is read after done is closed. It does
// not forward 1xx answers, because it runs beside the caller's goroutine.
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
	h.second = h.x.send(ctx, permit, h.x.request(), nil)
	if h.second.good() && h.won.CompareAndSwap(false, true) {
		h.isChosen = true
		h.cancelFirst(transport.ErrSuperseded)
	}
}

// choose takes the attempt that answered first and ends the other.
func (h *hedge) choose(first *sending) *sending {
	firstWins := first.good() && h.won.CompareAndSwap(false, true)
	if firstWins || h.x.ctx.Err() != nil {
		h.abandon()
	}
	<-h.done
	if h.second == nil {
		return first
	}
	h.x.note(h.second)
	if h.isChosen {
		first.drop()
		return h.second
	}
	h.second.drop()
	return first
}

// conclude passes the answer on, or says why there is none.
func (x *exchange) conclude(s *sending) {
	if s.answered() {
		x.relay(s)
		return
	}
	s.drop()
	x.refuse(x.explain(s))
}

// explain turns the last attempt into the caller's error.
func (x *exchange) explain(s *sending) *Failure {
	outcome := NotRun
	if x.mayHaveRun {
		outcome = Unknown
	}
	if err := s.attempt.BodyError(); err != nil {
		return broken(err, outcome)
	}
	f := ended(x.ctx)
	switch {
	case f != nil && outcome == Unknown && f.verdict != burn.CallerLeft:
		f = &Failure{Status: http.StatusGatewayTimeout, Reason: "the target did not answer within the deadline", verdict: burn.Unknown}
	case f != nil:
	case outcome == NotRun:
		f = unavailable(http.StatusServiceUnavailable, "no target could be reached", time.Second)
	default:
		f = &Failure{Status: http.StatusBadGateway, Reason: reasonOf(s.attempt), verdict: burn.Unknown}
	}
	f.Outcome = outcome
	return f
}

// reasonOf says why an attempt failed, in one of a few sentences.
func reasonOf(a *transport.Attempt) string {
	switch {
	case errors.Is(a.Err(), errCrossed):
		return "the target's answer belonged to another request"
	case a.Kind() == evidence.Malformed:
		return "the target's answer was malformed"
	case a.Kind() == evidence.TimedOut:
		return "the target made no progress"
	}
	return "the connection to the target broke"
}
