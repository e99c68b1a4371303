package pool_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
	"chestnutbay.dev/chestnutbay/internal/target/pool"
)

// runOneInstance runs a test in a fleet of one node and one warm instance.
func runOneInstance(t *testing.T, test func(f *fleet, a pool.Acquirer)) {
	l := small()
	l.zones, l.vms, l.services, l.rate = l.zones[:1], 1, map[string]int{"orders": 1}, 20
	run(t, l, nil, func(f *fleet) {
		f.warmUp()
		test(f, f.nodes[0].pools)
	})
}

// acquireWithin asks for a permit with a deadline of d.
func acquireWithin(f *fleet, d time.Duration, a pool.Acquirer, r pool.Request) (pool.Permit, error) {
	ctx, cancel := context.WithTimeout(f.ctx, d)
	defer cancel()
	r.Service, r.Route = "orders", "lookup"
	return a.Acquire(ctx, r)
}

var okOutcome = evidence.Outcome{Kind: evidence.Answered, Status: 200, FirstByte: workMean}

// Guards against bulk requests that use all slots of an instance, so that
// interactive requests get none, and against waits past the caller's deadline.
func TestBulkLeavesOneSlot(t *testing.T) {
	runOneInstance(t, func(f *fleet, a pool.Acquirer) {
		is := is.New(f.t)
		upload, err := acquireWithin(f, time.Second, a, pool.Request{Class: contract.Bulk})
		is.NoErr(err)
		began := time.Now()
		_, err = acquireWithin(f, 300*time.Millisecond, a, pool.Request{Class: contract.Bulk})
		is.True(errors.Is(err, pool.ErrRefused))
		is.True(time.Since(began) <= 300*time.Millisecond)
		lookup, err := acquireWithin(f, time.Second, a, pool.Request{})
		is.NoErr(err) // the last slot is for interactive requests
		upload.Done(okOutcome)
		_, err = acquireWithin(f, 300*time.Millisecond, a, pool.Request{Class: contract.Bulk})
		is.True(err != nil) // the only free slot is the last one
		lookup.Done(okOutcome)
		lookup.Done(okOutcome) // a second call must not free another request's slot
		first, err := acquireWithin(f, time.Second, a, pool.Request{})
		is.NoErr(err)
		second, err := acquireWithin(f, time.Second, a, pool.Request{})
		is.NoErr(err)
		_, err = acquireWithin(f, 100*time.Millisecond, a, pool.Request{})
		is.True(err != nil)
		first.Done(okOutcome)
		second.Done(okOutcome)
	})
}

// Guards against an account with many waiting requests that delay or displace
// those of a small account, against an unbounded queue, and against bulk requests
// that are served before interactive ones.
func TestAccountsTakeTurns(t *testing.T) {
	runOneInstance(t, func(f *fleet, a pool.Acquirer) {
		is := is.New(f.t)
		var held []pool.Permit
		for range 2 {
			p, err := acquireWithin(f, time.Second, a, pool.Request{})
			is.NoErr(err)
			held = append(held, p)
		}
		var g errgroup.Group
		var mu sync.Mutex
		var order []string
		refused := map[string]int{}
		ask := func(name string, r pool.Request) {
			g.Go(func() error {
				p, err := acquireWithin(f, 9*time.Second, a, r)
				mu.Lock()
				if err != nil {
					refused[name]++
					mu.Unlock()
					return nil
				}
				order = append(order, name)
				mu.Unlock()
				time.Sleep(workMean)
				p.Done(okOutcome)
				return nil
			})
			time.Sleep(time.Millisecond)
		}
		ask("bulk", pool.Request{Class: contract.Bulk, Account: "small"})
		for range 40 {
			ask("large", pool.Request{Account: "large"})
		}
		ask("small", pool.Request{Account: "small"})
		time.Sleep(30 * time.Millisecond)
		for _, p := range held {
			p.Done(okOutcome)
		}
		g.Wait()
		is.True(refused["large"] > 0) // the queue is bounded
		is.Equal(refused["small"], 0) // requests of the account with the most waiting ones are refused first
		is.Equal(order[len(order)-1], "bulk")
		is.True(order[0] == "small" || order[1] == "small" || order[2] == "small")
	})
}
