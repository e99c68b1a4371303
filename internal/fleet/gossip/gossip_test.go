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

// network carries datagrams between VMs in memory.
type network struct {
	mu    sync.Mutex
	ports map[string]*port
	cut   func(from, to string) bool
	cross int // datagrams between zones
	zones map[string]string
}

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
		p.net.cross++
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

// vm is a VM that reports one number.
type vm struct {
	member gossip.Member
	gossip *gossip.Gossip
	cancel context.CancelFunc

	mu    sync.Mutex
	word  []byte
	heard map[string]string
	gone  []string
	// baseline holds whether each VM's last counts may lie before this one's start.
	baseline map[string]bool
}

func (v *vm) last(name string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.heard[name]
}

// old reports whether a VM's last counts may lie before this one's start.
func (v *vm) old(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.baseline[name]
}

func (v *vm) say(word string) {
	v.mu.Lock()
	v.word = []byte(word)
	v.mu.Unlock()
	v.gossip.Changed(true)
}

type fleet struct {
	net   *network
	vms   []*vm
	group errgroup.Group
}

// newFleet starts VMs in zones of the same size. Each meets the ones before it.
func newFleet(zones, perZone int) *fleet {
	f := &fleet{net: &network{ports: make(map[string]*port), zones: make(map[string]string)}}
	for i := range zones * perZone {
		f.start(i, fmt.Sprintf("zone-%d", i/perZone), uint64(i+1))
	}
	return f
}

// start starts a VM that has read the list.
func (f *fleet) start(i int, zone string, incarnation uint64) *vm {
	v := f.startUnlisted(i, zone, incarnation)
	var listed []gossip.Member
	for _, other := range f.vms {
		listed = append(listed, other.member)
	}
	v.gossip.MeetAll(listed)
	return v
}

func (f *fleet) startUnlisted(i int, zone string, incarnation uint64) *vm {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7000)
	p := &port{net: f.net, address: address.String(), in: make(chan []byte, 4096), closed: make(chan struct{})}
	f.net.mu.Lock()
	f.net.ports[address.String()] = p
	f.net.zones[address.String()] = zone
	f.net.mu.Unlock()
	v := &vm{member: gossip.Member{Name: fmt.Sprintf("vm-%d", i), Zone: zone, Address: address}, heard: make(map[string]string), baseline: make(map[string]bool)}
	v.gossip = gossip.New(gossip.Config{
		Self: v.member, Incarnation: incarnation, Conn: p,
		Compose: func() [][]byte {
			v.mu.Lock()
			defer v.mu.Unlock()
			return [][]byte{v.word}
		},
		Receive: func(from gossip.Sender, b []byte) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.heard[from.Name] = string(b)
			v.baseline[from.Name] = from.Baseline
		},
		Forgotten: func(name string) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.gone = append(v.gone, name)
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

// TestEveryVMHears guards against VMs that never learn of each other or of a
// report, over zones of different sizes.
func TestEveryVMHears(t *testing.T) {
	for _, zones := range []int{1, 2, 4} {
		t.Run(fmt.Sprintf("%d zones", zones), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(zones, 6)
				defer f.stop()
				time.Sleep(3 * time.Second)
				f.vms[0].say("failed")
				time.Sleep(100 * time.Millisecond)
				for _, v := range f.vms[1:] {
					is.Equal(v.last("vm-0"), "failed")
					is.Equal(v.gossip.Size(), len(f.vms))
					is.Equal(v.gossip.Heard(), 1.0)
				}
			})
		})
	}
}

// TestBytesBetweenZones guards against datagrams between zones whose number grows
// with the VMs in a zone.
func TestBytesBetweenZones(t *testing.T) {
	count := func(perZone int) (each float64) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(3, perZone)
			defer f.stop()
			time.Sleep(3 * time.Second)
			f.net.mu.Lock()
			f.net.cross = 0
			f.net.mu.Unlock()
			time.Sleep(10 * time.Second)
			f.net.mu.Lock()
			defer f.net.mu.Unlock()
			each = float64(f.net.cross) / float64(3*perZone) / 10
		})
		return each
	}
	is := is.New(t)
	small, large := count(2), count(20)
	is.True(small > 1.5 && small < 2.5) // two other zones, a heartbeat a second
	is.True(large < small*1.2)
}

// TestPassedOnByAnother guards against a zone that no longer hears anything because
// the VM that passed datagrams on is gone.
func TestPassedOnByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 4)
		defer f.stop()
		time.Sleep(3 * time.Second)
		for _, v := range f.vms[4:7] {
			v.cancel()
		}
		time.Sleep(4 * time.Second) // longer than a silent VM counts as heard
		for i := range 20 {
			word := fmt.Sprint("report ", i)
			f.vms[0].say(word)
			time.Sleep(50 * time.Millisecond)
			is.Equal(f.vms[7].last("vm-0"), word)
		}
	})
}

// TestOneWay guards against a VM that takes others for present that it no longer
// hears, and against one that cannot be heard and so counts twice.
func TestOneWay(t *testing.T) {
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

// TestRestart guards against a VM whose reports are taken for repeats after its
// restart.
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
		again.say("new")
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.vms[0].last("vm-2"), "new")
		is.Equal(f.vms[0].gossip.Size(), 3)
	})
}

// TestBaseline guards against first counts of a VM that are taken for old by VMs that
// started before it or with it, so that each account gets as many requests more as
// there are VMs.
func TestBaseline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 3) // all start together
		defer f.stop()
		time.Sleep(2 * time.Second)
		is.True(!f.vms[0].old("vm-1"))
		is.True(!f.vms[1].old("vm-0"))
		time.Sleep(20 * time.Second)
		late := f.start(3, "zone-0", 4)
		time.Sleep(2 * time.Second)
		is.True(late.old("vm-0"))
		is.True(!f.vms[0].old("vm-3"))
		time.Sleep(5 * time.Second)
		is.True(!late.old("vm-0"))
	})
}

// TestStranger guards against a VM that takes itself for the whole fleet because it has
// just started and could not read the list, and admits the whole rate of each account.
func TestStranger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 5)
		defer f.stop()
		time.Sleep(5 * time.Second)
		stranger := f.startUnlisted(5, "zone-0", 6)
		is.True(stranger.gossip.Heard() < 1.0/6)
		time.Sleep(time.Second)
		is.True(stranger.gossip.Heard() < 1.0/6)
		time.Sleep(2 * time.Second)
		is.Equal(stranger.gossip.Heard(), 1.0) // by now it has been heard of
	})
}

// TestForgotten guards against VMs that are gone and count as members for ever, and
// against a planned stop that counts as silence.
func TestForgotten(t *testing.T) {
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
		is.Equal(f.vms[0].gone, []string{"vm-1"}) // the planned stop is no silence
	})
}

// TestDesignated guards against two VMs that both take themselves for designated,
// and against a name for which none is.
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
		is.Equal(len(chosen), len(f.vms)) // the names are spread
	})
}

// TestOwner guards against two VMs that both own a name because they do not hear
// each other, as after the loss of a zone, and against a VM that knows nobody yet
// and owns everything.
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
		fresh.MeetAll(nil)
		is.True(fresh.Owns("name"))
	})
}

// TestMalformed guards against a datagram from elsewhere that stops the VM.
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
		f.vms[1].say("still there")
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.vms[0].last("vm-1"), "still there")
		is.Equal(f.vms[0].gossip.Stats().Malformed, uint64(4))
	})
}
