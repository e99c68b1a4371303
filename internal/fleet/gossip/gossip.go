// Package gossip distributes small reports to all VMs of the fleet in datagrams.
// Datagrams are not acknowledged or sent again. Reports hold running counts, so the
// next datagram makes up for a lost one.
//
// A VM sends an urgent datagram to the VMs of its own availability zone and to one VM of
// each other zone, the relay, which passes the datagram on within its zone. The bytes that
// one VM sends to other zones therefore do not grow with the number of VMs in a zone. The
// relay is chosen at random for each datagram, from the VMs that were recently heard.
//
// In a large fleet a datagram that is not urgent goes to one collector of the zone, which
// puts several of them in a bundle, so that the number of datagrams that each VM handles
// grows with the bytes and not with the VMs. See bundle.go.
//
// # Usage
//
//	g := gossip.New(gossip.Config{Self: member, Conn: conn, Receive: receive, Compose: compose})
//	group.Go(func() error { return g.Run(ctx) })
//	g.AddMembers(listed)  // add the VMs of the platform's list
//	g.RequestSend(urgent) // send a datagram with the latest reports soon
package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// heartbeat is the longest interval between two rounds of datagrams of a VM.
	heartbeat = time.Second
	// maxIncomingRate bounds the datagrams per second that a VM receives from all others
	// in normal operation. Together with the fleet's size it sets the shortest interval
	// between two datagrams of one VM that are not urgent.
	maxIncomingRate = 400.0
	// minGap is the lower bound of that interval.
	minGap = 40 * time.Millisecond
	// urgentGap is the shortest interval between a datagram and an urgent one.
	urgentGap = 5 * time.Millisecond
	// presenceTimeout is how long a VM counts as present after its last datagram.
	presenceTimeout = 2500 * time.Millisecond
	// memberTimeout is the silence after which a VM is no longer a member. A VM that runs
	// but cannot be heard for this long is rarer than one that has stopped.
	memberTimeout = 20 * time.Second
	// datagramBytes bounds the size of a datagram, so that every network path carries
	// it without fragmentation.
	datagramBytes = 1350
	// baselinePeriod bounds the marking of counts as a baseline (see Sender). The counts
	// of a newly heard VM are a baseline if its process is older than this VM's process
	// or older than baselinePeriod. They are marked so for baselinePeriod after the VM's
	// first datagram.
	baselinePeriod = 5 * time.Second
	// sequenceWindow is the number of sequence numbers up to the highest one for which
	// it is remembered whether they were received.
	sequenceWindow = 64
)

// Member is a VM of the fleet.
type Member struct {
	Name    string         `cbor:"1,keyasint"`
	Zone    string         `cbor:"2,keyasint"`
	Address netip.AddrPort `cbor:"3,keyasint"`
}

// Config holds the dependencies of a Gossip. All but MemberTimedOut and Logger are
// required.
type Config struct {
	// Self is this VM, with the address at which the others reach it.
	Self Member
	// Incarnation is a random number that identifies this run of the process.
	Incarnation uint64
	Conn        net.PacketConn
	// Compose returns the payloads to send now, each at most PayloadBytes long. It
	// returns at least one, which may be empty.
	Compose func() [][]byte
	// Receive is called with each new payload of another VM.
	Receive func(from Sender, payload []byte)
	// MemberTimedOut is called with the name of each VM that was removed from the members
	// after a long silence. It may be nil.
	MemberTimedOut func(vm string)
	Logger         *zap.Logger
}

// Sender identifies the VM that composed a payload.
type Sender struct {
	Name string
	// Incarnation identifies the run of the VM's process. Counts begin at 0 with each.
	Incarnation uint64
	// Baseline reports that counts received for the first time may include events from
	// before this VM could receive them: the sender's process started before this VM's,
	// or the sender could not be heard for a long time.
	Baseline bool
}

// PayloadBytes is the maximum size of a payload. It leaves room for the envelope in the
// datagram.
const PayloadBytes = datagramBytes - 150

