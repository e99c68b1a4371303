package follower_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/follower"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
)

// TestRace guards against two concurrent changes of a document that are both accepted,
// against nodes that decide differently which of them is, and against a conflict that
// does not name the version in force.
func TestRace(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runFleet(t, 3, 3, func(f *fleet) {
				is := is.New(f.t)
				random := rand.New(rand.NewPCG(seed, 0))
				for i := range 2 {
					f.node(i).log.update(func(l *faultyLog) { l.appendDelay = time.Duration(random.IntN(300)) * time.Millisecond })
				}
				var errs [2]error
				var receipts [2]follower.Receipt
				var g errgroup.Group
				for i := range 2 {
					g.Go(func() error {
						receipts[i], errs[i] = f.node(i).Publish(context.Background(),
							ledger.NewPublishContract(ledger.NewID(), ledger.NoVersion, account(float64(i+1))))
						return nil
					})
				}
				g.Wait()
				winner := 0
				if errs[0] != nil {
					winner = 1
				}
				is.NoErr(errs[winner])
				current, ok := conflictOf(errs[1-winner])
				is.True(ok)
				is.True(errors.Is(errs[1-winner], ledger.ErrConflict))
				is.Equal(current, receipts[winner].Version)
				f.stop(2)
				n := f.start(2)
				ctx, cancel := context.WithTimeout(context.Background(), inForceLimit)
				defer cancel()
				r := f.node(winner).AwaitInForce(ctx, receipts[winner])
				is.Equal(r.Confirmed, []string{"vm-0", "vm-1", "vm-2"})
				is.Equal(len(r.Missing), 0)
				is.NoErr(ctx.Err())
				is.NoErr(n.Fresh())
				for _, n := range f.sortedNodes() {
					c, version, _ := n.Ledger().Contract("acme")
					is.Equal(c.Rate(), float64(winner+1))
					is.Equal(version, current)
				}
			})
		})
	}
}

// TestPublishOutcomes guards against publications that report a change as made although
// it is not in the log, or as not made although it is, and against changes applied twice.
func TestPublishOutcomes(t *testing.T) {
	first := ledger.NewPublishContract("first", ledger.NoVersion, account(1, contract.HashKey("k")))
	tests := []struct {
		name   string
		fault  func(f *fleet)
		change ledger.Change
		want   error
		// records is how many log records hold the change.
		records int
		// retryErr is the error when the same change is published again without faults.
		retryErr error
	}{
		{"no fault", func(*fleet) {}, first, nil, 1, nil},
		{"lost response is reported as a failure", func(f *fleet) {
			f.node(0).log.update(func(l *faultyLog) { l.loseResponses = 1 })
		}, first, nil, 1, nil},
		{"lost request is reported as a success", func(f *fleet) {
			f.node(0).log.update(func(l *faultyLog) { l.loseRequests = 1 })
		}, first, nil, 1, nil},
		{"unknown outcome of all appends is reported as a failure", func(f *fleet) {
			f.node(0).log.update(func(l *faultyLog) { l.loseRequests = 99 })
		}, first, follower.ErrUnknown, 0, nil},
		{"unavailable log is reported as an unknown outcome", func(f *fleet) { f.setLogDown(true, 0) }, first, follower.ErrUnavailable, 0, nil},
		{"slow append is applied twice", func(f *fleet) {
			f.node(0).log.update(func(l *faultyLog) { l.appendDelay = 2 * time.Second })
		}, first, nil, 1, nil},
		{"lost response without later reads is reported as a failure", func(f *fleet) {
			f.node(0).log.update(func(l *faultyLog) { l.loseResponses = 1 })
			f.isolate([]int{0}, 3, true)
			f.group.Go(func() error {
				time.Sleep(latency / 2)
				f.setLogDown(true, 0)
				return nil
			})
		}, first, follower.ErrUnknown, 1, nil},
		{"record received from a peer is ignored", func(f *fleet) {
			f.node(0).log.update(func(l *faultyLog) { l.loseResponses = 1 })
			f.group.Go(func() error {
				time.Sleep(2 * latency)
				f.setLogDown(true, 0)
				return nil
			})
		}, first, nil, 1, nil},
		{"change without a quorum is reported as accepted", func(f *fleet) { f.isolate([]int{0}, 3, true) }, first, follower.ErrUnknown, 1, nil},
		{"conflict is reported as an unknown outcome", func(f *fleet) {
			f.publish(1, ledger.NewPublishContract("other", ledger.NoVersion, account(5)))
			time.Sleep(inForceLimit)
		}, first, ledger.ErrConflict, 0, ledger.ErrConflict},
		{"key of another account is accepted", func(f *fleet) {
			f.publish(1, ledger.NewPublishContract("other", ledger.NoVersion, contract.New("other", 1, 1, []contract.KeyHash{contract.HashKey("k")}, nil)))
			time.Sleep(inForceLimit)
		}, first, ledger.ErrKeyTaken, 0, ledger.ErrKeyTaken},
		{"invalid document is appended to the log", func(*fleet) {}, ledger.NewPublishContract("bad", ledger.NoVersion, account(-1)), ledger.ErrInvalid, 0, ledger.ErrInvalid},
		{"change without an identity is appended to the log", func(*fleet) {}, ledger.NewZoneOut("", "north"), ledger.ErrInvalid, 0, ledger.ErrInvalid},
		{"key withdrawn twice has two tombstones", func(f *fleet) {
			f.publish(1, ledger.NewWithdrawKey("other", contract.HashKey("k")))
			time.Sleep(inForceLimit)
		}, ledger.NewWithdrawKey("mine", contract.HashKey("k")), nil, 0, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 3, 3, func(f *fleet) {
				is := is.New(f.t)
				tt.fault(f)
				r, err := f.node(0).Publish(context.Background(), tt.change)
				is.Equal(err != nil, tt.want != nil)
				is.True(errors.Is(err, tt.want) || tt.want == nil)
				is.Equal(r.ID, tt.change.ID())
				var problems *contract.Problems
				is.Equal(errors.As(err, &problems), tt.change.ID() == "bad")
				var unknown *follower.Unknown
				if errors.As(err, &unknown) {
					is.Equal(unknown.ID(), tt.change.ID())
				}
				is.Equal(f.countRecords(tt.change.ID()), tt.records)
				f.isolate([]int{0}, 3, false)
				f.setLogDown(false, 0)
				f.node(0).log.update(func(l *faultyLog) { l.loseRequests, l.loseResponses, l.appendDelay = 0, 0, 0 })
				time.Sleep(2 * inForceLimit)
				again, err := f.node(0).Publish(context.Background(), tt.change)
				is.Equal(err != nil, tt.retryErr != nil)
				is.True(errors.Is(err, tt.retryErr) || tt.retryErr == nil)
				if tt.want == nil {
					is.Equal(again.Version, r.Version)
					is.True(len(r.Confirmed) >= f.quorum)
				}
			})
		})
	}
}

