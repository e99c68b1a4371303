package balancer

import (
	"net/http"
	"strconv"
	"time"

	"chestnutbay.dev/chestnutbay/internal/target/directory"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// Weights of the costs. One unit is the cost of waiting for one request that is in
// progress at every slot of the instance.
const (
	// failureCost is the cost of a failed request that may not be sent again.
	failureCost = 8.0
	// repeatCost is the cost of a failed request that is sent again.
	repeatCost = 4.0
	// pathCost keeps requests away from an instance that this VM could not reach.
	pathCost = 8.0
	// absentCost keeps requests away from an instance that is not at its address.
	absentCost = 16.0
	// fullCost keeps requests away from an instance that has just refused one for
	// want of room.
	fullCost = 2.0
	// busyCost is the cost of an instance with all slots but one in use.
	busyCost = 0.3
	// waitCost is the cost of waiting for each further request.
	waitCost = 1.5
	// remoteZoneCost prefers the own availability zone while it has free slots: what
	// crosses zones is charged for, and other zones' loads are known later.
	remoteZoneCost = 0.15
	// remoteByteCost is the cost of each byte of a body that crosses zones, which
	// the platform charges for: an upload of 60 kB to another zone costs about a
	// seventh of a failed request.
	remoteByteCost = 1.2 / 60e3
	// joinedBonus brings an instance that has joined a first request.
	joinedBonus = 3.0
	// tieCost, tieInstanceCost for each instance of the service, and maxTieCost bound
	// the random part of a cost. It keeps VMs that know the same from choosing the
	// same instance before they hear of each other, which happens the more often the
	// larger a service is.
	tieCost         = 0.1
	tieInstanceCost = 0.0125
	maxTieCost      = 1.0
)

// While many requests of a service end without a good answer, users expect that at
// least 0.7 of its sound instances get requests. Many may fail at once and without a
// warning, as when all VMs lose power, and no VM can tell for certain which instances
// are sound. So most instances are in use at any time, and all of them in trouble,
// but those that failed of late.
const (
	// calmShare is the part of the instances that get requests at any time.
	calmShare = 0.8
	// troubleShare is the part of requests without a good answer from which all
	// instances get requests. Users' bound is a tenth.
	troubleShare = 0.08
	// idempotentShare is the part of a service's requests from which the idempotent
	// ones alone keep instances in use, because a failed one can be repeated.
	idempotentShare = 0.4
	// usedTime is how long an instance counts as used after a request. The users
	// look at 2 s.
	usedTime = 1300 * time.Millisecond
	// failedTime is how long an instance is left alone after a failure. The users
	// take it for sound again after 2 s, and look at the 2 s after that.
	failedTime = 3 * time.Second
	// coverTime is the time in which the unused instances get a request. Some of it
	// goes by until the other VMs know.
	coverTime = 250 * time.Millisecond
)

// Times of avoidance.
const (
	// pathTime is how long this VM avoids an instance that it could not reach.
	pathTime = 2 * time.Second
	// absentTime is how long all VMs avoid an instance that is not at its address.
	// By then its entry is gone or has changed.
	absentTime = 5 * time.Second
	// absentVMs is how many VMs must fail to reach an instance before all avoid it.
	absentVMs = 2
	// fullTime is how long an instance that refused for want of room is avoided:
	// about the time of one request.
	fullTime = 150 * time.Millisecond
	// peerTimeout is how long another VM's word on its requests in progress counts.
	peerTimeout = 5 * time.Second
	// joinedTime is how long an instance that has joined waits for its first request.
	joinedTime = 15 * time.Second
)

// record is what this VM knows of one start of an instance.
type record struct {
	instance *directory.Instance

	// counts are this VM's since the instance was first seen, as reported.
	counts Report

	peers map[string]peer
	// busy holds the VMs with requests in progress at the instance.
	busy map[string]activity

	condition   condition
	lastFailure time.Time
	lastSuccess time.Time
	pathUntil   time.Time
	absentUntil time.Time
	fullUntil   time.Time
	// unreachedBy holds when each VM last failed to reach the instance, since the
	// last success of any VM.
	unreachedBy map[string]time.Time
	recent      ring
	lastStart   time.Time // of a request of any VM
	joinedAt    time.Time
}

// peer is another VM's last report on the instance.
type peer struct {
	at          time.Time
	incarnation uint64
	report      Report
}

// activity is what another VM has in progress at the instance, and since when that
// is known.
type activity struct {
	at       time.Time
	requests int
}

// View is what was known of an instance at one moment, for logs.
type View struct {
	InFlight    int
	OwnInFlight int
	// Gray is the probability that the instance fails most requests.
	Gray        float64
	LastFailure time.Duration // ago; 0 means never
}

func (r *record) view(now time.Time) View {
	v := View{InFlight: r.inFlight(now), OwnInFlight: r.counts.InFlight, Gray: r.condition.probability(now)}
	if !r.lastFailure.IsZero() {
		v.LastFailure = now.Sub(r.lastFailure)
	}
	return v
}

// inFlight returns the requests in progress at the instance from all VMs.
func (r *record) inFlight(now time.Time) int {
	n := r.counts.InFlight
	for vm, a := range r.busy {
		if now.Sub(a.at) >= peerTimeout {
			delete(r.busy, vm)
			continue
		}
		n += a.requests
	}
	return n
}

// setBusy notes what another VM has in progress.
func (r *record) setBusy(vm string, now time.Time, requests int) {
	if requests == 0 {
		delete(r.busy, vm)
		return
	}
	if r.busy == nil {
		r.busy = make(map[string]activity)
	}
	r.busy[vm] = activity{at: now, requests: requests}
}

func (r *record) cold(now time.Time) bool { return now.Before(r.instance.ColdUntil()) }

// usedLately reports whether the instance got a request of any VM lately.
func (r *record) usedLately(now time.Time) bool { return now.Sub(r.lastStart) < usedTime }

// failedLately reports whether the instance failed a request of any VM lately.
func (r *record) failedLately(now time.Time) bool { return now.Sub(r.lastFailure) < failedTime }

// joined reports whether the instance has joined lately and no VM has sent it a
// request.
func (r *record) joined(now time.Time) bool {
	if r.joinedAt.IsZero() || r.counts.Started > 0 || now.Sub(r.joinedAt) > joinedTime {
		return false
	}
	for _, p := range r.peers {
		if p.report.Started > 0 {
			return false
		}
	}
	return true
}

// risk is the cost of what may go wrong at the instance.
func (r *record) risk(now time.Time, idempotent bool) float64 {
	weight := failureCost
	if idempotent {
		weight = repeatCost
	}
	cost := weight * r.condition.failure(now)
	if now.Before(r.pathUntil) {
		cost += pathCost
	}
	if now.Before(r.absentUntil) {
		cost += absentCost
	}
	if now.Before(r.fullUntil) {
		cost += fullCost
	}
	return cost
}

// observeOwn takes in the end of a request of this VM, and reports whether other
// VMs should learn of it at once.
func (r *record) observeOwn(o evidence.Outcome, now time.Time) bool {
	switch verdictOf(o) {
	case succeeded:
		r.counts.Succeeded++
		r.pathUntil = time.Time{}
		r.success(now, 1)
	case failed:
		r.counts.Failed++
		r.failure(now, failed, 1)
		return true
	case late:
		r.counts.Late++
		r.failure(now, late, 1)
		return true
	case unreachable:
		r.counts.Unreached++
		r.pathUntil = now.Add(pathTime)
		r.notReached(ownName, now)
		return true
	case absent:
		r.counts.Absent++
		r.absentUntil = now.Add(absentTime)
		return true
	case full:
		r.fullUntil = now.Add(fullTime)
	default:
	}
	return false
}

// ownName stands for this VM among those that could not reach an instance.
const ownName = ""

func (r *record) success(now time.Time, n uint32) {
	for range min(n, maxObserved) {
		r.condition.observe(now, succeeded)
	}
	r.lastSuccess = now
	r.absentUntil = time.Time{}
	clear(r.unreachedBy)
}

// failure takes in requests that failed or were late.
func (r *record) failure(now time.Time, v verdict, n uint32) {
	for range min(n, maxObserved) {
		r.condition.observe(now, v)
	}
	r.lastFailure = now
}

// notReached notes that a VM could not reach the instance. If that happens to
// several VMs and none gets an answer, the instance is away and not only a path.
func (r *record) notReached(vm string, now time.Time) {
	if r.unreachedBy == nil {
		r.unreachedBy = make(map[string]time.Time)
	}
	r.unreachedBy[vm] = now
	n := 0
	for _, at := range r.unreachedBy {
		if now.Sub(at) < pathTime {
			n++
		}
	}
	if n >= absentVMs {
		r.absentUntil = now.Add(pathTime)
	}
}

// maxObserved bounds the requests of one report that count, since more say nothing
// more.
const maxObserved = 16

type verdict int

const (
	silent verdict = iota
	succeeded
	failed
	late
	unreachable
	absent
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
		if o.Status == http.StatusMisdirectedRequest {
			return absent
		}
		return full
	case evidence.ConnectFailed:
		return unreachable
	case evidence.Reset, evidence.Malformed:
		return failed
	case evidence.TimedOut:
		return late
	default:
		return silent
	}
}

// loadCost rises with the requests in progress, and steeply beyond the slots.
func loadCost(inFlight, slots int) float64 {
	if inFlight < slots {
		return busyCost * float64(inFlight) / float64(slots)
	}
	return 1 + waitCost*float64(inFlight-slots)/float64(slots)
}

// slotName names a right to an instance for one slot of time.
func slotName(id string, slot int64) string {
	return id + "@" + strconv.FormatInt(slot, 10)
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
