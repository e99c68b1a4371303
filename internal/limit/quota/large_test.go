package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/limit/quota"
)

// largeFleet is a fleet whose VMs report as they do on real links: urgent changes within
// datagramDelay, others once a reportGap and bundleDelay later, and each datagram to each
// VM may get lost.
type largeFleet struct {
	random    *rand.Rand
	reportGap time.Duration
	loss      float64
	vms       []*largeVM
	admitted  []time.Time
}

type largeVM struct {
	quota       *quota.Quota
	incarnation uint64
	changed     bool
	urgent      bool
	lastReport  time.Time
}

const (
	datagramDelay = 20 * time.Millisecond
	bundleDelay   = 60 * time.Millisecond
)

func newLargeFleet(n int, reportGap time.Duration, loss float64) *largeFleet {
	f := &largeFleet{random: rand.New(rand.NewPCG(uint64(n), 5)), reportGap: reportGap, loss: loss}
	for range n {
		v := &largeVM{incarnation: 1, lastReport: time.Now().Add(-time.Duration(f.random.Int64N(int64(reportGap))))}
		f.startVM(v)
		f.vms = append(f.vms, v)
	}
	return f
}

// startVM gives a VM a new quota, as a restart does.
func (f *largeFleet) startVM(v *largeVM) {
	v.quota = quota.New(quota.Config{Presence: &presence{share: 1}, Changed: func(urgent bool) {
		v.changed, v.urgent = true, v.urgent || urgent
	}})
}

// step lets every VM report that has to.
func (f *largeFleet) step() {
	for i, v := range f.vms {
		switch {
		case !v.changed:
		case v.urgent:
			f.report(i, v, datagramDelay)
		case time.Since(v.lastReport) >= f.reportGap:
			f.report(i, v, bundleDelay)
		}
	}
}

func (f *largeFleet) report(i int, v *largeVM, delay time.Duration) {
	v.lastReport, v.urgent = time.Now(), false
	reports := v.quota.Reports()
	v.changed = v.quota.Dirty()
	incarnation := v.incarnation
	limits := func(string) (float64, float64, bool) { return rate, burst, true }
	for j, other := range f.vms {
		if i != j && f.random.Float64() >= f.loss {
			to := other.quota
			time.AfterFunc(delay, func() { to.Observe(fmt.Sprint("vm-", i), incarnation, reports, limits, false) })
		}
	}
}

// TestHotAccountInLargeFleet guards against an account that sends eight times its rate
// through hundreds of VMs, each of which sees less than one of its requests a second and
// learns of the others' late. A twentieth of the reports is lost, and VMs restart.
func TestHotAccountInLargeFleet(t *testing.T) {
	for _, tt := range []struct {
		vms int
		gap time.Duration
	}{{vms: 300, gap: 500 * time.Millisecond}, {vms: 1100, gap: time.Second}} {
		t.Run(fmt.Sprintf("%d VMs", tt.vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLargeFleet(tt.vms, tt.gap, 0.05)
				const step = 5 * time.Millisecond
				const perSecond = 8 * rate
				owed := 0.0
				for n := range int(10 * time.Second / step) {
					for owed += perSecond * step.Seconds(); owed >= 1; owed-- {
						v := f.vms[f.random.IntN(len(f.vms))]
						if _, ok := v.quota.Admit("acme", rate, burst); ok {
							f.admitted = append(f.admitted, time.Now())
						}
					}
					if n%200 == 199 { // a VM restarts every second
						v := f.vms[f.random.IntN(len(f.vms))]
						v.incarnation++
						f.startVM(v)
					}
					f.step()
					time.Sleep(step)
				}
				time.Sleep(time.Second)
				most := (&fleet{admitted: f.admitted}).maxAdmitted()
				t.Logf("%d requests within 5 s, %d in all", most, len(f.admitted))
				is.True(float64(most) <= maxAllowed)
				is.True(float64(len(f.admitted)) >= 0.8*rate*10)
			})
		})
	}
}
