package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Reports that are not urgent travel in bundles in a large fleet. A VM sends its datagram
// to the collector of its zone. The collector puts the datagrams of a short time in a
// bundle and sends the bundle to one VM of each zone, chosen at random each time, the
// spreader, which sends it to the other VMs of its zone. So the work of sending is shared
// by all VMs, and each VM receives a few full datagrams rather than one from every VM.
//
// The spreader of the own zone sends the bundle also to the VMs whose datagrams are in it.
// A VM that does not see its datagram again sends it directly, and uses another collector
// for a while.
const (
	// bundleThreshold is the number of members from which bundles are used. In a small
	// fleet they would only delay the reports.
	bundleThreshold = 16
	// bundleDelay is the time for which a collector gathers datagrams.
	bundleDelay = 50 * time.Millisecond
	// bundleBytes bounds the size of the parts of a bundle, so that every network path
	// carries it without fragmentation.
	bundleBytes = 1400
	// echoTimeout is the time within which a VM expects to see its datagram again.
	echoTimeout = 300 * time.Millisecond
	// collectorBan is how long a VM does not use a collector after it failed.
	collectorBan = 2 * time.Second
)

// bundle is the bundle that this VM is putting together as a collector.
type bundle struct {
	parts []cbor.RawMessage
	size  int
}

// collection holds what a VM has sent to collectors.
type collection struct {
	pending []*envelope // sent and not seen in a bundle yet
	oldest  time.Time   // when the first of them was sent
	// collector is the VM to which the last of them was sent.
	collector string
	banned    map[string]time.Time // when each collector that failed may be used again
}

// collect sends a payload by way of a collector. It returns false, and sends nothing, in a
// small fleet, where payloads are sent directly.
func (g *Gossip) collect(payload []byte) bool {
	now := time.Now()
	g.mu.Lock()
	collector, ok := g.pickCollector(now)
	if !ok {
		g.mu.Unlock()
		return false
	}
	e := g.newEnvelope(payload)
	g.collection.add(e, collector.Name, now)
	g.mu.Unlock()
	collected := *e
	collected.Collect = true
	if collector.Name != g.config.Self.Name {
		g.sendTo(&collected, []Member{collector})
		return true
	}
	if datagram, err := cbor.Marshal(&collected); err == nil {
		g.addToBundle(datagram)
	}
	return true
}

// pickCollector returns the collector of this VM's zone: the present VM that ranks first
// among those that are not banned. The caller holds the lock.
func (g *Gossip) pickCollector(now time.Time) (Member, bool) {
	if len(g.members)+1 < bundleThreshold {
		return Member{}, false
	}
	const name = "collector"
	best, neighbors := g.config.Self, 0
	highest := weight(name, best.Name)
	for _, p := range g.members {
		if p.member.Zone != g.config.Self.Zone || !p.present(now) {
			continue
		}
		neighbors++
		if w := weight(name, p.member.Name); w > highest && !now.Before(g.collection.banned[p.member.Name]) {
			best, highest = p.member, w
		}
	}
	return best, neighbors > 0
}

// add records an envelope that is sent to a collector.
func (c *collection) add(e *envelope, collector string, now time.Time) {
	if len(c.pending) == 0 {
		c.oldest = now
	}
	c.pending = append(c.pending, e)
	c.collector = collector
}

// echo records that an envelope of this VM was seen in a bundle.
func (c *collection) echo(sequence uint64, now time.Time) {
	c.pending = slices.DeleteFunc(c.pending, func(e *envelope) bool { return e.Sequence <= sequence })
	c.oldest = now
}

// takeFailed returns the envelopes that a collector did not send on in time, if the first
// of them is that old, and bans the collector.
func (c *collection) takeFailed(now time.Time) []*envelope {
	if len(c.pending) == 0 || now.Sub(c.oldest) < echoTimeout {
		return nil
	}
	if c.banned == nil {
		c.banned = make(map[string]time.Time)
	}
	c.banned[c.collector] = now.Add(collectorBan)
	failed := c.pending
	c.pending = nil
	return failed
}

