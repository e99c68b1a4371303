package quota_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/limit/quota"
)

const (
	rate  = 29.0 // requests per second
	burst = 29.0 // requests
)

// presence implements quota.Presence with a settable share.
type presence struct{ share float64 }

func (h *presence) Heard() float64 { return h.share }

type vm struct {
	quota    *quota.Quota
	presence *presence
	side     int // side of the partition; VMs of different sides do not reach each other
}

// fleet is a number of VMs, with the requests that they admitted and refused.
type fleet struct {
	vms      []*vm
	admitted []time.Time
	refused  int
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for range n {
		h := &presence{share: 1}
		f.vms = append(f.vms, &vm{quota: quota.New(quota.Config{Presence: h}), presence: h})
	}
	return f
}

// partition cuts the first n VMs off from the others. With n = 0 it ends the partition.
func (f *fleet) partition(n int) {
	for i, v := range f.vms {
		v.side = 0
		v.presence.share = float64(len(f.vms)-n) / float64(len(f.vms))
		if i < n {
			v.side = 1
			v.presence.share = float64(n) / float64(len(f.vms))
		}
	}
}

// exchangeReports passes the reports of every VM to all others on its side.
func (f *fleet) exchangeReports() {
	limits := func(string) (float64, float64, bool) { return rate, burst, true }
	for i, from := range f.vms {
		reports := from.quota.Reports()
		for j, to := range f.vms {
			if i != j && from.side == to.side {
				to.quota.Observe(fmt.Sprintf("vm-%d", i), 1, reports, limits, false)
			}
		}
	}
}

// sendRequests sends requests at a rate per second for the duration d, spread over the
// VMs, with reports every 100 ms.
func (f *fleet) sendRequests(perSecond int, d time.Duration) {
	const step = 100 * time.Millisecond
	sent := 0
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		for range perSecond / 10 {
			f.sendRequest(sent)
			sent++
		}
		time.Sleep(step)
		f.exchangeReports()
	}
}

// sendRequest sends the i-th request.
func (f *fleet) sendRequest(i int) {
	// Seven is coprime to the sizes of the fleets, so all VMs get requests.
	v := f.vms[i*7%len(f.vms)]
	if _, ok := v.quota.Admit("acme", rate, burst); ok {
		f.admitted = append(f.admitted, time.Now())
		return
	}
	f.refused++
}

// maxAdmitted returns the most admissions within any five seconds.
func (f *fleet) maxAdmitted() int {
	most := 0
	first := 0
	for i, at := range f.admitted {
		for at.Sub(f.admitted[first]) >= 5*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// maxAllowed is the users' upper bound of the admissions within five seconds: a tenth
// more than rate and burst allow, plus 20.
const maxAllowed = (rate*5+burst)*1.1 + 20

// TestOverRate guards against an account that gets several times its rate because
// its requests come through many VMs.
func TestOverRate(t *testing.T) {
	for _, n := range []int{1, 2, 48, 300} {
		t.Run(fmt.Sprintf("%d VMs", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(n)
				f.sendRequests(240, 20*time.Second)
				is.True(float64(f.maxAdmitted()) <= maxAllowed)
				// At least the rate is admitted over the whole time.
				is.True(float64(len(f.admitted)) >= rate*20)
			})
		})
	}
}

// TestWithinRate guards against refusing requests of an account that stays within its
// rate.
func TestWithinRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(48)
		f.sendRequests(20, 30*time.Second)
		is.Equal(f.refused, 0)
	})
}

// TestPartition guards against both sides of a partitioned fleet each admitting the
// whole rate, and against buckets that stay below zero long after the partition.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(48)
		f.sendRequests(100, 10*time.Second)
		f.partition(16)
		f.sendRequests(240, 20*time.Second)
		is.True(float64(f.maxAdmitted()) <= maxAllowed)
		f.partition(0)
		f.sendRequests(100, 10*time.Second)
		is.True(float64(f.maxAdmitted()) <= maxAllowed)
		before := len(f.admitted)
		f.sendRequests(100, 10*time.Second)
		is.True(float64(len(f.admitted)-before) >= rate*10*0.95)
	})
}

// TestIsolatedVM guards against a VM that reaches no other VM and refuses all requests
// of an account with a low rate.
func TestIsolatedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &presence{share: 1.0 / 48}
		q := quota.New(quota.Config{Presence: h})
		admitted := 0
		for range 100 {
			time.Sleep(time.Second)
			if _, ok := q.Admit("small", 2, 2); ok {
				admitted++
			}
		}
		is.True(admitted >= 4)     // in 100 s, a 48th of 2 per second
		is.True(admitted <= 4+1+1) // and the least burst
	})
}

// TestRefund guards against counting requests that reached no instance, on this VM or,
// after its reports, on another.
func TestRefund(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2)
		for range 1000 {
			if _, ok := f.vms[0].quota.Admit("acme", rate, burst); ok {
				f.vms[0].quota.Refund("acme")
				continue
			}
			t.Fatal("a request was refused although the tokens of all earlier ones were refunded")
		}
		f.exchangeReports()
		is.True(f.vms[1].quota.Tokens("acme") >= 0)
	})
}

// TestLoweredLimits guards against admitting the earlier burst after the rate and burst
// of the account were lowered.
func TestLoweredLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := quota.New(quota.Config{})
		q.Admit("acme", rate, burst)
		time.Sleep(time.Minute)
		n := 0
		for range 100 {
			if _, ok := q.Admit("acme", 1, 5); ok {
				n++
			}
		}
		is.Equal(n, 5)
		wait, ok := q.Admit("acme", 1, 5)
		is.True(!ok)
		is.True(wait > 900*time.Millisecond && wait <= 1100*time.Millisecond)
	})
}
