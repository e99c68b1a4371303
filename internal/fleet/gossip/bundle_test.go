package gossip_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
)

// keepSending makes each VM ask for a datagram several times a second, as requests do.
// It returns the mean number of datagrams that a VM sent and received each second.
func (f *fleet) keepSending(d time.Duration) (sent, received float64) {
	const period = 100 * time.Millisecond
	sentBefore, receivedBefore := f.datagrams()
	for begun := time.Now(); time.Since(begun) < d; time.Sleep(period) {
		for _, v := range f.vms {
			v.gossip.RequestSend(false)
		}
	}
	sentAfter, receivedAfter := f.datagrams()
	perVM := d.Seconds() * float64(len(f.vms))
	return float64(sentAfter-sentBefore) / perVM, float64(receivedAfter-receivedBefore) / perVM
}

// datagrams returns the datagrams that all VMs have sent and received.
func (f *fleet) datagrams() (sent, received uint64) {
	for _, v := range f.vms {
		s := v.gossip.Stats()
		sent += s.Sent
		received += s.Received
	}
	return sent, received
}

// setPayload replaces the payload of a VM without a request to send it.
func (v *vm) setPayload(payload string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.payload = []byte(payload)
}

// behind returns how many other VMs lack the payload of a VM.
func (f *fleet) behind(from *vm, payload string) int {
	n := 0
	for _, v := range f.vms {
		if v != from && v.lastPayload(from.member.Name) != payload {
			n++
		}
	}
	return n
}

// TestDatagramsDoNotGrow guards against a number of datagrams at each VM that follows the
// number of VMs: 290 VMs with reports of 200 bytes received 390 a second each.
func TestDatagramsDoNotGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5, 58)
		defer f.stop()
		for _, v := range f.vms {
			v.setPayload(fmt.Sprintf("%0200d", 1))
		}
		time.Sleep(3 * time.Second)
		sent, received := f.keepSending(3 * time.Second)
		// 400 reports of about 310 bytes with their envelopes fill 90 bundles a second.
		// Besides, each of the five zones sends one bundle every 50 ms that is not full.
		const most = 90 + 5*20
		if sent > most || received > most {
			t.Errorf("each VM sends %.0f and receives %.0f datagrams a second, want at most %d", sent, received, most)
		}
	})
}

// TestCollectorStops guards against reports that do not arrive because a collector has
// stopped, is cut off, or gets datagrams and sends none.
func TestCollectorStops(t *testing.T) {
	for _, tt := range []struct {
		name string
		lost func(collector, from, to string) bool
	}{
		{name: "cut off", lost: func(c, from, to string) bool { return from == c || to == c }},
		{name: "cannot send", lost: func(c, from, _ string) bool { return from == c }},
		{name: "cannot receive", lost: func(c, _, to string) bool { return to == c }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(2, 20)
				defer f.stop()
				time.Sleep(3 * time.Second)
				f.keepSending(2 * time.Second)
				collector := f.collector()
				is.True(collector != nil) // bundles are used
				address := collector.member.Address.String()
				f.net.mu.Lock()
				f.net.cut = func(from, to string) bool { return tt.lost(address, from, to) }
				f.net.mu.Unlock()
				from := f.vms[0]
				if from == collector {
					from = f.vms[1]
				}
				for n := range 10 {
					payload := fmt.Sprint("after the fault ", n)
					from.setPayload(payload)
					from.gossip.RequestSend(false)
					time.Sleep(150 * time.Millisecond)
					from.gossip.RequestSend(false) // a change is reported twice
					f.keepSending(850 * time.Millisecond)
					if missing := f.behind(from, payload); missing > 1 { // the collector itself
						t.Errorf("%d VMs lack report %d after a second", missing, n)
					}
				}
			})
		})
	}
}

// collector returns the VM of the first zone that put most bundles together.
func (f *fleet) collector() *vm {
	var best *vm
	most := uint64(0)
	for _, v := range f.vms {
		if n := v.gossip.Stats().Bundles; v.member.Zone == f.vms[0].member.Zone && n > most {
			best, most = v, n
		}
	}
	return best
}

