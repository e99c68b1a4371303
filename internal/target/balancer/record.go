package balancer

import (
	"net/http"
	"strconv"
	"time"

	"chestnutbay.dev/chestnutbay/internal/target/directory"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// Weights of the costs. One unit is the cost of waiting at an instance that has one
// request in progress at each of its slots.
const (
	// failureCost is the cost of a failed request that must not be retried.
	failureCost = 8.0
	// retryCost is the cost of a failed request that may be retried.
	retryCost = 4.0
	// unreachableCost keeps requests away from an instance that this VM could not
	// reach.
	unreachableCost = 8.0
	// absentCost keeps requests away from an instance that is not at its address.
	absentCost = 16.0
	// fullCost keeps requests away from an instance that has just refused one because
	// it had no free capacity.
	fullCost = 2.0
	// busyCost scales the cost of the slots in use while some are free: it is
	// multiplied by the share of slots in use.
	busyCost = 0.3
	// waitCost is the cost of waiting for each further round of requests, one per
	// slot, beyond the slots.
	waitCost = 1.5
	// remoteZoneCost prefers this VM's availability zone while it has free slots:
	// traffic between zones is charged for, and the load of other zones is reported
	// with more delay.
	remoteZoneCost = 0.15
	// remoteByteCost is the cost of each byte of a body that crosses zones, which
	// the platform charges for: an upload of 60 kB to another zone costs about a
	// seventh of a failed request.
	remoteByteCost = 1.2 / 60e3
	// joinedBonus lowers the cost of an instance that has joined, so that it gets its
	// first request.
	joinedBonus = 3.0
	// tieCost + tieInstanceCost for each instance of the service, at most maxTieCost,
	// is the upper bound of the random part of a cost. The random part keeps VMs with
	// the same information from choosing the same instance before they receive each
	// other's reports, which happens more often the larger a service is.
	tieCost         = 0.1
	tieInstanceCost = 0.0125
	maxTieCost      = 1.0
)

// While many requests of a service end without a successful response, users expect
// that at least 0.7 of its healthy instances get requests. Many requests may start to
// fail at once and without a warning, as when all VMs lose power, and no VM can tell
// for certain which instances are healthy. So most instances are in use at any time,
// and while many requests fail, all of them except those that failed recently.
const (
	// normalUsedShare is the share of the instances that get requests at any time.
	normalUsedShare = 0.8
	// maxUnservedShare is the share of requests without a successful response above
	// which all instances get requests. The users' bound is a tenth.
	maxUnservedShare = 0.08
	// If at least minIdempotentShare of a service's requests are idempotent, only
	// idempotent requests are diverted to unused instances, because they can be
	// retried after a failure. This does not apply while the share of requests
	// without a successful response is above maxUnservedShare.
	minIdempotentShare = 0.4
	// usedTime is how long an instance counts as used after a request. The users'
	// check for unused instances covers 2 s.
	usedTime = 1300 * time.Millisecond
	// failedTime is how long an unused instance is not tried again after a failure.
	// The users count it as healthy again 2 s after the failure, and then check
	// whether it gets a request within the following 2 s.
	failedTime = 3 * time.Second
	// coverTime is the time within which enough unused instances get a request. It
	// includes the time until the other VMs receive the report of that request.
	coverTime = 250 * time.Millisecond
)

// How long observations of an instance count.
const (
	// unreachableTime is how long this VM avoids an instance that it could not reach,
	// and all VMs avoid one that absentVMs of them could not reach.
	unreachableTime = 2 * time.Second
	// absentTime is how long all VMs avoid an instance that is not at its address.
	// By then its directory entry has been removed or changed.
	absentTime = 5 * time.Second
	// absentVMs is how many VMs must fail to reach an instance before all avoid it.
	absentVMs = 2
	// fullTime is how long an instance is avoided after it refused a request
	// because it had no free capacity. It is about the duration of one request.
	fullTime = 150 * time.Millisecond
	// peerTimeout is how long another VM's report of its requests in progress counts.
	peerTimeout = 5 * time.Second
	// joinedTime is how long joinedBonus applies to an instance that has joined and
	// got no request.
	joinedTime = 15 * time.Second
)

// record holds the observations of an instance since its last start: this VM's own
// and those that other VMs reported.
type record struct {
	instance *directory.Instance

	// counts is this VM's own report, cumulative since the instance was first seen.
	counts Report

	peers map[string]peer // by VM
	// peerInFlight holds the requests in progress of each VM that has any.
	peerInFlight map[string]inFlightReport

	condition        condition
	lastFailure      time.Time
	lastSuccess      time.Time
	unreachableUntil time.Time
	absentUntil      time.Time
	fullUntil        time.Time
	// pausedUntil is when this VM may send requests again after the instance refused
	// one with a Retry-After. The instance asked only this VM.
	pausedUntil time.Time
	// unreachedBy holds when each VM last failed to reach the instance, since the
	// last success of any VM.
	unreachedBy    map[string]time.Time
	recentRequests ring      // requests of all VMs
	lastRequest    time.Time // when any VM last sent a request
	joinedAt       time.Time
}

// peer is another VM's last report of the instance.
type peer struct {
	at          time.Time
	incarnation uint64
	report      Report
}

// inFlightReport is how many requests another VM has in progress at the instance, and
// when that was reported.
type inFlightReport struct {
	at       time.Time
	requests int
}

// View is a snapshot of an instance's state, for logs.
type View struct {
	InFlight    int // requests in progress from all VMs
	OwnInFlight int // requests in progress from this VM
	// Gray is the probability that the instance fails most requests.
	Gray        float64
	LastFailure time.Duration // time since the last failure; 0 means never
}

func (r *record) view(now time.Time) View {
	v := View{InFlight: r.inFlight(now), OwnInFlight: r.counts.InFlight, Gray: r.condition.probability(now)}
	if !r.lastFailure.IsZero() {
		v.LastFailure = now.Sub(r.lastFailure)
	}
	return v
}

// inFlight returns the requests in progress at the instance from all VMs. It drops
// reports older than peerTimeout.
func (r *record) inFlight(now time.Time) int {
	n := r.counts.InFlight
	for vm, a := range r.peerInFlight {
		if now.Sub(a.at) >= peerTimeout {
			delete(r.peerInFlight, vm)
			continue
		}
		n += a.requests
	}
	return n
}

// setPeerInFlight records how many requests another VM has in progress.
func (r *record) setPeerInFlight(vm string, now time.Time, requests int) {
	if requests == 0 {
		delete(r.peerInFlight, vm)
		return
	}
	if r.peerInFlight == nil {
		r.peerInFlight = make(map[string]inFlightReport)
	}
	r.peerInFlight[vm] = inFlightReport{at: now, requests: requests}
}

// paused reports whether the instance has asked this VM not to send requests now.
func (r *record) paused(now time.Time) bool { return now.Before(r.pausedUntil) }

func (r *record) cold(now time.Time) bool { return now.Before(r.instance.ColdUntil()) }

// usedRecently reports whether any VM sent the instance a request within usedTime.
func (r *record) usedRecently(now time.Time) bool { return now.Sub(r.lastRequest) < usedTime }

// failedRecently reports whether a request of any VM failed at the instance within
// failedTime.
func (r *record) failedRecently(now time.Time) bool { return now.Sub(r.lastFailure) < failedTime }

// awaitsFirstRequest reports whether the instance joined within joinedTime and no VM
// has sent it a request.
func (r *record) awaitsFirstRequest(now time.Time) bool {
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

// risk returns the expected cost of a failure or refusal at the instance.
func (r *record) risk(now time.Time, idempotent bool) float64 {
	weight := failureCost
	if idempotent {
		weight = retryCost
	}
	cost := weight * r.condition.failureProbability(now)
	if now.Before(r.unreachableUntil) {
		cost += unreachableCost
	}
	if now.Before(r.absentUntil) {
		cost += absentCost
	}
	if now.Before(r.fullUntil) {
		cost += fullCost
	}
	return cost
}

// observeOwn records the outcome of a request of this VM, and returns whether it
// should be reported to the other VMs at once.
func (r *record) observeOwn(o evidence.Outcome, now time.Time) bool {
	if until := now.Add(o.RetryAfter); until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
	switch verdictOf(o) {
	case succeeded:
		r.counts.Succeeded++
		r.unreachableUntil = time.Time{}
		r.observeSuccess(now, 1)
	case failed:
		r.counts.Failed++
		r.observeFailure(now, failed, 1)
		return true
	case late:
		r.counts.Late++
		r.observeFailure(now, late, 1)
		return true
	case unreachable:
		r.counts.Unreached++
		r.unreachableUntil = now.Add(unreachableTime)
		r.observeUnreached(ownVM, now)
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

// ownVM is this VM's key in record.unreachedBy.
const ownVM = ""

// observeSuccess records n successful requests of one VM.
func (r *record) observeSuccess(now time.Time, n uint32) {
	for range min(n, maxObserved) {
		r.condition.observe(now, succeeded)
	}
	r.lastSuccess = now
	r.absentUntil = time.Time{}
	clear(r.unreachedBy)
}

// observeFailure records n requests of one VM with the verdict failed or late.
func (r *record) observeFailure(now time.Time, v verdict, n uint32) {
	for range min(n, maxObserved) {
		r.condition.observe(now, v)
	}
	r.lastFailure = now
}

// observeUnreached records that a VM could not reach the instance. When absentVMs VMs
// cannot reach it and no VM gets a response, the instance itself is taken to be down,
// rather than the network path from one VM, and all VMs avoid it.
func (r *record) observeUnreached(vm string, now time.Time) {
	if r.unreachedBy == nil {
		r.unreachedBy = make(map[string]time.Time)
	}
	r.unreachedBy[vm] = now
	n := 0
	for _, at := range r.unreachedBy {
		if now.Sub(at) < unreachableTime {
			n++
		}
	}
	if n >= absentVMs {
		r.absentUntil = now.Add(unreachableTime)
	}
}

// maxObserved bounds how many requests of one report change the estimate of the
// condition. More of them would no longer change it noticeably.
const maxObserved = 16

// verdict is what the outcome of one request shows about the instance.
type verdict int

const (
	inconclusive verdict = iota
	succeeded
	failed
	late        // not answered in time
	unreachable // no connection
	absent      // another instance listens at the address
	full        // refused because there was no free capacity
)

// verdictOf returns what an outcome shows about the instance.
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
		return inconclusive
	}
}

// loadCost returns the cost of an instance's load. It rises with the requests in
// progress, and steeply once all slots are in use.
func loadCost(inFlight, slots int) float64 {
	if inFlight < slots {
		return busyCost * float64(inFlight) / float64(slots)
	}
	return 1 + waitCost*float64(inFlight-slots)/float64(slots)
}

// secondName returns the name to pass to Fleet.Owns for one instance and one
// second. The VM that owns this name may use the instance while it is cold.
func secondName(id string, second int64) string {
	return id + "@" + strconv.FormatInt(second, 10)
}

// With ringBuckets buckets of ringBucketTime each, a ring covers a little over a
// second.
const (
	ringBuckets    = 12
	ringBucketTime = 100 * time.Millisecond
)

// ring counts events of the last second in time buckets.
type ring struct {
	counts  [ringBuckets]float64
	numbers [ringBuckets]int64 // number of the bucket since the Unix epoch
}

func (r *ring) add(now time.Time, n float64) {
	number := now.UnixNano() / int64(ringBucketTime)
	i := number % ringBuckets
	if r.numbers[i] != number {
		r.numbers[i], r.counts[i] = number, 0
	}
	r.counts[i] += n
}

func (r *ring) sum(now time.Time, window time.Duration) float64 {
	last := now.UnixNano() / int64(ringBucketTime)
	first := last - int64(window/ringBucketTime)
	total := 0.0
	for i, s := range r.numbers {
		if s >= first && s <= last {
			total += r.counts[i]
		}
	}
	return total
}
