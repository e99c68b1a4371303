package retry

import (
	"sync"
	"time"

	"chestnutbay.dev/chestnutbay/internal/fleet/outbox"
)

const (
	// fleetShare is the part of the allowed repeats that the VMs use, so that what
	// two VMs spend before they hear of each other stays within the bound.
	fleetShare = 0.9
)

// FleetConfig bounds the repeats at a service from all VMs together.
type FleetConfig struct {
	// Ratio is how many repeats are allowed for each request within a window.
	Ratio float64
	// Slack is how many repeats are always allowed within a window.
	Slack float64
	// Heard returns the part of the fleet's VMs that were heard lately, this VM
	// included. VMs that are not heard may use their part of the slack. It may be
	// nil.
	Heard func() float64
	// FirstStart says that the whole fleet starts for the first time, so that
	// nothing was spent before.
	FirstStart bool
}

// FleetBudget bounds the repeats at each service over all VMs. Own counts are
// taken at once and those of other VMs when they report them. It is safe for
// concurrent use.
type FleetBudget struct {
	config FleetConfig

	mu       sync.Mutex
	start    time.Time
	services map[string]*fleetWindow
	changed  outbox.Changes
}

// fleetSlots is the number of counters of one second each. Repeats are counted over
// one second more than requests, so that no 10 s hold more than is allowed wherever
// they begin.
const fleetSlots = slots + 2

type fleetWindow struct {
	counts [fleetSlots]fleetCount
	own    Report // of this VM since its start
	peers  map[string]fleetPeer
}

// fleetCount counts one second.
type fleetCount struct {
	second   int64
	requests int
	repeats  int
	unserved int
}

func (w *fleetWindow) at(now int64) *fleetCount {
	c := &w.counts[now%int64(fleetSlots)]
	if c.second != now {
		*c = fleetCount{second: now}
	}
	return c
}

func (w *fleetWindow) sum(now int64) (requests, repeats int) {
	for _, c := range w.counts {
		age := now - c.second
		if age < int64(slots) {
			requests += c.requests
		}
		if age <= int64(slots) {
			repeats += c.repeats
		}
	}
	return requests, repeats
}

type fleetPeer struct {
	incarnation uint64
	report      Report
}

// Report is what one VM tells the others of a service. Counts run since its start.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Requests uint32
	Repeats  uint32
	// Unserved counts requests that ended without a good answer.
	Unserved uint32
}

// NewFleetBudget returns a budget without requests.
func NewFleetBudget(c FleetConfig) *FleetBudget {
	return &FleetBudget{config: c, start: time.Now(), services: make(map[string]*fleetWindow)}
}

// Adjust changes the bounds.
func (b *FleetBudget) Adjust(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.Ratio, b.config.Slack = ratio, slack
}

// Request counts a request, however often it is sent.
func (b *FleetBudget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.service(service)
	w.own.Requests++
	w.at(b.second()).requests++
	b.changed.Mark(service)
}

// Unserved counts a request that ended without a good answer.
func (b *FleetBudget) Unserved(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.service(service)
	w.own.Unserved++
	w.at(b.second()).unserved++
	b.changed.Mark(service)
}

// troubleSeconds is the time over which recent requests are counted, in seconds.
const troubleSeconds = 3

// Recent returns the requests a second for a service on all VMs, and the part of
// the last seconds' requests that ended without a good answer.
func (b *FleetBudget) Recent(service string) (perSecond, unserved float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.second()
	requests, without := 0, 0
	for _, c := range b.service(service).counts {
		if now-c.second < troubleSeconds {
			requests += c.requests
			without += c.unserved
		}
	}
	if requests == 0 {
		return 0, 0
	}
	return float64(requests) / troubleSeconds, float64(without) / float64(requests)
}

// Take spends one repeat and reports whether there was one.
func (b *FleetBudget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.service(service)
	now := b.second()
	requests, repeats := w.sum(now)
	allowed := fleetShare * (b.config.Ratio*float64(requests) + b.slack())
	if float64(repeats+1) > allowed {
		return false
	}
	w.own.Repeats++
	w.at(now).repeats++
	b.changed.Mark(service)
	return true
}

// slack returns this VM's part of the slack. A VM that has just started does not
// know what was spent within the window, and all may have started together.
func (b *FleetBudget) slack() float64 {
	if !b.config.FirstStart && time.Since(b.start) < Window+time.Second {
		return 0
	}
	if b.config.Heard == nil {
		return b.config.Slack
	}
	return b.config.Slack * b.config.Heard()
}

// Counts returns the requests and repeats of the present window, for logs.
func (b *FleetBudget) Counts(service string) (requests, repeats int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.service(service).sum(b.second())
}

func (b *FleetBudget) service(name string) *fleetWindow {
	w := b.services[name]
	if w == nil {
		w = &fleetWindow{own: Report{Service: name}, peers: make(map[string]fleetPeer)}
		b.services[name] = w
	}
	return w
}

func (b *FleetBudget) second() int64 {
	return int64(2*slots) + int64(time.Since(b.start)/time.Second)
}

// Reports returns what has changed since the last reports, each change a few times.
func (b *FleetBudget) Reports() []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Report
	for _, service := range b.changed.Take() {
		list = append(list, b.services[service].own)
	}
	return list
}

// Observe takes in what another VM reports. If baseline is set, this VM has just
// started, and the first counts that it hears lie before its time.
func (b *FleetBudget) Observe(vm string, incarnation uint64, reports []Report, baseline bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.second()
	for _, r := range reports {
		w := b.service(r.Service)
		last, known := w.peers[vm]
		w.peers[vm] = fleetPeer{incarnation: incarnation, report: r}
		switch {
		case !known && baseline:
			continue
		case last.incarnation != incarnation:
			last = fleetPeer{}
		}
		c := w.at(now)
		c.requests += int(r.Requests - last.report.Requests)
		c.repeats += int(r.Repeats - last.report.Repeats)
		c.unserved += int(r.Unserved - last.report.Unserved)
	}
}

// Forget drops what a VM reported.
func (b *FleetBudget) Forget(vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.services {
		delete(w.peers, vm)
	}
}
