package pool_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
	"chestnutbay.dev/chestnutbay/internal/report/event"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
	"chestnutbay.dev/chestnutbay/internal/target/pool"
)

const (
	leaseTTL   = 5 * time.Second
	workMean   = 20 * time.Millisecond  // mean processing time of a request
	bootTime   = time.Second            // how long a restarted instance refuses connections
	targetPath = 500 * time.Microsecond // one way from a node to an instance in its zone
)

var errUnreachable = errors.New("unreachable")

type handler = func(context.Context, string, json.RawMessage) (any, error)

// layout describes a simulated deployment.
type layout struct {
	name     string
	zones    []string
	vms      int
	delay    time.Duration  // one-way delay between zones
	services map[string]int // instances per service
	slots    int            // per instance
	ramp     time.Duration
	floor    float64
	detect   contract.Detection
	rate     float64 // requests per second of all accounts
	seed     uint64
}

// fleet is a set of nodes with Pools on a fake network, with fake leases, targets
// and clients.
type fleet struct {
	layout
	t            *testing.T
	ctx          context.Context
	group        *errgroup.Group
	mu           sync.Mutex
	random       *rand.Rand
	nodes        []*node
	byName       map[string]*node
	leaseHolders map[string]string // node that holds a lease, by lease name
	zonesOut     map[string]bool
	// zoneChangedAt is when a zone was last taken out of service or brought back.
	zoneChangedAt map[string]time.Time
	contracts     map[string]*contract.Service
	targets       map[string]*target
	instances     atomic.Pointer[[]roster.Instance]
	nodeList      atomic.Pointer[[]roster.Node]
	cuts          map[[2]string]bool // broken paths, from one node to another
	bytes         atomic.Int64
	calls         atomic.Int64
	found         []string // violations found so far
	stats         *statistics
	newAcquirer   func(*node) pool.Acquirer // nil for Pools; otherwise makes the acquirer under test
}

// node is one entry VM.
type node struct {
	fleet   *fleet
	name    string
	zone    string
	events  *event.Ring
	pools   *pool.Pools
	stop    context.CancelFunc
	process atomic.Pointer[process]
	dead    atomic.Bool
}

// process is one incarnation of a node.
type process struct {
	ctx      context.Context // ends when the process dies
	handlers map[string]handler
	acquirer pool.Acquirer
}

