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
	"errors"
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
	stats    Stats

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
}

// New returns a Gossip that knows no other members yet.
func New(c Config) *Gossip {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &Gossip{config: c, wake: make(chan bool, 1), start: time.Now(), members: make(map[string]*peer), bundleBegun: make(chan struct{}, 1)}
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
		payloads := g.config.Compose()
		for _, payload := range payloads {
			// Several payloads could arrive in another order by way of collectors, and a
			// datagram that arrives after a later one is dropped.
			if urgent || len(payloads) > 1 || !g.collect(payload) {
				g.broadcast(payload, false)
			}
		}
		g.removeSilent(last)
		timer.Reset(heartbeat)
		echo.Reset(echoTimeout)
	}
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

// sendGap returns the shortest interval between two datagrams that are not urgent.
func (g *Gossip) sendGap() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(minGap, time.Duration(float64(len(g.members))/maxIncomingRate*float64(time.Second)))
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
	return &envelope{From: g.config.Self, Incarnation: g.config.Incarnation, Sequence: g.sequence, Payload: payload, Age: time.Since(g.start)}
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
		g.removeMember(e.From.Name)
	} else {
		g.config.Receive(Sender{Name: e.From.Name, Incarnation: e.Incarnation, Baseline: baseline}, e.Payload)
	}
	return true
}

// removeMember removes a VM that has announced its stop.
func (g *Gossip) removeMember(name string) {
	g.mu.Lock()
	delete(g.members, name)
	g.mu.Unlock()
}

// accept updates the state of a datagram's sender. fresh reports whether the datagram is
// newer than all earlier ones of the sender, and baseline whether its counts are a
// baseline (see Sender).
func (g *Gossip) accept(e *envelope) (fresh, baseline bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.members[e.From.Name]
	if p == nil {
		p = &peer{added: time.Now()}
		g.members[e.From.Name] = p
	}
	p.member = e.From
	now := time.Now()
	if p.incarnation != e.Incarnation {
		p.incarnation, p.highestSequence, p.receivedBits = e.Incarnation, 0, 0
		p.firstHeard, p.hasBaseline = now, e.Age > min(now.Sub(g.start), baselinePeriod)
	}
	if !p.recordSequence(e.Sequence) {
		g.stats.Duplicates++
		return false, false
	}
	p.lastHeard = now
	return true, p.hasBaseline && now.Sub(p.firstHeard) < baselinePeriod
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

// recordSequence records a received sequence number and reports whether it is higher
// than all earlier ones.
func (p *peer) recordSequence(sequence uint64) bool {
	if sequence > p.highestSequence {
		p.receivedBits = p.receivedBits<<(sequence-p.highestSequence) | 1
		p.highestSequence = sequence
		return true
	}
	age := p.highestSequence - sequence
	if age >= sequenceWindow || p.receivedBits&(1<<age) != 0 {
		return false
	}
	p.receivedBits |= 1 << age
	// Reports hold running counts, so one that arrives after a later one adds nothing.
	return false
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
