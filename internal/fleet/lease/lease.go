package lease

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

// Times of the protocol. TTL must be the same on all nodes.
const (
	// TTL is how long a vote lasts after the voter received the claim.
	TTL = 5 * time.Second
	// driftMargin shortens a lease at its holder, so that clocks whose rates
	// differ by up to 1% do not let two nodes hold it.
	driftMargin = TTL / 100
	// rankDelay is how much later each further candidate claims a vacant name, so
	// that the first one usually has no rival.
	rankDelay = 300 * time.Millisecond
	// claimTimeout withdraws a claim that found no quorum, so that a split vote
	// does not block the name for TTL. Two heartbeat round trips fit in it.
	claimTimeout = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the random delay after a failed
	// claim.
	minRetryDelay, maxRetryDelay = 100 * time.Millisecond, 700 * time.Millisecond
	// stepInterval is how often the table checks its claims and looks for vacant
	// names.
	stepInterval = 100 * time.Millisecond
	// renewBelow is the remaining time below which the votes are counted again.
	// Counting at each heartbeat reply would cost n² comparisons.
	renewBelow = 4 * time.Second
	// claimantMaxAge is how long a claimant that sends no messages is remembered.
	// The votes for it have expired long before.
	claimantMaxAge = time.Minute
)

// Config holds the settings and dependencies of New. Quorum and Rank must not
// call the table: the table calls both with its lock held.
type Config struct {
	// Self is this node's identity.
	Self string
	// Incarnation is a random number chosen at process start.
	Incarnation string
	// Quorum returns how many votes make a lease.
	Quorum func() int
	// Rank returns this node's preference rank for a name: rank 0 claims it
	// first; a node with rank -1 does not claim it.
	Rank func(name string) int
	// Events records acquired and lost leases; may be nil.
	Events *event.Ring
	// Logger is optional; nil disables logging.
	Logger *zap.Logger
	// Clock is optional; nil means the machine's clocks.
	Clock clock.Source
}

// Table holds the votes that this node has given and its own claims and leases.
// It is safe for concurrent use.
type Table struct {
	config  Config
	started clock.Mark
	urgent  chan struct{}

	mu           sync.Mutex
	sequence     uint64
	names        map[string]*nameState
	claims       map[string]*claim
	cachedClaims Claims
	votes        map[string]vote
	claimants    map[string]*claimant
	released     map[string]bool
	cleanedUpAt  clock.Mark
	stopped      bool
}

// nameState is what a node knows of a name that it may claim.
type nameState struct {
	vacantSince clock.Mark // zero while a vote for the name stands
	notBefore   clock.Mark // no new claim until delay after this mark
	delay       time.Duration
	holder      string // last holder named in a denial
	holderSeen  clock.Mark
	holderFor   time.Duration // how long the denial's vote lasts, from holderSeen
}

// claim is a name that this node claims or holds.
type claim struct {
	started        clock.Mark
	votes          map[string]clock.Mark // by voter: when the claim that got its vote was sent
	denied         map[string]bool       // voters whose vote another node has
	held           bool                  // a quorum has voted for it
	leaseStart     clock.Mark            // send time of the oldest vote that the quorum needs
	previousHolder string                // last known holder, for the event
}

// vote is this node's vote for a process to hold a name.
type vote struct {
	node, incarnation string
	receivedAt        clock.Mark // when the claim was received
}

// claimant is what a voter knows of a process from its last claims.
type claimant struct {
	incarnation string
	sequence    uint64
	names       map[string]bool // names for which it has the vote
	seen        clock.Mark
}

// New returns a table that gives no vote until TTL has passed.
func New(config Config) *Table {
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Clock == nil {
		config.Clock = clock.System{}
	}
	return &Table{
		config:    config,
		started:   clock.Now(),
		urgent:    make(chan struct{}, 1),
		names:     make(map[string]*nameState),
		claims:    make(map[string]*claim),
		votes:     make(map[string]vote),
		claimants: make(map[string]*claimant),
		released:  make(map[string]bool),
	}
}

// Run claims vacant names and renews this node's own votes until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.step()
		}
	}
}

