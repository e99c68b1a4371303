package pool_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"chestnutbay.dev/chestnutbay/internal/target/pool"
)

type zoneState struct {
	pool.Capacity
	known   pool.Capacity // what the other zones' owners last received
	ejected int
}

// drawZones draws zones in which some instances are not healthy. The number of
// healthy instances known to the other zones' owners may be too low, but never too
// high.
func drawZones(t *rapid.T) []zoneState {
	var zones []zoneState
	for _, name := range []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")] {
		c := pool.Capacity{Zone: name, Total: rapid.IntRange(0, 12).Draw(t, "total"), Out: rapid.IntRange(0, 4).Draw(t, "out") == 0}
		c.Healthy = c.Total - rapid.IntRange(0, c.Total/2).Draw(t, "cold")
		known := c
		known.Healthy = rapid.IntRange(0, c.Healthy).Draw(t, "known")
		zones = append(zones, zoneState{Capacity: c, known: known})
	}
	return zones
}

func inUse(zones []zoneState) (n int) {
	for _, z := range zones {
		if !z.Out {
			n += z.Healthy
		}
	}
	return n
}

// ejectAll lets the owner in every zone eject instances for as long as allowed
// permits it, each with its last report of the other zones. It returns the number
// of instances that remain in use.
func ejectAll(zones []zoneState, allowed func(own string, healthy int, zones []pool.Capacity) bool) int {
	for changed := true; changed; {
		changed = false
		for n := range zones {
			z := &zones[n]
			var view []pool.Capacity
			for m, other := range zones {
				c := other.known
				if m == n {
					c = z.Capacity
				}
				view = append(view, c)
			}
			if !z.Out && z.Healthy > 0 && allowed(z.Zone, z.Healthy-1, view) {
				z.Healthy--
				z.ejected++
				changed = true
			}
		}
	}
	return inUse(zones)
}

func ejections(zones []zoneState) (n int) {
	for _, z := range zones {
		n += z.ejected
	}
	return n
}

// Guards against owners that cannot reach each other and together eject more
// instances than the floor allows.
func TestFloorSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := drawZones(t)
		share := rapid.Float64Range(0, 1).Draw(t, "floor")
		total := 0
		for _, z := range zones {
			total += z.Total
		}
		remaining := ejectAll(zones, func(own string, healthy int, view []pool.Capacity) bool {
			return pool.PlanFloor(share, view).Holds(own, healthy, view)
		})
		need := max(1, int(math.Ceil(share*float64(total)-1e-9)))
		if ejections(zones) > 0 && remaining < need {
			t.Fatalf("%d left in use, the floor is %d of %d", remaining, need, total)
		}
	})
}

// Guards against shares that do not add up to the need, which would make the
// floor too strict or too loose.
func TestFloorDividesTheNeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var view []pool.Capacity
		live := 0
		for _, z := range drawZones(t) {
			view = append(view, z.Capacity)
			if !z.Out {
				live += z.Total
			}
		}
		floor := pool.PlanFloor(rapid.Float64Range(0, 1).Draw(t, "floor"), view)
		sum := 0
		for _, z := range view {
			sum += floor.Share(z.Zone)
			if floor.Share(z.Zone) > z.Total {
				t.Fatalf("zone %s has to keep %d of %d", z.Zone, floor.Share(z.Zone), z.Total)
			}
		}
		if sum != min(floor.Need(), live) {
			t.Fatalf("shares add up to %d, need %d of %d", sum, floor.Need(), live)
		}
	})
}

// Guards against a property test that proves nothing: the check must find owners
// that ignore the ejections by other owners.
func TestFloorPropertyCatchesUncoordinatedHomes(t *testing.T) {
	caught := false
	for seed := range 50 {
		caught = caught || breaksFloor(seed)
	}
	if !caught {
		t.Error("no seed broke the floor")
	}
}

// breaksFloor reports whether the floor is broken when owners count the other
// zones' last reported healthy instances instead of their shares.
func breaksFloor(seed int) bool {
	var zones []zoneState
	for n, name := range []string{"a", "b", "c"} {
		c := pool.Capacity{Zone: name, Total: 2 + (seed+n)%4, Healthy: 2 + (seed+n)%4}
		zones = append(zones, zoneState{Capacity: c, known: c})
	}
	need := (inUse(zones) + 1) / 2
	remaining := ejectAll(zones, func(own string, healthy int, view []pool.Capacity) bool {
		for _, z := range view {
			if z.Zone != own {
				healthy += z.Healthy
			}
		}
		return healthy >= need
	})
	return remaining < need
}
