package balancer

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"chestnutbay.dev/chestnutbay/internal/target/directory"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// Weights of the costs. One unit is the cost of waiting for one request that is in
// progress at every slot of the instance.
const (
	// suspectCost keeps requests away from an instance that failed lately as long
	// as another one is not far over its slots.
	suspectCost = 12.0
	// pathCost is the same for an instance that this VM could not reach.
	pathCost = 8.0
	// fullCost keeps requests away from an instance that has just refused one for
	// want of room.
	fullCost = 2.0
	// historyCost weighs an instance's faded share of failures.
	historyCost = 1.5
	// remoteZoneCost prefers the own availability zone among equals.
	remoteZoneCost = 0.02
	// tieCost spreads requests over instances of equal cost.
	tieCost = 0.1
)

// Times of avoidance.
const (
	// suspectTime is how long an instance is avoided after a failure. The gray
	// spells that users see last a few seconds.
	suspectTime = 1500 * time.Millisecond
	// maxSuspectTime bounds the avoidance after repeated failures.
	maxSuspectTime = 6 * time.Second
	// pathTime is how long this VM avoids an instance that it could not reach.
	pathTime = 2 * time.Second
	// fullTime is how long an instance that refused for want of room is avoided:
	// about the time of one request.
	fullTime = 150 * time.Millisecond
	// historyFade is the time in which a failure's weight falls to 1/e.
	historyFade = 20 * time.Second
	// historyPrior is the weight of the assumption that an instance is sound.
	historyPrior = 6.0
	// peerTimeout is how long another VM's word on its requests in progress counts.
	peerTimeout = 5 * time.Second
	// reportCopies is how often a change is reported, since datagrams get lost.
	reportCopies = 2
)

// record is what this VM knows of one start of an instance.
type record struct {
	instance *directory.Instance

	// own is this VM's part of the requests in progress.
	own     int
	pending []*Choice
	// Counts of this VM since the instance was first seen.
	started   uint32
	succeeded uint32
	failed    uint32

	peers map[string]peer

	suspectUntil time.Time
	failures     int // in a row
	lastFailure  time.Time
	pathUntil    time.Time
	fullUntil    time.Time
	good, bad    faded
	recent       ring
}

// peer is another VM's last report on the instance.
type peer struct {
	at          time.Time
	incarnation uint64
	report      Report
}

// View is what was known of an instance at one moment, for logs.
type View struct {
	InFlight    int
	OwnInFlight int
	Failures    int
	LastFailure time.Duration // ago; 0 means never
}

func (r *record) view(now time.Time) View {
	v := View{InFlight: r.inFlight(now), OwnInFlight: r.own, Failures: r.failures}
	if !r.lastFailure.IsZero() {
		v.LastFailure = now.Sub(r.lastFailure)
	}
	return v
}

// inFlight returns the requests in progress at the instance from all VMs.
func (r *record) inFlight(now time.Time) int {
	n := r.own
	for _, p := range r.peers {
		if now.Sub(p.at) < peerTimeout {
			n += p.report.InFlight
		}
	}
	return n
}

func (r *record) cold(now time.Time) bool { return now.Before(r.instance.ColdUntil()) }

// risk is the cost of what may go wrong at the instance.
func (r *record) risk(now time.Time, idempotent bool) float64 {
	cost := 0.0
	if now.Before(r.suspectUntil) {
		cost += suspectCost
	}
	if now.Before(r.pathUntil) {
		cost += pathCost
	}
	if now.Before(r.fullUntil) {
		cost += fullCost
	}
	bad, good := r.bad.value(now), r.good.value(now)
	history := historyCost * bad / (bad + good + historyPrior)
	if idempotent {
		history /= 2
	}
	return cost + history
}

// observeOwn takes in the end of a request of this VM, and reports whether other
// VMs should learn of it at once.
func (r *record) observeOwn(o evidence.Outcome, now, started time.Time) bool {
	switch verdictOf(o) {
	case succeeded:
		r.succeeded++
		r.success(now, started)
		return r.failures > 0
	case failed:
		r.failed++
		r.failure(now)
		return true
	case unreachable:
		r.pathUntil = now.Add(pathTime)
	case full:
		r.fullUntil = now.Add(fullTime)
	}
	return false
}

// success ends a suspicion if the request began after the last failure.
func (r *record) success(now, started time.Time) {
	r.good.add(now, 1)
	r.pathUntil = time.Time{}
	if started.After(r.lastFailure) && !now.Before(r.suspectUntil) {
		r.failures = 0
	}
}

func (r *record) failure(now time.Time) {
	r.bad.add(now, 1)
	if now.Sub(r.lastFailure) > suspectTime/2 {
		r.failures++
	}
	r.lastFailure = now
	d := min(time.Duration(float64(suspectTime)*math.Pow(1.5, float64(r.failures-1))), maxSuspectTime)
	r.suspectUntil = now.Add(d)
}

func (r *record) unpend(c *Choice) {
	for i, p := range r.pending {
		if p == c {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			return
		}
	}
}

type verdict int

const (
	silent verdict = iota
	succeeded
	failed
	unreachable
	full
)

// verdictOf says what an outcome tells about the instance.
func verdictOf(o evidence.Outcome) verdict {
	switch o.Kind {
	case evidence.Answered:
		if o.Status >= http.StatusInternalServerError {
			return failed
		}
		return succeeded
	case evidence.Refused:
		return full
	case evidence.ConnectFailed:
		return unreachable
	case evidence.Reset, evidence.Malformed, evidence.TimedOut:
		return failed
	}
	return silent
}

// loadCost rises with the requests in progress, and steeply beyond the slots.
func loadCost(inFlight, slots int) float64 {
	x := float64(inFlight) / float64(slots)
	if inFlight < slots {
		return x / 2
	}
	return x
}

// coldName names the right to use a cold instance in one second.
func coldName(id string, second int64) string {
	return id + "@" + strconv.FormatInt(second, 10)
}

// faded is a count that fades with time.
type faded struct {
	at time.Time
	n  float64
}

func (f *faded) value(now time.Time) float64 {
	if f.n == 0 {
		return 0
	}
	return f.n * math.Exp(-now.Sub(f.at).Seconds()/historyFade.Seconds())
}

func (f *faded) add(now time.Time, n float64) {
	f.n = f.value(now) + n
	f.at = now
}

// ringSlots and ringSlot give a ring a memory of a little over a second.
const (
	ringSlots = 12
	ringSlot  = 100 * time.Millisecond
)

// ring counts events of the last second.
type ring struct {
	counts [ringSlots]float64
	slots  [ringSlots]int64
}

func (r *ring) add(now time.Time, n float64) {
	slot := now.UnixNano() / int64(ringSlot)
	i := slot % ringSlots
	if r.slots[i] != slot {
		r.slots[i], r.counts[i] = slot, 0
	}
	r.counts[i] += n
}

func (r *ring) sum(now time.Time, window time.Duration) float64 {
	last := now.UnixNano() / int64(ringSlot)
	first := last - int64(window/ringSlot)
	total := 0.0
	for i, s := range r.slots {
		if s >= first && s <= last {
			total += r.counts[i]
		}
	}
	return total
}