// Urgent receives when a new claim or a withdrawal should not wait for the next
// heartbeat.
func (t *Table) Urgent() <-chan struct{} { return t.urgent }

// requestHeartbeat signals on Urgent that a heartbeat should be sent now.
func (t *Table) requestHeartbeat() {
	select {
	case t.urgent <- struct{}{}:
	default:
	}
}

// SetNames sets the names that have leases. The table claims a vacant name if this
// node has a rank for it; it keeps a held lease whatever the rank. Leases of
// names that are missing from the list are released.
func (t *Table) SetNames(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make(map[string]*nameState, len(names))
	for _, name := range names {
		state := t.names[name]
		if state == nil {
			state = new(nameState)
		}
		states[name] = state
	}
	t.names = states
	for name := range t.claims {
		if states[name] == nil {
			t.withdraw(name, true)
		}
	}
}

// Holds reports whether this node holds the name's lease, and for how long at
// least.
func (t *Table) Holds(name string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.remaining(t.claims[name])
}

func (t *Table) remaining(c *claim) (time.Duration, bool) {
	if c == nil || !c.held {
		return 0, false
	}
	remaining := TTL - driftMargin - t.config.Clock.Elapsed(c.leaseStart)
	return max(remaining, 0), remaining > 0
}

// Holder returns the node that this node believes to hold the name's lease.
func (t *Table) Holder(name string) (node string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.remaining(t.claims[name]); ok {
		return t.config.Self, true
	}
	if given, ok := t.votes[name]; ok && given.node != t.config.Self && !t.expired(given) {
		return given.node, true
	}
	state := t.names[name]
	if state != nil && state.holder != "" && t.config.Clock.Elapsed(state.holderSeen) < state.holderFor {
		return state.holder, true
	}
	return "", false
}

// Claims returns the claims to send to every voter. The caller must take the mark
// for Count before it calls Claims.
func (t *Table) Claims() Claims {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.currentClaims()
}

// currentClaims returns the names that are claimed or held. The result is cached
// until it changes, because every heartbeat reply needs it.
func (t *Table) currentClaims() Claims {
	if t.cachedClaims.Sequence == t.sequence && len(t.cachedClaims.Names) == len(t.claims) {
		return t.cachedClaims
	}
	c := Claims{Sequence: t.sequence}
	for name := range t.claims {
		c.Names = append(c.Names, name)
	}
	slices.Sort(c.Names)
	t.cachedClaims = c
	return c
}

// Vote handles the claims of a process. It gives the process this node's vote
// for each claimed name, except for names whose vote another process has.
func (t *Table) Vote(from, incarnation string, c Claims) Votes {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.vote(from, incarnation, c)
}

func (t *Table) vote(from, incarnation string, c Claims) Votes {
	v := Votes{Sequence: c.Sequence}
	if wait := TTL - t.config.Clock.Monotonic(t.started); wait > 0 {
		// The votes of an earlier process on this VM are not known.
		return v.denyAll(c, wait)
	}
	process := t.claimants[from]
	if process == nil || process.incarnation != incarnation {
		process = &claimant{incarnation: incarnation, names: make(map[string]bool)}
		t.claimants[from] = process
	}
	process.seen = clock.Now()
	if c.Sequence < process.sequence {
		return v.denyAll(c, 0)
	}
	if c.Sequence > process.sequence {
		process.sequence = c.Sequence
		t.endWithdrawn(from, process, c)
	}
	now := clock.Now()
	for i, name := range c.Names {
		given, ok := t.votes[name]
		if ok && (given.node != from || given.incarnation != incarnation) && !t.expired(given) {
			remaining := TTL - t.config.Clock.Monotonic(given.receivedAt)
			v.Denied = append(v.Denied, Denial{Index: i, Holder: given.node, Millis: remaining.Milliseconds() + 1})
			continue
		}
		t.votes[name] = vote{node: from, incarnation: incarnation, receivedAt: now}
		process.names[name] = true
	}
	return v
}

func (v Votes) denyAll(c Claims, wait time.Duration) Votes {
	for i := range c.Names {
		v.Denied = append(v.Denied, Denial{Index: i, Millis: wait.Milliseconds() + 1})
	}
	return v
}

