package follower_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
)

// changeStats counts the changes of concurrent operators and their rejections.
type changeStats struct {
	changes, rejected                 int
	withdrawals, withdrawalRetries    int
	withdrawalTime, slowestWithdrawal time.Duration
}

// TestCertification measures the claim of docs/design.md section 3 that operators get
// fewer rejected changes because withdrawals of keys and zone-outs are loose changes. It
// fails if the share of rejected changes is not below the share when every change is
// certified, or if a loose withdrawal is rejected.
func TestCertification(t *testing.T) {
	var mixed, strict changeStats
	for seed := range uint64(5) {
		raceOperators(t, seed, false, &mixed)
		raceOperators(t, seed, true, &strict)
	}
	report := func(name string, r changeStats) {
		t.Logf("%-10s %d changes, %d rejected or retried (%.1f%%); %d withdrawals, %d retries, mean %s, slowest %s", name,
			r.changes, r.rejected, 100*float64(r.rejected)/float64(r.changes), r.withdrawals, r.withdrawalRetries,
			(r.withdrawalTime / time.Duration(r.withdrawals)).Round(time.Millisecond), r.slowestWithdrawal.Round(time.Millisecond))
	}
	report("mixed", mixed)
	report("all strict", strict)
	if mixed.rejected*strict.changes >= strict.rejected*mixed.changes || mixed.withdrawalRetries > 0 {
		t.Error("loose changes do not reduce the share of rejected changes, or a loose withdrawal was rejected")
	}
}

// raceOperators simulates 8 operators who change 8 accounts and one zone for 10 minutes,
// as in an incident. Each takes 2 to 20 s from reading a document to publishing it and
// retries a rejected change with the new version. In the strict variant, operators
// withdraw a key by publishing a contract without it, and change a zone by publishing a
// certified document.
func raceOperators(t *testing.T, seed uint64, strict bool, sum *changeStats) {
	runFleet(t, 3, 3, func(f *fleet) {
		var mu sync.Mutex
		end := time.Now().Add(10 * time.Minute)
		var g errgroup.Group
		for operator := range 8 {
			random := rand.New(rand.NewPCG(seed, uint64(operator)))
			think := func() { time.Sleep(2*time.Second + time.Duration(random.IntN(18000))*time.Millisecond) }
			g.Go(func() error {
				for time.Now().Before(end) {
					n := f.node(random.IntN(3))
					name := "account-" + string(rune('a'+random.IntN(8)))
					kind := random.IntN(10)
					begun := time.Now()
					rejected := 0
					for {
						c := newChange(n, name, kind, strict)
						think()
						_, err := n.Publish(context.Background(), c)
						if err == nil {
							break
						}
						if !errors.Is(err, ledger.ErrConflict) {
							f.t.Error(err)
						}
						rejected++
					}
					mu.Lock()
					sum.changes++
					sum.rejected += rejected
					if kind == 6 || kind == 7 {
						sum.withdrawals++
						sum.withdrawalRetries += rejected
						sum.withdrawalTime += time.Since(begun)
						sum.slowestWithdrawal = max(sum.slowestWithdrawal, time.Since(begun))
					}
					mu.Unlock()
				}
				return nil
			})
		}
		g.Wait()
	})
}

// newChange returns a change based on a node's configuration. Of the 10 values of kind, 6
// edit a contract, 2 withdraw a key, 1 takes a zone out and 1 returns it to service.
func newChange(n *node, name string, kind int, strict bool) ledger.Change {
	id := ledger.NewID()
	_, version, _ := n.Ledger().Contract(name)
	key := contract.HashKey(id)
	switch {
	case kind < 6 || kind < 8 && strict:
		return ledger.NewPublishContract(id, version, contract.New(name, 1, 1, []contract.KeyHash{key}, nil))
	case kind < 8:
		return ledger.NewWithdrawKey(id, key)
	case strict:
		_, version, _ := n.Ledger().Service("zone")
		return ledger.NewPublishService(id, version, contract.NewService("zone", 1, 1, 0, []contract.Route{contract.NewRoute("r", "/")}))
	case kind == 8:
		return ledger.NewZoneOut(id, "north")
	}
	_, version = n.Ledger().Zone("north")
	return ledger.NewZoneIn(id, version, "north")
}
