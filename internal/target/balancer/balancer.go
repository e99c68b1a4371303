// Package balancer chooses the target instance of each request from the reports of
// all VMs: how many requests each instance has in progress, and which instances
// failed recently. Every VM decides locally, and falls back to its own observations
// when no other VM can be reached, so a request never waits for a call to another VM.
//
// An instance with a gray failure fails requests while it still reports itself
// healthy. From the request outcomes of all VMs the balancer estimates the
// probability that an instance is gray, and weighs the expected cost of a failure
// against the wait at other instances.
//
// # Usage
//
//	b := balancer.New(balancer.Config{Directory: &directory, Zone: "north"})
//	choice, err := b.Choose(balancer.Request{Service: "orders"})
//	if err != nil {
//		return err // ErrNoInstance
//	}
//	choice.Done(outcome)
//
// Reports returns this VM's changed counts for the other VMs, and Observe merges the
// counts that they report.
package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/fleet/outbox"
	"chestnutbay.dev/chestnutbay/internal/target/directory"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// ErrNoInstance means that no instance of the service may get the request.
var ErrNoInstance = merry.Sentinel("balancer: no instance can take the request")

// Warmup returns the request rates of cold instances.
type Warmup interface {
	// WarmupRate returns how many requests per second a cold instance of the service
	// may get from all VMs together. 0 or less means no limit.
	WarmupRate(service string) float64
}

// Fleet decides which VM may use a cold instance during the current second.
type Fleet interface {
	// Owns reports whether this VM owns a name. At most one VM owns a name at a time,
	// even while VMs cannot reach each other.
	Owns(name string) bool
}

// Config holds the dependencies of a Balancer. Directory is required.
type Config struct {
	Directory *directory.Directory
	Warmup    Warmup
	Fleet     Fleet
	// Zone is this VM's availability zone. Among instances of equal load and risk,
	// those in this zone are preferred.
	Zone string
	// RecentTraffic returns the recent requests per second for a service on all VMs,
	// and the share of them that ended without a successful response. It may be nil.
	RecentTraffic func(service string) (perSecond, unserved float64)
	// Changed is called when this VM has a new change to report to the other VMs;
	// urgent asks to report it at once. It may be nil.
	Changed func(urgent bool)
}

// Request describes the request that needs an instance.
type Request struct {
	Service string
	// Idempotent requests can be retried after a failure, so they are the first to
	// be sent to an instance that failed recently.
	Idempotent bool
	// Bytes is the length of the request's body. Traffic between zones is charged by
	// the byte.
	Bytes int64
	// Exclude lists the IDs of the instances that the request was already sent to.
	Exclude []string
}

// Balancer chooses instances. It is safe for concurrent use.
type Balancer struct {
	config Config

	mu        sync.Mutex
	instances map[string]*record
	mixes     map[string]*requestMix // by service
	changed   outbox.Changes         // IDs of instances whose counts are to be reported
}

// New returns a balancer without any observations.
func New(c Config) *Balancer {
	return &Balancer{config: c, instances: make(map[string]*record), mixes: make(map[string]*requestMix)}
}

// Choose picks an instance for one request and counts the request as in progress
// there until the caller calls Done on the choice. It returns ErrNoInstance when no
// instance may get the request.
func (b *Balancer) Choose(r Request) (*Choice, error) {
	serving := b.config.Directory.Serving(r.Service)
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mix(r.Service).add(now, r.Idempotent)
	if rec := b.pickUnused(serving, r, now); rec != nil {
		return b.start(rec, 0, now), nil
	}
	best, bestCost := (*record)(nil), 0.0
	tieBound := min(tieCost+tieInstanceCost*float64(len(serving)), maxTieCost)
	for _, i := range serving {
		if slices.Contains(r.Exclude, i.ID()) {
			continue
		}
		rec := b.record(i)
		cost, ok := b.cost(rec, r, now)
		cost += tieBound * rand.Float64()
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = rec, cost
		}
	}
	if best == nil {
		return nil, merry.Wrap(ErrNoInstance, merry.AppendMessagef("%d of %s listed", len(serving), r.Service))
	}
	return b.start(best, bestCost, now), nil
}

// RetryAfter returns the time after which the first instance of a service takes requests
// from this VM again, if every serving instance has asked for a pause. Otherwise it
// returns 0.
func (b *Balancer) RetryAfter(service string) time.Duration {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	soonest := time.Duration(0)
	for _, i := range b.config.Directory.Serving(service) {
		rec := b.record(i)
		if !rec.paused(now) {
			return 0
		}
		if wait := rec.pausedUntil.Sub(now); soonest == 0 || wait < soonest {
			soonest = wait
		}
	}
	return soonest
}

// pickUnused returns an instance that no VM has used recently if too few of the
// service's instances are in use. It returns nil if the request should be balanced
// as usual. Each VM diverts a random share of its requests, chosen so that all VMs
// together bring enough instances into use within coverTime.
func (b *Balancer) pickUnused(serving []*directory.Instance, r Request, now time.Time) *record {
	if b.config.RecentTraffic == nil || len(r.Exclude) > 0 {
		return nil
	}
	perSecond, unserved := b.config.RecentTraffic(r.Service)
	usedShare := normalUsedShare
	switch {
	case unserved > maxUnservedShare:
		usedShare = 1
	case !r.Idempotent && b.mix(r.Service).enoughIdempotent():
		return nil
	}
	unused, used := b.unused(serving, now)
	missing := usedShare*float64(used+len(unused)) - float64(used)
	if missing <= 0 || rand.Float64()*perSecond*coverTime.Seconds() > missing {
		return nil
	}
	slices.SortFunc(unused, func(a, b *record) int {
		return cmp.Compare(a.condition.probability(now), b.condition.probability(now))
	})
	return unused[rand.IntN(int(math.Ceil(missing)))]
}

