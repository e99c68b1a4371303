package allowance_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/fleet/lease"
	"chestnutbay.dev/chestnutbay/internal/limit/allowance"
)

// fleet simulates nodes and the network between them, in memory and in virtual
// time. It must be used inside a synctest bubble.
type fleet struct {
	t          testing.TB
	rng        *rand.Rand
	group      errgroup.Group
	leaseNames []string // leases of the partitions that the accounts need
	faulty     faultyRules

	mu          sync.Mutex
	nodes       map[string]*node
	cuts        map[[2]string]bool
	lossRate    float64                       // share of messages lost, each way
	jitter      time.Duration                 // upper bound of the random delay added to baseDelay
	lateShare   float64                       // share of replies accepted after their deadline
	contracts   map[string]*contract.Contract // latest published
	history     map[string][]admission
	doubleHolds []string                    // moments at which two nodes held a lease
	extraDelay  map[[2]string]time.Duration // by sender and receiver
	faultPrefix string                      // prefix of the methods that extraDelay and cuts apply to
	countOnly   atomic.Bool                 // count messages, but do not look for two owners
	messages    map[string]int
	bytes       map[string]int
}

// faultyRules replaces rules by deliberately faulty ones, to show that the checks
// detect them.
type faultyRules struct {
	quorum           int  // 0: majority
	noWait           bool // voters do not wait after a restart
	leaseFromReceipt bool // votes count from the receipt of the reply
	grantFromReceipt bool // grants count from the receipt of the reply
	fullBucket       bool // a new owner starts with a full bucket and counts no earlier grants
	noDrain          bool // an owner releases its leases without Drain
	monotonic        bool // leases and grants expire at their holders by the monotonic clock only
}

type admission struct {
	at   time.Time
	node string
}

// node is one VM. A restart creates a new node with the same identity.
type node struct {
	fleet         *fleet
	id            string
	incarnation   string
	index         int
	table         *lease.Table
	allowance     *allowance.Limiter
	handlers      map[string]func(context.Context, string, json.RawMessage) (any, error)
	cancel        context.CancelFunc
	dead          bool
	resumed       chan struct{}           // closed unless the node is paused
	pauses        atomic.Pointer[[]pause] // pauses in which the monotonic clock stands still
	lastTakeReply time.Time               // when the last reply to a take arrived
	ownerSince    map[string]time.Time    // when it became the owner, by lease
	contracts     map[string]*contract.Contract
}

type pause struct{ from, to time.Time }

const baseDelay = time.Millisecond

func newFleet(t testing.TB, seed uint64, n int, contracts ...*contract.Contract) *fleet {
	return newFaultyFleet(t, seed, n, faultyRules{}, contracts...)
}

func newFaultyFleet(t testing.TB, seed uint64, n int, faulty faultyRules, contracts ...*contract.Contract) *fleet {
	f := &fleet{
		t: t, faulty: faulty, rng: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*node), cuts: make(map[[2]string]bool),
		jitter: time.Millisecond, contracts: make(map[string]*contract.Contract), history: make(map[string][]admission),
		extraDelay: make(map[[2]string]time.Duration), messages: make(map[string]int), bytes: make(map[string]int),
	}
	partitioner := allowance.New(allowance.Config{})
	for _, c := range contracts {
		f.contracts[c.Account()] = c
		if name := partitioner.Partition(c.Account()); !slices.Contains(f.leaseNames, name) {
			f.leaseNames = append(f.leaseNames, name)
		}
	}
	for i := range n {
		f.start(i, n)
	}
	return f
}

// start starts node i of a fleet of n.
func (f *fleet) start(i, n int) {
	running := make(chan struct{})
	close(running)
	d := &node{
		ownerSince: make(map[string]time.Time), fleet: f, id: fmt.Sprintf("n%02d", i), index: i, resumed: running, contracts: make(map[string]*contract.Contract),
		handlers: make(map[string]func(context.Context, string, json.RawMessage) (any, error)),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for account, c := range f.contracts {
		d.contracts[account] = c
	}
	incarnation := fmt.Sprint(f.rng.Uint32())
	d.incarnation = incarnation
	quorum := n/2 + 1
	if f.faulty.quorum > 0 {
		quorum = f.faulty.quorum
	}
	var source clock.Source = d
	if f.faulty.noWait {
		source = noWaitClock{node: d, started: time.Now()}
	}
	d.table = lease.New(lease.Config{
		Self: d.id, Incarnation: incarnation, Quorum: func() int { return quorum }, Rank: d.rank, Clock: source,
	})
	d.table.SetNames(f.leaseNames)
	d.allowance = allowance.New(allowance.Config{
		Self: d.id, Incarnation: incarnation, Leases: d, Caller: d, Contracts: d, Nodes: d.others, Clock: d.grantClock(),
	})
	d.allowance.Register(d)
	d.Handle("heartbeat", d.vote)
	var ctx context.Context
	ctx, d.cancel = context.WithCancel(context.Background())
	f.nodes[d.id] = d
	f.group.Go(func() error { return d.table.Run(ctx) })
	f.group.Go(func() error { return d.allowance.Run(ctx) })
	f.group.Go(func() error { return d.heartbeats(ctx) })
}

func (d *node) Handle(method string, h func(context.Context, string, json.RawMessage) (any, error)) {
	d.handlers[method] = h
}

// Contract implements allowance.Contracts with the contracts that this node has
// applied.
func (d *node) Contract(account string) (*contract.Contract, ledger.Version, bool) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	c, ok := d.contracts[account]
	return c, 0, ok
}

