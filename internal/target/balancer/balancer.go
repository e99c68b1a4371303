// Package balancer chooses the target instance of each request from what all VMs
// see: how many requests each instance has in progress, and which instances failed
// lately. Every VM decides for itself, with its own view when no other VM can be
// heard, so no call to another VM stands between a caller and its answer.
//
// An instance with a gray failure fails requests while its health report is good.
// From the outcomes of all VMs the balancer estimates the probability that an
// instance is gray, and weighs what a failure costs against the wait elsewhere.
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
// Reports returns what the other VMs need to know of this one, and Observe takes
// in what they report.
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

// ErrNoInstance reports a service without an instance that may get the request.
var ErrNoInstance = merry.Sentinel("balancer: no instance can take the request")

// Warmup says how much a cold instance of a service bears.
type Warmup interface {
	// WarmupRate returns the requests a second that a cold instance bears from all
	// VMs together.
	WarmupRate(service string) float64
}

// Fleet tells which VM may use a cold instance in the present second.
type Fleet interface {
	// Owns reports whether a name is this VM's. It is at most one VM's, also while
	// VMs do not hear each other.
	Owns(name string) bool
}

// Config is what a Balancer works with. Directory is required.
type Config struct {
	Directory *directory.Directory
	Warmup    Warmup
	Fleet     Fleet
	// Zone is this VM's availability zone, which is preferred among equals.
	Zone string
	// Recent returns the requests a second for a service on all VMs, and the part of
	// the latest ones that ended without a good answer. It may be nil.
	Recent func(service string) (perSecond, unserved float64)
	// Changed is called when something was recorded that other VMs should learn
	// soon. It may be nil.
	Changed func(urgent bool)
}

// Request says what is to be sent.
type Request struct {
	Service string
	// Idempotent requests may fail at little cost, so they are the first at an
	// instance that failed lately.
	Idempotent bool
	// Bytes is the length of the request's body, which should not cross zones.
	Bytes int64
	// Exclude lists the instances that the request was sent to before.
	Exclude []string
}

// Balancer chooses instances. It is safe for concurrent use.
type Balancer struct {
	config Config

	mu        sync.Mutex
	instances map[string]*record
	requests  map[string]*kinds // by service
	changed   outbox.Changes    // instances to report
}

// New returns a balancer.
func New(c Config) *Balancer {
	return &Balancer{config: c, instances: make(map[string]*record), requests: make(map[string]*kinds)}
}

// Choose picks an instance for one request. The request's end is reported with the
// choice's Done.
func (b *Balancer) Choose(r Request) (*Choice, error) {
	serving := b.config.Directory.Serving(r.Service)
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kinds(r.Service).add(now, r.Idempotent)
	if rec := b.neglected(serving, r, now); rec != nil {
		return b.start(rec, 0, now), nil
	}
	best, bestCost := (*record)(nil), 0.0
	tie := min(tieCost+tieInstanceCost*float64(len(serving)), maxTieCost)
	for _, i := range serving {
		if slices.Contains(r.Exclude, i.ID()) {
			continue
		}
		rec := b.record(i)
		cost, ok := b.cost(rec, r, now)
		cost += tie * rand.Float64()
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = rec, cost
		}
	}
	if best == nil {
		return nil, merry.Wrap(ErrNoInstance, merry.AppendMessagef("%d of %s listed", len(serving), r.Service))
	}
	return b.start(best, bestCost, now), nil
}

// neglected returns an instance that no VM uses and that this request should go to,
// because too few of the service's instances are in use. Each VM sends there such a
// part of its requests that all VMs together reach enough instances within
// coverTime.
func (b *Balancer) neglected(serving []*directory.Instance, r Request, now time.Time) *record {
	if b.config.Recent == nil || len(r.Exclude) > 0 {
		return nil
	}
	perSecond, unserved := b.config.Recent(r.Service)
	share := calmShare
	switch {
	case unserved > troubleShare:
		share = 1
	case !r.Idempotent && b.kinds(r.Service).mostly():
		return nil
	}
	unused, used := b.unused(serving, now)
	missing := share*float64(used+len(unused)) - float64(used)
	if missing <= 0 || rand.Float64()*perSecond*coverTime.Seconds() > missing {
		return nil
	}
	slices.SortFunc(unused, func(a, b *record) int {
		return cmp.Compare(a.condition.probability(now), b.condition.probability(now))
	})
	return unused[rand.IntN(int(math.Ceil(missing)))]
}

