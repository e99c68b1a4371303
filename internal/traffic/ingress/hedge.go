package ingress

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/target/balancer"
	"chestnutbay.dev/chestnutbay/internal/traffic/transport"
)

const (
	// hedgeShare is the fraction of a route's latency objective after which an idempotent
	// request is sent to a second instance as well. Healthy instances rarely take longer,
	// and the second response still arrives soon after the objective.
	hedgeShare = 0.7
	// hedgeTimeoutShare is the corresponding fraction of the time from the request's
	// start to its deadline, for routes without an objective.
	hedgeTimeoutShare = 0.3
)

// makeAttempt tries the chosen instance. If the request is idempotent and the instance
// has not responded after the hedge delay, it tries a second instance concurrently.
func (x *exchange) makeAttempt(choice *balancer.Choice) *attempt {
	delay, ok := x.hedgeDelay()
	if !ok {
		a := x.tryInstance(x.ctx, choice)
		x.attempts = append(x.attempts, a)
		return a
	}
	h := newHedge(x)
	h.start(choice)
	return h.wait(delay)
}

// hedgeDelay returns how long to wait for the first response before a second attempt
// starts. It reports false if the request must not be hedged: it is not idempotent, its
// body is streamed, or the route's attempts do not allow two more.
func (x *exchange) hedgeDelay() (time.Duration, bool) {
	if !x.route.Idempotent() || !x.isBuffered || len(x.attempts)+2 > x.route.Attempts() {
		return 0, false
	}
	if d := x.route.Objective(); d > 0 {
		return time.Duration(hedgeShare * float64(d)), true
	}
	return time.Duration(hedgeTimeoutShare * float64(x.deadline.Sub(x.start))), true
}

// hedge runs an attempt and, if that is slow, a second one concurrently.
type hedge struct {
	exchange *exchange
	cancels  map[*balancer.Choice]context.CancelCauseFunc
	group    errgroup.Group
	results  chan *attempt
	running  int
}

func newHedge(x *exchange) *hedge {
	return &hedge{exchange: x, results: make(chan *attempt, 2), cancels: make(map[*balancer.Choice]context.CancelCauseFunc)}
}

func (h *hedge) start(choice *balancer.Choice) {
	ctx, cancel := context.WithCancelCause(h.exchange.ctx)
	h.cancels[choice] = cancel
	h.running++
	h.group.Go(func() error {
		h.results <- h.exchange.tryInstance(ctx, choice)
		return nil
	})
}

// wait returns the first attempt that succeeds, or the last one if none does. It starts
// the second attempt after delay.
func (h *hedge) wait(delay time.Duration) *attempt {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var last *attempt
	for h.running > 0 {
		select {
		case a := <-h.results:
			h.running--
			h.exchange.attempts = append(h.exchange.attempts, a)
			last = a
			if a.succeeded() {
				h.cancelOther(a)
				return a
			}
		case <-timer.C:
			h.startSecond()
		}
	}
	return last
}

// startSecond starts a second attempt if the retry budget allows one and an instance is
// available.
func (h *hedge) startSecond() {
	if !h.exchange.server.config.RetryBudget.Take(h.exchange.service) {
		return
	}
	choice, err := h.exchange.choose()
	if err != nil {
		return
	}
	h.start(choice)
}

// cancelOther cancels the attempt that did not win and waits for it. The winner's
// context stays valid until the request ends, since the rest of a long response may
// still have to be read.
func (h *hedge) cancelOther(winner *attempt) {
	for choice, cancel := range h.cancels {
		if choice != winner.choice {
			cancel(transport.ErrSuperseded)
		}
	}
	h.group.Wait() //nolint:errcheck // Attempts keep their own errors.
	for ; h.running > 0; h.running-- {
		h.exchange.attempts = append(h.exchange.attempts, <-h.results)
	}
}
