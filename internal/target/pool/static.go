package pool

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
)

// Parameters of static slots, which nodes use while no owner is reachable.
const (
	// staticAfter is how long a node must have had no reply from the owner before
	// it uses its static slots. The owner reserves a silent node's slots one second
	// earlier, after reserveAfter, counted from the latest reply that the node has
	// confirmed.
	staticAfter  = 4 * time.Second
	reserveAfter = 3 * time.Second
	// staticFor is how long static slots may be used. The node counts from when it
	// sent its last message that got a reply. The owner counts from when it last
	// replied, which is later, so the node stops first.
	staticFor = 15 * time.Second
	// confirmEvery is how often a node with static slots confirms that it receives
	// the owner's replies, so that the owner need not reserve the slots.
	confirmEvery = 1500 * time.Millisecond
	// renounceAfter is how long a node keeps the static slots of a pool for which it
	// has no requests.
	renounceAfter = 10 * time.Second
	// staticWait is how long a request waits while no owner offers a place in its
	// queue and no static slot is free.
	staticWait = 2 * time.Second
)

// assignSlots assigns each slot of each instance to one listed node. A slot stays
// with a node that is no longer listed while that node may still use it.
func (o *owner) assignSlots() {
	nodes := o.pools.listedNodes()
	now := time.Now()
	slots := make(map[staticSlot]string)
	for _, i := range o.sorted {
		for n := range o.service.Slots() {
			s := staticSlot{Address: i.address, Slot: n}
			assignedNode := o.slotNodes[s]
			if assignedNode == "" || !nodes[assignedNode] && !o.mayUseSlots(assignedNode, now) {
				assignedNode = rendezvousNode(s, nodes)
			}
			slots[s] = assignedNode
		}
	}
	o.slotNodes = slots
}

func (o *owner) mayUseSlots(node string, now time.Time) bool {
	m := o.members[node]
	return m != nil && m.mayKnowSlots && now.Sub(m.replied) < staticFor
}

// rendezvousNode returns the node with the highest rendezvous hash for a slot.
func rendezvousNode(s staticSlot, nodes map[string]bool) string {
	best, highest := "", uint64(0)
	for node := range nodes {
		f := fnv.New64a()
		f.Write([]byte(s.Address + "/" + strconv.Itoa(s.Slot) + "/" + node))
		// The last input bytes change the high bits of an FNV hash only a little, so
		// the bits are mixed.
		sum := f.Sum64()
		sum ^= sum >> 33
		sum *= 0xff51afd7ed558ccd
		sum ^= sum >> 33
		if best == "" || sum > highest || sum == highest && node < best {
			best, highest = node, sum
		}
	}
	return best
}

// reserveSlots counts, for each instance, the static slots that silent nodes may
// be using. The owner does not issue permits for them.
func (o *owner) reserveSlots(now time.Time) {
	for _, i := range o.sorted {
		i.reserved = 0
		for n := range o.service.Slots() {
			m := o.members[o.slotNodes[staticSlot{Address: i.address, Slot: n}]]
			if m != nil && m.mayKnowSlots && now.Sub(m.acknowledged) >= reserveAfter && now.Sub(m.replied) < staticFor {
				i.reserved++
			}
		}
	}
}

// viewFor returns the view for one node. While an instance has bulk requests in
// flight, only the instance's last slot can be a static slot, because bulk requests
// may still occupy the other slots when the owner becomes unreachable. On instances
// with several slots, bulk requests leave one slot free.
func (o *owner) viewFor(node string) *view {
	v := &view{Version: o.viewVersion}
	slots := o.service.Slots()
	for _, i := range o.sorted {
		if !i.healthy() || o.zoneOut {
			continue
		}
		v.Usable = append(v.Usable, i.address)
		for n := range slots {
			s := staticSlot{Address: i.address, Slot: n}
			if o.slotNodes[s] == node && (n == slots-1 || i.bulk == 0) {
				v.Slots = append(v.Slots, s)
			}
		}
	}
	return v
}