// sendUnechoed sends the datagrams directly that a collector did not send on in time. They
// keep their sequence numbers, so that VMs that have received them drop them.
func (g *Gossip) sendUnechoed() {
	now := time.Now()
	g.mu.Lock()
	failed := g.collection.takeFailed(now)
	var neighbors, relays []Member
	if len(failed) > 0 {
		neighbors, relays = g.recipients(now)
	}
	g.mu.Unlock()
	for _, e := range failed {
		g.sendDirectly(e, neighbors, relays)
	}
}

// addToBundle adds an encoded datagram to the bundle, and sends the bundle before if the
// datagram does not fit any more.
func (g *Gossip) addToBundle(datagram []byte) {
	g.mu.Lock()
	var full []cbor.RawMessage
	if g.bundle.size+len(datagram) > bundleBytes {
		full = g.takeBundle()
	}
	g.bundle.parts = append(g.bundle.parts, slices.Clone(datagram))
	g.bundle.size += len(datagram)
	g.mu.Unlock()
	select {
	case g.bundleBegun <- struct{}{}:
	default: // the bundle is to be sent already
	}
	g.sendBundle(full)
}

// takeBundle returns the parts of the bundle and empties it. The caller holds the lock.
func (g *Gossip) takeBundle() []cbor.RawMessage {
	parts := g.bundle.parts
	g.bundle = bundle{}
	return parts
}

// sendBundles sends each bundle bundleDelay after its first part, until ctx ends.
func (g *Gossip) sendBundles(ctx context.Context) error {
	timer := time.NewTimer(bundleDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.bundleBegun:
		}
		timer.Reset(bundleDelay)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		g.mu.Lock()
		parts := g.takeBundle()
		g.mu.Unlock()
		g.sendBundle(parts)
	}
}

// sendBundle sends a bundle to a spreader of each zone.
func (g *Gossip) sendBundle(parts []cbor.RawMessage) {
	if len(parts) == 0 {
		return
	}
	e := &envelope{Parts: parts, Spread: true}
	g.mu.Lock()
	g.stats.Bundles++
	spreaders := g.spreaders(time.Now())
	g.mu.Unlock()
	for _, m := range spreaders {
		if m.Name == g.config.Self.Name {
			g.handleBundle(e)
			continue
		}
		g.sendTo(e, []Member{m})
	}
}

// spreaders returns a random VM of each zone, if possible one that was heard recently. The
// caller holds the lock.
func (g *Gossip) spreaders(now time.Time) []Member {
	zones := map[string][]*peer{g.config.Self.Zone: {{member: g.config.Self, lastHeard: now}}}
	for _, p := range g.members {
		zones[p.member.Zone] = append(zones[p.member.Zone], p)
	}
	var list []Member
	for _, zone := range zones {
		list = append(list, pickRelay(zone, now).member)
	}
	return list
}

// handleBundle spreads a bundle in the zone if asked to, and delivers its parts.
func (g *Gossip) handleBundle(e *envelope) {
	if e.Spread {
		g.mu.Lock()
		neighbors := g.neighborsExcept("")
		g.mu.Unlock()
		g.sendTo(&envelope{Parts: e.Parts}, neighbors)
	}
	for _, raw := range e.Parts {
		g.handlePart(raw)
	}
}

// handlePart delivers one part of a bundle. A part of this VM shows that the collector
// works.
func (g *Gossip) handlePart(raw cbor.RawMessage) {
	var e envelope
	if err := cbor.Unmarshal(raw, &e); err != nil {
		g.countMalformed()
		return
	}
	g.mu.Lock()
	g.stats.Parts++
	own := e.From.Name == g.config.Self.Name
	if own && e.Incarnation == g.config.Incarnation {
		g.collection.echo(e.Sequence, time.Now())
	}
	g.mu.Unlock()
	if own || !g.checkSender(&e) {
		return
	}
	g.deliver(&e)
}