// Holds implements allowance.Leases. At each use of a lease it checks that no
// other node holds it.
func (d *node) Holds(name string) (time.Duration, bool) {
	remaining, ok := d.table.Holds(name)
	if d.fleet.countOnly.Load() || d.isDead() {
		return remaining, ok
	}
	d.fleet.mu.Lock()
	if !ok {
		delete(d.ownerSince, name)
	} else if d.ownerSince[name].IsZero() {
		d.ownerSince[name] = time.Now()
	}
	d.fleet.mu.Unlock()
	if ok {
		d.fleet.checkSoleHolder(d, name)
	}
	return remaining, ok
}

// checkSoleHolder records every other node that holds the lease too.
func (f *fleet) checkSoleHolder(holder *node, name string) {
	f.mu.Lock()
	var others []*node
	for _, d := range f.nodes {
		if d != holder && !d.dead {
			others = append(others, d)
		}
	}
	f.mu.Unlock()
	for _, d := range others {
		if _, ok := d.table.Holds(name); ok {
			f.mu.Lock()
			f.doubleHolds = append(f.doubleHolds, fmt.Sprintf("%s: %s and %s at %s", name, holder.id, d.id, time.Now()))
			f.mu.Unlock()
		}
	}
}

func (d *node) Holder(name string) (string, bool) { return d.table.Holder(name) }

