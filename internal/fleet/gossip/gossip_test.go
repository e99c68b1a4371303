package gossip_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
)

// network delivers datagrams between VMs in memory.
type network struct {
	mu        sync.Mutex
	ports     map[string]*port           // by address
	cut       func(from, to string) bool // reports whether a datagram is lost; may be nil
	crossZone int                        // datagrams between zones
	zones     map[string]string          // zone of each address
}

// port is a VM's net.PacketConn.
type port struct {
	net     *network
	address string
	in      chan []byte
	closed  chan struct{}
	once    sync.Once
}

func (p *port) WriteTo(b []byte, to net.Addr) (int, error) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	other := p.net.ports[to.String()]
	if p.net.zones[p.address] != p.net.zones[to.String()] {
		p.net.crossZone++
	}
	if other == nil || p.net.cut != nil && p.net.cut(p.address, to.String()) {
		return len(b), nil // lost
	}
	select {
	case other.in <- append([]byte(nil), b...):
	default:
	}
	return len(b), nil
}

func (p *port) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-p.in:
		return copy(b, d), nil, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

func (p *port) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}
func (p *port) LocalAddr() net.Addr              { return nil }
func (p *port) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (p *port) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (p *port) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// vm is a VM that sends one payload and records the payloads of the others.
type vm struct {
	member gossip.Member
	gossip *gossip.Gossip
	cancel context.CancelFunc

	mu      sync.Mutex
	payload []byte   // payload to send
	parts   [][]byte // payloads to send instead, if any
	// partsReceived counts the received parts by their first byte.
	partsReceived map[byte]int
	received      map[string]string // latest payload of each VM
	timedOut      []string          // VMs removed after a long silence
	// baseline reports for each VM whether its latest counts were marked as a baseline.
	baseline map[string]bool
}

// lastPayload returns the latest payload of another VM.
func (v *vm) lastPayload(name string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.received[name]
}

// isBaseline reports whether the latest counts of another VM were marked as a baseline.
func (v *vm) isBaseline(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.baseline[name]
}

// send replaces the payload of the VM and sends it urgently.
func (v *vm) send(payload string) {
	v.mu.Lock()
	v.payload = []byte(payload)
	v.mu.Unlock()
	v.gossip.RequestSend(true)
}

// fleet is a set of VMs on one network.
type fleet struct {
	net   *network
	vms   []*vm
	group errgroup.Group
}

// newFleet starts VMs in zones of the same size. Each VM has those started before it in
// its list.
func newFleet(zones, perZone int) *fleet {
	f := &fleet{net: &network{ports: make(map[string]*port), zones: make(map[string]string)}}
	for i := range zones * perZone {
		f.start(i, fmt.Sprintf("zone-%d", i/perZone), uint64(i+1))
	}
	return f
}

// start starts a VM that has read the list of VMs.
func (f *fleet) start(i int, zone string, incarnation uint64) *vm {
	v := f.startUnlisted(i, zone, incarnation)
	var listed []gossip.Member
	for _, other := range f.vms {
		listed = append(listed, other.member)
	}
	v.gossip.AddMembers(listed)
	return v
}

// startUnlisted starts a VM that could not read the list of VMs.
func (f *fleet) startUnlisted(i int, zone string, incarnation uint64) *vm {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7000)
	p := &port{net: f.net, address: address.String(), in: make(chan []byte, 4096), closed: make(chan struct{})}
	f.net.mu.Lock()
	f.net.ports[address.String()] = p
	f.net.zones[address.String()] = zone
	f.net.mu.Unlock()
	v := &vm{member: gossip.Member{Name: fmt.Sprintf("vm-%d", i), Zone: zone, Address: address}, received: make(map[string]string), partsReceived: make(map[byte]int), baseline: make(map[string]bool)}
	v.gossip = gossip.New(gossip.Config{
		Self: v.member, Incarnation: incarnation, Conn: p,
		Compose: func() [][]byte {
			v.mu.Lock()
			defer v.mu.Unlock()
			if len(v.parts) > 0 {
				return v.parts
			}
			return [][]byte{v.payload}
		},
		Receive: func(from gossip.Sender, b []byte) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.received[from.Name] = string(b)
			if len(b) > 0 {
				v.partsReceived[b[0]]++
			}
			v.baseline[from.Name] = from.Baseline
		},
		MemberTimedOut: func(name string) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.timedOut = append(v.timedOut, name)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	f.group.Go(func() error { return v.gossip.Run(ctx) })
	f.vms = append(f.vms, v)
	return v
}