// countRecords counts the records in the log with a change's identity.
func (f *fleet) countRecords(id string) int {
	count := 0
	for _, r := range f.payloads() {
		if strings.Contains(r, `"id":"`+id+`"`) {
			count++
		}
	}
	return count
}

// TestReplacedConfirmations guards against a change that is reported as accepted although
// a node that confirmed it has since been replaced by one that lacks it.
func TestReplacedConfirmations(t *testing.T) {
	runFleet(t, 3, 3, func(f *fleet) {
		f.setLogDown(true, 1, 2)
		f.cut(0, 2, true)
		f.cut(2, 0, true)
		f.cut(2, 1, true)
		f.cut(1, 2, true)
		f.update(func() { f.quorum = 3 })
		var g errgroup.Group
		defer g.Wait()
		g.Go(func() error {
			// vm-1 confirms in the first heartbeats. vm-2 can't, because it is isolated
			// and without the log.
			if _, err := f.node(0).Publish(context.Background(), zoneOut("north")); err == nil {
				f.t.Error("change was accepted although one confirming node has stopped")
			}
			return nil
		})
		time.Sleep(2 * time.Second)
		f.stop(1)
		f.cut(0, 2, false)
		f.cut(2, 0, false)
		f.node(2).log.update(func(l *faultyLog) { l.down = false })
		time.Sleep(5 * time.Second)
		if confirmed := f.node(0).InForce(0); len(confirmed) != 2 {
			f.t.Errorf("confirmed by %v", confirmed)
		}
	})
}

// TestHeartbeatsOfPublisher guards against a publisher that floods its peers while it
// waits for a quorum, because it requests the next heartbeats after every reply.
func TestHeartbeatsOfPublisher(t *testing.T) {
	runFleet(t, 5, 3, func(f *fleet) {
		f.update(func() { f.quorum = 4 })
		before, begun := f.rounds(), time.Now()
		if _, err := f.node(0).Publish(context.Background(), zoneOut("north")); !errors.Is(err, follower.ErrUnknown) {
			f.t.Errorf("accepted without a quorum: %v", err)
		}
		seconds := int(time.Since(begun) / time.Second)
		if rounds := f.rounds() - before; rounds > 8*seconds {
			f.t.Errorf("%d rounds of heartbeats in %d s", rounds, seconds)
		}
	})
}

