package pool

import (
	"time"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// state tells how much load an instance gets. The value is passed to the next
// owner.
type state string

const (
	// stateCold means that a ramp limits the load.
	stateCold state = "cold"
	// stateActive means full load.
	stateActive state = "active"
	// stateEjected means no load.
	stateEjected state = "ejected"
)

// Parameters of ejections, paused paths and restart checks.
const (
	// firstEjection is how long the first ejection lasts. Each further one lasts
	// twice as long, up to longestEjection.
	firstEjection   = 5 * time.Second
	longestEjection = 5 * time.Minute
	// If an instance was in full use for more than ejectionResetFactor times the
	// duration of its last ejection, its next ejection lasts firstEjection again.
	ejectionResetFactor = 10
	// firstPathPause is how long a VM does not use an instance that it does not
	// reach, before one request tries the path again. Each further pause lasts
	// twice as long, up to longestPathPause.
	firstPathPause   = 5 * time.Second
	longestPathPause = time.Minute
	// restartCheckOutcomes is how many outcomes decide whether connections broke
	// because the instance restarted. A restart is assumed if at least
	// restartMinSlow of these outcomes are slow or failed.
	restartCheckOutcomes = 5
	restartMinSlow       = 3
	// A response is slow if its first byte took longer than restartSlowFactor times
	// the instance's typical time plus restartSlowMargin.
	restartSlowFactor = 2
	restartSlowMargin = 5 * time.Millisecond
)

// instance is one target instance as its pool's owner sees it. The owner's mutex
// guards it.
type instance struct {
	address  string
	started  time.Time
	leaving  bool
	state    state
	inFlight int
	bulk     int
	reserved int // static slots that silent nodes may be using
	ramp     ramp
	// checkingRestart is true while the next outcomes are to show whether broken
	// connections were caused by a restart. restartChecked counts these outcomes,
	// restartSlow those that were slow or failed.
	checkingRestart bool
	restartChecked  int
	restartSlow     int
	// suspect is the finding that the instance is failing, while it waits for a
	// decision (undecided) or after the floor refused the ejection. A suspect gets
	// requests only when no other usable instance has a free slot.
	suspect   *evidence.Failing
	undecided bool
	refusedAt time.Time
	// refusalRecorded is when an event for a refused ejection was last recorded.
	refusalRecorded time.Time
	ejections       int
	ejectedFor      time.Duration
	ejectedUntil    time.Time
	probing         bool
	activeSince     time.Time // when the instance last came into full use
	paths           map[string]*pathPause
}

// pathPause is the pause during which one VM does not use an instance that it does
// not reach. count is the number of pauses since the VM last reached it.
type pathPause struct {
	until time.Time
	count int
}

func newInstance(listed roster.Instance, now time.Time) *instance {
	return &instance{
		address: listed.Address(), started: listed.Started(), leaving: listed.Leaving(),
		state: stateCold, ramp: newRamp(now), paths: make(map[string]*pathPause),
	}
}

// healthy reports whether the instance counts towards the floor.
func (i *instance) healthy() bool {
	return i.state == stateActive && !i.leaving
}

// limit returns how many requests may be in flight at the instance now, given its
// number of slots.
func (i *instance) limit(slots int) int {
	switch i.state {
	case stateActive:
		return slots - i.reserved
	case stateCold:
		return min(i.ramp.limit(slots), slots-i.reserved)
	case stateEjected:
	}
	return 0
}

// hasFreeSlot reports whether the instance has a free slot for a class. Bulk
// requests leave one slot free for interactive requests, unless the instance has
// only one slot.
func (i *instance) hasFreeSlot(c contract.Class, slots int) bool {
	if i.inFlight >= i.limit(slots) {
		return false
	}
	if c == contract.Bulk && slots > 1 {
		return i.inFlight+1 < slots-i.reserved
	}
	return true
}

// load returns the share of the limit in use. For a suspect it adds 10, so that a
// suspect is chosen only after all other instances.
func (i *instance) load(slots int) float64 {
	load := float64(i.inFlight) / float64(max(1, i.limit(slots)))
	if i.suspect != nil {
		load += 10
	}
	return load
}

// startCold puts the instance into cold start with a new ramp.
func (i *instance) startCold(now time.Time) {
	i.state = stateCold
	i.checkingRestart = false
	i.suspect, i.undecided = nil, false
	i.ramp = newRamp(now)
}

func (i *instance) markWarm(now time.Time) {
	i.state = stateActive
	i.checkingRestart = false
	i.activeSince = now
}

// eject takes the instance out of use and returns how long the ejection lasts.
func (i *instance) eject(now time.Time) time.Duration {
	if !i.activeSince.IsZero() && now.Sub(i.activeSince) > ejectionResetFactor*i.ejectedFor {
		i.ejections = 0
	}
	i.ejectedFor = backoff(firstEjection, longestEjection, i.ejections)
	i.ejections++
	i.state = stateEjected
	i.checkingRestart = false
	i.suspect, i.undecided = nil, false
	i.ejectedUntil = now.Add(i.ejectedFor)
	return i.ejectedFor
}

// backoff returns first doubled the given number of times, up to longest.
func backoff(first, longest time.Duration, times int) time.Duration {
	d := first
	for ; times > 0 && d < longest; times-- {
		d *= 2
	}
	return min(d, longest)
}

// startRestartCheck limits the load with a new ramp until the next outcomes show
// whether the process restarted.
func (i *instance) startRestartCheck(now time.Time) {
	i.state = stateCold
	i.ramp = newRamp(now)
	i.checkingRestart = true
	i.restartChecked, i.restartSlow = 0, 0
}

// observeRestartCheck counts an outcome and reports whether there are enough of
// them for a decision. typical is the instance's median time to first byte, or 0
// if unknown.
func (i *instance) observeRestartCheck(o evidence.Outcome, typical time.Duration) bool {
	i.restartChecked++
	slow := typical > 0 && o.FirstByte > restartSlowFactor*typical+restartSlowMargin
	if slow || o.Failed() {
		i.restartSlow++
	}
	return i.restartChecked >= restartCheckOutcomes
}

// pathUsable reports whether a VM may use the instance now.
func (i *instance) pathUsable(vm string, now time.Time) bool {
	p := i.paths[vm]
	return p == nil || !now.Before(p.until)
}

func (i *instance) pausePath(vm string, now time.Time) {
	p := i.paths[vm]
	if p == nil {
		p = new(pathPause)
		i.paths[vm] = p
	}
	p.until = now.Add(backoff(firstPathPause, longestPathPause, p.count))
	p.count++
}
