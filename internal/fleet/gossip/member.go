package gossip

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

// peer is the state of another member.
type peer struct {
	member          Member
	added           time.Time // when it was added or its entry in the list changed
	lastHeard       time.Time // when its last new datagram arrived
	incarnation     uint64
	firstHeard      time.Time // when the first datagram of this incarnation arrived
	hasBaseline     bool      // its counts may include events from before this VM could receive them
	highestSequence uint64    // highest sequence number received
	receivedBits    uint64    // bit n is set if sequence number highestSequence-n was received
	round           uint64    // of the datagram with the highest sequence number
}

// AddMembers adds the VMs of the platform's list to the members. The list may include
// this VM.
func (g *Gossip) AddMembers(list []Member) {
	for _, m := range list {
		g.addMember(m)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed = true
	g.heardAt = time.Time{} // the fleet may be larger than this VM has counted
}

// addMember adds a listed VM. If the VM is already a member, its zone and address are
// taken from the list only after it has been silent for presenceTimeout, because its
// datagrams carry its current zone and address.
func (g *Gossip) addMember(m Member) {
	if m.Name == g.config.Self.Name || m.Name == "" || !m.Address.IsValid() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.members[m.Name]
	if p == nil {
		g.members[m.Name] = &peer{member: m, added: time.Now()}
		return
	}
	if p.member != m && time.Since(p.lastHeard) > presenceTimeout {
		p.member, p.added = m, time.Now()
	}
}

// recipients returns the VMs of the own zone and one VM of each other zone. The
// caller holds the lock.
func (g *Gossip) recipients(now time.Time) (neighbors, relays []Member) {
	zones := make(map[string][]*peer)
	for _, p := range g.members {
		if p.member.Zone == g.config.Self.Zone {
			neighbors = append(neighbors, p.member)
			continue
		}
		zones[p.member.Zone] = append(zones[p.member.Zone], p)
	}
	for _, list := range zones {
		relays = append(relays, pickRelay(list, now).member)
	}
	return neighbors, relays
}

// pickRelay returns a random VM of those heard within presenceTimeout, or of all if
// there is none.
func pickRelay(list []*peer, now time.Time) *peer {
	start := rand.IntN(len(list))
	for i := range list {
		p := list[(start+i)%len(list)]
		if now.Sub(p.lastHeard) < presenceTimeout {
			return p
		}
	}
	return list[start]
}

// removeMember removes a VM that has announced its stop.
func (g *Gossip) removeMember(name string, incarnation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members, name)
	g.recordEnd(name, incarnation, time.Now())
}

// endedRun is a run of a VM's process that has ended.
type endedRun struct {
	incarnation uint64
	at          time.Time
}

// recordEnd records that a run of a VM's process has ended, so that its late datagrams
// are dropped. The caller holds the lock.
func (g *Gossip) recordEnd(name string, incarnation uint64, now time.Time) {
	if g.ended == nil {
		g.ended = make(map[string]endedRun)
	}
	g.ended[name] = endedRun{incarnation: incarnation, at: now}
}

// neighborsExcept returns the members of the own zone other than this VM and the named
// one. The caller holds the lock.
func (g *Gossip) neighborsExcept(name string) []Member {
	var list []Member
	for _, p := range g.members {
		if p.member.Name != name && p.member.Zone == g.config.Self.Zone {
			list = append(list, p.member)
		}
	}
	return list
}

// recordSequence records a received sequence number, and reports whether the datagram is
// to be delivered: if its number is higher than all earlier ones, or if it belongs to the
// same round as the highest one and was not received before.
func (p *peer) recordSequence(sequence, round uint64) bool {
	if sequence > p.highestSequence {
		p.receivedBits = p.receivedBits<<(sequence-p.highestSequence) | 1
		p.highestSequence, p.round = sequence, round
		return true
	}
	age := p.highestSequence - sequence
	if age >= sequenceWindow || p.receivedBits&(1<<age) != 0 {
		return false
	}
	p.receivedBits |= 1 << age
	// Reports hold running counts, so one of an earlier round adds nothing.
	return round != 0 && round == p.round
}

// removeSilent removes the VMs that have been silent for longer than memberTimeout.
func (g *Gossip) removeSilent(now time.Time) {
	var removed []string
	g.mu.Lock()
	for name, p := range g.members {
		if now.Sub(p.lastActive()) > memberTimeout {
			delete(g.members, name)
			removed = append(removed, name)
		}
	}
	for name, run := range g.ended {
		if now.Sub(run.at) > memberTimeout {
			delete(g.ended, name)
		}
	}
	g.mu.Unlock()
	for _, name := range removed {
		g.config.Logger.Info("VM is no longer a member", zap.String("other", name), zap.Duration("silent", memberTimeout))
		if g.config.MemberTimedOut != nil {
			g.config.MemberTimedOut(name)
		}
	}
}

// lastActive returns the later of two times: when the VM was last heard and when it was
// added.
func (p *peer) lastActive() time.Time {
	if p.lastHeard.After(p.added) {
		return p.lastHeard
	}
	return p.added
}
