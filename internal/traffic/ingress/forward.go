package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/target/balancer"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
	"chestnutbay.dev/chestnutbay/internal/traffic/transport"
)

const (
	// upstreamIdle closes connections to instances that were not used for so long.
	// Common servers keep them for 10 s or more.
	upstreamIdle = 8 * time.Second
	// upstreamFreshness is how long a connection may have been idle to carry a
	// request that must not run twice.
	upstreamFreshness = 6 * time.Second
	// maxDials bounds the instances that are tried without being reached. Such a
	// request was not sent, so it counts neither as an attempt nor as a repeat.
	maxDials = 4
)

var (
	errCrossed  = merry.Sentinel("ingress: the answer belongs to another request")
	errUnsigned = merry.Sentinel("ingress: the answer does not bear the instance's signature")
	errEncoded  = merry.Sentinel("ingress: the answer's body was encoded on the way")
)

// attempt is one try at one instance.
type attempt struct {
	choice  *balancer.Choice
	sent    *transport.Attempt
	took    time.Duration
	answer  *answer
	refused bool // the instance said that it did not run the request
}

// ran reports whether the request may have run.
func (a *attempt) ran() bool { return a.sent.Written() && !a.refused }

// good reports an answer to pass on without trying further.
func (a *attempt) good() bool {
	return a.answer != nil && !a.refused && a.sent.Status() < http.StatusInternalServerError
}

// forward sends the request to instances until there is an answer to pass on or a
// reason to give up.
func (x *exchange) forward() {
	x.header = x.towardsTarget()
	var last *attempt
	for {
		if time.Until(x.deadline) < minRemaining {
			x.conclude(last, timedOut)
			return
		}
		choice, err := x.choose()
		if err != nil {
			x.conclude(last, noInstance)
			return
		}
		last = x.run(choice)
		if last.good() {
			x.relay(last)
			return
		}
		if why := x.again(last); why != "" {
			x.conclude(last, why)
			return
		}
	}
}

// choose picks an instance that the request was not sent to yet.
func (x *exchange) choose() (*balancer.Choice, error) {
	choice, err := x.s.config.Balancer.Choose(balancer.Request{
		Service: x.service, Idempotent: x.route.Idempotent(), Bytes: max(x.r.ContentLength, 0), Exclude: x.tried,
	})
	if err == nil {
		x.tried = append(x.tried, choice.Instance().ID())
	}
	return choice, err
}

// sends returns how many instances the request was sent to, and how many could not
// be reached.
func (x *exchange) sends() (sent, unreached int) {
	for _, a := range x.attempts {
		if a.sent.Written() {
			sent++
		} else {
			unreached++
		}
	}
	return sent, unreached
}

// again returns why the request is not sent again after a failed attempt, or "".
func (x *exchange) again(a *attempt) reason {
	sent, unreached := x.sends()
	switch {
	case x.body.Interrupted():
		return failureOf(a)
	case x.ctx.Err() != nil:
		return timedOut
	case a.sent.BodyError() != nil:
		return callerLeft
	case a.ran() && !x.route.Idempotent():
		return failureOf(a)
	case !x.replayable():
		return failureOf(a)
	case !a.sent.Written():
		if unreached >= maxDials {
			return unreachable
		}
		return ""
	case sent >= x.route.Attempts():
		return failureOf(a)
	case !x.s.config.Budget.Take(x.service):
		return noBudget
	}
	return ""
}

// failureOf says why an attempt failed.
func failureOf(a *attempt) reason {
	switch {
	case a.refused:
		return allBusy
	case !a.sent.Written():
		return unreachable
	case a.answer != nil:
		return instanceFailed
	}
	switch a.sent.Kind() {
	case evidence.Malformed:
		return badAnswer
	case evidence.TimedOut:
		return timedOut
	default:
		return brokeOff
	}
}

// try makes one attempt and reads its answer.
func (x *exchange) try(ctx context.Context, choice *balancer.Choice) *attempt {
	began := time.Now()
	a := &attempt{choice: choice}
	instance := choice.Instance()
	a.sent = x.s.transport.Send(ctx, instance.Address(), x.request(instance.ID()), transport.Options{
		MaxIdle:    x.maxIdle(),
		Repeatable: x.route.Idempotent() && x.replayable(),
		Interrupt:  x.body.Interrupt,
	})
	if a.sent.Err() == nil {
		x.examine(a)
	}
	a.took = time.Since(began)
	choice.Done(x.outcome(ctx, a))
	return a
}

// examine decides what an answer proves, and reads it if it is worth passing on.
func (x *exchange) examine(a *attempt) {
	names := &x.s.config.Headers
	if id := a.sent.Header(names.Request); id != "" && id != x.id {
		a.sent.Reject(errCrossed)
		return
	}
	if a.sent.Header(names.NotRun) != "" || a.sent.Status() == http.StatusMisdirectedRequest {
		a.refused = true
		a.sent.Discard()
		return
	}
	if a.sent.Status() < http.StatusMultipleChoices && a.sent.Header(names.Signature) == "" {
		a.sent.Reject(errUnsigned)
		return
	}
	if a.sent.Header("Content-Encoding") != "" {
		a.sent.Reject(errEncoded)
		return
	}
	a.answer = readAnswer(a.sent)
}

// outcome is what the balancer learns of an attempt.
func (x *exchange) outcome(ctx context.Context, a *attempt) evidence.Outcome {
	o := evidence.Outcome{Kind: a.sent.Kind(), Status: a.sent.Status(), FirstByte: a.sent.FirstByte()}
	switch {
	case a.refused:
		o.Kind = evidence.Refused
	case a.answer == nil && o.Kind == evidence.Answered:
		o.Kind = evidence.Malformed
	case errors.Is(context.Cause(ctx), context.Canceled), errors.Is(context.Cause(ctx), transport.ErrOvertaken):
		o.Kind = evidence.Cancelled
	}
	return o
}

// maxIdle is this VM's share of an instance's connections.
func (x *exchange) maxIdle() int {
	s, ok := x.table.Service(x.service)
	if !ok {
		return 1
	}
	return max(s.Connections()/max(x.s.config.VMs(), 1), 1)
}

// conclude answers without a good answer of an instance.
func (x *exchange) conclude(last *attempt, why reason) {
	if x.r.Context().Err() != nil && !x.body.Interrupted() {
		x.refuse(&failure{status: statusCallerLeft, reason: callerLeft})
		return
	}
	ran := false
	for _, a := range x.attempts {
		ran = ran || a.ran()
	}
	switch {
	case last != nil && last.answer != nil && !last.refused:
		x.relay(last)
	case !ran && why == timedOut:
		x.refund()
		x.refuse(&failure{status: http.StatusServiceUnavailable, reason: deadlineTooClose})
	case !ran:
		x.refund()
		x.refuse(&failure{status: http.StatusServiceUnavailable, reason: why, retryAfter: busyRetryAfter})
	case why == timedOut || time.Now().After(x.deadline):
		x.refuse(&failure{status: http.StatusGatewayTimeout, reason: timedOut})
	default:
		x.refuse(&failure{status: http.StatusBadGateway, reason: why})
	}
}

// statusCallerLeft is recorded for requests whose caller has gone. It is not sent.
const statusCallerLeft = 499
