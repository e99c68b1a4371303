package allowance

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors that Admit returns as a *Refusal. The refused request was not sent to
// any target.
var (
	// ErrRefused matches every refusal.
	ErrRefused = merry.Sentinel("request not admitted")
	// ErrUnreachable matches a refusal of a request that may be within its
	// account's rate: the owner of the account's rate could not be asked. Such a
	// refusal matches ErrRefused too.
	ErrUnreachable = merry.Sentinel("owner of the client account's rate is unreachable")
)

// Refusal is the error for a request that was not admitted. It carries the reason
// and a time to retry.
type Refusal struct {
	reason      string
	retryAfter  time.Duration
	unreachable bool
}

// NewRefusal returns a refusal that matches ErrRefused only.
func NewRefusal(reason string, retryAfter time.Duration) *Refusal {
	return &Refusal{reason: reason, retryAfter: retryAfter}
}

// NewUnreachable returns a refusal that also matches ErrUnreachable.
func NewUnreachable(reason string, retryAfter time.Duration) *Refusal {
	return &Refusal{reason: reason, retryAfter: retryAfter, unreachable: true}
}

// Reason returns the reason in a few words, for the response to the client.
func (r *Refusal) Reason() string { return r.reason }

// RetryAfter returns the time until a token may be available.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Error returns the reason with the package name.
func (r *Refusal) Error() string { return "allowance: " + r.reason }

// Is makes errors.Is match ErrRefused and, if the owner was unreachable,
// ErrUnreachable.
func (r *Refusal) Is(target error) bool {
	return target == ErrRefused || r.unreachable && target == ErrUnreachable
}