// run builds a fleet, calls f in virtual time and stops the fleet. newAcquirer
// makes the nodes' acquirers; nil stands for Pools.
func run(t *testing.T, l layout, newAcquirer func(*node) pool.Acquirer, f func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fl := newFleet(t, ctx, l, newAcquirer)
		f(fl)
		cancel()
		if err := fl.group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

func newFleet(t *testing.T, ctx context.Context, l layout, newAcquirer func(*node) pool.Acquirer) *fleet {
	f := &fleet{
		layout: l, t: t, random: rand.New(rand.NewPCG(l.seed, 7)), newAcquirer: newAcquirer,
		byName: map[string]*node{}, leaseHolders: map[string]string{}, zonesOut: map[string]bool{}, zoneChangedAt: map[string]time.Time{},
		contracts: map[string]*contract.Service{}, targets: map[string]*target{},
		cuts: map[[2]string]bool{}, stats: newStatistics(),
	}
	f.group, f.ctx = errgroup.WithContext(ctx)
	routes := []contract.Route{
		contract.NewRoute("lookup", "/lookup"), contract.NewRoute("order", "/order"),
		contract.NewRoute("upload", "/upload").WithClass(contract.Bulk),
	}
	names := make([]string, 0, len(l.services))
	for name := range l.services {
		names = append(names, name)
	}
	slices.Sort(names)
	for s, name := range names {
		f.contracts[name] = contract.NewService(name, l.slots, 0, l.ramp, routes).WithDetection(l.detect)
		for i := range l.services[name] {
			f.addTarget(name, l.zones[i%len(l.zones)], fmt.Sprintf("10.%d.0.%d:80", s, i))
		}
	}
	f.publish()
	for i := range l.vms {
		f.addNode(fmt.Sprintf("vm%02d", i), l.zones[i%len(l.zones)])
	}
	f.elect()
	for _, n := range f.nodes {
		n.start("1")
	}
	return f
}

func (f *fleet) addNode(name, zone string) {
	n := &node{fleet: f, name: name, zone: zone, events: new(event.Ring)}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.byName[name] = n
	f.mu.Unlock()
	f.publishNodes()
}

func (f *fleet) publishNodes() {
	var list []roster.Node
	for _, n := range f.nodes {
		list = append(list, roster.NewNode(n.name, n.name, n.zone, false))
	}
	f.nodeList.Store(&list)
}

// start starts a new incarnation of the node.
func (n *node) start(incarnation string) {
	f := n.fleet
	ctx, cancel := context.WithCancel(f.ctx)
	n.stop = cancel
	p := &process{ctx: ctx, handlers: map[string]handler{}}
	defer n.process.Store(p)
	if f.newAcquirer != nil {
		p.acquirer = f.newAcquirer(n)
		return
	}
	n.pools = pool.New(pool.Config{
		Self: n.name, Incarnation: incarnation, Zone: n.zone,
		VMs:    func() int { return f.vms },
		Leases: n, Caller: n, Configuration: f,
		Instances: func() []roster.Instance { return *f.instances.Load() },
		Nodes: func() []roster.Node {
			return slices.DeleteFunc(slices.Clone(*f.nodeList.Load()), func(r roster.Node) bool { return r.ID() == n.name })
		},
		Probe:  func(ctx context.Context, address string) error { return f.targets[address].probe(ctx) },
		Events: n.events,
	})
	pools := n.pools
	p.acquirer = pools
	pools.Register(p)
	f.group.Go(func() error { return pools.Run(ctx) })
}

func (p *process) Handle(method string, h func(context.Context, string, json.RawMessage) (any, error)) {
	p.handlers[method] = h
}

// Call calls a method over the fake network. It fails when ctx ends if the request
// or the reply is lost.
func (n *node) Call(ctx context.Context, to, method string, params, result any) error {
	f := n.fleet
	m := f.byName[to]
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	f.calls.Add(1)
	f.bytes.Add(int64(len(raw)))
	if !f.travel(ctx, n, m) {
		<-ctx.Done()
		return errUnreachable
	}
	reply, err := m.process.Load().handlers[method](ctx, n.name, raw)
	if err != nil {
		return err
	}
	if !f.travel(ctx, m, n) {
		<-ctx.Done()
		return errUnreachable
	}
	if raw, err = json.Marshal(reply); err != nil {
		return err
	}
	f.bytes.Add(int64(len(raw)))
	return json.Unmarshal(raw, result)
}

// travel delays a message between two nodes and reports whether it arrives.
func (f *fleet) travel(ctx context.Context, from, to *node) bool {
	d := 100 * time.Microsecond
	if from.zone != to.zone {
		d = f.delay
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.cuts[[2]string{from.name, to.name}] && !from.dead.Load() && !to.dead.Load()
}

func (f *fleet) cut(from, to string, broken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]string{from, to}] = broken
}

// Holds and Holder implement pool.Leases for the node.
func (n *node) Holds(name string) (time.Duration, bool) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return leaseTTL, n.fleet.leaseHolders[name] == n.name
}

func (n *node) Holder(name string) (string, bool) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	holder := n.fleet.leaseHolders[name]
	return holder, holder != ""
}