// endWithdrawn ends the votes for names that the claimant no longer claims.
func (t *Table) endWithdrawn(from string, process *claimant, c Claims) {
	listed := make(map[string]bool, len(c.Names))
	for _, name := range c.Names {
		listed[name] = true
	}
	for name := range process.names {
		if !listed[name] {
			t.endVote(from, process.incarnation, name)
			delete(process.names, name)
		}
	}
}

func (t *Table) endVote(from, incarnation, name string) {
	given, ok := t.votes[name]
	if ok && given.node == from && given.incarnation == incarnation {
		delete(t.votes, name)
	}
}

// EndVotes ends the votes for a process that released its leases. A process never
// claims a name again after it has released it, so a late call does no harm.
func (t *Table) EndVotes(from, incarnation string, names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range names {
		t.endVote(from, incarnation, name)
	}
}

// expired reports whether a vote has expired. It uses the monotonic clock only: a
// wall clock that steps forward must not end a vote early.
func (t *Table) expired(given vote) bool {
	return t.config.Clock.Monotonic(given.receivedAt) >= TTL
}

// Count adds a peer's votes for the claims that were sent at the given time.
func (t *Table) Count(peer string, sent clock.Mark, v Votes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(peer, sent, v, t.currentClaims())
}

func (t *Table) count(peer string, sent clock.Mark, v Votes, c Claims) {
	if v.Sequence != c.Sequence {
		// The list of claims has changed since these claims were sent, so the
		// positions in the denials no longer match it. The next heartbeat
		// carries the current list.
		return
	}
	var denied map[int]Denial
	for _, d := range v.Denied {
		if denied == nil {
			denied = make(map[int]Denial, len(v.Denied))
		}
		denied[d.Index] = d
	}
	var failed []string
	for i, name := range c.Names {
		if d, ok := denied[i]; ok {
			if t.addDenial(peer, name, d) {
				failed = append(failed, name)
			}
			continue
		}
		t.addVote(peer, sent, name)
	}
	for _, name := range failed {
		t.withdraw(name, false)
	}
}

func (t *Table) addVote(peer string, sent clock.Mark, name string) {
	c := t.claims[name]
	previous, ok := c.votes[peer]
	if ok && t.config.Clock.Elapsed(previous) <= t.config.Clock.Elapsed(sent) {
		return
	}
	c.votes[peer] = sent
	delete(c.denied, peer)
	if _, held := t.remaining(c); !held {
		t.countVotes(name, c)
	}
}

// addDenial records a denial. It returns true if the claim cannot succeed any
// more.
func (t *Table) addDenial(peer, name string, d Denial) bool {
	c := t.claims[name]
	delete(c.votes, peer)
	state := t.names[name]
	if state != nil && d.Holder != "" && d.Holder != t.config.Self {
		state.holder, state.holderSeen, state.holderFor = d.Holder, clock.Now(), time.Duration(d.Millis)*time.Millisecond
		c.denied[peer] = true
	}
	return !c.held && len(c.denied) >= t.config.Quorum()
}

// countVotes acquires or extends the lease if there are enough votes: it lasts
// from the send time of the oldest vote that the quorum needs.
func (t *Table) countVotes(name string, c *claim) {
	quorum := t.config.Quorum()
	if len(c.votes) < quorum || quorum < 1 {
		return
	}
	type receivedVote struct {
		sent clock.Mark
		age  time.Duration
	}
	votes := make([]receivedVote, 0, len(c.votes))
	for _, sent := range c.votes {
		votes = append(votes, receivedVote{sent: sent, age: t.config.Clock.Elapsed(sent)})
	}
	slices.SortFunc(votes, func(a, b receivedVote) int { return int(a.age - b.age) })
	oldest := votes[quorum-1]
	if oldest.age >= TTL-driftMargin {
		return
	}
	c.leaseStart = oldest.sent
	if c.held {
		return
	}
	c.held = true
	t.config.Events.Record(event.LeaseAcquired{Name: name, Previous: c.previousHolder, Votes: len(votes), Quorum: quorum})
	t.config.Logger.Debug("lease acquired", zap.String("lease", name), zap.Int("votes", len(votes)))
}

