package rollout_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
	"chestnutbay.dev/chestnutbay/internal/fleet/rollout"
)

// member returns VM i of a zone.
func member(zone string, i int) gossip.Member {
	return gossip.Member{Name: fmt.Sprintf("vm-%s-%02d", zone, i), Zone: zone}
}

// TestStatus guards against a zone whose VMs lag without being named, and against VMs that
// count although they have left or were never heard.
func TestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := rollout.New(rollout.Config{})
		tracker.SetVersion(7)
		tracker.SetSettings("aa")
		time.Sleep(10 * time.Second)
		members := []gossip.Member{member("north", 0)}
		for i := 1; i < 20; i++ {
			north, south := member("north", i), member("south", i)
			members = append(members, south, north)
			tracker.Observe(north.Name, rollout.Running{Version: 7, Settings: "aa", Age: time.Duration(i) * time.Second})
			switch {
			case i <= 8:
				tracker.Observe(south.Name, rollout.Running{Version: 6, Settings: "aa", Age: time.Minute})
			case i == 9:
				tracker.Observe(south.Name, rollout.Running{Version: 7, Settings: "bb", Age: time.Second})
			case i < 19: // vm-south-19 has not reported
				tracker.Observe(south.Name, rollout.Running{Version: 7, Settings: "aa", Age: time.Second})
			}
		}
		tracker.Observe("vm-gone", rollout.Running{Version: 1, Settings: "zz"})
		s := tracker.Status(members[0], members)
		is.Equal(s.VM, "vm-north-00")
		is.Equal(s.Version, int64(7))
		is.Equal(len(s.Zones), 2)
		north, south := s.Zones[0], s.Zones[1]
		is.Equal(north.VMs, 20)
		is.Equal(len(north.Groups), 1)
		is.Equal(north.Groups[0].VMs, 20)
		is.Equal(time.Since(north.Groups[0].Since), time.Second) // the last one, not the first
		is.Equal(south.VMs, 19)
		is.Equal(south.UnknownVMs, []string{"vm-south-19"})
		is.Equal(len(south.Groups), 3)
		is.Equal(south.Groups[1].Settings, "bb")
		is.Equal(south.Groups[1].Names, []string{"vm-south-09"})
		is.Equal(south.Groups[2].Version, int64(6))
		is.Equal(south.Groups[2].VMs, 8)
		is.Equal(len(south.Groups[2].Names), 5) // bounded
		tracker.ForgetVM("vm-south-09")
		is.Equal(tracker.Status(members[0], members).Zones[1].Unknown, 2)
	})
}

// TestReport guards against a change that one lost datagram hides, and against reports
// that fill every datagram.
func TestReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		changes := 0
		tracker := rollout.New(rollout.Config{Changed: func(bool) { changes++ }})
		tracker.SetVersion(3)
		tracker.SetVersion(3)
		is.Equal(changes, 1)
		reports := 0
		for range 100 { // 10 s
			if r, ok := tracker.Report(); ok {
				reports++
				is.Equal(r.Version, int64(3))
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(reports, 3) // two at once and one repetition
		time.Sleep(time.Second)
		r, ok := tracker.Report()
		is.True(ok)
		is.Equal(r.Age, 11*time.Second)
	})
}