// operation is one call in a recorded history. The history covers one account's contract
// and the single key that all versions of the contract list. The contract's rate serves
// as the value by which the test tells versions apart.
type operation struct {
	kind operationKind
	// base is the rate in the version that a publication replaces, and value is the rate
	// that it sets.
	base, value int
}

type operationKind int

const (
	opPublish operationKind = iota
	opWithdraw
	opRead
)

// outcome is the result of an operation.
type outcome struct {
	unknown, conflict bool
	// value is the content that was read, or 0 without a contract. keyValid reports
	// whether the key was valid.
	value    int
	keyValid bool
}

// modelState is the state of the model: the content of the contract, or 0 without one, and
// whether the key is withdrawn.
type modelState struct {
	value     int
	withdrawn bool
}

// model is a register with compare-and-set and a key that can be withdrawn once. A
// publication or withdrawal of unknown outcome may or may not take effect.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(modelState), input.(operation), output.(outcome)
		after := s
		switch in.kind {
		case opRead:
			if s.value != out.value || out.keyValid != (s.value != 0 && !s.withdrawn) {
				return nil
			}
			return []any{s}
		case opWithdraw:
			after.withdrawn = true
		case opPublish:
			if out.conflict {
				if s.value == in.base {
					return nil
				}
				return []any{s}
			}
			if s.value != in.base {
				if out.unknown {
					return []any{s}
				}
				return nil
			}
			after.value = in.value
		}
		if out.unknown {
			return []any{s, after}
		}
		return []any{after}
	},
}

// historyLength is long enough for some 20 changes per client.
const historyLength = time.Minute

// recordHistory runs operators and readers against a fleet with changing faults. Readers
// may see a state that was in force up to 6 s ago. Therefore each read is recorded as
// called 6 s earlier, and the history must be linearizable.
func recordHistory(t *testing.T, seed uint64, prepare func(*fleet)) (history []porcupine.Operation) {
	runFleet(t, 5, 5, func(f *fleet) {
		prepare(f)
		begun := time.Now()
		end := begun.Add(historyLength)
		var mu sync.Mutex
		add := func(client int, in operation, call time.Time, out outcome) {
			mu.Lock()
			defer mu.Unlock()
			op := porcupine.Operation{
				ClientId: client, Input: in, Output: out,
				Call: int64(call.Sub(begun)), Return: int64(time.Since(begun)),
			}
			if out.unknown {
				op.Return = int64(time.Hour)
			}
			history = append(history, op)
		}
		key := contract.HashKey("k")
		var g errgroup.Group
		for client := range 3 {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			g.Go(func() error {
				for i := 1; time.Now().Before(end); i++ {
					time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
					n := f.node(random.IntN(5))
					value := client*1000 + i
					base, version, ok := n.Ledger().Contract("acme")
					in := operation{kind: opPublish, value: value}
					if ok {
						in.base = int(base.Rate())
					}
					c := ledger.Change(ledger.NewPublishContract(ledger.NewID(), version, account(float64(value), key)))
					if random.IntN(20) == 0 {
						in, c = operation{kind: opWithdraw}, ledger.NewWithdrawKey(ledger.NewID(), key)
					}
					call := time.Now()
					_, err := n.Publish(context.Background(), c)
					_, conflict := conflictOf(err)
					if errors.Is(err, follower.ErrUnavailable) {
						continue
					}
					if err != nil && !conflict && !errors.Is(err, follower.ErrUnknown) {
						f.t.Error(err)
					}
					add(client, in, call, outcome{unknown: errors.Is(err, follower.ErrUnknown), conflict: conflict})
				}
				return nil
			})
		}
		for i := range 5 {
			g.Go(func() error {
				for time.Now().Before(end) {
					time.Sleep(3 * time.Second)
					n := f.node(i)
					if n.Fresh() != nil {
						continue
					}
					var out outcome
					if c, _, ok := n.Ledger().Contract("acme"); ok {
						out.value = int(c.Rate())
					}
					_, out.keyValid = n.Ledger().AccountByKey(key)
					add(10+i, operation{kind: opRead}, time.Now().Add(-inForceLimit), out)
				}
				return nil
			})
		}
		g.Go(func() error {
			random := rand.New(rand.NewPCG(seed, 99))
			for time.Now().Before(end) {
				i, j, lost := random.IntN(5), random.IntN(5), random.IntN(2) == 0
				f.cut(i, j, lost && i != j)
				f.node(random.IntN(5)).log.update(func(l *faultyLog) {
					l.down = random.IntN(4) == 0
					l.loseResponses = random.IntN(2)
					l.loseRequests = random.IntN(2)
					l.appendDelay = time.Duration(random.IntN(400)) * time.Millisecond
				})
				time.Sleep(time.Second)
			}
			return nil
		})
		g.Wait()
	})
	return history
}