// elect gives every pool without an owner to a running node in the pool's zone.
func (f *fleet) elect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range *f.instances.Load() {
		name := pool.LeaseName(i.Service(), i.Zone())
		if f.leaseHolders[name] != "" {
			continue
		}
		for k := range f.nodes {
			n := f.nodes[(k+len(f.leaseHolders))%len(f.nodes)]
			if n.zone == i.Zone() && !n.dead.Load() {
				f.leaseHolders[name] = n.name
				break
			}
		}
	}
}

// moveLease takes a pool's lease from its owner and, after gap, gives it to
// another running node in the same zone.
func (f *fleet) moveLease(name string, gap time.Duration) {
	f.mu.Lock()
	old := f.leaseHolders[name]
	f.leaseHolders[name] = ""
	f.mu.Unlock()
	time.Sleep(gap)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.name != old && !n.dead.Load() && n.zone == f.byName[old].zone {
			f.leaseHolders[name] = n.name
			return
		}
	}
}

// kill stops a node. Its leases expire after leaseTTL and then move to other nodes.
func (f *fleet) kill(n *node) {
	n.dead.Store(true)
	n.stop()
	f.mu.Lock()
	var names []string
	for name, holder := range f.leaseHolders {
		if holder == n.name {
			names = append(names, name)
		}
	}
	f.mu.Unlock()
	for _, name := range names {
		f.group.Go(func() error {
			time.Sleep(leaseTTL)
			f.moveLease(name, 300*time.Millisecond)
			return nil
		})
	}
}

// Service, Services, ZoneOut and Floor implement pool.Configuration.
func (f *fleet) Service(name string) (*contract.Service, ledger.Version, bool) {
	s, ok := f.contracts[name]
	return s, 1, ok
}

func (f *fleet) Services() []*contract.Service {
	var all []*contract.Service
	for _, s := range f.contracts {
		all = append(all, s)
	}
	return all
}

func (f *fleet) ZoneOut(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zonesOut[zone]
}

func (f *fleet) Floor(string) float64 { return f.floor }

func (f *fleet) setOut(zone string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zonesOut[zone] = out
	f.zoneChangedAt[zone] = time.Now()
}

// request sends one client request and, if it fails, retries it once on another
// instance. work is the processing time. Uploads are not retried.
func (f *fleet) request(n *node, account, service, route string, work time.Duration) {
	p := n.process.Load()
	ctx, cancel := context.WithTimeout(p.ctx, 2*time.Second)
	defer cancel()
	began := time.Now()
	r := pool.Request{Service: service, Route: route, Account: account}
	if route == "upload" {
		r.Class = contract.Bulk
	}
	ok, refused := false, false
	for attempt := 0; attempt < 2 && !ok; attempt++ {
		permit, err := p.acquirer.Acquire(ctx, r)
		if err != nil {
			refused = attempt == 0
			break
		}
		o := f.targets[permit.Address()].serve(ctx, n, route, work)
		permit.Done(o)
		ok = o.Kind == evidence.Answered && o.Status < 500
		r.Exclude = append(r.Exclude, permit.Address())
		if o.Kind == evidence.Cancelled || route == "upload" {
			break
		}
	}
	f.stats.add(account, time.Since(began), ok, refused)
}

// load sends requests at the layout's rate times factor for d and waits until they
// have ended. The accounts large0 and large1 send most of them.
func (f *fleet) load(d time.Duration, factor float64) {
	var g errgroup.Group
	names := make([]string, 0, len(f.services))
	total := 0
	for name, n := range f.services {
		names = append(names, name)
		total += n
	}
	slices.Sort(names)
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(f.random.ExpFloat64() / (f.rate * factor) * float64(time.Second)))
		n := f.nodes[f.random.IntN(len(f.nodes))]
		if n.dead.Load() {
			continue
		}
		account := []string{"large0", "large1", "a2", "a3", "a4", "a5", "a6", "a7"}[min(7, f.random.IntN(20)*f.random.IntN(20)/50)]
		pick, service := f.random.IntN(total), ""
		for _, name := range names {
			if pick -= f.services[name]; pick < 0 {
				service = name
				break
			}
		}
		route, hold := "lookup", time.Duration((0.5+0.5*f.random.ExpFloat64())*float64(workMean))
		switch k := f.random.IntN(100); {
		case k < 20:
			route = "order"
		case k == 99:
			route, hold = "upload", 300*time.Millisecond
		}
		g.Go(func() error {
			f.request(n, account, service, route, hold)
			return nil
		})
	}
	g.Wait()
}

