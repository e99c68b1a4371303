package ingress

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/target/balancer"
	"chestnutbay.dev/chestnutbay/internal/traffic/transport"
)

const (
	// hedgeShare is the part of a route's objective after which an idempotent request
	// is sent to a second instance: answers of sound instances rarely take longer,
	// and the second answer still comes soon after the objective.
	hedgeShare = 0.7
	// hedgeTimeoutShare is the same of the timeout, for routes without an objective.
	hedgeTimeoutShare = 0.3
)

// run makes an attempt, with a second one beside it if the request may run twice
// and the first takes long.
func (x *exchange) run(choice *balancer.Choice) *attempt {
	delay, ok := x.hedgeDelay()
	if !ok {
		a := x.try(x.ctx, choice)
		x.attempts = append(x.attempts, a)
		return a
	}
	h := newHedge(x)
	h.start(choice)
	return h.wait(delay)
}

// hedgeDelay returns when a second attempt is worth making.
func (x *exchange) hedgeDelay() (time.Duration, bool) {
	if !x.route.Idempotent() || !x.isHeld || len(x.attempts)+2 > x.route.Attempts() {
		return 0, false
	}
	if d := x.route.Objective(); d > 0 {
		return time.Duration(hedgeShare * float64(d)), true
	}
	return time.Duration(hedgeTimeoutShare * float64(x.deadline.Sub(x.start))), true
}

// hedge is one attempt or two beside each other.
type hedge struct {
	x       *exchange
	cancels map[*balancer.Choice]context.CancelCauseFunc
	group   errgroup.Group
	results chan *attempt
	running int
}

func newHedge(x *exchange) *hedge {
	return &hedge{x: x, results: make(chan *attempt, 2), cancels: make(map[*balancer.Choice]context.CancelCauseFunc)}
}

func (h *hedge) start(choice *balancer.Choice) {
	ctx, cancel := context.WithCancelCause(h.x.ctx)
	h.cancels[choice] = cancel
	h.running++
	h.group.Go(func() error {
		h.results <- h.x.try(ctx, choice)
		return nil
	})
}

// wait returns the first good attempt, or the last one if none is good.
func (h *hedge) wait(delay time.Duration) *attempt {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var last *attempt
	for h.running > 0 {
		select {
		case a := <-h.results:
			h.running--
			h.x.attempts = append(h.x.attempts, a)
			last = a
			if a.good() {
				h.settle(a)
				return a
			}
		case <-timer.C:
			h.second()
		}
	}
	return last
}

// second starts a second attempt if the budget and the instances allow it.
func (h *hedge) second() {
	if !h.x.s.config.Budget.Take(h.x.service) {
		return
	}
	choice, err := h.x.choose()
	if err != nil {
		return
	}
	h.start(choice)
}

// settle ends the attempt that was overtaken. The winner's context lasts as long as
// the request, since the rest of a long answer may still be read.
func (h *hedge) settle(winner *attempt) {
	for choice, cancel := range h.cancels {
		if choice != winner.choice {
			cancel(transport.ErrOvertaken)
		}
	}
	h.group.Wait() //nolint:errcheck // Attempts keep their own errors.
	for ; h.running > 0; h.running-- {
		h.x.attempts = append(h.x.attempts, <-h.results)
	}
}
