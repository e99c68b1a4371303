package pool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

// small returns a deployment with 9 nodes, 3 zones and one service with 9
// instances.
func small() layout {
	return layout{
		name: "small", zones: []string{"north", "south", "west"}, vms: 9, delay: 1500 * time.Microsecond,
		services: map[string]int{"orders": 9}, slots: 2, ramp: 10 * time.Second, floor: 0.5,
		detect: contract.DetectFast, rate: 350, seed: 1,
	}
}

// overSlots counts the requests above an instance's slots and those above the load
// that a cold instance can bear.
func (f *fleet) overSlots() (over, cold int) {
	for _, t := range f.targets {
		over += t.overSlots
		cold += t.coldOverloads
	}
	return over, cold
}

// Guards against failed requests, requests above an instance's slots and ejections
// in a fleet without faults.
func TestHealthyFleetServesWithinSlots(t *testing.T) {
	run(t, small(), nil, func(f *fleet) {
		is := is.New(t)
		f.warmUp()
		f.load(20*time.Second, 1)
		over, _ := f.overSlots()
		is.Equal(over, 0)
		is.Equal(countEvents[event.Ejected](f, ""), 0)
		t.Log(f.stats.success(), f.stats.quantile(0.5), f.stats.quantile(0.99), f.stats.refused, f.stats.failures, f.calls.Load(), f.bytes.Load())
		is.True(f.stats.success() > 0.999)
	})
}
