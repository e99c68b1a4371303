package follower_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/follower"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

// TestFreshness guards against nodes that take new work without evidence that they have
// every accepted change, and against nodes that refuse new work despite such evidence.
func TestFreshness(t *testing.T) {
	const all = "[vm-0 vm-1 vm-2 vm-3 vm-4]"
	allNodes := []int{0, 1, 2, 3, 4}
	tests := []struct {
		name string
		// fault is injected once all nodes are fresh. When the duration in after has
		// passed, the test samples the nodes' freshness for 10 s.
		fault func(f *fleet)
		after time.Duration
		want  string
	}{
		{"log outage on all nodes makes them refuse new work", func(f *fleet) { f.setLogDown(true, allNodes...) }, 3 * time.Hour, all},
		{"log outage on one node makes it refuse new work", func(f *fleet) { f.setLogDown(true, 2) }, time.Hour, all},
		{"node that reaches only the log refuses new work", func(f *fleet) { f.isolate([]int{0}, 5, true) }, time.Minute, all},
		{"minority without the log takes new work", func(f *fleet) {
			f.isolate([]int{0, 1}, 5, true)
			f.setLogDown(true, 0, 1)
		}, 4 * time.Second, "[vm-2 vm-3 vm-4]"},
		{"evidence from a slow read lasts from its end instead of its start", func(f *fleet) {
			f.isolate([]int{0}, 5, true)
			f.node(0).log.update(func(l *faultyLog) { l.readDelay = 2 * time.Second })
			time.Sleep(10 * time.Second)
			f.setLogDown(true, 0)
		}, 4 * time.Second, "[vm-1 vm-2 vm-3 vm-4]"},
		{"majority without the log refuses new work", func(f *fleet) {
			f.isolate([]int{0, 1}, 5, true)
			f.setLogDown(true, allNodes...)
		}, time.Hour, "[vm-2 vm-3 vm-4]"},
		{"nodes that reach a quorum refuse new work because of one-way cuts", func(f *fleet) {
			f.setLogDown(true, allNodes...)
			f.cut(0, 1, true)
			f.cut(1, 2, true)
			f.cut(2, 3, true)
			f.cut(3, 4, true)
			f.cut(4, 0, true)
		}, time.Minute, all},
		{"node that receives no message takes new work because others receive its messages", func(f *fleet) {
			f.setLogDown(true, allNodes...)
			for i := 1; i < 5; i++ {
				f.cut(i, 0, true)
			}
		}, 4 * time.Second, "[vm-1 vm-2 vm-3 vm-4]"},
		{"fewer nodes than a quorum without the log take new work", func(f *fleet) {
			f.setLogDown(true, allNodes...)
			f.stop(4)
			f.stop(3)
			f.stop(2)
		}, 4 * time.Second, "[]"},
		{"fewer nodes than a quorum with the log refuse new work", func(f *fleet) {
			f.stop(4)
			f.stop(3)
			f.stop(2)
		}, time.Minute, "[vm-0 vm-1]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 5, 5, func(f *fleet) {
				is := is.New(f.t)
				f.publish(0, zoneOut("north"))
				time.Sleep(2 * heartbeatInterval)
				is.Equal(f.freshNodes(), all)
				tt.fault(f)
				begun := time.Now()
				for time.Since(begun) < tt.after {
					time.Sleep(100 * time.Millisecond)
				}
				for range 50 {
					is.Equal(f.freshNodes(), tt.want)
					time.Sleep(200 * time.Millisecond)
				}
			})
		})
	}
}

