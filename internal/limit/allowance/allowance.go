package allowance

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

// PartitionCount is the number of partitions that accounts are hashed to.
const PartitionCount = 64

// Leases reports which node owns a partition. Holds returns whether this node
// does and for how long at least. Holder returns the node that is believed to
// be the owner, which may be any node.
type Leases interface {
	Holds(name string) (time.Duration, bool)
	Holder(name string) (node string, ok bool)
}

// Caller sends a call to another node.
type Caller interface {
	Call(ctx context.Context, node, method string, params, result any) error
}

// Contracts returns the contract in force and the version of its document.
type Contracts interface {
	Contract(account string) (c *contract.Contract, version ledger.Version, ok bool)
}

// Handlers registers handlers for calls from other nodes.
type Handlers interface {
	Handle(method string, handler func(ctx context.Context, from string, params json.RawMessage) (any, error))
}

// Config holds the settings and dependencies of New.
type Config struct {
	// Self is this node's identity.
	Self string
	// Incarnation is a random number chosen at process start.
	Incarnation string
	// Leases reports which node owns each partition.
	Leases Leases
	// Caller sends calls to the other nodes.
	Caller Caller
	// Contracts returns the contracts that this node has applied.
	Contracts Contracts
	// Nodes lists the other nodes.
	Nodes func() []string
	// Events records grant changes and expiries and new owners; may be nil.
	Events *event.Ring
	// Logger is optional; nil disables logging.
	Logger *zap.Logger
	// Clock is optional; nil means the machine's clocks.
	Clock clock.Source
}

// Limiter admits requests within the rates of their accounts. It is safe for
// concurrent use.
type Limiter struct {
	config     Config
	leaseNames []string
	ctx        context.Context // ends the calls in progress when canceled
	cancel     context.CancelFunc
	tasks      errgroup.Group

	reportSignal     chan struct{} // signals that a report is due
	pendingMu        sync.Mutex
	accountsToReport []*localAccount // accounts whose report is due; may contain an account twice

	spawnMu  sync.RWMutex // keeps tasks from starting while Run waits for them
	stopping bool

	mu            sync.RWMutex
	localAccounts map[string]*localAccount

	partitionsMu sync.Mutex
	partitions   map[string]*partition
	phase        phase

	unresponsiveMu sync.Mutex
	unresponsive   map[string]clock.Mark // by node: when a call to it last failed
}

// New returns a Limiter that owns no partition and holds no grant yet.
func New(config Config) *Limiter {
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Clock == nil {
		config.Clock = clock.System{}
	}
	if config.Nodes == nil {
		config.Nodes = func() []string { return nil }
	}
	a := &Limiter{
		config:        config,
		reportSignal:  make(chan struct{}, 1),
		localAccounts: make(map[string]*localAccount),
		partitions:    make(map[string]*partition),
		unresponsive:  make(map[string]clock.Mark),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	for i := range PartitionCount {
		a.leaseNames = append(a.leaseNames, partitionName(i))
	}
	return a
}

// Intervals of the periodic work.
const (
	maintainInterval   = 100 * time.Millisecond
	leaseCheckInterval = 500 * time.Millisecond
)

// Run renews grants and checks the leases of the partitions until ctx ends. It
// then cancels the calls in progress and waits for them.
func (a *Limiter) Run(ctx context.Context) error {
	defer a.stop()
	maintainTicker := time.NewTicker(maintainInterval)
	defer maintainTicker.Stop()
	leaseTicker := time.NewTicker(leaseCheckInterval)
	defer leaseTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-maintainTicker.C:
			a.maintainGrants()
		case <-leaseTicker.C:
			a.checkLeases()
			a.forgetUnresponsive()
		case <-a.reportSignal:
			a.sendDueReports(ctx)
		}
	}
}

func (a *Limiter) stop() {
	a.spawnMu.Lock()
	a.stopping = true
	a.spawnMu.Unlock()
	a.cancel()
	a.tasks.Wait() //nolint:errcheck // tasks return no errors.
}

// spawn starts a task in the background. It returns false if Run has ended.
func (a *Limiter) spawn(task func()) bool {
	a.spawnMu.RLock()
	defer a.spawnMu.RUnlock()
	if a.stopping {
		return false
	}
	a.tasks.Go(func() error {
		task()
		return nil
	})
	return true
}

// sendDueReports waits for reportDelay to collect reports and then sends them.
func (a *Limiter) sendDueReports(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(reportDelay):
	}
	for owner, reports := range a.collectReports() {
		a.spawn(func() { a.sendReports(a.ctx, owner, reports) })
	}
}

// Drain prepares a planned stop. It returns the grants held here. Then it
// waits, for about 5 s at most, until every grant issued here expires within
// the next owner's grace period, and finally 50 ms until the loans issued
// during the wait have expired. This node serves as before until those last 50
// ms; from then on it acts as no partition's owner. If Drain returns an error,
// the leases of the partitions must not be released but left to expire,
// because the next owner would lend again what is still in use in grants that
// outlive its grace period.
func (a *Limiter) Drain(ctx context.Context) error {
	a.setPhase(draining)
	a.returnGrants(ctx)
	for wait := a.timeUntilReleasable(); wait > 0; wait = a.timeUntilReleasable() {
		if err := sleep(ctx, wait); err != nil {
			return merry.Errorf("Limiter.Drain: issued grants are valid for too long to release the leases: %w", err)
		}
	}
	a.setPhase(closed)
	if err := sleep(ctx, drainLoanValidity); err != nil {
		return merry.Errorf("Limiter.Drain: issued loans have not expired: %w", err)
	}
	return nil
}

func (a *Limiter) setPhase(p phase) {
	a.partitionsMu.Lock()
	defer a.partitionsMu.Unlock()
	a.phase = p
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (a *Limiter) returnGrants(ctx context.Context) {
	a.mu.RLock()
	for _, l := range a.localAccounts {
		l.mu.Lock()
		if a.refreshGrant(l) && !l.calling {
			a.returnGrant(l)
		}
		l.mu.Unlock()
	}
	a.mu.RUnlock()
	for owner, reports := range a.collectReports() {
		a.sendReports(ctx, owner, reports)
	}
}

// sendReports sends reports to one owner. A report that is lost is not sent
// again: the node's next report or the expiry of its grant replaces it.
func (a *Limiter) sendReports(ctx context.Context, owner string, reports []report) {
	var reply struct{}
	if err := a.call(ctx, owner, methodReturn, returnRequest{Reports: reports}, &reply); err != nil {
		a.config.Logger.Debug("could not send reports of held grants to the owner", zap.String("home", owner), zap.Error(err))
	}
}

// Partition returns the lease name of an account's partition.
func (a *Limiter) Partition(account string) string {
	h := fnv.New32a()
	h.Write([]byte(account)) //nolint:errcheck // hash.Hash.Write never returns an error.
	return a.leaseNames[h.Sum32()%PartitionCount]
}

// Partitions returns the lease names of all partitions, for the lease table.
func (a *Limiter) Partitions() []string {
	return append([]string(nil), a.leaseNames...)
}

func partitionName(i int) string { return fmt.Sprintf("account/%02d", i) }
