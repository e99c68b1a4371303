package gossip

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// receive handles incoming datagrams until ctx ends or the connection is closed.
func (g *Gossip) receive(ctx context.Context) error {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := g.config.Conn.ReadFrom(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Sending to a closed port of another VM can cause an error here; the socket
			// stays usable.
			continue
		}
		g.handle(buffer[:n])
	}
}

// handle decodes a datagram, passes it on if asked to, and delivers its payload, or those
// of its parts.
func (g *Gossip) handle(datagram []byte) {
	var e envelope
	if err := cbor.Unmarshal(datagram, &e); err != nil {
		g.countMalformed()
		return
	}
	g.countReceived()
	if len(e.Parts) > 0 {
		g.handleBundle(&e)
		return
	}
	if !g.checkSender(&e) {
		return
	}
	if e.Collect {
		g.addToBundle(datagram)
	}
	passOn := e.PassOn
	e.PassOn, e.Collect = false, false
	if g.deliver(&e) && passOn {
		g.mu.Lock()
		g.stats.PassedOn++
		neighbors := g.neighborsExcept(e.From.Name)
		g.mu.Unlock()
		g.sendTo(&e, neighbors)
	}
}

// checkSender reports whether an envelope names another VM as its sender.
func (g *Gossip) checkSender(e *envelope) bool {
	if e.From.Name == "" || e.From.Name == g.config.Self.Name || !e.From.Address.IsValid() || e.From.Address.Port() == 0 {
		g.countMalformed()
		return false
	}
	return true
}

func (g *Gossip) countMalformed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Malformed++
}

func (g *Gossip) countReceived() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Received++
}

// deliver hands an envelope's payload to the configured receiver, or removes a sender that
// leaves. It reports whether the envelope is newer than all earlier ones of its sender.
func (g *Gossip) deliver(e *envelope) bool {
	fresh, baseline := g.accept(e)
	if !fresh {
		return false
	}
	if e.Leaving {
		g.removeMember(e.From.Name, e.Incarnation)
	} else {
		g.config.Receive(Sender{Name: e.From.Name, Incarnation: e.Incarnation, Baseline: baseline}, e.Payload)
	}
	return true
}

// accept updates the state of a datagram's sender. fresh reports whether the datagram is
// newer than all earlier ones of the sender, and baseline whether its counts are a
// baseline (see Sender).
func (g *Gossip) accept(e *envelope) (fresh, baseline bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	p := g.members[e.From.Name]
	if g.ended[e.From.Name].incarnation == e.Incarnation {
		// A bundle or a relay delivers it after the sender has left or started again.
		g.stats.Duplicates++
		return false, false
	}
	if p == nil {
		p = &peer{added: now}
		g.members[e.From.Name] = p
	}
	p.member = e.From
	if p.incarnation != e.Incarnation {
		if p.incarnation != 0 {
			g.recordEnd(e.From.Name, p.incarnation, now)
		}
		p.incarnation, p.highestSequence, p.receivedBits, p.round = e.Incarnation, 0, 0, 0
		p.firstHeard, p.hasBaseline = now, e.Age > min(now.Sub(g.start), baselinePeriod)
	}
	if !p.recordSequence(e.Sequence, e.Round) {
		g.stats.Duplicates++
		return false, false
	}
	p.lastHeard = now
	return true, p.hasBaseline && now.Sub(p.firstHeard) < baselinePeriod
}