func (f *fleet) stop() {
	for _, v := range f.vms {
		v.cancel()
	}
	f.group.Wait() //nolint:errcheck // The VMs end with nil.
}

// TestEveryVMHears guards against VMs that do not learn of each other or do not receive
// a report, in fleets with different numbers of zones.
func TestEveryVMHears(t *testing.T) {
	for _, zones := range []int{1, 2, 4} {
		t.Run(fmt.Sprintf("%d zones", zones), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(zones, 6)
				defer f.stop()
				time.Sleep(3 * time.Second)
				f.vms[0].send("failed")
				time.Sleep(100 * time.Millisecond)
				for _, v := range f.vms[1:] {
					is.Equal(v.lastPayload("vm-0"), "failed")
					is.Equal(v.gossip.Size(), len(f.vms))
					is.Equal(v.gossip.Heard(), 1.0)
				}
			})
		})
	}
}

// TestBytesBetweenZones guards against VMs that send more datagrams to other zones the
// more VMs a zone has.
func TestBytesBetweenZones(t *testing.T) {
	count := func(perZone int) (each float64) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(3, perZone)
			defer f.stop()
			time.Sleep(3 * time.Second)
			f.net.mu.Lock()
			f.net.crossZone = 0
			f.net.mu.Unlock()
			time.Sleep(10 * time.Second)
			f.net.mu.Lock()
			defer f.net.mu.Unlock()
			each = float64(f.net.crossZone) / float64(3*perZone) / 10
		})
		return each
	}
	is := is.New(t)
	small, large := count(2), count(20)
	is.True(small > 1.5 && small < 2.5) // two other zones, a heartbeat a second
	is.True(large < small*1.2)
}

// TestPassedOnByAnother guards against a zone that receives no more datagrams from other
// zones because the VM that passed them on has stopped.
func TestPassedOnByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 4)
		defer f.stop()
		time.Sleep(3 * time.Second)
		for _, v := range f.vms[4:7] {
			v.cancel()
		}
		time.Sleep(4 * time.Second) // longer than a silent VM counts as present
		for i := range 20 {
			payload := fmt.Sprint("report ", i)
			f.vms[0].send(payload)
			time.Sleep(50 * time.Millisecond)
			is.Equal(f.vms[7].lastPayload("vm-0"), payload)
		}
	})
}

// TestOneWayLoss guards against a VM that counts others as present although their
// datagrams no longer arrive, so that two VMs use the same part of a fleet-wide rate,
// and against one that stops counting others as present because its own datagrams are
// lost.
func TestOneWayLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 2)
		defer f.stop()
		time.Sleep(3 * time.Second)
		f.net.mu.Lock()
		zones := f.net.zones
		f.net.cut = func(from, to string) bool { return zones[from] == "zone-0" && zones[to] == "zone-1" }
		f.net.mu.Unlock()
		time.Sleep(4 * time.Second)
		is.Equal(f.vms[0].gossip.Heard(), 1.0)
		is.Equal(f.vms[3].gossip.Heard(), 0.5)
	})
}

// TestRestart guards against a VM whose reports are dropped as duplicates after a
// restart, since its sequence numbers begin at 1 again.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 3)
		defer f.stop()
		time.Sleep(30 * time.Second)
		f.vms[2].cancel()
		time.Sleep(time.Second)
		again := f.start(2, "zone-0", 99)
		time.Sleep(2 * time.Second)
		again.send("new")
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.vms[0].lastPayload("vm-2"), "new")
		is.Equal(f.vms[0].gossip.Size(), 3)
	})
}

// TestBaseline guards against first counts of a VM that are marked as a baseline by VMs
// that started before it or with it. Its first requests would then not be counted, and
// each account could exceed its limit by as many requests as there are VMs.
func TestBaseline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 3) // all start together
		defer f.stop()
		time.Sleep(2 * time.Second)
		is.True(!f.vms[0].isBaseline("vm-1"))
		is.True(!f.vms[1].isBaseline("vm-0"))
		time.Sleep(20 * time.Second)
		late := f.start(3, "zone-0", 4)
		time.Sleep(2 * time.Second)
		is.True(late.isBaseline("vm-0"))
		is.True(!f.vms[0].isBaseline("vm-3"))
		time.Sleep(5 * time.Second)
		is.True(!late.isBaseline("vm-0"))
	})
}

