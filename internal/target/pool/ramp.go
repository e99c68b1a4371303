package pool

import "time"

// Parameters of the ramp.
const (
	// rampSteps is the number of steps from cold to full load.
	rampSteps = 10
	// unknownHold is the assumed time for which a request holds a slot, used until
	// it has been measured at warm instances.
	unknownHold = 100 * time.Millisecond
	// minHold is the shortest hold time used, which keeps the rate finite.
	minHold = time.Millisecond
	// rampBadShare is the share of failed outcomes above which a step is repeated.
	rampBadShare = 0.2
	// rampBackShare is the share of failed outcomes above which the ramp goes one
	// step back.
	rampBackShare = 0.5
	// rampBackBad is the minimum number of failed outcomes for a step back.
	rampBackBad = 2
)

// ramp limits the load of an instance in cold start. The limit applies to all VMs
// together, because one owner issues all permits.
type ramp struct {
	step        int
	stepStarted time.Time
	ok          int
	bad         int
	tokens      float64
	refilled    time.Time
}

func newRamp(now time.Time) ramp {
	return ramp{step: 1, stepStarted: now, tokens: 1, refilled: now}
}

// limit returns how many requests may be in flight at this step.
func (r *ramp) limit(slots int) int {
	return max(1, slots*r.step/rampSteps)
}

// rate returns the permits per second: the step's share of the requests that a
// warm instance completes per second.
func (r *ramp) rate(slots int, hold time.Duration) float64 {
	return float64(slots*r.step) / rampSteps / max(hold, minHold).Seconds()
}

// ready refills the token bucket and reports whether the rate allows one more
// permit.
func (r *ramp) ready(now time.Time, slots int, hold time.Duration) bool {
	r.tokens = min(1, r.tokens+r.rate(slots, hold)*now.Sub(r.refilled).Seconds())
	r.refilled = now
	return r.tokens >= 1
}

func (r *ramp) takeToken() { r.tokens-- }

func (r *ramp) observe(now time.Time, bad bool) {
	if bad {
		r.bad++
		return
	}
	if r.ok == 0 {
		// The time of a step starts with its first good response, so that the time
		// an instance needs to boot does not count.
		r.stepStarted = now
	}
	r.ok++
}

// advance moves to the next step when the current step has lasted its time with at
// most rampBadShare of failed outcomes, and one step back when too many failed.
// total is the duration of the whole ramp. It reports whether the step changed. An
// instance without good responses does not advance, because time alone does not
// show that it can bear more load.
func (r *ramp) advance(now time.Time, total time.Duration) bool {
	all := r.ok + r.bad
	if r.bad >= rampBackBad && float64(r.bad) > rampBackShare*float64(all) {
		previous := r.step
		r.moveTo(now, max(1, previous-1))
		return r.step != previous
	}
	duration := total / rampSteps
	if r.step == 1 {
		// Step 2 allows a fifth of the load, which the instance can bear only after a
		// fifth of the ramp's time.
		duration *= 2
	}
	if now.Sub(r.stepStarted) < duration || r.ok == 0 {
		return false
	}
	if float64(r.bad) > rampBadShare*float64(all) {
		r.moveTo(now, r.step)
		return false
	}
	r.moveTo(now, r.step+1)
	return true
}

func (r *ramp) moveTo(now time.Time, step int) {
	r.step, r.stepStarted, r.ok, r.bad = step, now, 0, 0
}

func (r *ramp) complete() bool { return r.step >= rampSteps }