// contact is what a node knows about a pool from the owner's replies and from its
// own requests. It exists also on nodes that do not own the pool.
type contact struct {
	ownerNode     string
	stamp         int64
	view          view
	viewStarted   map[string]time.Time // start times of the view's instances
	lastSent      time.Time
	lastReply     time.Time
	lastRequest   time.Time // when a request last asked for a permit
	lastConfirmed time.Time // when this node last sent a confirmation to the owner
	slotsScarce   bool
	usedSlots     map[staticSlot]bool
	failed        map[string]bool // instances whose last outcome was a failure
	// history holds the node's recent experience with each instance, by address.
	history map[string]*instanceHistory
}

// instanceHistory is a node's recent experience with an instance.
type instanceHistory struct {
	started time.Time // listed start time of the process that gave the response in warm
	warm    time.Time // last good response under full load
	doubt   time.Time // last failed or broken connection, or last outcome of a permit issued before the instance was warm
}

// noteReply records the header of an owner's reply. sent is when this node sent the
// message that the owner replied to.
func (p *Pools) noteReply(key poolKey, node string, sent time.Time, header replyHeader) {
	if header.NotOwner || header.Stamp == 0 {
		return
	}
	x := p.index()
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.contact(key)
	c.ownerNode, c.stamp = node, header.Stamp
	c.lastSent, c.lastReply = sent, time.Now()
	c.slotsScarce = header.SlotsScarce
	if header.View == nil {
		return
	}
	c.view = *header.View
	clear(c.failed)
	c.viewStarted = make(map[string]time.Time, len(c.view.Usable))
	for _, address := range c.view.Usable {
		if started, ok := x.started(key, address); ok {
			c.viewStarted[address] = started
		}
	}
}

func (p *Pools) contact(key poolKey) *contact {
	c := p.contacts[key]
	if c == nil {
		c = &contact{usedSlots: make(map[staticSlot]bool), failed: make(map[string]bool), history: make(map[string]*instanceHistory)}
		p.contacts[key] = c
	}
	return c
}

// takeStatic returns a permit for one of the node's static slots while no owner is
// reachable. It refuses bulk requests, because they may still be running when an
// owner issues permits again.
func (p *Pools) takeStatic(r Request) (*permit, bool) {
	if r.Class == contract.Bulk {
		return nil, false
	}
	x := p.index()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, zone := range p.zoneOrder(r.Service) {
		key := poolKey{service: r.Service, zone: zone}
		c := p.contact(key)
		if now.Sub(c.lastReply) < staticAfter || now.Sub(c.lastSent) > staticFor {
			continue
		}
		for _, s := range c.view.Slots {
			if c.usedSlots[s] || c.failed[s.Address] || !c.unchanged(x, key, s.Address) || excluded(r, s.Address) {
				continue
			}
			c.usedSlots[s] = true
			m := p.newPermit(key, r, s.Address, &s)
			m.started = c.viewStarted[s.Address]
			return m, true
		}
	}
	return nil, false
}

// unchanged reports whether an instance was listed when the view arrived, has not
// restarted since, and is still listed and not leaving.
func (c *contact) unchanged(x *index, key poolKey, address string) bool {
	previous, known := c.viewStarted[address]
	started, ok := x.started(key, address)
	return known && ok && started.Equal(previous)
}

func excluded(r Request, address string) bool {
	for _, e := range r.Exclude {
		if e == address {
			return true
		}
	}
	return false
}

// confirmStatic tells the owner of each pool in which the node has static slots
// that the owner's replies arrive. It gives up the static slots of pools that the
// node has not used for renounceAfter.
func (p *Pools) confirmStatic(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, c := range p.contacts {
		if len(c.view.Slots) == 0 || len(c.usedSlots) > 0 || now.Sub(c.lastConfirmed) < confirmEvery {
			continue
		}
		renounce := now.Sub(c.lastRequest) > renounceAfter
		if !renounce && now.Sub(c.lastReply) > staticAfter {
			continue
		}
		if renounce {
			c.view = view{}
		}
		c.lastConfirmed = now
		p.startTask(func(ctx context.Context) {
			p.deliver(ctx, key, releaseParams{sender: sender{Renounce: renounce}, Service: key.service, Zone: key.zone})
		})
	}
}
