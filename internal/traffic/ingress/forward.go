package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/target/balancer"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
	"chestnutbay.dev/chestnutbay/internal/traffic/message"
	"chestnutbay.dev/chestnutbay/internal/traffic/transport"
)

const (
	// upstreamIdleTimeout is how long an unused connection to an instance is kept open.
	// Common servers close idle connections after 10 s or more.
	upstreamIdleTimeout = 8 * time.Second
	// upstreamFreshness is how long a connection may have been idle and still carry a
	// request that must not run twice.
	upstreamFreshness = 6 * time.Second
	// maxDials bounds how many unreachable instances are tried for one request. Since
	// nothing was sent to them, they count against neither the route's attempts nor the
	// retry budget.
	maxDials = 4
)

var (
	errWrongRequest = merry.Sentinel("ingress: the response belongs to another request")
	errUnidentified = merry.Sentinel("ingress: the response on a reused connection names no request")
	errUnsigned     = merry.Sentinel("ingress: the response lacks the instance's signature header")
	errEncoded      = merry.Sentinel("ingress: the response has an unexpected Content-Encoding")
)

// attempt is the request as sent to one instance, and the instance's response.
type attempt struct {
	choice   *balancer.Choice
	upstream *transport.Attempt
	took     time.Duration
	response *response
	refused  bool // the instance reported that it did not run the request
}

// mayHaveRun reports whether the instance may have run the request: at least one byte
// was written, and the instance did not report that it refused.
func (a *attempt) mayHaveRun() bool { return a.upstream.Written() && !a.refused }

// succeeded reports whether the attempt has a response that is returned to the caller
// without a retry. Any status below 500 counts as a success, including client errors.
func (a *attempt) succeeded() bool {
	return a.response != nil && !a.refused && a.upstream.Status() < http.StatusInternalServerError
}

// forward sends the request to one instance after another until one succeeds, a retry
// is not allowed or the deadline is too close.
func (x *exchange) forward() {
	x.targetHeader = x.buildTargetHeader()
	var last *attempt
	for {
		if time.Until(x.deadline) < minRemaining {
			x.finishFailed(last, timedOut)
			return
		}
		choice, err := x.choose()
		if err != nil {
			x.finishFailed(last, noInstance)
			return
		}
		last = x.makeAttempt(choice)
		if last.succeeded() {
			x.relay(last)
			return
		}
		if cause := x.retryRefusal(last); cause != "" {
			x.finishFailed(last, cause)
			return
		}
	}
}

// choose picks an instance that has not been tried for this request.
func (x *exchange) choose() (*balancer.Choice, error) {
	choice, err := x.server.config.Balancer.Choose(balancer.Request{
		Service: x.service, Idempotent: x.route.Idempotent(), Bytes: max(x.r.ContentLength, 0), Exclude: x.tried,
	})
	if err == nil {
		x.tried = append(x.tried, choice.Instance().ID())
	}
	return choice, err
}

// countAttempts returns how many attempts wrote at least one byte of the request, and
// how many wrote none, usually because their instance could not be reached.
func (x *exchange) countAttempts() (sent, unreached int) {
	for _, a := range x.attempts {
		if a.upstream.Written() {
			sent++
		} else {
			unreached++
		}
	}
	return sent, unreached
}

// retryRefusal returns why the request may not be retried after the failed attempt a,
// or "" if it may. If any byte of a was written, the retry takes from the retry budget.
func (x *exchange) retryRefusal(a *attempt) reason {
	sent, unreached := x.countAttempts()
	switch {
	case x.body.Interrupted():
		return failureReason(a)
	case x.ctx.Err() != nil:
		return timedOut
	case a.upstream.BodyError() != nil:
		return callerDisconnected
	case a.mayHaveRun() && !x.route.Idempotent():
		return failureReason(a)
	case !x.replayable():
		return failureReason(a)
	case !a.upstream.Written():
		if unreached >= maxDials {
			return instancesUnreachable
		}
		return ""
	case sent >= x.route.Attempts():
		return failureReason(a)
	case !x.server.config.RetryBudget.Take(x.service):
		return retryBudgetSpent
	}
	return ""
}

// failureReason returns the reason for which an attempt failed.
func failureReason(a *attempt) reason {
	switch {
	case a.refused:
		return instancesBusy
	case !a.upstream.Written():
		return instancesUnreachable
	case a.response != nil:
		return instanceFailed
	}
	switch a.upstream.Kind() {
	case evidence.Malformed:
		return malformedResponse
	case evidence.TimedOut:
		return timedOut
	default:
		return connectionBroke
	}
}

// tryInstance sends the request to the chosen instance, reads the response and reports
// the outcome to the balancer.
func (x *exchange) tryInstance(ctx context.Context, choice *balancer.Choice) *attempt {
	began := time.Now()
	a := &attempt{choice: choice}
	instance := choice.Instance()
	a.upstream = x.server.transport.Send(ctx, instance.Address(), x.buildRequest(instance.ID()), transport.Options{
		MaxIdle:   x.maxIdle(),
		Retryable: x.route.Idempotent() && x.replayable(),
		Stray:     x.isStray,
		Interrupt: x.body.Interrupt,
	})
	if a.upstream.Err() == nil {
		x.noteLeaving(a)
		x.checkResponse(a)
	}
	a.took = time.Since(began)
	choice.Done(x.outcome(ctx, a))
	return a
}