// TestBundledReportsAreRecent guards against reports that wait long in bundles.
func TestBundledReportsAreRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, 15)
		defer f.stop()
		time.Sleep(3 * time.Second)
		for n := range 20 {
			from := f.vms[n]
			payload := fmt.Sprint("report ", n)
			from.setPayload(payload)
			from.gossip.RequestSend(false)
			// 45 VMs may send every 110 ms each; the bundle takes 50 ms.
			time.Sleep(200 * time.Millisecond)
			is.Equal(f.behind(from, payload), 0)
		}
	})
}

// TestPresentInHugeFleet guards against VMs that count as absent because the interval
// between two datagrams follows the number of VMs without a bound.
func TestPresentInHugeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 2)
		defer f.stop()
		var many []gossip.Member
		for i := range 1100 { // VMs of the list that do not run
			many = append(many, gossip.Member{Name: fmt.Sprint("other-", i), Zone: "zone-1", Address: netip.MustParseAddrPort(fmt.Sprintf("10.9.%d.%d:1", i/250, i%250+1))})
		}
		f.vms[0].gossip.AddMembers(many)
		f.vms[1].gossip.AddMembers(many)
		last := time.Now()
		before := f.vms[1].gossip.Stats().Received
		for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
			f.vms[0].gossip.RequestSend(false)
			if n := f.vms[1].gossip.Stats().Received; n != before {
				before, last = n, time.Now()
			}
			is.True(time.Since(last) < 1500*time.Millisecond)
		}
	})
}

// TestLateBundle guards against a VM that becomes a member again after it has left, or
// whose counts begin anew after its restart, because a bundle delivers what it sent before.
func TestLateBundle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 20)
		defer f.stop()
		time.Sleep(3 * time.Second)
		const leaving = 10
		for _, v := range f.vms[5 : 5+leaving] {
			v.gossip.RequestSend(false)
			time.Sleep(250 * time.Millisecond)
			v.gossip.RequestSend(false)
			time.Sleep(10 * time.Millisecond) // the collector has it, and the bundle is not sent yet
			v.gossip.Leave()
			v.cancel()
		}
		time.Sleep(time.Second)
		for _, v := range append(f.vms[:5:5], f.vms[5+leaving:]...) {
			is.Equal(v.gossip.Size(), len(f.vms)-leaving)
		}
	})
}

// TestPayloadsOfOneRound guards against reports that are dropped because the datagrams of
// one round, which travel in different bundles, arrive in another order.
func TestPayloadsOfOneRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 20)
		defer f.stop()
		time.Sleep(3 * time.Second)
		from := f.vms[3]
		from.mu.Lock()
		for part := range 5 {
			from.parts = append(from.parts, []byte(fmt.Sprintf("%d %01000d", part, 1)))
		}
		from.mu.Unlock()
		for range 20 {
			from.gossip.RequestSend(false)
			time.Sleep(200 * time.Millisecond)
		}
		for _, v := range f.vms {
			if v == from {
				continue
			}
			v.mu.Lock()
			for part := range 5 {
				is.Equal(v.partsReceived[byte('0'+part)], 20)
			}
			v.mu.Unlock()
		}
	})
}

// BenchmarkFleet reports the datagrams that each VM sends and receives a second while all
// VMs have reports of 200 bytes to send, in virtual time.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ zones, perZone int }{{3, 10}, {5, 60}, {4, 275}} {
		b.Run(fmt.Sprintf("%d VMs", size.zones*size.perZone), func(b *testing.B) {
			for b.Loop() {
				var sent, received float64
				synctest.Test(&testing.T{}, func(*testing.T) {
					f := newFleet(size.zones, size.perZone)
					defer f.stop()
					for _, v := range f.vms {
						v.setPayload(fmt.Sprintf("%0200d", 1))
					}
					time.Sleep(2 * time.Second)
					sent, received = f.keepSending(2 * time.Second)
				})
				b.ReportMetric(sent, "sent/s")
				b.ReportMetric(received, "received/s")
			}
		})
	}
}