// TestChangesReachNodes guards against nodes that take new work although they lack a
// change that was accepted more than 6 s ago, with faults in the network and the log.
func TestChangesReachNodes(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet)
	}{
		{"no fault", func(*fleet) {}},
		{"log unavailable to one node", func(f *fleet) { f.setLogDown(true, 3) }},
		{"log unavailable to all but the publisher", func(f *fleet) { f.setLogDown(true, 1, 2, 3, 4) }},
		{"isolated minority with the log", func(f *fleet) { f.isolate([]int{3, 4}, 5, true) }},
		{"isolated minority without the log", func(f *fleet) {
			f.isolate([]int{3, 4}, 5, true)
			f.setLogDown(true, 3, 4)
		}},
		{"peers send no records and no usable snapshot", func(f *fleet) {
			f.setLogDown(true, 3, 4)
			f.update(func() {
				f.corruptReply = func(_ *follower.Position, records *[]follower.Record) { *records = nil }
				f.corruptSnapshot = func(s *follower.Snapshot) { s.Position.Serving = false }
			})
		}},
		{"node receives messages of one peer only and the log is unavailable to it", func(f *fleet) {
			f.setLogDown(true, 4)
			f.cut(0, 4, true)
			f.cut(1, 4, true)
			f.cut(2, 4, true)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 5, 5, func(f *fleet) { checkChanges(f, tt.fault, 0) })
		})
	}
}

// checkChanges publishes changes under a fault. If expected is 0, it fails the test if
// nodes take new work without a change that was accepted more than inForceLimit ago.
// Otherwise it fails the test if it finds fewer of these than expected.
func checkChanges(f *fleet, fault func(*fleet), expected int) {
	fault(f)
	var changes []acceptedChange
	found := 0
	for i := range 6 {
		r := f.publish(0, zoneOut(fmt.Sprintf("zone-%d", i)))
		changes = append(changes, acceptedChange{version: r.Version, at: time.Now()})
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			stale := f.staleNodes(changes)
			found += len(stale)
			if len(stale) > 0 && expected == 0 {
				f.t.Fatalf("stale nodes take new work: %v", stale)
			}
		}
	}
	time.Sleep(inForceLimit)
	found += len(f.staleNodes(changes))
	if found < expected {
		f.t.Fatal("check did not detect the faulty nodes")
	}
	if expected > 0 {
		return
	}
	if missing := f.node(0).Missing(changes[0].version); len(f.staleNodes(changes)) == 0 && f.freshNodes() == "[vm-0 vm-1 vm-2 vm-3 vm-4]" && len(missing) > 2 {
		f.t.Errorf("change reported as missing on %v although all nodes are fresh", missing)
	}
}

// TestBrokenFreshnessIsCaught guards against a checkChanges that misses faulty nodes. It
// simulates nodes that count replies as evidence whatever position these report.
func TestBrokenFreshnessIsCaught(t *testing.T) {
	runFleet(t, 5, 5, func(f *fleet) {
		// Two nodes are broken: their replies report position 0, which every node has
		// reached. They are isolated and without the log, and each takes the other's
		// replies as evidence. The other nodes report their true positions, so that the
		// publisher knows which nodes have applied a change.
		broken := map[string]bool{f.node(3).Position().Incarnation: true, f.node(4).Position().Incarnation: true}
		f.update(func() {
			f.quorum = 2
			f.corruptReply = func(p *follower.Position, records *[]follower.Record) {
				if broken[p.Incarnation] {
					p.Next, *records = 0, nil
				}
			}
		})
		checkChanges(f, func(f *fleet) {
			f.isolate([]int{3, 4}, 5, true)
			f.setLogDown(true, 3, 4)
		}, 1)
	})
}

