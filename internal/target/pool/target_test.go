package pool_test

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"chestnutbay.dev/chestnutbay/internal/platform/roster"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// target is a fake instance. It queues requests that exceed its slots. While cold,
// it fails requests that exceed the load it can bear.
type target struct {
	fleet                  *fleet
	service, zone, address string

	mu           sync.Mutex
	started      time.Time
	leaving      bool
	leavingSince time.Time // when it began to leave
	booted       time.Time // when the restarted process is up; zero if it never restarted
	inFlight     int
	running      chan struct{} // one element per running request
	tokens       float64
	refilled     time.Time
	died         chan struct{} // closed when the process dies
	arrivals     []time.Time
	// fault returns the outcome of an injected fault, or false for no fault.
	fault    func(vm, route string) (evidence.Outcome, bool)
	slowdown float64 // factor on the processing time

	overSlots, coldOverloads, maxInFlight int
}

func (f *fleet) addTarget(service, zone, address string) {
	f.targets[address] = &target{
		fleet: f, service: service, zone: zone, address: address,
		died: make(chan struct{}), running: make(chan struct{}, f.slots), slowdown: 1,
	}
}

// publish publishes a new list of instances.
func (f *fleet) publish() {
	var list []roster.Instance
	for _, t := range f.targets {
		list = append(list, roster.NewInstance(t.service, t.address, t.zone, t.leaving, t.started))
	}
	slices.SortFunc(list, func(a, b roster.Instance) int {
		if a.Address() < b.Address() {
			return -1
		}
		return 1
	})
	f.instances.Store(&list)
}

func (f *fleet) leave(address string) {
	t := f.targets[address]
	t.mu.Lock()
	t.leaving, t.leavingSince = true, time.Now()
	t.mu.Unlock()
	f.publish()
}

// restart breaks the open connections. The instance refuses new ones while it
// boots, and is cold then. If announced, the list shows the new start time.
func (t *target) restart(announced bool) {
	t.mu.Lock()
	t.booted = time.Now().Add(bootTime)
	t.tokens, t.refilled = 1, t.booted
	close(t.died)
	t.died = make(chan struct{})
	t.mu.Unlock()
	if announced {
		t.started = time.Now()
		t.fleet.publish()
	}
}

