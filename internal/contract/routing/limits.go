package routing

import "time"

// Defaults of Limits, for limits that the operator does not set.
const (
	// DefaultMaxHeadBytes is the default of Limits.MaxHeadBytes.
	DefaultMaxHeadBytes = 64 << 10
	// DefaultMaxBodyBytes is the default of Limits.MaxBodyBytes.
	DefaultMaxBodyBytes = 64 << 20
	// DefaultHeadTimeout is the default of Limits.HeadTimeout.
	DefaultHeadTimeout = 10 * time.Second
	// DefaultIdleTimeout is the default of Limits.IdleTimeout.
	DefaultIdleTimeout = 90 * time.Second
)

// LimitsConfig is the operator's configuration of Limits. A field of 0 or less stands
// for the default.
type LimitsConfig struct {
	MaxHeadBytes int
	MaxBodyBytes int64
	HeadTimeout  time.Duration
	IdleTimeout  time.Duration
}

// Limits bounds the requests that callers may send. The zero value has the defaults.
type Limits struct {
	config LimitsConfig
}

// MaxHeadBytes returns the maximum size of a request's head: the request line and the
// header fields.
func (l Limits) MaxHeadBytes() int { return orDefault(l.config.MaxHeadBytes, DefaultMaxHeadBytes) }

// MaxBodyBytes returns the maximum size of a request's body.
func (l Limits) MaxBodyBytes() int64 { return orDefault(l.config.MaxBodyBytes, DefaultMaxBodyBytes) }

// HeadTimeout returns the maximum time to receive a request's head.
func (l Limits) HeadTimeout() time.Duration {
	return orDefault(l.config.HeadTimeout, DefaultHeadTimeout)
}

// IdleTimeout returns the maximum time that a connection may stay open without a
// request.
func (l Limits) IdleTimeout() time.Duration {
	return orDefault(l.config.IdleTimeout, DefaultIdleTimeout)
}

// orDefault returns v, or the default if v is 0 or less.
func orDefault[T int | int64 | time.Duration](v, defaultValue T) T {
	if v <= 0 {
		return defaultValue
	}
	return v
}