// TestStart guards against starting nodes that serve before they have every accepted
// change, and against nodes that never serve although they have evidence of that.
func TestStart(t *testing.T) {
	firstNodes := []int{0, 1, 2}
	tests := []struct {
		name  string
		fault func(f *fleet)
		log   func(l *faultyLog)
		serve bool
	}{
		{"log available", func(*fleet) {}, func(*faultyLog) {}, true},
		{"log available and no peer reachable", func(f *fleet) { f.isolate([]int{3}, 4, true) }, func(*faultyLog) {}, true},
		{"log unavailable and a quorum serves", func(f *fleet) { f.setLogDown(true, firstNodes...) }, logDown, true},
		{"log unavailable to the new node only", func(*fleet) {}, logDown, true},
		{"log unavailable and less than a quorum reachable", func(f *fleet) {
			f.setLogDown(true, firstNodes...)
			f.cut(3, 0, true)
		}, logDown, false},
		{"log unavailable and the replies of one peer lost", func(f *fleet) {
			f.setLogDown(true, firstNodes...)
			f.cut(0, 3, true)
		}, logDown, false},
		{"log unavailable and less than a quorum running", func(f *fleet) {
			f.setLogDown(true, firstNodes...)
			f.stop(0)
		}, logDown, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 5, 3, func(f *fleet) {
				is := is.New(f.t)
				f.publish(0, zoneOut("north"))
				f.publish(1, ledger.NewPublishContract(ledger.NewID(), ledger.NoVersion, account(1)))
				tt.fault(f)
				n := f.start(3, tt.log)
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					if n.Position().Serving {
						is.True(n.Ledger().ZoneOut("north"))
						_, _, ok := n.Ledger().Contract("acme")
						is.True(ok)
					}
				}
				is.Equal(n.Position().Serving, tt.serve)
				is.Equal(n.Fresh() == nil, tt.serve)
				is.True(tt.serve || errors.Is(n.Fresh(), follower.ErrStale))
			})
		})
	}
}

// TestFleetStartsTogether guards against starting nodes that count each other as a quorum
// while the log is unavailable, although none of them has any state.
func TestFleetStartsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 0)
		defer f.stopAll()
		for i := range 3 {
			f.start(i, logDown)
		}
		time.Sleep(time.Minute)
		if f.freshNodes() != "[]" {
			t.Errorf("%s serve without any state", f.freshNodes())
		}
		f.setLogDown(false, 0, 1, 2)
		time.Sleep(10 * time.Second)
		if f.freshNodes() != "[vm-0 vm-1 vm-2]" {
			t.Errorf("only %s serve after the log is available again", f.freshNodes())
		}
	})
}

// TestExpiredRecords guards against nodes that serve without some of the documents and
// tombstones after their records have expired.
func TestExpiredRecords(t *testing.T) {
	const retention = 10 * time.Minute
	withdrawnKey := contract.HashKey("dead")
	tests := []struct {
		name  string
		start func(f *fleet)
		serve bool
	}{
		{"new node lacks documents whose records expired", func(f *fleet) { f.start(3) }, true},
		{"isolated new node serves with only the unexpired part of the log", func(f *fleet) {
			f.isolate([]int{3}, 4, true)
			f.start(3)
		}, false},
		{"restart of the whole fleet loses documents", func(f *fleet) {
			f.stop(0)
			f.stop(1)
			f.stop(2)
			f.start(0)
			f.start(1)
			f.start(3)
		}, true},
		{"restart of less than a quorum serves", func(f *fleet) {
			f.stop(0)
			f.stop(1)
			f.stop(2)
			f.start(3)
		}, false},
		{"restart during an outage of the log loses documents", func(f *fleet) {
			f.setLogDown(true, 0, 1, 2)
			f.stop(2)
			f.start(3, logDown)
			f.start(2, logDown)
			f.node(3).log.update(func(l *faultyLog) { l.down = true })
		}, true},
		{"node isolated for longer than the retention serves with old state", func(f *fleet) {
			n := f.start(3)
			time.Sleep(10 * time.Second)
			if n.Fresh() != nil {
				f.t.Error("node did not start")
			}
			// The node receives nothing from here on, and the record at its position in
			// the log expires.
			f.isolate([]int{3}, 4, true)
			f.setLogDown(true, 3)
			time.Sleep(retention * 2)
			if n.Fresh() == nil {
				f.t.Error("node is fresh while it is isolated")
			}
			f.publish(0, zoneOut("south"))
			time.Sleep(retention * 2)
			f.setLogDown(false, 3)
			time.Sleep(10 * time.Second)
			if n.Fresh() == nil || n.Position().Serving {
				f.t.Error("node serves although records that it has not applied have expired")
			}
			f.isolate([]int{3}, 4, false)
			time.Sleep(10 * time.Second)
			if !n.Ledger().ZoneOut("south") {
				f.t.Error("node did not catch up")
			}
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 3, retention)
				defer f.stopAll()
				for i := range 3 {
					f.start(i)
				}
				time.Sleep(3 * time.Second)
				f.publish(0, zoneOut("north"))
				first := f.publish(0, ledger.NewPublishContract(ledger.NewID(), ledger.NoVersion, account(1, withdrawnKey)))
				f.publish(1, ledger.NewWithdrawKey(ledger.NewID(), withdrawnKey))
				for range 3 {
					time.Sleep(retention)
				}
				second := f.publish(2, ledger.NewPublishContract(ledger.NewID(), first.Version, account(2, withdrawnKey)))
				time.Sleep(time.Minute)
				// Peers must send no records: their buffers may include expired ones.
				f.update(func() { f.corruptReply = func(_ *follower.Position, records *[]follower.Record) { *records = nil } })
				tt.start(f)
				time.Sleep(time.Minute)
				n := f.node(3)
				is.Equal(n.Position().Serving, tt.serve)
				if !tt.serve {
					return
				}
				c, version, ok := n.Ledger().Contract("acme")
				is.True(ok)
				is.Equal(c.Rate(), 2.0)
				is.Equal(version, second.Version)
				is.True(n.Ledger().ZoneOut("north"))
				is.True(n.Ledger().Withdrawn(withdrawnKey))
				if last := len(n.events.About("alert", 1)); last > 0 {
					t.Errorf("records were skipped: %s", n.events.About("alert", 1)[0].Event().Summary())
				}
			})
		})
	}
}

