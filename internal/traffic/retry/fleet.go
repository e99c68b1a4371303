package retry

import (
	"sync"
	"time"

	"chestnutbay.dev/chestnutbay/internal/fleet/outbox"
)

const (
	// fleetShare is the share of the allowed retries that the VMs use. The remainder
	// covers the retries that two VMs send before they receive each other's reports.
	fleetShare = 0.9
)

// FleetConfig bounds the retries at each service from all VMs together.
type FleetConfig struct {
	// Ratio is how many retries are allowed per request within a window.
	Ratio float64
	// Slack is how many retries are allowed within a window in addition to Ratio,
	// however few requests there are.
	Slack float64
	// Heard returns the share of the fleet's VMs from which this VM has recently
	// received a message, this VM included. This VM uses only that share of the slack,
	// because the VMs that it does not hear from may use the rest. If Heard is nil,
	// this VM may use all of the slack.
	Heard func() float64
	// FirstStart is set when the whole fleet starts for the first time, so that no
	// retries were sent before.
	FirstStart bool
}

// FleetBudget bounds the retries at each service over all VMs. It counts this VM's
// requests and retries at once, and those of another VM when that VM's report arrives.
// It is safe for concurrent use.
type FleetBudget struct {
	config FleetConfig

	mu       sync.Mutex
	start    time.Time
	services map[string]*fleetWindow
	changed  outbox.Changes
}

// fleetWindowSeconds is the number of counters of a fleetWindow, one per second. Retries
// are counted over one second more than requests, so that no period of 10 s has more
// retries than allowed, even if it does not begin on a whole second.
const fleetWindowSeconds = windowSeconds + 2

// fleetWindow holds the recent counts of all VMs for one service.
type fleetWindow struct {
	counts [fleetWindowSeconds]fleetCount
	own    Report               // this VM's counts since its start
	peers  map[string]fleetPeer // by VM
}

// fleetCount holds the counts of one second.
type fleetCount struct {
	second   int64
	requests int
	retries  int
	unserved int
}

func (w *fleetWindow) at(now int64) *fleetCount {
	c := &w.counts[now%int64(fleetWindowSeconds)]
	if c.second != now {
		*c = fleetCount{second: now}
	}
	return c
}

func (w *fleetWindow) sum(now int64) (requests, retries int) {
	for _, c := range w.counts {
		age := now - c.second
		if age < int64(windowSeconds) {
			requests += c.requests
		}
		if age <= int64(windowSeconds) {
			retries += c.retries
		}
	}
	return requests, retries
}

// fleetPeer is the last report of another VM on a service.
type fleetPeer struct {
	incarnation uint64
	report      Report
}

// Report is one VM's report of a service to the other VMs. Counts are cumulative since
// the VM's start, so that the next report makes up for a lost one.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Requests uint32
	Retries  uint32
	// Unserved counts requests that ended without a successful response.
	Unserved uint32
}

// NewFleetBudget returns a budget without requests.
func NewFleetBudget(c FleetConfig) *FleetBudget {
	return &FleetBudget{config: c, start: time.Now(), services: make(map[string]*fleetWindow)}
}

// Adjust changes the Ratio and Slack of the configuration.
func (b *FleetBudget) Adjust(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.Ratio, b.config.Slack = ratio, slack
}

// Request counts a request once, however often it is sent.
func (b *FleetBudget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.service(service)
	w.own.Requests++
	w.at(b.second()).requests++
	b.changed.Mark(service)
}

// Unserved counts a request that ended without a successful response.
func (b *FleetBudget) Unserved(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.service(service)
	w.own.Unserved++
	w.at(b.second()).unserved++
	b.changed.Mark(service)
}

// recentSeconds is the time over which RecentTraffic counts requests, in seconds.
const recentSeconds = 3

// RecentTraffic returns the requests per second for a service on all VMs over the last
// recentSeconds, and the share of them that ended without a successful response.
func (b *FleetBudget) RecentTraffic(service string) (perSecond, unserved float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.second()
	requests, unservedRequests := 0, 0
	for _, c := range b.service(service).counts {
		if now-c.second < recentSeconds {
			requests += c.requests
			unservedRequests += c.unserved
		}
	}
	if requests == 0 {
		return 0, 0
	}
	return float64(requests) / recentSeconds, float64(unservedRequests) / float64(requests)
}

// Take uses one retry of the budget and reports whether it is allowed.
func (b *FleetBudget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.service(service)
	now := b.second()
	requests, retries := w.sum(now)
	allowed := fleetShare * (b.config.Ratio*float64(requests) + b.slack())
	if float64(retries+1) > allowed {
		return false
	}
	w.own.Retries++
	w.at(now).retries++
	b.changed.Mark(service)
	return true
}

// slack returns the part of the slack that this VM may use. It is 0 during the first
// window after the start: the VM does not know which retries were sent before, and
// cannot learn it from the other VMs if all started together.
func (b *FleetBudget) slack() float64 {
	if !b.config.FirstStart && time.Since(b.start) < Window+time.Second {
		return 0
	}
	if b.config.Heard == nil {
		return b.config.Slack
	}
	return b.config.Slack * b.config.Heard()
}

// Counts returns the requests and retries of the current window, for logs.
func (b *FleetBudget) Counts(service string) (requests, retries int) {
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

// second returns the number of the current second, as Budget.second does.
func (b *FleetBudget) second() int64 {
	return int64(2*windowSeconds) + int64(time.Since(b.start)/time.Second)
}

// Reports returns the current counts of each service that changed recently. Reports may
// get lost, so a change is returned by several successive calls.
func (b *FleetBudget) Reports() []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Report
	for _, service := range b.changed.Take() {
		list = append(list, b.services[service].own)
	}
	return list
}

// Observe merges the reports of another VM. An incarnation is one start of that VM's
// process, whose counts begin at 0. If baseline is set, this VM has just started, and
// the first counts of each service only serve as the starting point for later ones.
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
		c.retries += int(r.Retries - last.report.Retries)
		c.unserved += int(r.Unserved - last.report.Unserved)
	}
}

// ForgetVM drops the last reports of a VM that is no longer a member of the fleet.
func (b *FleetBudget) ForgetVM(vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.services {
		delete(w.peers, vm)
	}
}