// unused returns the instances that no VM uses though nothing speaks against it, and
// the number of those that are used.
func (b *Balancer) unused(serving []*directory.Instance, now time.Time) (unused []*record, used int) {
	for _, i := range serving {
		rec := b.record(i)
		switch {
		case rec.usedLately(now):
			used++
		case rec.failedLately(now) || now.Before(rec.absentUntil) || now.Before(rec.pathUntil):
		case !rec.cold(now) || b.admitsCold(rec, now):
			unused = append(unused, rec)
		}
	}
	return unused, used
}

// kinds returns the counts of a service's requests.
func (b *Balancer) kinds(service string) *kinds {
	k := b.requests[service]
	if k == nil {
		k = &kinds{}
		b.requests[service] = k
	}
	return k
}

// start counts a request at an instance.
func (b *Balancer) start(rec *record, cost float64, now time.Time) *Choice {
	c := &Choice{b: b, rec: rec, instance: rec.instance, cost: cost, before: rec.view(now)}
	rec.counts.InFlight++
	rec.counts.Started++
	rec.recent.add(now, 1)
	rec.lastStart = now
	b.note(rec, false)
	return c
}

// cost ranks an instance for a request; the lowest cost is chosen. It returns
// false for an instance that must not get the request.
func (b *Balancer) cost(rec *record, r Request, now time.Time) (float64, bool) {
	if rec.cold(now) && !b.admitsCold(rec, now) {
		return 0, false
	}
	cost := loadCost(rec.inFlight(now), rec.instance.Slots())
	cost += rec.risk(now, r.Idempotent)
	if rec.instance.Zone() != b.config.Zone {
		cost += remoteZoneCost + remoteByteCost*float64(r.Bytes)
	}
	if rec.joined(now) {
		cost -= joinedBonus
	}
	return cost, true
}

// admitsCold reports whether a cold instance may get one more request from this
// VM. Each second belongs to one VM, so that the sum over all VMs keeps within
// what the instance bears.
func (b *Balancer) admitsCold(rec *record, now time.Time) bool {
	if b.config.Warmup == nil {
		return true
	}
	rate := b.config.Warmup.WarmupRate(rec.instance.Service())
	if rate <= 0 {
		return true
	}
	second := now.Unix()
	if b.config.Fleet != nil && !b.config.Fleet.Owns(slotName(rec.instance.ID(), second)) {
		return false
	}
	if rec.recent.sum(now, time.Second) >= rate {
		return false
	}
	return true
}

// record returns what is known of an instance, from nothing for a new start.
func (b *Balancer) record(i *directory.Instance) *record {
	rec := b.instances[i.ID()]
	if rec == nil || rec.instance.Started() != i.Started() {
		rec = &record{instance: i, counts: Report{Instance: i.ID()}}
		b.instances[i.ID()] = rec
	}
	rec.instance = i
	return rec
}

// Joined marks an instance that was added to a service in operation. It gets a
// first request soon, so that it is known when it is needed.
func (b *Balancer) Joined(i *directory.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(i).joinedAt = time.Now()
}

// Forget drops what is known of an instance.
func (b *Balancer) Forget(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.instances, id)
	b.changed.Drop(id)
}

// ForgetVM drops what a VM reported that is no longer a member.
func (b *Balancer) ForgetVM(vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, rec := range b.instances {
		delete(rec.peers, vm)
		delete(rec.busy, vm)
	}
}

// note marks a change for the next reports. The caller holds the lock.
func (b *Balancer) note(rec *record, urgent bool) {
	b.changed.Mark(rec.instance.ID())
	if b.config.Changed != nil {
		b.config.Changed(urgent)
	}
}

// Choice is one request at an instance.
type Choice struct {
	b        *Balancer
	rec      *record
	instance *directory.Instance
	cost     float64
	before   View
	done     bool
}

// Instance is the chosen instance.
func (c *Choice) Instance() *directory.Instance { return c.instance }

// Cost is the instance's cost when it was chosen.
func (c *Choice) Cost() float64 { return c.cost }

// View is what was known of the instance when it was chosen.
func (c *Choice) View() View { return c.before }

// Done reports how the request ended. It counts once.
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
	b.note(c.rec, urgent)
}