// TestRestatements guards against documents that expire because the node responsible for
// restating them has stopped, against restatements of the same document by two nodes that
// change its state, and against a node that restates all documents after it has merged a
// snapshot.
func TestRestatements(t *testing.T) {
	const retention = 20 * time.Minute
	tests := []struct {
		name  string
		fault func(f *fleet)
		// minRestatements and maxRestatements limit the number of restatements of 10
		// tombstones within one retention time.
		minRestatements, maxRestatements int
	}{
		{"documents restated by no node or by several", func(*fleet) {}, 15, 30},
		{"two isolated groups restate the same documents", func(f *fleet) { f.isolate([]int{0}, 3, true) }, 20, 50},
		{"responsible node has stopped", func(f *fleet) { f.stop(0) }, 15, 30},
		{"new nodes restate everything", func(f *fleet) {
			// Without records from their peers, the new nodes must merge a snapshot.
			f.update(func() { f.corruptReply = func(_ *follower.Position, records *[]follower.Record) { *records = nil } })
			f.stop(0)
			f.stop(1)
			f.start(3)
			f.start(4)
		}, 15, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 3, retention)
				defer f.stopAll()
				for i := range 3 {
					f.start(i)
				}
				time.Sleep(3 * time.Second)
				for i := range 10 {
					f.publish(0, ledger.NewWithdrawKey(ledger.NewID(), contract.HashKey(fmt.Sprint(i))))
				}
				entries, _ := f.node(2).Ledger().Entries()
				want := formatVersions(entries)
				// All documents were restated a minute ago, and their first records have
				// expired.
				time.Sleep(retention + time.Minute)
				before := f.node(2).Ledger().Next()
				tt.fault(f)
				time.Sleep(2 * time.Minute)
				is.Equal(f.node(2).Ledger().Next(), before)
				time.Sleep(retention)
				entries, next := f.node(2).Ledger().Entries()
				is.Equal(formatVersions(entries), want)
				restated := int(next - before)
				if restated < tt.minRestatements || restated > tt.maxRestatements {
					t.Errorf("%d restatements, want %d to %d", restated, tt.minRestatements, tt.maxRestatements)
				}
				for _, e := range entries {
					if age := time.Since(e.Written()); age > retention*3/4 {
						t.Errorf("record of %s is %s old", e.Subject(), age)
					}
				}
			})
		})
	}
}

func formatVersions(entries []ledger.Entry) string {
	var b strings.Builder
	for _, e := range entries {
		fmt.Fprintf(&b, "%s@%d ", e.Subject(), e.Version)
	}
	return b.String()
}

