package feed_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
)

// slowPeers answers queries with a state after a transfer time.
type slowPeers struct {
	state    feed.State
	transfer time.Duration
}

func (p slowPeers) State(context.Context, feed.Query) (feed.State, error) {
	time.Sleep(p.transfer)
	return p.state, nil
}

// startFollower runs the feed of a VM that has loaded an empty store, which then refuses
// its calls, and that does not read by itself soon.
func startFollower(t *testing.T, p feed.Peers) *feed.Feed {
	t.Helper()
	s := &store{}
	f := feed.New(feed.Config{
		Source: client{store: s}, Apply: func(feed.Topic, feed.Record, bool) {}, Announce: func(feed.Announcement) {},
		Rank: func(string) int { return 5 }, ZoneRank: func(string) int { return 5 }, Peers: p,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait() //nolint:errcheck // Run returns nil.
	})
	time.Sleep(100 * time.Millisecond)
	s.mu.Lock()
	s.down = func(int) bool { return true }
	s.mu.Unlock()
	return f
}

// TestPartIsNoProof guards against a VM that takes one of several parts of an announcement
// as a proof that it has all records, though it lacks those of the other parts. It would
// hand its state to VMs that start as confirmed.
func TestPartIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFollower(t, nil)
		time.Sleep(time.Second)
		f.HandleAnnouncement("vm-1", feed.Announcement{
			Topic: feed.Instances, Next: 1, Complete: true, Partial: true, Records: []feed.Record{{Key: "i-1", Value: []byte("ready")}},
		})
		is.Equal(f.Next(feed.Instances), int64(1))
		age, _ := f.Age(feed.Instances)
		is.True(age >= time.Second)
		f.HandleAnnouncement("vm-1", feed.Announcement{
			Topic: feed.Instances, From: 1, Next: 2, Complete: true, Records: []feed.Record{{Offset: 1, Key: "i-2", Value: []byte("ready")}},
		})
		age, _ = f.Age(feed.Instances)
		is.Equal(age, time.Duration(0))
	})
}

// TestTransferAges guards against a state of another VM that counts as younger than it is,
// by the time of its transfer.
func TestTransferAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const proofAge, transfer = 100 * time.Millisecond, 900 * time.Millisecond
		f := startFollower(t, slowPeers{state: feed.State{Next: 1, Age: proofAge}, transfer: transfer})
		f.HandleAnnouncement("vm-1", feed.Announcement{Topic: feed.Instances, Next: 1})
		time.Sleep(transfer)
		synctest.Wait()
		is.Equal(f.Next(feed.Instances), int64(1))
		age, _ := f.Age(feed.Instances)
		is.True(age >= proofAge+transfer)
	})
}
