package clock

import "time"

// Source measures the time since a mark on one node's clocks. Tests replace it
// to stop a node's monotonic clock.
type Source interface {
	// Elapsed returns the larger of the monotonic and the wall-clock time since
	// the mark. It is for periods that must not last too long, such as the time
	// for which a lease is held.
	Elapsed(m Mark) time.Duration
	// Monotonic returns the monotonic time since the mark. It is for events that
	// must not happen too early, such as the expiry of a vote for another node or
	// the refill of a token bucket. A wall clock that steps forward does not
	// bring such an event forward, and a stopped monotonic clock only delays it.
	Monotonic(m Mark) time.Duration
}

// System is the Source of the machine's own clocks.
type System struct{}

// Elapsed implements Source.
func (System) Elapsed(m Mark) time.Duration { return Elapsed(m) }

// Monotonic implements Source.
func (System) Monotonic(m Mark) time.Duration {
	if m.IsZero() {
		return 1<<63 - 1
	}
	return time.Since(m.t)
}
