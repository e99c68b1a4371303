package allowance

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

// Times and limits of a node that asks owners for tokens.
const (
	// takeTimeout bounds how long a request waits for the owner's reply. It
	// leaves time for a direct call that gets no reply and for a call through
	// a third node.
	takeTimeout = 2*callTimeout + 20*time.Millisecond
	// callTimeout is how long one call may take; a round trip between AZs takes
	// about 3 ms.
	callTimeout = 100 * time.Millisecond
	// renewAge is the age at which a grant is renewed. Together with
	// maxGrantValidity and grantGracePeriod it keeps a grant valid for 1 s longer
	// than an election takes.
	renewAge = 1500 * time.Millisecond
	// minTakeInterval is the shortest time between two attempts to renew a grant,
	// or to refill it before it is empty.
	minTakeInterval = 250 * time.Millisecond
	// grantIdleTime is how long a grant is kept without requests.
	grantIdleTime = 3 * time.Second
	// reportDelay is how long reports are collected before they are sent in one
	// message.
	reportDelay = 5 * time.Millisecond
	// refillThreshold is the share of its capacity below which a grant is
	// refilled.
	refillThreshold = 0.25
	// unreachableRetryAfter is the retry time given to callers while the owner
	// cannot be reached.
	unreachableRetryAfter = time.Second
	// demandSmoothing is the time constant of the average demand.
	demandSmoothing = time.Second
	// clockDrift shortens the validity of grants and loans at the node that uses
	// them, because clocks may differ in rate.
	clockDrift = 0.01
)

// localAccount is what this node knows and holds of one account.
type localAccount struct {
	leaseName      string // of the account's partition
	account        string
	mu             sync.Mutex
	contract       *contract.Contract // latest contract known to be in force
	reportNumber   uint64
	grant          grant
	tokensToReturn float64 // sent with the next report
	demand         arrivalRate
	lastRequest    clock.Mark
	callStarted    clock.Mark // start of the last call to the owner
	calling        bool       // a call to the owner is in progress
	reportDue      bool
	waiters        []*waiter
	refusal        *Refusal
	refusedAt      clock.Mark
	refusalTTL     time.Duration // how long refusal is repeated without a call
}

// grant is the part of an account's rate and burst that this node may use.
type grant struct {
	epoch, number               uint64  // the owner's epoch and the number of the report that the owner replied to
	rate, capacity              float64 // as issued
	contractRate, contractBurst float64
	bucket                      bucket
	requestSent                 clock.Mark    // when the request for it was sent
	validFor                    time.Duration // counted from requestSent; 0 if there is no grant
}

// waiter is a request that waits for the owner's reply.
type waiter struct {
	done     chan struct{}
	err      error
	finished bool
}

// arrivalRate is an exponentially weighted moving average of the arrivals per
// second.
type arrivalRate struct {
	rate      float64
	updatedAt clock.Mark
}

func (v *arrivalRate) add(n float64) {
	if v.updatedAt.IsZero() {
		v.updatedAt = clock.Now()
	}
	v.decay()
	v.rate += n / demandSmoothing.Seconds()
}

func (v *arrivalRate) decay() {
	age := clock.Elapsed(v.updatedAt)
	v.updatedAt = clock.Now()
	v.rate *= math.Exp(-age.Seconds() / demandSmoothing.Seconds())
}

