package feed_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
)

// cutOff cuts VMs off from the store and from all others, or restores all contacts if it
// names none.
func (f *fleet) cutOff(vms ...int) {
	cut := make(map[int]bool)
	for _, i := range vms {
		cut[i] = true
	}
	f.mu.Lock()
	f.cut = cut
	f.mu.Unlock()
	f.store.mu.Lock()
	f.store.down = func(vm int) bool { return cut[vm] }
	f.store.mu.Unlock()
}

// TestReturnFromCut guards against a VM that keeps an old configuration after a cut, though
// its offset is the newest, because another VM announced its own read as complete without
// the record: it had taken the record from a third VM while it read.
func TestReturnFromCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		f.store.put(feed.Configuration, "config", "1"+largeValue)
		time.Sleep(3 * time.Second)
		f.cutOff(4, 5, 6, 7)
		f.store.put(feed.Configuration, "config", "2"+largeValue)
		time.Sleep(3 * time.Second)
		f.cutOff()
		time.Sleep(propagationLimit)
		f.expect(t, "config", "2"+largeValue)
	})
}