// others lists the other nodes as the platform does, which keeps dead nodes on
// the list.
func (d *node) others() []string {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	var list []string
	for id := range d.fleet.nodes {
		if id != d.id {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// rank returns the node's rank by rendezvous hashing over all listed nodes.
func (d *node) rank(name string) int {
	weight := func(id string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(id + "\x00" + name))
		return h.Sum64() * 0x9e3779b97f4a7c15
	}
	rank := 0
	for _, other := range d.others() {
		if weight(other) > weight(d.id) {
			rank++
		}
	}
	return rank
}

// Elapsed implements clock.Source, with the monotonic time if that rule is
// faulty.
func (d *node) Elapsed(m clock.Mark) time.Duration {
	if d.fleet.faulty.monotonic {
		return d.Monotonic(m)
	}
	return clock.Elapsed(m)
}

// Monotonic implements clock.Source. It does not count the node's pauses with a
// stopped clock.
func (d *node) Monotonic(m clock.Mark) time.Duration {
	e := clock.Elapsed(m)
	if m.IsZero() {
		return e
	}
	pauses := d.pauses.Load()
	if pauses == nil {
		return e
	}
	for _, p := range *pauses {
		from, to := p.from, p.to
		if m.Time().After(from) {
			from = m.Time()
		}
		if to.After(from) {
			e -= to.Sub(from)
		}
	}
	return e
}

// noWaitClock reports an hour since the start of a voter, so that the voter does
// not wait.
type noWaitClock struct {
	*node
	started time.Time
}

func (c noWaitClock) Monotonic(m clock.Mark) time.Duration {
	if m.Time().Equal(c.started) {
		return time.Hour
	}
	return c.node.Monotonic(m)
}

// grantClock returns the clock for grants, which implements some of the faulty
// rules.
func (d *node) grantClock() clock.Source {
	switch {
	case d.fleet.faulty.fullBucket:
		return fullBucketClock{node: d}
	case d.fleet.faulty.grantFromReceipt:
		return receiptClock{node: d}
	}
	return d
}

// fullBucketClock reports an hour since the node became an owner, so that its
// bucket is full and the grants of earlier owners count as expired.
type fullBucketClock struct{ *node }

func (c fullBucketClock) Monotonic(m clock.Mark) time.Duration {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for _, at := range c.ownerSince {
		if m.Time().Equal(at) {
			return time.Hour
		}
	}
	return c.node.Monotonic(m)
}

// receiptClock implements a faulty rule: a time that began before the last
// reply to a take is measured from the arrival of that reply.
type receiptClock struct{ *node }

func (c receiptClock) Elapsed(m clock.Mark) time.Duration {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if !m.IsZero() && c.lastTakeReply.After(m.Time()) {
		return time.Since(c.lastTakeReply)
	}
	return c.node.Elapsed(m)
}

var errLost = errors.New("no reply")

// Call implements allowance.Caller.
func (d *node) Call(ctx context.Context, to, method string, params, result any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply := make(chan json.RawMessage, 1)
	d.fleet.group.Go(func() error {
		d.deliver(to, method, data, reply)
		return nil
	})
	select {
	case data := <-reply:
		return d.receive(method, data, result)
	case <-ctx.Done():
	}
	if !d.fleet.acceptsLate() {
		return ctx.Err()
	}
	select {
	case data := <-reply:
		return d.receive(method, data, result)
	case <-time.After(8 * time.Second):
		return errLost
	}
}

func (d *node) receive(method string, data json.RawMessage, result any) error {
	d.awaitResume()
	if method == "allowance.take" {
		d.fleet.mu.Lock()
		d.lastTakeReply = time.Now()
		d.fleet.mu.Unlock()
	}
	if data == nil {
		return errLost
	}
	return json.Unmarshal(data, result)
}

// deliver takes a request to a node and the reply back.
func (d *node) deliver(to, method string, data []byte, replies chan<- json.RawMessage) {
	f := d.fleet
	d.awaitResume()
	f.mu.Lock()
	f.messages[method]++
	f.bytes[method] += len(data)
	f.mu.Unlock()
	target := f.transmit(d, d.id, to, method)
	if target == nil {
		return
	}
	target.awaitResume()
	reply, err := target.handlers[method](context.Background(), d.id, data)
	if err != nil {
		replies <- nil
		return
	}
	target.awaitResume()
	out, err := json.Marshal(reply)
	if err != nil {
		panic(err)
	}
	f.mu.Lock()
	f.bytes[method] += len(out)
	f.mu.Unlock()
	if target.isDead() || f.transmit(target, to, d.id, method) == nil {
		return
	}
	replies <- out
}

// acceptsLate decides whether a caller accepts a reply after its deadline.
func (f *fleet) acceptsLate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lateShare > 0 && f.rng.Float64() < f.lateShare
}

// transmit delays a message and returns the node that it reaches, or nil if it is
// lost.
func (f *fleet) transmit(sender *node, from, to, method string) *node {
	f.mu.Lock()
	lost := f.rng.Float64() < f.lossRate || sender.dead
	delay := baseDelay + time.Duration(f.rng.Int64N(int64(f.jitter)+1))
	if strings.HasPrefix(method, f.faultPrefix) {
		lost = lost || f.cuts[[2]string{from, to}]
		delay += f.extraDelay[[2]string{from, to}]
	}
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	target := f.nodes[to]
	if lost || target == nil || target.dead {
		return nil
	}
	return target
}

func (d *node) isDead() bool {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return d.dead
}

func (d *node) paused() bool {
	select {
	case <-d.resumed:
		return false
	default:
		return true
	}
}

func (d *node) awaitResume() {
	d.fleet.mu.Lock()
	resumed := d.resumed
	d.fleet.mu.Unlock()
	<-resumed
}

type heartbeat struct {
	Incarnation string       `json:"inc"`
	Claims      lease.Claims `json:"claims"`
}

func (d *node) vote(_ context.Context, from string, params json.RawMessage) (any, error) {
	var h heartbeat
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, err
	}
	return d.table.Vote(from, h.Incarnation, h.Claims), nil
}

func (d *node) heartbeats(ctx context.Context) error {
	for {
		sent := clock.Now()
		claims := d.table.Claims()
		for _, peer := range d.others() {
			d.fleet.group.Go(func() error {
				call, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				var votes lease.Votes
				if d.Call(call, peer, "heartbeat", heartbeat{Incarnation: d.incarnation, Claims: claims}, &votes) == nil {
					sent := sent
					if d.fleet.faulty.leaseFromReceipt {
						sent = clock.Now()
					}
					d.table.Count(peer, sent, votes)
				}
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(1500 * time.Millisecond):
		case <-d.table.Urgent():
		}
	}
}

// kill stops a node without warning.
func (f *fleet) kill(id string) {
	f.mu.Lock()
	d := f.nodes[id]
	d.dead = true
	f.mu.Unlock()
	d.cancel()
}

// leave stops a node as planned: it drains, releases its leases and stops.
func (f *fleet) leave(id string) {
	f.mu.Lock()
	d := f.nodes[id]
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 7*time.Second)
	defer cancel()
	if !f.faulty.noDrain && d.allowance.Drain(ctx) != nil {
		f.kill(id) // the leases expire
		return
	}
	names := d.table.ReleaseAll()
	for _, peer := range f.live() {
		peer.table.EndVotes(id, d.incarnation, names)
	}
	f.kill(id)
}

// pause pauses a node. If stopped is true, its monotonic clock stands still
// meanwhile.
func (f *fleet) pause(id string, length time.Duration, stopped bool) {
	f.mu.Lock()
	d := f.nodes[id]
	if stopped {
		now := time.Now()
		d.pauses.Store(&[]pause{{from: now, to: now.Add(length)}})
	}
	resumed := make(chan struct{})
	d.resumed = resumed
	f.mu.Unlock()
	f.group.Go(func() error {
		time.Sleep(length)
		close(resumed)
		return nil
	})
}

// cut blocks messages from one node to another and, if both is true, back.
func (f *fleet) cut(from, to string, both bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]string{from, to}] = true
	if both {
		f.cuts[[2]string{to, from}] = true
	}
}