func (t *target) probe(context.Context) error {
	time.Sleep(25 * time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().Before(t.booted) {
		return errors.New("connection refused")
	}
	return nil
}

// loadShare returns the share of full load that the instance can bear at a time.
func (t *target) loadShare(now time.Time) float64 {
	if t.booted.IsZero() {
		return 1
	}
	return min(1, max(0.1, float64(now.Sub(t.booted))/float64(t.fleet.ramp)))
}

// coldOverload counts a request and reports whether it exceeds the load that a
// cold instance can bear.
func (t *target) coldOverload(now time.Time) bool {
	share := t.loadShare(now)
	if share >= 1 {
		return false
	}
	rate := share * float64(t.fleet.slots) / workMean.Seconds()
	t.tokens = min(3, t.tokens+rate*now.Sub(t.refilled).Seconds())
	t.refilled = now
	t.tokens--
	over := t.tokens < 0 || t.inFlight > max(1, int(share*float64(t.fleet.slots)))
	t.tokens = max(0, t.tokens)
	return over
}

// serve processes one request and returns its outcome as an HTTP transport would
// report it.
func (t *target) serve(ctx context.Context, n *node, route string, work time.Duration) evidence.Outcome {
	arrived := time.Now()
	t.mu.Lock()
	t.arrivals = append(t.arrivals, arrived)
	t.checkAllowed(arrived)
	t.inFlight++
	t.maxInFlight = max(t.maxInFlight, t.inFlight)
	if t.inFlight > t.fleet.slots {
		t.overSlots++
	}
	booting := arrived.Before(t.booted)
	over := !booting && t.coldOverload(arrived)
	if over {
		t.coldOverloads++
	}
	broken, fault, slow := t.died, t.fault, t.slowdown
	if t.loadShare(arrived) < 1 {
		slow *= 3
	}
	t.mu.Unlock()
	defer t.finish()
	d := targetPath
	if n.zone != t.zone {
		d = t.fleet.delay
	}
	time.Sleep(2 * d)
	if booting {
		return evidence.Outcome{Kind: evidence.ConnectFailed}
	}
	if fault != nil {
		if o, bad := fault(n.name, route); bad {
			time.Sleep(o.FirstByte)
			return o
		}
	}
	if over {
		time.Sleep(50 * time.Millisecond)
		return evidence.Outcome{Kind: evidence.Answered, Status: http.StatusServiceUnavailable, FirstByte: 50 * time.Millisecond}
	}
	select {
	case t.running <- struct{}{}:
		defer func() { <-t.running }()
	case <-ctx.Done():
		return evidence.Outcome{Kind: evidence.TimedOut}
	}
	select {
	case <-time.After(time.Duration(float64(work) * slow)):
		return evidence.Outcome{Kind: evidence.Answered, Status: http.StatusOK, FirstByte: time.Since(arrived)}
	case <-broken:
		return evidence.Outcome{Kind: evidence.Reset}
	case <-ctx.Done():
		return evidence.Outcome{Kind: evidence.TimedOut}
	}
}

// unavailable reports whether, at a time, the instance was leaving or its zone was
// taken out of service.
func (t *target) unavailable(at time.Time) bool {
	return t.leaving && !at.Before(t.leavingSince) || t.fleet.ZoneOut(t.zone) && !at.Before(t.fleet.zoneChangedAt[t.zone])
}

func (t *target) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// checkAllowed records a violation if a request reaches a leaving instance or a
// zone that is taken out of service. A short time is allowed, because a request
// may have got its permit just before.
func (t *target) checkAllowed(now time.Time) {
	late := 2*t.fleet.delay + time.Millisecond
	if t.leaving && now.Sub(t.leavingSince) > late {
		t.fleet.addViolation("%s got a request %s after it began to leave", t.address, now.Sub(t.leavingSince))
	}
	t.fleet.mu.Lock()
	out, since := t.fleet.zonesOut[t.zone], t.fleet.zoneChangedAt[t.zone]
	t.fleet.mu.Unlock()
	if out && now.Sub(since) > late {
		t.fleet.addViolation("%s got a request %s after its zone was taken out", t.address, now.Sub(since))
	}
}

// alwaysFail returns a fault that fails every request.
func alwaysFail(kind evidence.Kind, status int) func(string, string) (evidence.Outcome, bool) {
	return func(string, string) (evidence.Outcome, bool) {
		return evidence.Outcome{Kind: kind, Status: status, FirstByte: 5 * time.Millisecond}, true
	}
}

// statistics counts the results of the clients' requests.
type statistics struct {
	mu        sync.Mutex
	latencies []time.Duration
	sent      map[string]int
	ok        map[string]int
	refused   int
	failures  int
}

func newStatistics() *statistics {
	return &statistics{sent: map[string]int{}, ok: map[string]int{}}
}

func (s *statistics) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencies, s.sent, s.ok, s.refused, s.failures = nil, map[string]int{}, map[string]int{}, 0, 0
}

func (s *statistics) add(account string, d time.Duration, ok, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[account]++
	switch {
	case ok:
		s.ok[account]++
		s.latencies = append(s.latencies, d)
	case refused:
		s.refused++
	default:
		s.failures++
	}
}

func (s *statistics) total() (sent, ok int) {
	for a, n := range s.sent {
		sent += n
		ok += s.ok[a]
	}
	return sent, ok
}

func (s *statistics) success() float64 {
	sent, ok := s.total()
	return float64(ok) / math.Max(1, float64(sent))
}

// worstAccount returns the lowest success ratio of all accounts except one.
func (s *statistics) worstAccount(except string) float64 {
	worst := 1.0
	for a, n := range s.sent {
		if a == except {
			continue
		}
		worst = min(worst, float64(s.ok[a])/float64(n))
	}
	return worst
}

func (s *statistics) quantile(q float64) time.Duration {
	if len(s.latencies) == 0 {
		return 0
	}
	slices.Sort(s.latencies)
	return s.latencies[min(len(s.latencies)-1, int(q*float64(len(s.latencies))))]
}
