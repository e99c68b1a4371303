package pool_test

import (
	"testing"
	"time"

	"chestnutbay.dev/chestnutbay/internal/report/event"
	"chestnutbay.dev/chestnutbay/internal/target/pool"
)

const northLease = "pool/orders/north"

// owner returns the node that owns the pool of the service orders in zone north.
func (f *fleet) owner() *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byName[f.leaseHolders[northLease]]
}

// loadWhile runs do while it sends load for d.
func (f *fleet) loadWhile(d time.Duration, factor float64, do func()) {
	f.group.Go(func() error {
		do()
		return nil
	})
	f.load(d, factor)
}

// Guards against more load on cold instances than they can bear, also when the
// pool's owner changes or is missing and when the restart was not announced.
func TestColdInstancesGetNoMoreThanTheRamp(t *testing.T) {
	for _, tt := range []struct {
		name    string
		disrupt func(f *fleet)
	}{
		{"an instance is overloaded after an announced restart", func(f *fleet) { f.targets[faultyAddress].restart(true) }},
		{"an instance is overloaded after an unannounced restart", func(f *fleet) { f.targets[faultyAddress].restart(false) }},
		{"a new owner overloads a cold instance", func(f *fleet) {
			f.targets[faultyAddress].restart(true)
			time.Sleep(3 * time.Second)
			f.moveLease(northLease, 200*time.Millisecond)
		}},
		{"a cold instance is overloaded after the owner dies", func(f *fleet) {
			f.targets[faultyAddress].restart(true)
			time.Sleep(2 * time.Second)
			f.kill(f.owner())
		}},
		{"an instance is overloaded after a restart without an owner", func(f *fleet) {
			f.kill(f.owner())
			time.Sleep(4500 * time.Millisecond)
			f.targets[faultyAddress].restart(true)
		}},
		{"a zone is overloaded when it is brought back", func(f *fleet) {
			f.setOut("north", true)
			time.Sleep(3 * time.Second)
			for _, instance := range f.targets {
				if instance.zone == "north" {
					instance.restart(false)
				}
			}
			time.Sleep(2 * time.Second)
			f.setOut("north", false)
		}},
		{"a joining node overloads a cold instance", func(f *fleet) {
			f.targets[faultyAddress].restart(true)
			for _, n := range f.nodes[7:] {
				n.stop()
				n.start("2")
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			run(t, small(), nil, func(f *fleet) {
				f.warmUp()
				f.loadWhile(20*time.Second, 1.2, func() {
					time.Sleep(time.Second)
					tt.disrupt(f)
				})
				t.Logf("success %.4f p99 %s refused %d", f.stats.success(), f.stats.quantile(0.99), f.stats.refused)
				f.check()
			})
		})
	}
}

// Guards against more requests in flight than slots, slots that are never freed
// and long outages when a pool's owner changes, dies or is unreachable.
func TestSlotLimitsWhenOwnersChange(t *testing.T) {
	for _, tt := range []struct {
		name    string
		success float64
		disrupt func(f *fleet)
	}{
		{"a new owner exceeds the slots", 0.999, func(f *fleet) { f.moveLease(northLease, 300*time.Millisecond) }},
		{"a planned stop of the owner makes instances cold", 0.999, func(f *fleet) {
			n := f.owner()
			if err := n.pools.Drain(f.ctx); err != nil {
				f.addViolation("%v", err)
			}
			f.moveLease(northLease, 300*time.Millisecond)
			time.Sleep(time.Second)
			if cold := countEvents[event.BecameCold](f, ""); cold > 0 {
				f.addViolation("%d instances became cold", cold)
			}
		}},
		{"slots are exceeded after the owner dies", 0.97, func(f *fleet) { f.kill(f.owner()) }},
		{"static slots exceed the slots, or nothing is served without owners", 0.7, func(f *fleet) {
			for _, zone := range f.zones {
				f.group.Go(func() error {
					f.moveLease("pool/orders/"+zone, 8*time.Second)
					return nil
				})
			}
		}},
		{"an owner that one node does not reach is not used", 0.999, func(f *fleet) {
			f.cut(f.owner().name, f.nodes[3].name, true)
			f.cut(f.nodes[6].name, f.owner().name, true)
		}},
		{"a node that no other node reaches exceeds the slots", 0.85, func(f *fleet) {
			for _, n := range f.nodes {
				f.cut(n.name, "vm04", n.name != "vm04")
			}
			time.Sleep(8 * time.Second)
			for _, n := range f.nodes {
				f.cut(n.name, "vm04", false)
			}
		}},
		{"slots granted in lost replies are never freed", 0.9, func(f *fleet) {
			ownerName := f.owner().name
			for _, n := range f.nodes {
				f.cut(ownerName, n.name, true)
			}
			time.Sleep(3 * time.Second)
			for _, n := range f.nodes {
				f.cut(ownerName, n.name, false)
			}
		}},
		{"a restarted node keeps its slots", 0.99, func(f *fleet) {
			f.nodes[4].stop()
			f.nodes[4].start("2")
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			run(t, small(), nil, func(f *fleet) {
				f.warmUp()
				f.loadWhile(20*time.Second, 1, func() {
					time.Sleep(time.Second)
					tt.disrupt(f)
				})
				success := f.stats.success()
				t.Logf("success %.4f p99 %s refused %d failed %d", success, f.stats.quantile(0.99), f.stats.refused, f.stats.failures)
				if success < tt.success {
					t.Errorf("success %.4f", success)
				}
				f.stats.reset()
				f.load(5*time.Second, 1)
				if after := f.stats.success(); after < 0.999 {
					t.Errorf("success %.4f after the failure", after)
				}
				f.check()
			})
		})
	}
}

// Guards against new permits for leaving instances and for zones taken out of
// service, and against running requests that are cut off there.
func TestLeavingGetsNoNewPermit(t *testing.T) {
	for _, tt := range []struct {
		name    string
		disrupt func(f *fleet)
	}{
		{"a leaving instance gets permits", func(f *fleet) { f.leave(faultyAddress) }},
		{"a zone taken out of service gets permits", func(f *fleet) { f.setOut("north", true) }},
		{"a leaving instance gets permits without an owner", func(f *fleet) {
			f.kill(f.owner())
			time.Sleep(4500 * time.Millisecond)
			f.leave(faultyAddress)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			run(t, small(), nil, func(f *fleet) {
				f.warmUp()
				f.loadWhile(12*time.Second, 1, func() {
					time.Sleep(time.Second)
					tt.disrupt(f)
				})
				t.Logf("success %.4f p99 %s refused %d failed %d", f.stats.success(), f.stats.quantile(0.99), f.stats.refused, f.stats.failures)
				f.check()
			})
		})
	}
}

// Guards against lease names that do not match the pools.
func TestNames(t *testing.T) {
	run(t, small(), nil, func(f *fleet) {
		names := f.nodes[0].pools.LeaseNames()
		if len(names) != 3 || names[0] != northLease || names[0] != pool.LeaseName("orders", "north") {
			t.Error(names)
		}
	})
}
