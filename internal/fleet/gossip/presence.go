package gossip

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// strangerPart is the part of the fleet that a VM counts as heard while it has just
// started and does not know the fleet: the list could not be read, and the others have
// not had the time to be heard.
const strangerPart = 0.02

// Heard returns the part of the members that were heard lately, this VM included.
func (g *Gossip) Heard() float64 {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.listed && now.Sub(g.start) < presentTime {
		return strangerPart
	}
	heard := 1
	for _, c := range g.members {
		if c.present(now) {
			heard++
		}
	}
	return float64(heard) / float64(len(g.members)+1)
}

// present reports whether the VM was heard lately, or met so lately that it could
// not be heard yet.
func (c *contact) present(now time.Time) bool { return now.Sub(c.lastSign()) < presentTime }

// Present returns the members that were heard lately, without this VM, the ones of
// its own zone first.
func (g *Gossip) Present() []Member {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Member
	for _, c := range g.members {
		if now.Sub(c.heard) < presentTime {
			list = append(list, c.member)
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

// Rank returns how many present members come before this VM for a name, by
// rendezvous hash. Members that hear each other agree on the order.
func (g *Gossip) Rank(name string) int {
	return g.rank(name, func(Member) bool { return true })
}

// ZoneRank is the Rank among the members of the own zone.
func (g *Gossip) ZoneRank(name string) int {
	return g.rank(name, func(m Member) bool { return m.Zone == g.config.Self.Zone })
}

func (g *Gossip) rank(name string, counts func(Member) bool) int {
	now := time.Now()
	own := weight(name, g.config.Self.Name)
	g.mu.Lock()
	defer g.mu.Unlock()
	rank := 0
	for _, c := range g.members {
		if c.present(now) && counts(c.member) && weight(name, c.member.Name) > own {
			rank++
		}
	}
	return rank
}

// Designated reports whether this VM comes first for a name among the present
// members. VMs that do not hear each other may both be.
func (g *Gossip) Designated(name string) bool { return g.Rank(name) == 0 }

// Owns reports whether this VM comes first for a name among all members, the silent
// ones included. At most one of the VMs that know the same members does, whether
// they hear each other or not; none does while the first one is gone. A VM that has
// not read the list of members owns nothing.
func (g *Gossip) Owns(name string) bool {
	own := weight(name, g.config.Self.Name)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.listed {
		return false
	}
	for _, c := range g.members {
		if weight(name, c.member.Name) > own {
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

// Stats returns the counters.
func (g *Gossip) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

func weight(name, vm string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name)) //nolint:errcheck // A hash takes everything.
	h.Write([]byte{0})    //nolint:errcheck // See above.
	h.Write([]byte(vm))   //nolint:errcheck // See above.
	x := h.Sum64()
	// The last bytes of the input hardly reach the high bits of FNV.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
