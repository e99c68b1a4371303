// Package gossip carries small reports between all VMs of the fleet in datagrams.
// Nothing waits for an answer, and a lost datagram is made up for by the next one,
// because reports hold running counts.
//
// A VM sends to the VMs of its own availability zone and to one VM of each other
// zone, which passes the datagram on in its zone. So the bytes between zones do not
// grow with the number of VMs in a zone. The VM that passes on changes with each
// datagram and is one that was heard lately.
//
// # Usage
//
//	g := gossip.New(gossip.Config{Self: member, Conn: conn, Receive: receive, Compose: compose})
//	group.Go(func() error { return g.Run(ctx) })
//	g.MeetAll(listed)  // the platform's list of members
//	g.Changed(urgent)  // there is something to send
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
	// heartbeat is how often a VM sends at least.
	heartbeat = time.Second
	// incomingRate bounds the datagrams a second that a VM gets from all others in
	// ordinary operation; it sets the shortest time between two datagrams of one VM.
	incomingRate = 400.0
	// minGap is the shortest time between two datagrams that are not urgent.
	minGap = 40 * time.Millisecond
	// urgentGap is the shortest time between two urgent datagrams.
	urgentGap = 5 * time.Millisecond
	// presentTime is how long a VM counts as heard after its last datagram.
	presentTime = 2500 * time.Millisecond
	// forgetTime is after how long of silence a VM no longer counts as a member. A
	// VM that lives and cannot be heard for so long is rarer than one that is gone.
	forgetTime = 20 * time.Second
	// datagramBytes bounds a datagram to what every network path carries whole.
	datagramBytes = 1350
	// baselineTime is how long after a VM is first heard its counts may be old, and
	// the age from which a VM that is first heard has old counts.
	baselineTime = 5 * time.Second
	// window is how many sequence numbers below the highest one are remembered.
	window = 64
)

// Member is a VM of the fleet.
type Member struct {
	Name    string         `cbor:"1,keyasint"`
	Zone    string         `cbor:"2,keyasint"`
	Address netip.AddrPort `cbor:"3,keyasint"`
}

// Config is what a Gossip works with. All but Logger are required.
type Config struct {
	Self Member
	// Incarnation is random for each start of the process.
	Incarnation uint64
	Conn        net.PacketConn
	// Compose returns the payloads to send now, each at most PayloadBytes long. It
	// returns at least one, which may be empty.
	Compose func() [][]byte
	// Receive takes in a payload of another VM.
	Receive func(from Sender, payload []byte)
	// Forgotten is called for a VM that is no longer a member after a long silence.
	// It may be nil.
	Forgotten func(vm string)
	Logger    *zap.Logger
}

// Sender says whose payload it is.
type Sender struct {
	Name string
	// Incarnation is one start of the VM's process, whose counts begin at 0.
	Incarnation uint64
	// Baseline says that counts which were not heard before may be old: the sender
	// started before the VM that receives them, or was out of hearing for long.
	Baseline bool
}

// PayloadBytes bounds a payload, so that it fits a datagram with its envelope.
const PayloadBytes = datagramBytes - 150