// Release releases leases at a planned stop. This process does not claim the
// names again.
func (t *Table) Release(names ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range names {
		t.released[name] = true
		if t.claims[name] != nil {
			t.withdraw(name, true)
		}
	}
}

// ReleaseAll releases every lease and makes no more claims. It returns the names,
// for the release message to the voters.
func (t *Table) ReleaseAll() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	names := t.currentClaims().Names
	for _, name := range names {
		t.withdraw(name, true)
	}
	return names
}

// withdraw removes a claim from this table and requests a heartbeat, whose
// list of claims without the name ends the votes at the voters.
func (t *Table) withdraw(name string, released bool) {
	c := t.claims[name]
	if c.held {
		t.config.Events.Record(event.LeaseLost{Name: name, Released: released})
		t.config.Logger.Info("lease lost", zap.String("lease", name), zap.Bool("released", released))
	}
	delete(t.claims, name)
	t.sequence++
	t.endVote(t.config.Self, t.config.Incarnation, name)
	if state := t.names[name]; state != nil {
		state.vacantSince = clock.Mark{}
		state.notBefore = clock.Now()
		state.delay = minRetryDelay + rand.N(maxRetryDelay-minRetryDelay)
	}
	t.requestHeartbeat()
}

// step withdraws claims that failed, makes new ones, and renews this node's own
// votes.
func (t *Table) step() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkClaims()
	t.cleanUp()
	claimsAdded := false
	for name, state := range t.names {
		if t.claims[name] == nil && t.shouldClaim(name, state) {
			t.addClaim(name, state)
			claimsAdded = true
		}
	}
	t.voteForSelf()
	if claimsAdded {
		t.requestHeartbeat()
	}
}

func (t *Table) checkClaims() {
	for name, c := range t.claims {
		remaining, held := t.remaining(c)
		if held && remaining < renewBelow {
			t.countVotes(name, c)
			continue
		}
		if held {
			continue
		}
		if c.held || t.config.Clock.Elapsed(c.started) >= claimTimeout {
			t.withdraw(name, false)
		}
	}
}

// cleanUp removes claimants and votes that are no longer needed, so that memory
// stays bounded while VMs are replaced.
func (t *Table) cleanUp() {
	if t.config.Clock.Monotonic(t.cleanedUpAt) < claimantMaxAge {
		return
	}
	t.cleanedUpAt = clock.Now()
	for node, c := range t.claimants {
		if t.config.Clock.Monotonic(c.seen) >= claimantMaxAge {
			delete(t.claimants, node)
		}
	}
	for name, given := range t.votes {
		if t.expired(given) && t.names[name] == nil {
			delete(t.votes, name)
		}
	}
}

func (t *Table) shouldClaim(name string, state *nameState) bool {
	if t.stopped || t.released[name] || t.config.Clock.Monotonic(t.started) < TTL {
		return false
	}
	if given, ok := t.votes[name]; ok && !t.expired(given) {
		state.vacantSince = clock.Mark{}
		return false
	}
	if state.holder != "" && t.config.Clock.Elapsed(state.holderSeen) < state.holderFor {
		return false
	}
	if state.vacantSince.IsZero() {
		state.vacantSince = clock.Now()
	}
	if !state.notBefore.IsZero() && t.config.Clock.Elapsed(state.notBefore) < state.delay {
		return false
	}
	rank := t.config.Rank(name)
	return rank >= 0 && t.config.Clock.Elapsed(state.vacantSince) >= time.Duration(rank)*rankDelay
}

func (t *Table) addClaim(name string, state *nameState) {
	t.sequence++
	previous := state.holder
	if given, ok := t.votes[name]; ok {
		previous = given.node
	}
	t.claims[name] = &claim{
		started:        clock.Now(),
		votes:          make(map[string]clock.Mark),
		denied:         make(map[string]bool),
		previousHolder: previous,
	}
}

func (t *Table) voteForSelf() {
	if len(t.claims) == 0 {
		return
	}
	sent := clock.Now()
	c := t.currentClaims()
	t.count(t.config.Self, sent, t.vote(t.config.Self, t.config.Incarnation, c), c)
}
