package feed_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
)

// seed is the default of the flag -rapid.seed, so that every run draws the same cases.
const seed = "20261205"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// event is a change of the store, the network or the VMs, and the time until the next one.
type event struct {
	kind  int
	vms   []int // the VMs that it concerns
	value int
	pause time.Duration
}

// Kinds of events.
const (
	writeLarge  = iota // a configuration too large for a datagram
	writeSmall         // a record of Configuration that fits an announcement
	writeZone          // or removes the record of a zone
	register           // an instance registers
	unregister         // an instance's registration is removed
	cutOff             // VMs are cut off from the store and the others
	storeRefuse        // the store refuses VMs
	forget             // the store deletes old records
	loseDatagrams
	restart // a VM starts again, without its records
	repair  // ends cuts, refusals and losses
	kinds
)

// drawEvents draws the events of one scenario for a fleet of n VMs.
func drawEvents(t *rapid.T, n int) []event {
	one := rapid.Custom(func(t *rapid.T) event {
		return event{
			kind:  rapid.IntRange(0, kinds-1).Draw(t, "kind"),
			vms:   rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 1, n-1, rapid.ID[int]).Draw(t, "vms"),
			value: rapid.IntRange(0, 5).Draw(t, "value"),
			pause: time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 5, 40).Draw(t, "events")
}

// perform carries out an event.
func (f *fleet) perform(e event) {
	instance := fmt.Sprint("i-", e.value)
	switch e.kind {
	case writeLarge:
		f.store.put(feed.Configuration, "config", fmt.Sprint(e.pause, largeValue))
	case writeSmall:
		f.store.put(feed.Configuration, "config", fmt.Sprint(e.pause))
	case writeZone:
		f.store.put(feed.Configuration, fmt.Sprint("zone-", e.value), []string{"", "out"}[e.value%2])
	case register:
		f.store.put(feed.Instances, instance, fmt.Sprint(e.pause%3))
	case unregister:
		f.store.put(feed.Instances, instance, "")
	case cutOff:
		f.cutOff(e.vms...)
	case storeRefuse:
		f.refuse(e.vms...)
	case forget:
		f.store.forget()
	case loseDatagrams:
		f.setLoss(0.2)
	case restart:
		f.restart(e.vms[0])
	case repair:
		f.cutOff()
		f.setLoss(0)
	}
}

// missing returns a description of a record that a VM lacks though the VM counts it as
// read, or "". A VM may lack a record that a later one replaces.
func (f *fleet) missing() string {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for i, v := range f.vms {
		for t, records := range f.store.records {
			next := v.feed.Next(feed.Topic(t))
			state, loaded := v.feed.Since(feed.Topic(t), 0)
			if !loaded {
				continue
			}
			newest := make(map[string]feed.Record)
			for _, r := range records {
				newest[r.Key] = r
			}
			for key, want := range newest {
				if want.Offset >= next {
					continue
				}
				at := slices.IndexFunc(state.Records, func(r feed.Record) bool { return r.Key == key })
				var got feed.Record
				if at >= 0 {
					got = state.Records[at]
				}
				if got.Offset <= want.Offset && string(got.Value) != string(want.Value) {
					return fmt.Sprintf("vm %d has read topic %v up to %d and has %.9q for %s, want %.9q of offset %d",
						i, feed.Topic(t), next, got.Value, key, want.Value, want.Offset)
				}
			}
		}
	}
	return ""
}

// TestNextCoversRecords guards against VMs that count a record as read and do not have it:
// they keep an old configuration, or send requests to an instance that has left, until the
// next change. It also guards against VMs that are late after cuts and outages.
func TestNextCoversRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt, 6)
		failure := ""
		synctest.Test(t, func(*testing.T) {
			f := newFleet(6)
			defer f.stop()
			time.Sleep(time.Second)
			for _, e := range events {
				f.perform(e)
				time.Sleep(e.pause)
				synctest.Wait()
				if failure = f.missing(); failure != "" {
					return
				}
			}
			f.perform(event{kind: repair})
			time.Sleep(propagationLimit)
			f.store.put(feed.Configuration, "config", "last"+largeValue)
			time.Sleep(propagationLimit)
			synctest.Wait()
			if failure = f.missing(); failure != "" {
				return
			}
			for i, v := range f.vms {
				if got := v.get("config"); got != "last"+largeValue {
					failure = fmt.Sprintf("vm %d has configuration %.9q at the end", i, got)
				}
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}
