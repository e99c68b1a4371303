package gossip

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// unknownFleetRatio is the part of the fleet that a VM reports as heard while it knows
// neither the list of VMs nor any other VM. If it counted itself as the whole fleet, it
// would admit the whole rate of each client account.
const unknownFleetRatio = 0.02

// heardTTL is how long a computed share of heard VMs is used. It is asked for at every
// report of another VM, and changes when a VM has been silent for presenceTimeout.
const heardTTL = 50 * time.Millisecond

// Heard returns the part of the members that are present, from 0 to 1, this VM included.
func (g *Gossip) Heard() float64 {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.heardAt) >= heardTTL {
		g.heard, g.heardAt = g.computeHeard(now), now
	}
	return g.heard
}

// computeHeard returns the part of the members that are present. The caller holds the
// lock.
func (g *Gossip) computeHeard(now time.Time) float64 {
	if !g.listed && (len(g.members) == 0 || now.Sub(g.start) < presenceTimeout) {
		return unknownFleetRatio
	}
	heard := 1
	for _, p := range g.members {
		if p.present(now) {
			heard++
		}
	}
	return float64(heard) / float64(len(g.members)+1)
}

// Listed reports whether this VM has received the list of VMs since its start.
func (g *Gossip) Listed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listed
}

// Members returns all members, this VM included, in no particular order.
func (g *Gossip) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := []Member{g.config.Self}
	for _, p := range g.members {
		list = append(list, p.member)
	}
	return list
}

// present reports whether the VM was heard within presenceTimeout, or was added within
// presenceTimeout and may not have been heard yet.
func (p *peer) present(now time.Time) bool { return now.Sub(p.lastActive()) < presenceTimeout }

// PresentMembers returns the members heard within presenceTimeout, without this VM.
// Members of its own zone come first, and each part is ordered by name.
func (g *Gossip) PresentMembers() []Member {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Member
	for _, p := range g.members {
		if now.Sub(p.lastHeard) < presenceTimeout {
			list = append(list, p.member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		if (a.Zone == g.config.Self.Zone) != (b.Zone == g.config.Self.Zone) {
			if a.Zone == g.config.Self.Zone {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return list
}

// Rank returns the number of present members that rank before this VM for a name, by
// rendezvous hashing. Members that hear each other agree on the order.
func (g *Gossip) Rank(name string) int {
	return g.rank(name, func(Member) bool { return true })
}

// ZoneRank returns the rank among the members of this VM's own zone.
func (g *Gossip) ZoneRank(name string) int {
	return g.rank(name, func(m Member) bool { return m.Zone == g.config.Self.Zone })
}

// ZoneOrder returns the present members of this VM's own zone, this VM included, in the
// order of their ranks for a name.
func (g *Gossip) ZoneOrder(name string) []Member {
	now := time.Now()
	g.mu.Lock()
	list := []Member{g.config.Self}
	for _, p := range g.members {
		if p.present(now) && p.member.Zone == g.config.Self.Zone {
			list = append(list, p.member)
		}
	}
	g.mu.Unlock()
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(weight(name, b.Name), weight(name, a.Name)) })
	return list
}

// rank returns the number of present members that include accepts and that rank before
// this VM for a name.
func (g *Gossip) rank(name string, include func(Member) bool) int {
	now := time.Now()
	own := weight(name, g.config.Self.Name)
	g.mu.Lock()
	defer g.mu.Unlock()
	rank := 0
	for _, p := range g.members {
		if p.present(now) && include(p.member) && weight(name, p.member.Name) > own {
			rank++
		}
	}
	return rank
}

// Designated reports whether this VM ranks first for a name among the present members. If
// some VMs do not hear each other, several of them may be designated for the same name.
func (g *Gossip) Designated(name string) bool { return g.Rank(name) == 0 }

// Owns reports whether this VM ranks first for a name among all members, silent ones
// included. Among VMs with the same members, at most one owns a name, even if they do not
// hear each other. When the owner of a name stops, no other VM owns the name until the
// owner is removed from the members. A VM that has not read the platform's list of VMs
// owns no name.
func (g *Gossip) Owns(name string) bool {
	own := weight(name, g.config.Self.Name)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.listed {
		return false
	}
	for _, p := range g.members {
		if weight(name, p.member.Name) > own {
			return false
		}
	}
	return true
}

// Size returns the number of members, this VM included.
func (g *Gossip) Size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members) + 1
}

// Stats returns a copy of the datagram counters.
func (g *Gossip) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

// weight returns a VM's weight for a name in rendezvous hashing. The VM with the highest
// weight ranks first.
func weight(name, vm string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name)) //nolint:errcheck // A hash takes everything.
	h.Write([]byte{0})    //nolint:errcheck // See above.
	h.Write([]byte(vm))   //nolint:errcheck // See above.
	x := h.Sum64()
	// The last bytes of the input hardly affect the high bits of an FNV hash, so mix the
	// bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
