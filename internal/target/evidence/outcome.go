// Package evidence detects failing target instances and broken network paths from the
// request outcomes that all VMs report.
//
// # Usage
//
//	permit.Done(evidence.Outcome{Kind: evidence.Answered, Status: 200, FirstByte: 12 * time.Millisecond})
package evidence

import "time"

// Kind is the way in which an attempt to send a request to a target ended.
type Kind string

// Kinds of outcomes.
const (
	// Answered means that the whole response arrived, whatever its status.
	Answered Kind = "answered"
	// ConnectFailed means that no connection could be made; nothing was written.
	ConnectFailed Kind = "connect-failed"
	// Reset means that the connection broke before the whole response arrived.
	Reset Kind = "reset"
	// TimedOut means that the response's first byte did not arrive in time.
	TimedOut Kind = "timed-out"
	// Malformed means that the response violates HTTP's framing.
	Malformed Kind = "malformed"
	// Refused means that the target refused the request without executing it.
	Refused Kind = "refused"
	// Cancelled means that the caller disconnected or that its request body ended
	// early. It is no evidence about the target.
	Cancelled Kind = "cancelled"
)

// Outcome is the result of one attempt, as reported to the owner of the target's pool.
type Outcome struct {
	// Kind is the way in which the attempt ended.
	Kind Kind `json:"kind"`
	// Status is the HTTP status of the response, or 0 if there was none.
	Status int `json:"status,omitempty"`
	// FirstByte is the time from the end of the request body to the first byte
	// of the response, so that a slow caller does not lengthen it. 0 means not
	// measured.
	FirstByte time.Duration `json:"first_byte_ns,omitempty"`
	// RetryAfter is how long the target asked not to get further requests when it
	// refused this one. 0 means that it did not ask.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}
