package pool_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutbay.dev/chestnutbay/internal/platform/roster"
	"chestnutbay.dev/chestnutbay/internal/report/event"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
	"chestnutbay.dev/chestnutbay/internal/target/pool"
)

// Parameters of ejections by a baseline, in which each VM decides alone.
const (
	ejectAfterErrors = 5
	baselineEjection = 10 * time.Second
)

// baseline is an acquirer that uses only the knowledge of one VM, for comparison
// with Pools. It chooses round robin or the less loaded of two random instances,
// with or without ejection after errors in a row.
type baseline struct {
	node              *node
	twoChoices        bool
	ejects            bool
	ignoreUnavailable bool // uses leaving instances and zones taken out of service
	mu                sync.Mutex
	random            *rand.Rand
	nextIndex         int
	inFlight          map[string]int
	errorsInRow       map[string]int
	ejectedUntil      map[string]time.Time
}

func newBaseline(n *node, twoChoices, ejects, ignoreUnavailable bool) *baseline {
	return &baseline{
		node: n, twoChoices: twoChoices, ejects: ejects, ignoreUnavailable: ignoreUnavailable, nextIndex: len(n.fleet.nodes),
		random:   rand.New(rand.NewPCG(n.fleet.seed, uint64(len(n.fleet.nodes)))),
		inFlight: map[string]int{}, errorsInRow: map[string]int{}, ejectedUntil: map[string]time.Time{},
	}
}

type baselinePermit struct {
	baseline *baseline
	address  string
}

func (p baselinePermit) Address() string         { return p.address }
func (p baselinePermit) Done(o evidence.Outcome) { p.baseline.done(p.address, o) }

func (b *baseline) Acquire(_ context.Context, r pool.Request) (pool.Permit, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var usable []roster.Instance
	for _, i := range *b.node.fleet.instances.Load() {
		excluded := strings.Contains(strings.Join(r.Exclude, " "), i.Address()) || time.Now().Before(b.ejectedUntil[i.Address()])
		if i.Service() == r.Service && !excluded && (b.ignoreUnavailable || !i.Leaving() && !b.node.fleet.ZoneOut(i.Zone())) {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return nil, pool.NewRefusal("none", 0)
	}
	b.nextIndex++
	chosen := usable[b.nextIndex%len(usable)].Address()
	if b.twoChoices {
		x, y := usable[b.random.IntN(len(usable))].Address(), usable[b.random.IntN(len(usable))].Address()
		chosen = x
		if b.inFlight[y] < b.inFlight[x] {
			chosen = y
		}
	}
	b.inFlight[chosen]++
	return baselinePermit{baseline: b, address: chosen}, nil
}

func (b *baseline) done(address string, o evidence.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[address]--
	if !b.ejects || !o.Failed() {
		b.errorsInRow[address] = 0
		return
	}
	if b.errorsInRow[address]++; b.errorsInRow[address] < ejectAfterErrors {
		return
	}
	b.errorsInRow[address] = 0
	b.ejectedUntil[address] = time.Now().Add(baselineEjection)
	b.node.events.Record(event.Ejected{Service: b.node.fleet.targets[address].service, Address: address})
}

// Guards against checks of the recorded history that never fail: each must find a
// version of the acquirer that breaks its rule.
func TestChecksCatchBrokenVersions(t *testing.T) {
	naive := func(n *node) pool.Acquirer { return newBaseline(n, false, false, true) }
	for _, tt := range []struct {
		name, want  string
		newAcquirer func(*node) pool.Acquirer
		disrupt     func(f *fleet)
	}{
		{"slots are not checked", "above an instance's slots", naive, func(*fleet) {}},
		{"the load of cold instances is not checked", "above what cold instances bear", naive, func(f *fleet) { f.targets[faultyAddress].restart(true) }},
		{"leaving instances are not checked", "after it began to leave", naive, func(f *fleet) { f.leave(faultyAddress) }},
		{"zones taken out of service are not checked", "after its zone was taken out", naive, func(f *fleet) { f.setOut("north", true) }},
		{"the floor is not checked", "the floor is", func(n *node) pool.Acquirer { return newBaseline(n, false, true, false) }, func(f *fleet) {
			for _, instance := range f.targets {
				instance.fault = alwaysFail(evidence.ConnectFailed, 0)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			run(t, small(), tt.newAcquirer, func(f *fleet) {
				tt.disrupt(f)
				f.load(5*time.Second, 1.2)
				if found := strings.Join(f.violations(), "\n"); !strings.Contains(found, tt.want) {
					t.Errorf("found only %q", found)
				}
			})
		})
	}
}
