package feed_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
)

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

// TestRemovalBeforeListing guards against VMs that keep an instance that has left, because
// the VM that they asked had listed the topic, so that it never read the removal, and
// returned its state as complete.
func TestRemovalBeforeListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		defer f.stop()
		f.store.put(feed.Instances, "i-1", "ready")
		time.Sleep(2 * time.Second)
		f.cutOff(0)
		f.store.put(feed.Instances, "i-2", "ready")
		time.Sleep(2 * time.Second)
		f.store.forget()
		f.store.put(feed.Instances, "i-1", "")
		f.store.put(feed.Instances, "i-2", "")
		f.cutOff()
		time.Sleep(propagationLimit + time.Second) // vm 0 first holds removals back
		f.expect(t, "i-1", "")
		f.expect(t, "i-2", "")
	})
}

// TestListingInPages guards against a record that most VMs never get: a listing may hold it
// beyond the offset at which the listing began, and the VM that listed then announced its
// next read as complete without it.
func TestListingInPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		defer f.stop()
		time.Sleep(time.Second)
		f.restart(0)
		time.Sleep(storeLatency + storeLatency/2) // the first of two pages is read
		f.store.put(feed.Configuration, "zone", "out")
		time.Sleep(propagationLimit)
		f.expect(t, "zone", "out")
	})
}
