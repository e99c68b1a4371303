package routing

import "time"

// Defaults of Limits, for what an operator leaves out.
const (
	// DefaultMaxHeadBytes bounds a request's head.
	DefaultMaxHeadBytes = 64 << 10
	// DefaultMaxBodyBytes bounds a request's body.
	DefaultMaxBodyBytes = 64 << 20
	// DefaultHeadTimeout bounds the time to receive a request's head.
	DefaultHeadTimeout = 10 * time.Second
	// DefaultIdleTimeout bounds the time that a connection carries no request.
	DefaultIdleTimeout = 90 * time.Second
)

// LimitsConfig bounds what callers may send. Zero fields have defaults.
type LimitsConfig struct {
	MaxHeadBytes int
	MaxBodyBytes int64
	HeadTimeout  time.Duration
	IdleTimeout  time.Duration
}

// Limits bounds what callers may send. The zero value has the defaults.
type Limits struct {
	config LimitsConfig
}

// MaxHeadBytes bounds a request's head.
func (l Limits) MaxHeadBytes() int { return orDefault(l.config.MaxHeadBytes, DefaultMaxHeadBytes) }

// MaxBodyBytes bounds a request's body.
func (l Limits) MaxBodyBytes() int64 { return orDefault(l.config.MaxBodyBytes, DefaultMaxBodyBytes) }

// HeadTimeout bounds the time to receive a request's head.
func (l Limits) HeadTimeout() time.Duration {
	return orDefault(l.config.HeadTimeout, DefaultHeadTimeout)
}

// IdleTimeout bounds the time that a connection carries no request.
func (l Limits) IdleTimeout() time.Duration {
	return orDefault(l.config.IdleTimeout, DefaultIdleTimeout)
}

func orDefault[T int | int64 | time.Duration](v, standard T) T {
	if v <= 0 {
		return standard
	}
	return v
}