// eventsAbout returns the events of all nodes about a subject, in order of time.
func (f *fleet) eventsAbout(subject string) []event.Entry {
	var all []event.Entry
	for _, n := range f.nodes {
		all = append(all, n.events.About(subject, event.RingSize)...)
	}
	slices.SortFunc(all, func(a, b event.Entry) int { return a.At().Compare(b.At()) })
	return all
}

func countEvents[E event.Event](f *fleet, subject string) int {
	n := 0
	for _, e := range f.eventsAbout(subject) {
		if _, ok := e.Event().(E); ok {
			n++
		}
	}
	return n
}

func (f *fleet) addViolation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.found = append(f.found, fmt.Sprintf(format, args...))
}

// warmUp sends load for the time of a ramp and 3 s more, so that all targets reach
// full load, and resets the statistics. A ramp advances only with requests.
func (f *fleet) warmUp() {
	f.load(f.ramp+3*time.Second, 0.5)
	f.stats.reset()
}

// cutZones breaks all paths between nodes in different zones.
func (f *fleet) cutZones() {
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			f.cut(a.name, b.name, a.zone != b.zone)
		}
	}
}

// violations checks the recorded history and returns every violation found.
func (f *fleet) violations() []string {
	over, cold := f.overSlots()
	if over > 0 {
		f.addViolation("%d requests above an instance's slots", over)
	}
	if cold > 0 {
		f.addViolation("%d requests above what cold instances bear", cold)
	}
	f.checkFloor()
	return f.found
}

// check fails the test for every violation, and then logs all events.
func (f *fleet) check() {
	f.t.Helper()
	for _, fault := range f.violations() {
		f.t.Error(fault)
	}
	if !f.t.Failed() {
		return
	}
	for _, e := range f.eventsAbout("") {
		f.t.Log(e.At().Format("05.000"), e.Event().Summary())
	}
}

// checkFloor replays the events. An ejection must leave the floor in use. If the
// instances in use fall below the floor for another reason, no instance may stay
// ejected.
func (f *fleet) checkFloor() {
	state := map[string]string{}
	for _, t := range f.targets {
		state[t.address] = "warm"
	}
	for _, entry := range f.eventsAbout("") {
		at := entry.At()
		switch e := entry.Event().(type) {
		case event.BecameCold:
			state[e.Address] = "cold"
		case event.RampStep:
			if e.Step == e.Of && e.OK > 0 {
				state[e.Address] = "warm"
			}
		case event.EjectionLifted:
			state[e.Address] = "warm"
		case event.Ejected:
			state[e.Address] = "ejected"
			healthy := 0
			for address, s := range state {
				if s == "warm" && !f.targets[address].unavailable(at) {
					healthy++
				}
			}
			if need := math.Ceil(f.floor*float64(f.services[e.Service]) - 1e-9); float64(healthy) < need {
				f.addViolation("ejecting %s left %d instances, the floor is %g", e.Address, healthy, need)
			}
		}
	}
	capacity, ejected := 0, 0
	for address, s := range state {
		t := f.targets[address]
		switch {
		case t.unavailable(time.Now()):
		case s == "warm":
			capacity++
		case s == "ejected":
			ejected++
		}
	}
	if need := math.Ceil(f.floor*float64(len(f.targets)) - 1e-9); ejected > 0 && float64(capacity) < need {
		f.addViolation("%d instances ejected while %d are in use, the floor is %g", ejected, capacity, need)
	}
}