// envelope is the content of a datagram.
type envelope struct {
	From        Member `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	// PassOn asks the receiver to send the datagram to the other VMs of its zone.
	PassOn  bool   `cbor:"4,keyasint,omitempty"`
	Payload []byte `cbor:"5,keyasint,omitempty"`
	// Leaving marks the last datagram of a VM in a planned stop.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Age is the time since the start of the sender's process.
	Age time.Duration `cbor:"7,keyasint,omitempty"`
	// Collect asks the receiver, a collector, to put the datagram in its next bundle.
	Collect bool `cbor:"8,keyasint,omitempty"`
	// Parts holds the datagrams of a bundle. A bundle has no other content but Spread.
	Parts []cbor.RawMessage `cbor:"9,keyasint,omitempty"`
	// Spread asks the receiver to send the bundle to the other VMs of its zone.
	Spread bool `cbor:"10,keyasint,omitempty"`
	// Round numbers the calls of Compose. The payloads of one call have no report of the
	// same thing, so that their order does not matter.
	Round uint64 `cbor:"11,keyasint,omitempty"`
}

// Gossip sends and receives reports. It is safe for concurrent use.
type Gossip struct {
	config Config
	wake   chan bool
	start  time.Time

	mu       sync.Mutex
	members  map[string]*peer
	listed   bool // whether AddMembers was called, so that the platform's list of VMs is known
	sequence uint64
	round    uint64 // of the last call of Compose
	stats    Stats
	heard    float64   // the share of heard VMs as of heardAt
	heardAt  time.Time // see Heard

	ended       map[string]endedRun // the last run that ended of each VM, for memberTimeout
	bundle      bundle
	bundleBegun chan struct{} // receives when the bundle gets its first part
	collection  collection
}

// Stats counts datagrams and their bytes since the start of the process. Duplicates also
// counts datagrams that arrived after a newer datagram of the same VM.
type Stats struct {
	Sent, Received, PassedOn, Duplicates, Malformed uint64
	BytesSent                                       uint64
	// Bundles counts the bundles that this VM put together as a collector, and Parts the
	// datagrams received in bundles.
	Bundles, Parts uint64
}

// New returns a Gossip that knows no other members yet.
func New(c Config) *Gossip {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &Gossip{config: c, wake: make(chan bool, 1), start: time.Now(), members: make(map[string]*peer), bundleBegun: make(chan struct{}, 1)}
}

// RequestSend requests a datagram with the latest reports. An urgent datagram is sent as
// soon as urgentGap has passed since the previous datagram. RequestSend does not block.
func (g *Gossip) RequestSend(urgent bool) {
	select {
	case g.wake <- urgent:
	default:
		if !urgent {
			return
		}
		// Replace the pending request, which may not be urgent.
		select {
		case <-g.wake:
		default:
		}
		select {
		case g.wake <- true:
		default:
		}
	}
}

// Run sends and receives datagrams until ctx ends, then closes the connection.
func (g *Gossip) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return g.config.Conn.Close()
	})
	group.Go(func() error { return g.receive(ctx) })
	group.Go(func() error { return g.send(ctx) })
	group.Go(func() error { return g.sendBundles(ctx) })
	return group.Wait()
}

// send broadcasts the composed payloads at each heartbeat and whenever RequestSend was
// called, and removes members that have been silent for too long.
func (g *Gossip) send(ctx context.Context) error {
	last := time.Time{}
	timer := time.NewTimer(rand.N(heartbeat))
	defer timer.Stop()
	echo := time.NewTimer(echoTimeout)
	defer echo.Stop()
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return nil
		case <-echo.C:
			g.sendUnechoed()
			continue
		case <-timer.C:
		case urgent = <-g.wake:
		}
		urgent, ok := g.waitForGap(ctx, last, urgent)
		if !ok {
			return nil
		}
		last = time.Now()
		g.sendUnechoed()
		g.beginRound()
		for _, payload := range g.config.Compose() {
			if urgent || !g.collect(payload) {
				g.broadcast(payload, false)
			}
		}
		g.removeSilent(last)
		timer.Reset(heartbeat)
		echo.Reset(echoTimeout)
	}
}

// beginRound gives the next envelopes a round of their own.
func (g *Gossip) beginRound() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.round++
}

// waitForGap waits until the shortest interval since the last datagram has passed. An
// urgent request that arrives during the wait shortens the interval to urgentGap. It
// returns whether there is an urgent request, and false as ok if ctx ends first.
func (g *Gossip) waitForGap(ctx context.Context, last time.Time, urgent bool) (nowUrgent, ok bool) {
	for {
		gap := urgentGap
		if !urgent {
			gap = g.sendGap()
		}
		wait := time.Until(last.Add(gap))
		if wait <= 0 {
			return urgent, true
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false, false
		case u := <-g.wake:
			urgent = urgent || u
		case <-timer.C:
		}
		timer.Stop()
	}
}

// sendGap returns the shortest interval between two datagrams that are not urgent. It is
// at most a heartbeat, since a VM that is silent for longer soon counts as absent.
func (g *Gossip) sendGap() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	gap := time.Duration(float64(len(g.members)) / maxIncomingRate * float64(time.Second))
	return min(max(gap, minGap), heartbeat)
}

// Leave tells the other VMs that this one stops. They remove it from their members.
func (g *Gossip) Leave() { g.broadcast(nil, true) }

// broadcast sends one payload to the VMs of the own zone and to one VM of each other
// zone, which passes it on.
func (g *Gossip) broadcast(payload []byte, leaving bool) {
	g.mu.Lock()
	e := g.newEnvelope(payload)
	e.Leaving = leaving
	neighbors, relays := g.recipients(time.Now())
	g.mu.Unlock()
	g.sendDirectly(e, neighbors, relays)
}

// sendDirectly sends an envelope to the VMs of the own zone, and to the relays, which pass
// it on.
func (g *Gossip) sendDirectly(e *envelope, neighbors, relays []Member) {
	g.sendTo(e, neighbors)
	passedOn := *e
	passedOn.PassOn = true
	g.sendTo(&passedOn, relays)
}

// newEnvelope returns an envelope with the next sequence number. The caller holds the
// lock.
func (g *Gossip) newEnvelope(payload []byte) *envelope {
	g.sequence++
	return &envelope{From: g.config.Self, Incarnation: g.config.Incarnation, Sequence: g.sequence, Round: g.round, Payload: payload, Age: time.Since(g.start)}
}

// sendTo encodes an envelope and sends it to members.
func (g *Gossip) sendTo(e *envelope, members []Member) {
	if len(members) == 0 {
		return
	}
	datagram, err := cbor.Marshal(e)
	if err != nil {
		g.config.Logger.Error("datagram could not be encoded", zap.Error(err))
		return
	}
	for _, m := range members {
		g.write(datagram, m)
	}
}

// write sends a datagram to a member.
func (g *Gossip) write(datagram []byte, m Member) {
	// A send error has the same effect as a datagram lost on the way.
	_, err := g.config.Conn.WriteTo(datagram, net.UDPAddrFromAddrPort(m.Address))
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.stats.Sent++
		g.stats.BytesSent += uint64(len(datagram))
	}
}