// TestStranger guards against a VM that counts itself as the whole fleet because it has
// just started and could not read the list of VMs. It would admit the whole rate of each
// client account.
func TestStranger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 5)
		defer f.stop()
		time.Sleep(5 * time.Second)
		stranger := f.startUnlisted(5, "zone-0", 6)
		is.True(stranger.gossip.Heard() < 1.0/6)
		time.Sleep(time.Minute)
		is.True(stranger.gossip.Heard() < 1.0/6) // nobody knows of it, so it receives nothing
		is.True(!stranger.gossip.Listed())
		stranger.gossip.AddMembers(f.vms[0].gossip.Members()) // as a seed returns them
		time.Sleep(3 * time.Second)
		is.Equal(stranger.gossip.Heard(), 1.0) // by now it has received datagrams from all members
		is.Equal(f.vms[1].gossip.Size(), 6)    // and the others know of it
	})
}

// TestKnownStranger guards against a VM that uses a sliver of each rate for as long as it
// cannot read the list of VMs, although the others know it and it receives their datagrams.
func TestKnownStranger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 5)
		defer f.stop()
		time.Sleep(5 * time.Second)
		stranger := f.startUnlisted(5, "zone-0", 6)
		for _, v := range f.vms[:5] {
			v.gossip.AddMembers([]gossip.Member{stranger.member})
		}
		time.Sleep(3 * time.Second)
		is.Equal(stranger.gossip.Heard(), 1.0)
	})
}

// TestMemberTimeout guards against stopped VMs that remain members, and against a planned
// stop that is handled like a long silence.
func TestMemberTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 3)
		defer f.stop()
		time.Sleep(3 * time.Second)
		f.vms[2].gossip.Leave()
		f.vms[2].cancel()
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.vms[0].gossip.Size(), 2)
		is.Equal(f.vms[0].gossip.Heard(), 1.0)
		f.vms[1].cancel()
		time.Sleep(5 * time.Second)
		is.Equal(f.vms[0].gossip.Heard(), 0.5)
		time.Sleep(30 * time.Second)
		is.Equal(f.vms[0].gossip.Size(), 1)
		f.vms[0].mu.Lock()
		defer f.vms[0].mu.Unlock()
		is.Equal(f.vms[0].timedOut, []string{"vm-1"}) // vm-2 announced its stop
	})
}

// TestDesignated guards against a name for which two VMs or none are designated while
// all VMs hear each other.
func TestDesignated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 5)
		defer f.stop()
		time.Sleep(3 * time.Second)
		chosen := make(map[int]bool)
		for n := range 200 {
			designated := 0
			for i, v := range f.vms {
				if v.gossip.Designated(fmt.Sprint("name-", n)) {
					designated++
					chosen[i] = true
				}
			}
			is.Equal(designated, 1)
		}
		is.Equal(len(chosen), len(f.vms)) // the names are distributed over all VMs
	})
}

// TestOwner guards against two VMs that both own a name because they do not hear each
// other, as after the loss of a zone, and against a VM that owns every name because it
// does not know the other VMs yet.
func TestOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 5)
		defer f.stop()
		time.Sleep(3 * time.Second)
		owners := func(name string) int {
			n := 0
			for _, v := range f.vms {
				if v.gossip.Owns(name) {
					n++
				}
			}
			return n
		}
		for n := range 100 {
			is.Equal(owners(fmt.Sprint("name-", n)), 1)
		}
		f.net.mu.Lock()
		f.net.cut = func(string, string) bool { return true }
		f.net.mu.Unlock()
		time.Sleep(5 * time.Second)
		for n := range 100 {
			is.Equal(owners(fmt.Sprint("name-", n)), 1)
		}
		fresh := gossip.New(gossip.Config{Self: gossip.Member{Name: "vm-fresh"}})
		is.True(!fresh.Owns("name"))
		fresh.AddMembers(nil)
		is.True(fresh.Owns("name"))
	})
}

// TestMalformed guards against a datagram from outside the fleet that stops the VM from
// receiving.
func TestMalformed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 2)
		defer f.stop()
		time.Sleep(2 * time.Second)
		for _, b := range [][]byte{nil, []byte("hello"), {0xff, 0xff}, make([]byte, 1400)} {
			f.net.ports["10.0.0.1:7000"].in <- b
		}
		time.Sleep(time.Second)
		f.vms[1].send("still there")
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.vms[0].lastPayload("vm-1"), "still there")
		is.Equal(f.vms[0].gossip.Stats().Malformed, uint64(4))
	})
}
