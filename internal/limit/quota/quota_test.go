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
	rate  = 29.0
	burst = 29.0
)

// heard is the part of the fleet that a VM hears.
type heard struct{ part float64 }

func (h *heard) Heard() float64 { return h.part }

type vm struct {
	quota *quota.Quota
	heard *heard
	side  int // VMs of different sides do not hear each other
}

type fleet struct {
	vms      []*vm
	admitted []time.Time
	refused  int
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for range n {
		h := &heard{part: 1}
		f.vms = append(f.vms, &vm{quota: quota.New(quota.Config{Presence: h}), heard: h})
	}
	return f
}

// partition puts the first n VMs on a side of their own.
func (f *fleet) partition(n int) {
	for i, v := range f.vms {
		v.side = 0
		v.heard.part = float64(len(f.vms)-n) / float64(len(f.vms))
		if i < n {
			v.side = 1
			v.heard.part = float64(n) / float64(len(f.vms))
		}
	}
}

func (f *fleet) share() {
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

// play sends n requests a second for the time, spread over the VMs, with reports
// every 100 ms.
func (f *fleet) play(perSecond int, d time.Duration) {
	const step = 100 * time.Millisecond
	sent := 0
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		for range perSecond / 10 {
			f.one(sent)
			sent++
		}
		time.Sleep(step)
		f.share()
	}
}

func (f *fleet) one(i int) {
	// Seven is prime to the sizes of the fleets, so all VMs get requests.
	v := f.vms[i*7%len(f.vms)]
	if _, ok := v.quota.Admit("acme", rate, burst); ok {
		f.admitted = append(f.admitted, time.Now())
		return
	}
	f.refused++
}

// worst returns the most admissions within five seconds.
func (f *fleet) worst() int {
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

// bound is the users' limit for five seconds: a tenth more than rate and burst
// allow, and 20.
const bound = (rate*5+burst)*1.1 + 20

// TestOverRate guards against an account that gets several times its rate because
// its requests come through many VMs.
func TestOverRate(t *testing.T) {
	for _, n := range []int{1, 2, 48, 300} {
		t.Run(fmt.Sprintf("%d VMs", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(n)
				f.play(240, 20*time.Second)
				is.True(float64(f.worst()) <= bound)
				// What is admitted over the whole time is the rate at least.
				is.True(float64(len(f.admitted)) >= rate*20)
			})
		})
	}
}

// TestWithinRate guards against refusals of an account that keeps to its rate.
func TestWithinRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(48)
		f.play(20, 30*time.Second)
		is.Equal(f.refused, 0)
	})
}

// TestPartition guards against the parts of a partitioned fleet that each admit the
// whole rate, and against a debt that outlasts the partition.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(48)
		f.play(100, 10*time.Second)
		f.partition(16)
		f.play(240, 20*time.Second)
		is.True(float64(f.worst()) <= bound)
		f.partition(0)
		f.play(100, 10*time.Second)
		is.True(float64(f.worst()) <= bound)
		before := len(f.admitted)
		f.play(100, 10*time.Second)
		is.True(float64(len(f.admitted)-before) >= rate*10*0.95)
	})
}

// TestAlone guards against a VM that hears nobody and refuses a small account for
// ever.
func TestAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &heard{part: 1.0 / 48}
		q := quota.New(quota.Config{Presence: h})
		admitted := 0
		for range 100 {
			time.Sleep(time.Second)
			if _, ok := q.Admit("small", 2, 2); ok {
				admitted++
			}
		}
		is.True(admitted >= 4)     // 2 a second, a 48th of it, in 100 s
		is.True(admitted <= 4+1+1) // and the smallest burst
	})
}

// TestRefund guards against a request that reached no instance and still counts.
func TestRefund(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2)
		for range 1000 {
			if _, ok := f.vms[0].quota.Admit("acme", rate, burst); ok {
				f.vms[0].quota.Refund("acme")
				continue
			}
			t.Fatal("a request was refused though all before were given back")
		}
		f.share()
		is.True(f.vms[1].quota.Tokens("acme") >= 0)
	})
}

// TestLowered guards against a burst from before the rate was lowered.
func TestLowered(t *testing.T) {
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