// envelope is a datagram.
type envelope struct {
	From        Member `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	PassOn      bool   `cbor:"4,keyasint,omitempty"`
	Payload     []byte `cbor:"5,keyasint,omitempty"`
	// Leaving is the last word of a VM that stops as planned.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Age is how long the sender's process has run.
	Age time.Duration `cbor:"7,keyasint,omitempty"`
}

// Gossip sends and receives reports. It is safe for concurrent use.
type Gossip struct {
	config Config
	wake   chan bool
	start  time.Time

	mu       sync.Mutex
	members  map[string]*contact
	listed   bool // the platform's list was read
	sequence uint64
	stats    Stats
}

// Stats counts datagrams and their bytes since the start.
type Stats struct {
	Sent, Received, PassedOn, Duplicates, Malformed uint64
	BytesSent                                       uint64
}

// contact is another VM and when it was heard.
type contact struct {
	member      Member
	met         time.Time
	heard       time.Time
	incarnation uint64
	first       time.Time // heard in this incarnation
	older       bool      // its counts began before this VM would have heard of them
	highest     uint64
	seen        uint64 // bit n: sequence number highest-n was seen
}

// New returns a gossip without members.
func New(c Config) *Gossip {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &Gossip{config: c, wake: make(chan bool, 1), start: time.Now(), members: make(map[string]*contact)}
}

// MeetAll adds the VMs that the platform lists, this one among them.
func (g *Gossip) MeetAll(list []Member) {
	for _, m := range list {
		g.meet(m)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed = true
}

func (g *Gossip) meet(m Member) {
	if m.Name == g.config.Self.Name || m.Name == "" || !m.Address.IsValid() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.members[m.Name]
	if c == nil {
		g.members[m.Name] = &contact{member: m, met: time.Now()}
		return
	}
	if c.member != m && time.Since(c.heard) > presentTime {
		c.member, c.met = m, time.Now()
	}
}

// Changed says that there is something to send, at once if it is urgent.
func (g *Gossip) Changed(urgent bool) {
	select {
	case g.wake <- urgent:
	default:
		if !urgent {
			return
		}
		// Replace a wake-up that was not urgent.
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

// Run sends and receives until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return g.config.Conn.Close()
	})
	group.Go(func() error { return g.receive(ctx) })
	group.Go(func() error { return g.send(ctx) })
	return group.Wait()
}

// send composes a datagram at each heartbeat and whenever something changed, with
// a shortest time in between.
func (g *Gossip) send(ctx context.Context) error {
	last := time.Time{}
	timer := time.NewTimer(rand.N(heartbeat))
	defer timer.Stop()
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case urgent = <-g.wake:
		}
		if !g.pause(ctx, last, urgent) {
			return nil
		}
		last = time.Now()
		for _, payload := range g.config.Compose() {
			g.broadcast(payload, false)
		}
		g.forget(last)
		timer.Reset(heartbeat)
	}
}

// pause waits until the next datagram may go out. It returns false when ctx ends.
func (g *Gossip) pause(ctx context.Context, last time.Time, urgent bool) bool {
	for {
		gap := urgentGap
		if !urgent {
			gap = g.gap()
		}
		wait := time.Until(last.Add(gap))
		if wait <= 0 {
			return true
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case u := <-g.wake:
			urgent = urgent || u
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (g *Gossip) gap() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(minGap, time.Duration(float64(len(g.members))/incomingRate*float64(time.Second)))
}

// Leave tells the other VMs that this one stops. They no longer count it as a
// member.
func (g *Gossip) Leave() { g.broadcast(nil, true) }

// broadcast sends one payload to the own zone and to one VM of each other zone.
func (g *Gossip) broadcast(payload []byte, leaving bool) {
	g.mu.Lock()
	g.sequence++
	e := envelope{From: g.config.Self, Incarnation: g.config.Incarnation, Sequence: g.sequence, Payload: payload, Leaving: leaving, Age: time.Since(g.start)}
	near, far := g.audience(time.Now())
	g.mu.Unlock()
	plain, err := cbor.Marshal(e)
	if err != nil {
		g.config.Logger.Error("datagram could not be encoded", zap.Error(err))
		return
	}
	for _, m := range near {
		g.write(plain, m)
	}
	if len(far) == 0 {
		return
	}
	e.PassOn = true
	marked, err := cbor.Marshal(e)
	if err != nil {
		g.config.Logger.Error("datagram could not be encoded", zap.Error(err))
		return
	}
	for _, m := range far {
		g.write(marked, m)
	}
}

// audience returns the VMs of the own zone and one VM of each other zone. The
// caller holds the lock.
func (g *Gossip) audience(now time.Time) (near, far []Member) {
	zones := make(map[string][]*contact)
	for _, c := range g.members {
		if c.member.Zone == g.config.Self.Zone {
			near = append(near, c.member)
			continue
		}
		zones[c.member.Zone] = append(zones[c.member.Zone], c)
	}
	for _, list := range zones {
		far = append(far, pick(list, now).member)
	}
	return near, far
}

// pick chooses a VM that was heard lately, or any.
func pick(list []*contact, now time.Time) *contact {
	start := rand.IntN(len(list))
	for i := range list {
		c := list[(start+i)%len(list)]
		if now.Sub(c.heard) < presentTime {
			return c
		}
	}
	return list[start]
}

func (g *Gossip) write(b []byte, m Member) {
	// A datagram that cannot be sent is lost like any other.
	_, err := g.config.Conn.WriteTo(b, net.UDPAddrFromAddrPort(m.Address))
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.stats.Sent++
		g.stats.BytesSent += uint64(len(b))
	}
}

func (g *Gossip) receive(ctx context.Context) error {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := g.config.Conn.ReadFrom(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Another VM's closed port may show up here; the socket stays usable.
			continue
		}
		g.handle(buffer[:n])
	}
}

func (g *Gossip) handle(b []byte) {
	var e envelope
	if err := cbor.Unmarshal(b, &e); err != nil || e.From.Name == "" || e.From.Name == g.config.Self.Name || !e.From.Address.IsValid() {
		g.mu.Lock()
		g.stats.Malformed++
		g.mu.Unlock()
		return
	}
	fresh, baseline, near := g.accept(&e)
	if !fresh {
		return
	}
	if e.PassOn {
		e.PassOn = false
		if plain, err := cbor.Marshal(e); err == nil {
			for _, m := range near {
				g.write(plain, m)
			}
		}
	}
	if e.Leaving {
		g.drop(e.From.Name)
		return
	}
	g.config.Receive(Sender{Name: e.From.Name, Incarnation: e.Incarnation, Baseline: baseline}, e.Payload)
}

// drop removes a VM that has said that it stops.
func (g *Gossip) drop(name string) {
	g.mu.Lock()
	delete(g.members, name)
	g.mu.Unlock()
}

// accept notes a datagram's sender and reports whether the datagram is new and
// whether its counts may lie before this VM's start. near are the VMs that it is
// passed on to.
func (g *Gossip) accept(e *envelope) (fresh, baseline bool, near []Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Received++
	c := g.members[e.From.Name]
	if c == nil {
		c = &contact{met: time.Now()}
		g.members[e.From.Name] = c
	}
	c.member = e.From
	now := time.Now()
	if c.incarnation != e.Incarnation {
		c.incarnation, c.highest, c.seen = e.Incarnation, 0, 0
		c.first, c.older = now, e.Age > min(now.Sub(g.start), baselineTime)
	}
	if !c.take(e.Sequence) {
		g.stats.Duplicates++
		return false, false, nil
	}
	c.heard = now
	if e.PassOn {
		g.stats.PassedOn++
		for _, other := range g.members {
			if other != c && other.member.Zone == g.config.Self.Zone {
				near = append(near, other.member)
			}
		}
	}
	return true, c.older && now.Sub(c.first) < baselineTime, near
}

// take notes a sequence number and reports whether it is new.
func (c *contact) take(sequence uint64) bool {
	if sequence > c.highest {
		c.seen = c.seen<<(sequence-c.highest) | 1
		c.highest = sequence
		return true
	}
	age := c.highest - sequence
	if age >= window || c.seen&(1<<age) != 0 {
		return false
	}
	c.seen |= 1 << age
	// Reports hold running counts, so an older one than the last adds nothing.
	return false
}

// forget drops VMs that were silent for long.
func (g *Gossip) forget(now time.Time) {
	var gone []string
	g.mu.Lock()
	for name, c := range g.members {
		if now.Sub(c.lastSign()) > forgetTime {
			delete(g.members, name)
			gone = append(gone, name)
		}
	}
	g.mu.Unlock()
	for _, name := range gone {
		g.config.Logger.Info("VM is no longer a member", zap.String("other", name), zap.Duration("silent", forgetTime))
		if g.config.Forgotten != nil {
			g.config.Forgotten(name)
		}
	}
}

func (c *contact) lastSign() time.Time {
	if c.heard.After(c.met) {
		return c.heard
	}
	return c.met
}