// leavingValue is the value of the Leaving header of an instance that is leaving.
const leavingValue = "1"

// noteLeaving reports the instance if its response says that it is leaving. A response
// with status 421 comes from another instance.
func (x *exchange) noteLeaving(a *attempt) {
	leaving := a.upstream.Header(x.server.config.Headers.Leaving) == leavingValue
	if leaving && a.upstream.Status() != http.StatusMisdirectedRequest && x.server.config.Departed != nil {
		x.server.config.Departed(a.choice.Instance())
	}
}

// checkResponse rejects a response to another request, and one that may be: on a reused
// connection, a response that names no request can be a late copy of an earlier one. It
// marks the attempt as refused if the response shows that the request did not run.
// Otherwise it rejects a successful response without a signature and any response with a
// Content-Encoding, which was encoded on the way, and reads the body of all others.
func (x *exchange) checkResponse(a *attempt) {
	names := &x.server.config.Headers
	if x.isStray(a.upstream.Response()) { //nolint:bodyclose // The attempt ends with its body.
		a.upstream.Reject(errWrongRequest)
		return
	}
	if a.upstream.Reused() && a.upstream.Header(names.RequestID) == "" {
		a.upstream.Reject(errUnidentified)
		return
	}
	if a.upstream.Header(names.NotRun) != "" || a.upstream.Status() == http.StatusMisdirectedRequest {
		a.refused = true
		a.upstream.Discard()
		return
	}
	if a.upstream.Status() < http.StatusMultipleChoices {
		if a.upstream.Header(names.Signature) == "" {
			a.upstream.Reject(errUnsigned)
			return
		}
		if a.upstream.Header(names.RequestID) != x.id {
			a.upstream.Reject(errWrongRequest)
			return
		}
	}
	if a.upstream.Header("Content-Encoding") != "" {
		a.upstream.Reject(errEncoded)
		return
	}
	a.response = readResponse(a.upstream)
}

// isStray reports whether a response names another request.
func (x *exchange) isStray(r *http.Response) bool {
	id := r.Header.Get(x.server.config.Headers.RequestID)
	return id != "" && id != x.id
}

// outcome returns what is reported to the balancer about an attempt.
func (x *exchange) outcome(ctx context.Context, a *attempt) evidence.Outcome {
	o := evidence.Outcome{Kind: a.upstream.Kind(), Status: a.upstream.Status(), FirstByte: a.upstream.FirstByte()}
	if o.Status == http.StatusServiceUnavailable && (a.refused || a.response != nil) {
		o.RetryAfter = message.RetryAfter(a.upstream.Response().Header, time.Now()) //nolint:bodyclose // The attempt ends with its body.
	}
	switch {
	case a.refused:
		o.Kind = evidence.Refused
	case a.response == nil && o.Kind == evidence.Answered:
		o.Kind = evidence.Malformed
	case errors.Is(context.Cause(ctx), context.Canceled), errors.Is(context.Cause(ctx), transport.ErrSuperseded):
		o.Kind = evidence.Cancelled
	}
	return o
}

// maxIdle returns how many idle connections to one instance this VM keeps: its share of
// the service's connection limit, at least one.
func (x *exchange) maxIdle() int {
	s, ok := x.table.Service(x.service)
	if !ok {
		return 1
	}
	return max(s.Connections()/max(x.server.config.VMs(), 1), 1)
}

// finishFailed ends a request for which no attempt succeeded. It returns the last
// instance's error response if there is one, and otherwise refuses with cause. If no
// instance may have run the request, it refunds the account's token, unless the caller
// has disconnected.
func (x *exchange) finishFailed(last *attempt, cause reason) {
	if x.r.Context().Err() != nil && !x.body.Interrupted() {
		x.refuse(&failure{status: statusCallerDisconnected, reason: callerDisconnected})
		return
	}
	mayHaveRun := false
	for _, a := range x.attempts {
		mayHaveRun = mayHaveRun || a.mayHaveRun()
	}
	switch {
	case last != nil && last.response != nil && !last.refused:
		x.relay(last)
	case !mayHaveRun && cause == timedOut:
		x.refund()
		x.refuse(&failure{status: http.StatusServiceUnavailable, reason: deadlineTooClose})
	case !mayHaveRun:
		x.refund()
		x.refuse(&failure{status: http.StatusServiceUnavailable, reason: cause, retryAfter: x.retryAfter()})
	case cause == timedOut || time.Now().After(x.deadline):
		x.refuse(&failure{status: http.StatusGatewayTimeout, reason: timedOut})
	default:
		x.refuse(&failure{status: http.StatusBadGateway, reason: cause})
	}
}

// retryAfter returns the Retry-After of a request that no instance could take. If all
// instances have asked for a pause, it follows the first one that ends, with a random
// part so that the callers do not return all at once.
func (x *exchange) retryAfter() time.Duration {
	pause := x.server.config.Balancer.RetryAfter(x.service)
	if pause == 0 {
		return busyRetryAfter
	}
	return pause + rand.N(busyRetryAfter+pause/2)
}

// statusCallerDisconnected is logged and counted for requests whose caller disconnected
// before the response. It is never sent.
const statusCallerDisconnected = 499