// unused returns the usable instances that no VM has used recently, and the number of
// instances that are in use.
func (b *Balancer) unused(serving []*directory.Instance, now time.Time) (unused []*record, used int) {
	for _, i := range serving {
		rec := b.record(i)
		switch {
		case rec.usedRecently(now):
			used++
		case rec.paused(now) || rec.failedRecently(now) || now.Before(rec.absentUntil) || now.Before(rec.unreachableUntil):
		case !rec.cold(now) || b.admitsCold(rec, now):
			unused = append(unused, rec)
		}
	}
	return unused, used
}

// mix returns the counts of a service's requests by idempotency.
func (b *Balancer) mix(service string) *requestMix {
	m := b.mixes[service]
	if m == nil {
		m = &requestMix{}
		b.mixes[service] = m
	}
	return m
}

// start records that a request is sent to an instance and returns the choice. The
// caller holds the lock.
func (b *Balancer) start(rec *record, cost float64, now time.Time) *Choice {
	c := &Choice{b: b, rec: rec, instance: rec.instance, cost: cost, view: rec.view(now)}
	rec.counts.InFlight++
	rec.counts.Started++
	rec.recentRequests.add(now, 1)
	rec.lastRequest = now
	b.markChanged(rec, false)
	return c
}

// cost returns the cost of sending a request to an instance; the instance with the
// lowest cost is chosen. It returns false for an instance that must not get the
// request.
func (b *Balancer) cost(rec *record, r Request, now time.Time) (float64, bool) {
	if rec.paused(now) || rec.cold(now) && !b.admitsCold(rec, now) {
		return 0, false
	}
	cost := loadCost(rec.inFlight(now), rec.instance.Slots())
	cost += rec.risk(now, r.Idempotent)
	if rec.instance.Zone() != b.config.Zone {
		cost += remoteZoneCost + remoteByteCost*float64(r.Bytes)
	}
	if rec.awaitsFirstRequest(now) {
		cost -= joinedBonus
	}
	return cost, true
}

// admitsCold reports whether a cold instance may get one more request from this
// VM. In each second only one VM may use a given cold instance, so that all VMs
// together stay within its warmup rate.
func (b *Balancer) admitsCold(rec *record, now time.Time) bool {
	if b.config.Warmup == nil {
		return true
	}
	rate := b.config.Warmup.WarmupRate(rec.instance.Service())
	if rate <= 0 {
		return true
	}
	second := now.Unix()
	if b.config.Fleet != nil && !b.config.Fleet.Owns(secondName(rec.instance.ID(), second)) {
		return false
	}
	if rec.recentRequests.sum(now, time.Second) >= rate {
		return false
	}
	return true
}

// record returns the record of an instance. An instance that is new or has restarted
// gets an empty record.
func (b *Balancer) record(i *directory.Instance) *record {
	rec := b.instances[i.ID()]
	if rec == nil || rec.instance.Started() != i.Started() {
		rec = &record{instance: i, counts: Report{Instance: i.ID()}}
		b.instances[i.ID()] = rec
	}
	rec.instance = i
	return rec
}

// MarkJoined marks an instance that was added to a running service. It gets its first
// request soon, so that its state is known by the time the service depends on it.
func (b *Balancer) MarkJoined(i *directory.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(i).joinedAt = time.Now()
}

// Forget drops the record of an instance.
func (b *Balancer) Forget(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.instances, id)
	b.changed.Drop(id)
}

// ForgetVM drops the last reports of a VM that is no longer a member of the fleet.
func (b *Balancer) ForgetVM(vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, rec := range b.instances {
		delete(rec.peers, vm)
		delete(rec.peerInFlight, vm)
	}
}

// markChanged includes an instance in the next reports. The caller holds the lock.
func (b *Balancer) markChanged(rec *record, urgent bool) {
	b.changed.Mark(rec.instance.ID())
	if b.config.Changed != nil {
		b.config.Changed(urgent)
	}
}

// Choice is one request in progress at the instance that was chosen for it.
type Choice struct {
	b        *Balancer
	rec      *record
	instance *directory.Instance
	cost     float64
	view     View
	done     bool
}

// Instance returns the chosen instance.
func (c *Choice) Instance() *directory.Instance { return c.instance }

// Cost returns the cost of the instance at the time of the choice. It is 0 if the
// instance was chosen because no VM had used it recently.
func (c *Choice) Cost() float64 { return c.cost }

// View returns the state of the instance just before the request was counted.
func (c *Choice) View() View { return c.view }

// Done records how the request ended. Only the first call counts.
func (c *Choice) Done(o evidence.Outcome) {
	b := c.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	now := time.Now()
	c.rec.counts.InFlight--
	urgent := c.rec.observeOwn(o, now)
	b.markChanged(c.rec, urgent)
}
