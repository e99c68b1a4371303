package pool

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// ErrRefused matches, with errors.Is, the error of a request that got no permit.
// The error itself is a *Refusal.
var ErrRefused = merry.Sentinel("no target can take the request")

// Request asks for a permit to send one attempt to an instance of a service.
type Request struct {
	// Service is the service's name.
	Service string
	// Route is the route's name. Outcomes are compared per route.
	Route string
	// Class is the priority class of the request; "" stands for interactive.
	Class contract.Class
	// Account is the client account, or "" on an open route.
	Account string
	// Exclude lists the addresses of instances that must not be chosen, because
	// earlier attempts of the request used them.
	Exclude []string
}

// Permit allows one request in flight at an instance. Done must be called
// exactly once.
type Permit interface {
	// Address returns the instance's ip:port.
	Address() string
	// Done ends the permit and reports the outcome of the attempt.
	Done(o evidence.Outcome)
}

// Acquirer issues permits. Acquire waits for a free slot until ctx ends.
type Acquirer interface {
	Acquire(ctx context.Context, r Request) (Permit, error)
}

// Refusal is the error of a request that got no permit and was not sent to any
// instance. It gives the reason.
type Refusal struct {
	reason     string
	retryAfter time.Duration
}

// NewRefusal returns a Refusal. retryAfter is 0 when it is unknown when a retry
// may succeed.
func NewRefusal(reason string, retryAfter time.Duration) *Refusal {
	return &Refusal{reason: reason, retryAfter: retryAfter}
}

// Reason returns why the request was refused, in a few words.
func (r *Refusal) Reason() string { return r.reason }

// RetryAfter returns after how long the caller may retry, or 0 if unknown.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Error returns the reason with the prefix "pool: ".
func (r *Refusal) Error() string { return "pool: " + r.reason }

// Is reports true for ErrRefused, so that errors.Is(err, ErrRefused) holds.
func (r *Refusal) Is(target error) bool { return target == ErrRefused }