// TestObserve guards against records that are applied after a gap or twice, and against
// late replies to heartbeats that replace newer ones.
func TestObserve(t *testing.T) {
	record := func(offset journal.Offset) follower.Record {
		payload, _ := ledger.Encode(zoneOut(fmt.Sprint("zone-", offset)))
		return follower.Record{Offset: offset, Payload: payload}
	}
	tests := []struct {
		name    string
		records []follower.Record
		next    journal.Offset
	}{
		{"first records are ignored", []follower.Record{record(0), record(1)}, 2},
		{"records after a gap at the start are applied", []follower.Record{record(1), record(2)}, 0},
		{"record after a gap in the middle is applied", []follower.Record{record(0), record(2)}, 1},
		{"duplicate record is applied", []follower.Record{record(0), record(0), record(1)}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := follower.New(follower.Config{Self: "vm-0", Quorum: func() int { return 2 }})
			f.Observe("vm-1", clock.Now(), follower.Position{Next: 3, Serving: true, Incarnation: "i"}, tt.records)
			f.Observe("vm-1", clock.Now().Add(-time.Second), follower.Position{Next: 1, Serving: true, Incarnation: "i"}, nil)
			f.Observe("vm-0", clock.Now(), follower.Position{Next: 9, Serving: true}, []follower.Record{record(tt.next)})
			is.Equal(f.Ledger().Next(), tt.next)
			is.Equal(f.InForce(2), []string{"vm-1"})
			is.Equal(len(f.RecordsFrom(0, 10)), int(tt.next))
		})
	}
}

// TestWireForms guards against snapshots that change in their JSON form, and against
// records sent from wrong offsets.
func TestWireForms(t *testing.T) {
	runFleet(t, 1, 1, func(f *fleet) {
		is := is.New(f.t)
		f.publish(0, ledger.NewPublishContract(ledger.NewID(), ledger.NoVersion, account(3, contract.HashKey("k"))))
		n := f.node(0)
		data, err := json.Marshal(n.Snapshot())
		is.NoErr(err)
		var s follower.Snapshot
		is.NoErr(json.Unmarshal(data, &s))
		again, err := json.Marshal(s)
		is.NoErr(err)
		is.Equal(string(again), string(data))
		is.Equal(s.Position, n.Position())
		records := n.RecordsFrom(0, 5)
		is.Equal(len(records), 1)
		is.Equal(len(n.RecordsFrom(1, 5)), 0)
		is.Equal(len(n.RecordsFrom(-1, 5)), 0)
		is.Equal(len(n.RecordsFrom(0, 0)), 0)
	})
}

// TestEvents guards against missing events, from which operators learn why a node refused
// new work and what the outcome of a change was.
func TestEvents(t *testing.T) {
	runFleet(t, 3, 3, func(f *fleet) {
		is := is.New(f.t)
		f.publish(0, ledger.NewPublishContract("c1", ledger.NoVersion, account(1)))
		time.Sleep(inForceLimit)
		_, err := f.node(1).Publish(context.Background(), ledger.NewPublishContract("c2", ledger.NoVersion, account(2)))
		is.True(errors.Is(err, ledger.ErrConflict))
		f.log.Append(context.Background(), []byte("garbage"))
		f.isolate([]int{0}, 3, true)
		f.setLogDown(true, 0)
		time.Sleep(10 * time.Second)
		f.isolate([]int{0}, 3, false)
		f.setLogDown(false, 0)
		time.Sleep(10 * time.Second)
		var eventTypes []string
		for _, e := range f.node(0).events.About("", 100) {
			eventTypes = append(eventTypes, strings.TrimPrefix(fmt.Sprintf("%T", e.Event()), "event."))
			is.True(e.Event().Summary() != "")
		}
		slices.Sort(eventTypes)
		is.Equal(strings.Join(eventTypes, " "), "ChangeAccepted ChangeApplied FreshnessGained FreshnessGained FreshnessLost LogFound LogLost NodeStarted RecordSkipped")
		is.Equal(len(f.node(1).events.About("account/acme", 10)), 1)
		_, isApplied := f.node(1).events.About("change/c1", 10)[0].Event().(event.ChangeApplied)
		is.True(isApplied)
	})
}