// linearizable checks a history against the model, for at most the time limit.
func linearizable(history []porcupine.Operation, limit time.Duration) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(model.ToModel(), history, limit)
}

// TestHistories guards against lost updates, reverted changes, withdrawn keys that are
// valid, and changes that take longer than 6 s to be in force. Operators and readers use
// all nodes while messages are lost and the log fails.
func TestHistories(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			history := recordHistory(t, seed, func(*fleet) {})
			// The limit only stops a search that would take hours.
			if result := linearizable(history, time.Minute); result != porcupine.Ok {
				t.Errorf("history of %d operations: %s", len(history), result)
			}
		})
	}
}

// TestBrokenHistoriesAreCaught guards against a check of histories that misses faults: it
// must detect nodes without certification, nodes that drop tombstones, and nodes that take
// new work without evidence from a quorum.
func TestBrokenHistoriesAreCaught(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*fleet)
	}{
		{"no certification", func(f *fleet) { f.update(func() { f.corruptPayload = withoutCertification }) }},
		{"tombstones dropped", func(f *fleet) { f.update(func() { f.corruptPayload = withoutTombstones }) }},
		{"quorum of one", func(f *fleet) {
			f.update(func() {
				f.quorum = 1
				f.corruptReply = func(_ *follower.Position, records *[]follower.Record) { *records = nil }
			})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			detected := 0
			for seed := range uint64(4) {
				// A history that can't be checked in time does not count as detected.
				if linearizable(recordHistory(t, seed, tt.prepare), 2*time.Second) == porcupine.Illegal {
					detected++
				}
			}
			t.Logf("fault detected with %d of 4 seeds", detected)
			if detected == 0 {
				t.Error("fault not detected with any seed")
			}
		})
	}
}

// withoutCertification sets the base of every published contract to the version in force,
// so that no publication conflicts.
func withoutCertification(f *fleet, payload []byte) []byte {
	l := new(ledger.Ledger)
	batch, _ := f.log.Read(context.Background(), 0, 1<<20)
	for _, r := range batch.Records() {
		l.Apply(r)
	}
	_, version, _ := l.Contract("acme")
	return editRecord(payload, func(record map[string]any) {
		if record["kind"] == "contract" {
			record["base"] = version
		}
	})
}

// withoutTombstones replaces the withdrawal of a key by taking out an unused zone.
func withoutTombstones(_ *fleet, payload []byte) []byte {
	return editRecord(payload, func(record map[string]any) {
		if record["kind"] == "withdraw-key" {
			record["kind"], record["zone"] = "zone-out", "nowhere"
			delete(record, "key")
		}
	})
}

// editRecord changes the JSON form of a record. It returns other payloads unchanged.
func editRecord(payload []byte, change func(map[string]any)) []byte {
	var record map[string]any
	if json.Unmarshal(payload, &record) != nil {
		return payload
	}
	change(record)
	edited, _ := json.Marshal(record)
	return edited
}

// TestSnapshotWithoutTombstone guards against a withdrawn key that becomes valid again on
// a node that merges a peer's snapshot without the tombstone.
func TestSnapshotWithoutTombstone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 0)
		defer f.stopAll()
		for i := range 3 {
			f.start(i)
		}
		time.Sleep(3 * time.Second)
		key := contract.HashKey("k")
		f.publish(0, ledger.NewPublishContract("1", ledger.NoVersion, account(1, key)))
		f.publish(0, ledger.NewWithdrawKey("2", key))
		time.Sleep(inForceLimit)
		f.update(func() {
			f.corruptSnapshot = func(s *follower.Snapshot) {
				s.Entries = slices.DeleteFunc(s.Entries, func(e ledger.Entry) bool { return e.Key != nil })
			}
			f.corruptReply = func(_ *follower.Position, records *[]follower.Record) { *records = nil }
		})
		f.setLogDown(true, 2)
		f.publish(0, zoneOut("north"))
		time.Sleep(10 * time.Second)
		n := f.node(2)
		is.True(n.Ledger().ZoneOut("north")) // The snapshot was merged.
		_, works := n.Ledger().AccountByKey(key)
		is.True(!works)
	})
}
