// Package clock measures elapsed time for leases and grants.
//
// The monotonic clock of a VM may stand still while the hypervisor pauses the
// VM, and the wall clock may step. A lease must expire as soon as its time is over
// by either clock.
//
// # Usage
//
//	start := clock.Now()
//	...
//	if clock.Elapsed(start) >= ttl {
//		// expired
//	}
package clock

import "time"

// Mark is a point in time on both clocks. The zero Mark lies infinitely far in the
// past.
type Mark struct {
	t time.Time
}

// Now returns the current time of both clocks.
func Now() Mark {
	return Mark{t: time.Now()}
}

// IsZero reports whether m is the zero Mark.
func (m Mark) IsZero() bool {
	return m.t.IsZero()
}

// Add returns the mark m+d.
func (m Mark) Add(d time.Duration) Mark {
	return Mark{t: m.t.Add(d)}
}

// Time returns the mark's wall-clock time, for logs and events.
func (m Mark) Time() time.Time {
	return m.t.Round(0)
}

// Elapsed returns the time since m: the larger of the monotonic and the
// wall-clock time, or the largest Duration for the zero Mark.
func Elapsed(m Mark) time.Duration {
	if m.IsZero() {
		return 1<<63 - 1
	}
	now := time.Now()
	monotonic := now.Sub(m.t)
	wall := now.Round(0).Sub(m.t.Round(0))
	return max(monotonic, wall)
}
