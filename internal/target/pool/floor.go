package pool

import (
	"math"
	"sort"
)

// Capacity counts the instances of a service in one zone.
type Capacity struct {
	// Zone is the availability zone's name.
	Zone string
	// Total counts all listed instances.
	Total int
	// Healthy counts the instances in full use: not ejected, cold or leaving.
	Healthy int
	// Out is true while the zone is taken out of service.
	Out bool
}

// Floor is the number of instances of a service that ejections must leave in use,
// and each zone's share of it. The shares add up to that number, so that owners
// that cannot reach each other do not go below it together.
type Floor struct {
	need   int
	shares map[string]int
}

// PlanFloor divides the floor, a share from 0 to 1 of all instances, among the
// zones that are not taken out of service, by the largest remainder method. Zones
// with equal remainders are ordered by name, so that every owner computes the same
// plan.
func PlanFloor(share float64, zones []Capacity) Floor {
	total, available := 0, 0
	for _, z := range zones {
		total += z.Total
		if !z.Out {
			available += z.Total
		}
	}
	f := Floor{shares: make(map[string]int, len(zones))}
	if total == 0 {
		return f
	}
	// The epsilon keeps a rounding error from raising the result by one, as in
	// 0.55*100, which is 55.00000000000001. The floor is at least 1, so a service
	// never loses its last instance to an ejection.
	f.need = max(1, int(math.Ceil(share*float64(total)-1e-9)))
	f.divide(min(f.need, available), available, zones)
	return f
}

func (f *Floor) divide(need, available int, zones []Capacity) {
	type remainder struct {
		zone string
		part int
	}
	var remainders []remainder
	unassigned := need
	for _, z := range zones {
		if z.Out || z.Total == 0 {
			continue
		}
		f.shares[z.Zone] = need * z.Total / available
		unassigned -= f.shares[z.Zone]
		remainders = append(remainders, remainder{zone: z.Zone, part: need * z.Total % available})
	}
	sort.Slice(remainders, func(i, j int) bool {
		if remainders[i].part != remainders[j].part {
			return remainders[i].part > remainders[j].part
		}
		return remainders[i].zone < remainders[j].zone
	})
	for i := 0; i < unassigned; i++ {
		f.shares[remainders[i].zone]++
	}
}

// Need returns how many instances of the service must stay in use.
func (f Floor) Need() int { return f.need }

// Share returns how many instances must stay in use in a zone.
func (f Floor) Share(zone string) int { return f.shares[zone] }

// Holds reports whether the floor is kept when a zone has the given number of
// healthy instances in use, given the known capacities of the zones. Another zone
// counts with at most its share, because its owner may eject down to that share at
// any moment.
func (f Floor) Holds(zone string, healthy int, zones []Capacity) bool {
	if healthy < f.Share(zone) {
		return false
	}
	sum := healthy
	for _, z := range zones {
		if z.Zone != zone && !z.Out {
			sum += min(z.Healthy, f.Share(z.Zone))
		}
	}
	return sum >= f.need
}