// localAccount returns this node's state of an account and creates it if
// necessary.
func (a *Limiter) localAccount(account string) *localAccount {
	a.mu.RLock()
	l := a.localAccounts[account]
	a.mu.RUnlock()
	if l != nil {
		return l
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if l = a.localAccounts[account]; l == nil {
		l = &localAccount{leaseName: a.Partition(account), account: account}
		a.localAccounts[account] = l
	}
	return l
}

// Admit takes one token for a request of the account. It returns nil or a
// *Refusal; a refused request has not been sent to any target. Only if the
// tokens held here are used up does the request wait for the owner's reply,
// for at most about 200 ms.
func (a *Limiter) Admit(ctx context.Context, c *contract.Contract) error {
	l := a.localAccount(c.Account())
	l.mu.Lock()
	l.demand.add(1)
	l.lastRequest = clock.Now()
	if c != l.contract {
		a.updateContract(l, c)
	}
	if a.takeFromGrant(l) {
		a.refillEarly(l)
		l.mu.Unlock()
		return nil
	}
	if ok, wait, owner := a.takeAsOwner(l.leaseName, l.account, l.demand.rate); owner {
		l.mu.Unlock()
		if ok {
			return nil
		}
		return overRateRefusal(wait)
	}
	if r := a.cachedRefusal(l); r != nil {
		l.mu.Unlock()
		return r
	}
	w := &waiter{done: make(chan struct{})}
	l.waiters = append(l.waiters, w)
	a.requestTokens(l)
	l.mu.Unlock()
	return l.awaitResult(ctx, w)
}

// updateContract stores the contract in force. It looks the contract up,
// because c may be older than the stored one.
func (a *Limiter) updateContract(l *localAccount, c *contract.Contract) {
	l.contract = c
	if current, _, ok := a.config.Contracts.Contract(l.account); ok {
		l.contract = current
	}
}

func overRateRefusal(wait time.Duration) *Refusal {
	return NewRefusal("over the client account's rate", wait)
}

func (a *Limiter) cachedRefusal(l *localAccount) *Refusal {
	if l.refusal == nil || clock.Elapsed(l.refusedAt) >= l.refusalTTL {
		return nil
	}
	return l.refusal
}

// awaitResult waits until a reply of the owner admits or refuses the request.
func (l *localAccount) awaitResult(ctx context.Context, w *waiter) error {
	timer := time.NewTimer(takeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
	case <-timer.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.finished {
		return w.err
	}
	l.waiters = slices.DeleteFunc(l.waiters, func(other *waiter) bool { return other == w })
	return unreachableRefusal()
}

func unreachableRefusal() *Refusal {
	return NewUnreachable("the home of the client account's rate cannot be reached", unreachableRetryAfter)
}

func (w *waiter) finish(err error) {
	w.err, w.finished = err, true
	close(w.done)
}

// takeFromGrant takes one token from the grant. It returns false if there is
// none.
func (a *Limiter) takeFromGrant(l *localAccount) bool {
	if !a.refreshGrant(l) {
		return false
	}
	return l.grant.bucket.take(1) == 1
}

// refreshGrant refills the grant's bucket, adapts it to the contract in force,
// and returns whether the grant is still valid.
func (a *Limiter) refreshGrant(l *localAccount) bool {
	g := &l.grant
	if g.validFor == 0 {
		return false
	}
	g.bucket.refill(a.config.Clock)
	if l.contract != nil {
		g.bucket.resize(
			g.rate*shrinkFactor(lendableRate(g.contractRate), lendableRate(l.contract.Rate())),
			g.capacity*shrinkFactor(lendableBurst(g.contractBurst), lendableBurst(l.contract.Burst())),
		)
	}
	// The validity is checked last, because the steps above take time.
	if a.stillValid(g.requestSent, g.validFor) {
		return true
	}
	a.config.Events.Record(event.GrantLapsed{Account: l.account, Tokens: g.bucket.tokens})
	*g = grant{}
	return false
}

// stillValid reports whether a grant or loan may still be used.
func (a *Limiter) stillValid(sent clock.Mark, valid time.Duration) bool {
	return a.config.Clock.Elapsed(sent) < valid-time.Duration(clockDrift*float64(valid))
}

// refillEarly asks for tokens before the grant is empty.
func (a *Limiter) refillEarly(l *localAccount) {
	b := l.grant.bucket
	if b.tokens < b.capacity*refillThreshold && clock.Elapsed(l.callStarted) >= minTakeInterval {
		a.requestTokens(l)
	}
}

// requestTokens starts a call to the owner unless one is in progress. l must be
// locked.
func (a *Limiter) requestTokens(l *localAccount) {
	if l.calling {
		return
	}
	l.calling = true
	l.callStarted = clock.Now()
	l.demand.decay()
	r := takeRequest{report: a.buildReport(l), Waiting: len(l.waiters), Demand: roundDown(l.demand.rate)}
	sent := l.callStarted
	started := a.spawn(func() {
		reply, err := a.sendTake(l.leaseName, r)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.calling = false
		a.handleTakeReply(l, r, sent, reply, err)
	})
	if !started {
		l.calling = false
		a.refuseWaiters(l, len(l.waiters), unreachableRefusal(), maxRetryAfter)
	}
}

// buildReport returns a report of what the node holds. Replies to earlier reports
// are ignored from now on. l must be locked.
func (a *Limiter) buildReport(l *localAccount) report {
	l.reportNumber++
	rep := report{
		Account: l.account, Node: a.config.Self, Incarnation: a.config.Incarnation,
		Number: l.reportNumber, ReturnedTokens: roundDown(l.tokensToReturn),
	}
	l.tokensToReturn = 0
	l.reportDue = false
	if !a.refreshGrant(l) {
		return rep
	}
	g := l.grant
	rep.Held = &heldGrant{
		Epoch: g.epoch, Number: g.number, Rate: g.rate, Capacity: g.capacity, Tokens: roundDown(g.bucket.tokens),
		RemainingMillis: (g.validFor - a.config.Clock.Elapsed(g.requestSent)).Milliseconds(),
		ContractRate:    g.contractRate, ContractBurst: g.contractBurst,
	}
	return rep
}

// handleTakeReply applies the owner's reply and admits or refuses the requests
// that waited for it.
func (a *Limiter) handleTakeReply(l *localAccount, r takeRequest, sent clock.Mark, reply takeReply, err error) {
	waiting := min(r.Waiting, len(l.waiters))
	if r.Number != l.reportNumber {
		a.requestForWaiters(l)
		return
	}
	if err != nil {
		a.refuseWaiters(l, waiting, unreachableRefusal(), maxRetryAfter)
		a.requestForWaiters(l)
		return
	}
	a.replaceGrant(l, r, sent, reply)
	loan := 0
	if a.stillValid(sent, time.Duration(reply.LoanMillis)*time.Millisecond) {
		loan = a.usableLoan(l, reply)
	}
	for len(l.waiters) > 0 && loan > 0 {
		loan--
		l.popWaiter().finish(nil)
	}
	l.storeTokens(float64(loan))
	for len(l.waiters) > 0 && a.takeFromGrant(l) {
		l.popWaiter().finish(nil)
	}
	if reply.RetryMillis > 0 {
		wait := time.Duration(reply.RetryMillis) * time.Millisecond
		a.refuseWaiters(l, len(l.waiters), overRateRefusal(wait), wait)
	}
	if l.reportDue || reply.ReportSoon || l.tokensToReturn >= 1 {
		a.scheduleReport(l)
	}
	a.requestForWaiters(l)
}

// usableLoan returns how many tokens of a loan may be used under the contract in
// force here.
func (a *Limiter) usableLoan(l *localAccount, reply takeReply) int {
	if l.contract == nil {
		return reply.Loan
	}
	return int(float64(reply.Loan) * shrinkFactor(reply.ContractBurst, l.contract.Burst()))
}

// popWaiter removes the request that has waited longest.
func (l *localAccount) popWaiter() *waiter {
	first := l.waiters[0]
	l.waiters = l.waiters[1:]
	return first
}

// storeTokens adds the tokens of a loan that no request waits for to the
// grant. Tokens that do not fit go back to the owner with the next report.
func (l *localAccount) storeTokens(tokens float64) {
	b := &l.grant.bucket
	stored := 0.0
	if l.grant.validFor > 0 {
		stored = min(max(b.capacity-b.tokens, 0), tokens)
	}
	b.tokens += stored
	l.tokensToReturn += tokens - stored
}

// refuseWaiters refuses the first n waiting requests, and stores the refusal for
// new requests that arrive within the given time.
func (a *Limiter) refuseWaiters(l *localAccount, n int, refusal *Refusal, ttl time.Duration) {
	for range min(n, len(l.waiters)) {
		l.popWaiter().finish(refusal)
	}
	l.refusal, l.refusedAt, l.refusalTTL = refusal, clock.Now(), min(ttl, maxRetryAfter)
}

// requestForWaiters asks for tokens for the requests that arrived during a call.
func (a *Limiter) requestForWaiters(l *localAccount) {
	if len(l.waiters) > 0 {
		a.requestTokens(l)
	}
}

// replaceGrant replaces the grant by the one in the reply. Tokens that do not fit
// the new grant are returned to the owner with their capacity.
func (a *Limiter) replaceGrant(l *localAccount, r takeRequest, sent clock.Mark, reply takeReply) {
	tokens := 0.0
	if a.refreshGrant(l) {
		tokens = l.grant.bucket.tokens
	}
	valid := time.Duration(reply.ValidMillis) * time.Millisecond
	if valid == 0 || !a.stillValid(sent, valid) {
		l.grant = grant{}
		l.tokensToReturn += tokens
		return
	}
	l.grant = grant{
		epoch: reply.Epoch, number: r.Number, rate: reply.Rate, capacity: reply.Capacity,
		contractRate: reply.ContractRate, contractBurst: reply.ContractBurst, requestSent: sent, validFor: valid,
	}
	b := &l.grant.bucket
	b.refilledAt = clock.Now()
	b.tokens = tokens + reply.Tokens
	l.tokensToReturn += b.resize(reply.Rate, reply.Capacity)
	a.refreshGrant(l)
}

// maintainGrants renews grants that are in use and returns unused ones.
func (a *Limiter) maintainGrants() {
	a.mu.RLock()
	accounts := make([]*localAccount, 0, len(a.localAccounts))
	for _, l := range a.localAccounts {
		accounts = append(accounts, l)
	}
	a.mu.RUnlock()
	for _, l := range accounts {
		if a.maintainGrant(l) {
			a.deleteIdle(l)
		}
	}
}

// maintainGrant renews or returns the grant of one account. It returns true if
// the account is idle and the node holds no grant of it.
func (a *Limiter) maintainGrant(l *localAccount) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	idle := clock.Elapsed(l.lastRequest) >= grantIdleTime
	if !a.refreshGrant(l) {
		return idle && !l.calling && !l.reportDue && clock.Elapsed(l.lastRequest) >= 2*maxGrantValidity
	}
	if _, owner := a.config.Leases.Holds(l.leaseName); owner {
		return false // the grant is left to expire; this node lends that part again only afterwards
	}
	if idle && !l.calling {
		a.returnGrant(l)
		return false
	}
	if clock.Elapsed(l.grant.requestSent) >= renewAge && clock.Elapsed(l.callStarted) >= minTakeInterval {
		a.requestTokens(l)
	}
	return false
}

// returnGrant ends the grant and schedules a report to the owner.
func (a *Limiter) returnGrant(l *localAccount) {
	l.tokensToReturn += l.grant.bucket.tokens
	l.grant = grant{}
	a.scheduleReport(l)
}

// deleteIdle deletes the state of an account that is still idle.
func (a *Limiter) deleteIdle(l *localAccount) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if clock.Elapsed(l.lastRequest) >= grantIdleTime && len(l.waiters) == 0 {
		delete(a.localAccounts, l.account)
	}
}

// scheduleReport marks the account's report as due; it is sent after about
// reportDelay. l must be locked.
func (a *Limiter) scheduleReport(l *localAccount) {
	l.reportDue = true
	a.pendingMu.Lock()
	a.accountsToReport = append(a.accountsToReport, l)
	a.pendingMu.Unlock()
	select {
	case a.reportSignal <- struct{}{}:
	default:
	}
}

// collectReports returns the reports that are due, by owner. A report of an
// account whose owner is unknown or is this node is dropped.
func (a *Limiter) collectReports() map[string][]report {
	a.pendingMu.Lock()
	accounts := a.accountsToReport
	a.accountsToReport = nil
	a.pendingMu.Unlock()
	due := make(map[string][]report)
	for _, l := range accounts {
		l.mu.Lock()
		if l.reportDue && !l.calling {
			if owner, ok := a.config.Leases.Holder(l.leaseName); ok && owner != a.config.Self {
				due[owner] = append(due[owner], a.buildReport(l))
			}
			l.reportDue = false
		}
		l.mu.Unlock()
	}
	return due
}