// isolate blocks all messages from a node and, if both is true, to it.
func (f *fleet) isolate(id string, both bool) {
	for other := range f.nodes {
		if other != id {
			f.cut(id, other, both)
		}
	}
}

// heal removes all cuts.
func (f *fleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cuts)
}

// delay delays messages from one node to others. From now on, callers also accept
// all replies that arrive after their deadline.
func (f *fleet) delay(by time.Duration, from string, to ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateShare = 1
	for _, id := range to {
		f.extraDelay[[2]string{from, id}] = by
	}
}

// degrade sets the loss, the share of late replies accepted and the jitter of the
// whole network.
func (f *fleet) degrade(loss, late float64, jitter time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossRate, f.lateShare, f.jitter = loss, late, jitter
}

// limitFaults restricts cuts and delays to the calls of package allowance.
func (f *fleet) limitFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faultPrefix = "allowance"
}

// owner returns the live owner of an account, or "".
func (f *fleet) owner(account string) string {
	for _, d := range f.live() {
		if _, ok := d.table.Holds(d.allowance.Partition(account)); ok {
			return d.id
		}
	}
	return ""
}

// live returns the running nodes by index.
func (f *fleet) live() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*node
	for _, d := range f.nodes {
		if !d.dead && !d.paused() {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(a, b *node) int { return a.index - b.index })
	return list
}

// publish changes a contract. The nodes apply it one after the other, all of them
// within spread.
func (f *fleet) publish(c *contract.Contract, spread time.Duration) {
	f.mu.Lock()
	f.contracts[c.Account()] = c
	var nodes []*node
	for _, d := range f.nodes {
		nodes = append(nodes, d)
	}
	slices.SortFunc(nodes, func(a, b *node) int { return a.index - b.index })
	f.mu.Unlock()
	for i, d := range nodes {
		f.group.Go(func() error {
			time.Sleep(spread * time.Duration(i) / time.Duration(len(nodes)))
			f.mu.Lock()
			defer f.mu.Unlock()
			d.contracts[c.Account()] = c
			return nil
		})
	}
}

// admit sends a request to a node and records its admission.
func (f *fleet) admit(d *node, account string) bool {
	c, _, _ := d.Contract(account)
	err := d.allowance.Admit(context.Background(), c)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || d.dead {
		return false
	}
	f.history[account] = append(f.history[account], admission{at: time.Now(), node: d.id})
	return true
}

// stop stops all nodes and waits for all goroutines.
func (f *fleet) stop() {
	f.mu.Lock()
	for _, d := range f.nodes {
		d.cancel()
	}
	f.mu.Unlock()
	f.group.Wait()
}

// limit is the rate and burst that a contract allows from a point in time on.
type limit struct {
	from        time.Time
	rate, burst float64
}

// overAdmitted looks for windows with more admissions than rate·w + burst. It
// returns the index of the admission that ends the worst one and its excess;
// index is -1 if there is none. A token bucket that starts full accepts the
// history if and only if there is no such window.
func overAdmitted(history []admission, limits ...limit) (index int, excess float64) {
	sorted := slices.Clone(history)
	slices.SortStableFunc(sorted, func(a, b admission) int { return a.at.Compare(b.at) })
	current := limits[0]
	limits = limits[1:]
	tokens := current.burst
	worst, at := 0.0, -1
	for i, next := range sorted {
		last := next.at
		if i > 0 {
			last = sorted[i-1].at
		}
		for len(limits) > 0 && !limits[0].from.After(next.at) {
			tokens = min(current.burst, tokens+current.rate*limits[0].from.Sub(last).Seconds())
			last = limits[0].from
			tokens = min(tokens+max(limits[0].burst-current.burst, 0), limits[0].burst)
			current, limits = limits[0], limits[1:]
		}
		tokens = min(current.burst, tokens+current.rate*next.at.Sub(last).Seconds()) - 1
		if -tokens > worst+1e-6 {
			worst, at = -tokens, i
		}
	}
	return at, worst
}

// inVirtualTime runs a test in virtual time.
func inVirtualTime(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, run)
}
