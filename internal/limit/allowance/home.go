package allowance

import (
	"math"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

// Times and sizes of grants and loans.
const (
	// maxGrantValidity is the longest validity of a grant.
	maxGrantValidity = 8 * time.Second
	// grantGracePeriod is how long a grant may outlive the lease of the owner
	// that issued it. A new owner waits for this period before it lends the
	// lendable part. The period covers the election of the new owner and the
	// exchange of reports with it.
	grantGracePeriod = 3 * time.Second
	// maxLoanValidity is the longest validity of a loan.
	maxLoanValidity = time.Second
	// drainLoanValidity replaces maxLoanValidity while an owner prepares to
	// release its leases, so that it pauses only briefly before the release.
	drainLoanValidity = 50 * time.Millisecond
	// maxRetryAfter bounds the retry time, which is also how long a node refuses
	// requests before it asks the owner again.
	maxRetryAfter = 100 * time.Millisecond
	// minRetryAfter keeps a node from asking more often than a call takes.
	minRetryAfter = 5 * time.Millisecond
	// planInterval is how often the grants planned for an account are recomputed.
	planInterval = 100 * time.Millisecond
	// expiryInterval is how often expired grants and loans are removed.
	expiryInterval = 50 * time.Millisecond
	// demandMaxAge is how long a node's reported demand counts.
	demandMaxAge = 4 * time.Second
	// maxHeadroom and minHeadroom bound the ratio of a grant's rate to the node's
	// demand. A full grant wastes the tokens that it earns, so the ratio falls
	// towards minHeadroom as the account's demand approaches its rate; the owner
	// covers the rest by loans.
	maxHeadroom, minHeadroom = 1.2, 0.9
	// capacitySeconds is how many seconds of its rate a grant's capacity holds.
	capacitySeconds = 0.5
	// minGrantRate and minGrantBurst are the size of the smallest grant. A
	// smaller grant would be empty at most requests, so they would need a call
	// anyway.
	minGrantRate  = 1.0
	minGrantBurst = 2.0
	// hysteresis is the relative change below which a grant is not changed.
	hysteresis = 0.1
	// reportLoanShare is the share of the burst that loans may reserve before
	// nodes are asked to report soon. A report frees the capacity of the loans
	// before it.
	reportLoanShare = 1.0 / 8
)

// partition is the owner's state of a partition. It is kept as long as the node
// is known to have held the lease without a gap.
type partition struct {
	epoch          uint64     // random; identifies this period of ownership
	ownedSince     clock.Mark // when this node became the owner; never before the lease began
	leaseChecked   clock.Mark
	leaseRemaining time.Duration // at leaseChecked
	accounts       map[string]*ownedAccount
	// The last expiry of a grant issued here is at lastExpiryFrom plus
	// lastExpiryAfter. lastExpiryAfter is 0 if no grant was issued.
	lastExpiryFrom  clock.Mark
	lastExpiryAfter time.Duration
}

// recordExpiry updates the last expiry for a grant that is issued now with the
// given validity, if the grant expires later than all earlier ones.
func (p *partition) recordExpiry(source clock.Source, valid time.Duration) {
	if valid > p.lastExpiryAfter-source.Monotonic(p.lastExpiryFrom) {
		p.lastExpiryFrom, p.lastExpiryAfter = clock.Now(), valid
	}
}

// phase is the progress of an owner's planned stop.
type phase int

const (
	serving  phase = iota
	draining       // grants last at most grantGracePeriod, loans drainLoanValidity
	closed         // no partition is owned, nothing is issued
)

// ownedAccount is the owner's accounting state of one client account.
type ownedAccount struct {
	rate, burst float64
	bucket      bucket // what is not lent
	grantees    map[granteeKey]*grantee

	// Sums over the grantees.
	lentRate, lentCapacity, lentLoans float64
	// Shares of the lendable part in grants of earlier owners that nodes have
	// reported here.
	importedRate, importedCapacity float64

	expiryChecked  clock.Mark // when expired grants were last removed
	plannedAt      clock.Mark // when the plan was last computed
	headroom       float64    // ratio of planned rate to demand
	maxRate        float64    // upper bound of a grant's rate
	plannedRateSum float64    // sum of the planned rates
	totalDemand    float64    // sum of the reported demands
}

// granteeKey identifies a process on a node.
type granteeKey struct{ node, incarnation string }

// grantee is the owner's accounting state of one node. The node can use the
// confirmed grant or the issued one, depending on which replies it received; both
// are counted until its next report.
type grantee struct {
	reportNumber      uint64
	confirmed, issued recordedGrant
	loan              recordedGrant
	reply             takeReply
	demand            float64
	demandAt          clock.Mark
}

// recordedGrant is a grant or loan as recorded by the owner.
type recordedGrant struct {
	epoch, number               uint64 // as in the reply that issued it
	rate, capacity              float64
	contractRate, contractBurst float64
	recordedAt                  clock.Mark
	validFor                    time.Duration
}

func (i *recordedGrant) expire(source clock.Source) {
	if i.validFor > 0 && source.Monotonic(i.recordedAt) >= i.validFor {
		*i = recordedGrant{}
	}
}

func (g *grantee) rate() float64     { return max(g.confirmed.rate, g.issued.rate) }
func (g *grantee) capacity() float64 { return max(g.confirmed.capacity, g.issued.capacity) }

// ownedPartition returns the state of a partition that this node owns, or nil.
// a.partitionsMu must be locked.
func (a *Limiter) ownedPartition(leaseName string) *partition {
	checked := clock.Now()
	remaining, ok := a.config.Leases.Holds(leaseName)
	p := a.partitions[leaseName]
	if !ok || a.phase == closed {
		delete(a.partitions, leaseName)
		return nil
	}
	if p == nil || a.config.Clock.Elapsed(p.leaseChecked) >= p.leaseRemaining {
		// Another node may have held the lease since the last check.
		p = &partition{epoch: rand.Uint64() >> 12, ownedSince: clock.Now(), accounts: make(map[string]*ownedAccount)}
		a.partitions[leaseName] = p
		a.config.Events.Record(event.LimitsMoved{Partition: leaseName, Home: a.config.Self})
	}
	p.leaseChecked, p.leaseRemaining = checked, remaining
	return p
}

// leaseValid reports whether the lease still holds by the time remaining at
// its last check. It is called last before a token of the owner is used,
// because the steps in between take time.
func (a *Limiter) leaseValid(p *partition) bool {
	return a.config.Clock.Elapsed(p.leaseChecked) < p.leaseRemaining
}

// inGracePeriod reports whether grants of earlier owners may still be in use.
func (a *Limiter) inGracePeriod(p *partition) bool {
	return a.config.Clock.Monotonic(p.ownedSince) < grantGracePeriod
}

// ownedAccount returns the state of an account, up to date, or nil if the account
// has no contract.
func (a *Limiter) ownedAccount(p *partition, name string) *ownedAccount {
	c, _, ok := a.config.Contracts.Contract(name)
	if !ok {
		return nil
	}
	acc := p.accounts[name]
	if acc == nil {
		acc = a.newOwnedAccount(p, c)
		p.accounts[name] = acc
	}
	acc.bucket.refill(a.config.Clock)
	acc.rate, acc.burst = c.Rate(), c.Burst()
	a.removeExpired(acc)
	a.resizeBucket(p, acc)
	return acc
}

// newOwnedAccount returns the initial state of an account. Its bucket starts
// empty when this node becomes the owner and holds what it has earned since.
// During the grace period it earns tokens only for the part of the contract
// that is never lent.
func (a *Limiter) newOwnedAccount(p *partition, c *contract.Contract) *ownedAccount {
	acc := &ownedAccount{rate: c.Rate(), burst: c.Burst(), grantees: make(map[granteeKey]*grantee)}
	age := a.config.Clock.Monotonic(p.ownedSince)
	grace := min(age, grantGracePeriod)
	acc.bucket.capacity = acc.burst
	acc.bucket.tokens = min((acc.rate-lendableRate(acc.rate))*grace.Seconds(), acc.burst-lendableBurst(acc.burst))
	acc.bucket.tokens = min(acc.bucket.tokens+acc.rate*(age-grace).Seconds(), acc.burst)
	return acc
}

// removeExpired removes expired grants and loans. Removing them late is safe.
func (a *Limiter) removeExpired(acc *ownedAccount) {
	if a.config.Clock.Monotonic(acc.expiryChecked) < expiryInterval {
		return
	}
	acc.expiryChecked = clock.Now()
	acc.lentRate, acc.lentCapacity, acc.lentLoans = 0, 0, 0
	for key, g := range acc.grantees {
		g.confirmed.expire(a.config.Clock)
		g.issued.expire(a.config.Clock)
		g.loan.expire(a.config.Clock)
		acc.addToSums(g, 1)
		if g.rate()+g.capacity()+g.loan.capacity == 0 && a.config.Clock.Monotonic(g.demandAt) > maxGrantValidity {
			delete(acc.grantees, key)
		}
	}
}

// addToSums adds a grantee to the sums if sign is 1, and subtracts it if sign is
// -1.
func (acc *ownedAccount) addToSums(g *grantee, sign float64) {
	acc.lentRate += sign * g.rate()
	acc.lentCapacity += sign * g.capacity()
	acc.lentLoans += sign * g.loan.capacity
}

// lent returns the rate and capacity to count as lent in grants. Grants of
// earlier owners that no node has reported yet count until the grace period
// ends. The result never exceeds the lendable part of the contract: after a
// contract has become smaller, nodes shrink their grants as soon as they apply
// the change.
func (a *Limiter) lent(p *partition, acc *ownedAccount) (rate, capacity float64) {
	limitRate, limitCapacity := lendableRate(acc.rate), lendableBurst(acc.burst)
	rate, capacity = acc.lentRate, acc.lentCapacity
	if a.inGracePeriod(p) {
		rate += limitRate * max(1-acc.importedRate, 0)
		capacity += limitCapacity * max(1-acc.importedCapacity, 0)
	}
	return min(rate, limitRate), min(capacity, limitCapacity)
}

func (a *Limiter) resizeBucket(p *partition, acc *ownedAccount) {
	rate, capacity := a.lent(p, acc)
	acc.bucket.resize(acc.rate-rate, acc.burst-capacity-acc.lentLoans)
}

// takeAsOwner takes a token for a request that arrived at the owner itself. It
// returns owner = false if this node does not own the partition. If there is
// no token, retryAfter is the time to wait before the next attempt.
func (a *Limiter) takeAsOwner(leaseName, accountName string, demand float64) (ok bool, retryAfter time.Duration, owner bool) {
	a.partitionsMu.Lock()
	defer a.partitionsMu.Unlock()
	p := a.ownedPartition(leaseName)
	if p == nil {
		return false, 0, false
	}
	acc := a.ownedAccount(p, accountName)
	if acc == nil {
		return false, time.Second, true
	}
	g := acc.grantee(granteeKey{node: a.config.Self, incarnation: a.config.Incarnation})
	g.demand, g.demandAt = demand, clock.Now()
	if acc.bucket.tokens < 1 {
		return false, acc.retryAfter(1), true
	}
	acc.bucket.tokens--
	return a.leaseValid(p), maxRetryAfter, true
}

func (acc *ownedAccount) grantee(key granteeKey) *grantee {
	g := acc.grantees[key]
	if g == nil {
		g = new(grantee)
		acc.grantees[key] = g
		acc.plannedAt = clock.Mark{}
	}
	return g
}

// retryAfter estimates how long a node must wait for a token if it gets the
// given share of the rate that is not lent. The result is between
// minRetryAfter and maxRetryAfter.
func (acc *ownedAccount) retryAfter(share float64) time.Duration {
	if acc.bucket.rate <= 0 {
		return maxRetryAfter
	}
	seconds := (1 - acc.bucket.tokens) / (acc.bucket.rate * share)
	return max(min(time.Duration(seconds*float64(time.Second)), maxRetryAfter), minRetryAfter)
}

// handleTake replies to a request from another node.
func (a *Limiter) handleTake(r takeRequest) takeReply {
	a.partitionsMu.Lock()
	defer a.partitionsMu.Unlock()
	leaseName := a.Partition(r.Account)
	p := a.ownedPartition(leaseName)
	if p == nil {
		owner, _ := a.config.Leases.Holder(leaseName)
		return takeReply{NotOwner: true, Owner: owner}
	}
	acc := a.ownedAccount(p, r.Account)
	if acc == nil {
		return takeReply{Epoch: p.epoch, RetryMillis: maxRetryAfter.Milliseconds()}
	}
	g := acc.grantee(granteeKey{node: r.Node, incarnation: r.Incarnation})
	if r.Number == g.reportNumber && g.reply.Epoch == p.epoch {
		// The node has retried the request through a third node.
		return g.reply
	}
	if !a.applyReport(p, acc, g, r.report) {
		return takeReply{}
	}
	g.demand, g.demandAt = r.Demand, clock.Now()
	a.plan(acc)
	g.reply = a.decideReply(p, acc, g, r)
	return g.reply
}

// applyReport replaces the record of a node's grants and loans by what the
// node reports. It returns false and changes nothing if a report with the same
// or a higher number has arrived before.
func (a *Limiter) applyReport(p *partition, acc *ownedAccount, g *grantee, rep report) bool {
	if rep.Number <= g.reportNumber {
		return false
	}
	g.reportNumber = rep.Number
	reserved := g.capacity() + g.loan.capacity
	acc.addToSums(g, -1)
	g.loan = recordedGrant{}
	held := g.findRecord(rep.Held)
	if rep.Held != nil && held.validFor == 0 && rep.Held.Epoch != p.epoch && a.inGracePeriod(p) {
		held = a.importGrant(acc, rep.Held)
	}
	g.confirmed, g.issued = held, recordedGrant{}
	acc.addToSums(g, 1)
	a.resizeBucket(p, acc)
	// The bucket takes back at most as many tokens as the capacity that was
	// reserved for the node until this report.
	back := min(max(rep.ReturnedTokens, 0), max(reserved-g.capacity(), 0))
	acc.bucket.tokens = min(acc.bucket.tokens+back, acc.bucket.capacity)
	return true
}

// findRecord returns the record of the grant that the node holds.
func (g *grantee) findRecord(held *heldGrant) recordedGrant {
	if held == nil {
		return recordedGrant{}
	}
	for _, record := range []recordedGrant{g.issued, g.confirmed} {
		if record.validFor > 0 && record.epoch == held.Epoch && record.number == held.Number {
			return record
		}
	}
	return recordedGrant{}
}

// importGrant records a grant that an earlier owner issued and that a node has
// reported here. The grant's share of the lendable part then no longer counts
// as unreported.
func (a *Limiter) importGrant(acc *ownedAccount, g *heldGrant) recordedGrant {
	if lendableRate(g.ContractRate) == 0 || lendableBurst(g.ContractBurst) == 0 {
		return recordedGrant{} // no owner issues such a grant
	}
	// The larger of the two contracts gives the smaller share, which leaves more
	// to be counted as still lent.
	acc.importedRate += g.Rate / max(lendableRate(g.ContractRate), lendableRate(acc.rate))
	acc.importedCapacity += g.Capacity / max(lendableBurst(g.ContractBurst), lendableBurst(acc.burst))
	valid := min(time.Duration(g.RemainingMillis+1)*time.Millisecond, maxGrantValidity)
	return recordedGrant{
		epoch: g.Epoch, number: g.Number, rate: g.Rate, capacity: g.Capacity,
		contractRate: g.ContractRate, contractBurst: g.ContractBurst, recordedAt: clock.Now(), validFor: valid,
	}
}

// plan computes the rates of the grants by water-filling over the reported
// demands.
func (a *Limiter) plan(acc *ownedAccount) {
	if a.config.Clock.Monotonic(acc.plannedAt) < planInterval {
		return
	}
	acc.plannedAt = clock.Now()
	acc.totalDemand = 0
	for _, g := range acc.grantees {
		if a.config.Clock.Monotonic(g.demandAt) > demandMaxAge {
			g.demand = 0
		}
		acc.totalDemand += g.demand
	}
	acc.headroom = minHeadroom + max(acc.rate-acc.totalDemand, 0)/max(2*acc.totalDemand, 1)
	acc.headroom = min(acc.headroom, maxHeadroom)
	neverLent := acc.rate - lendableRate(acc.rate)
	wants := make([]float64, 0, len(acc.grantees))
	for key, g := range acc.grantees {
		want := acc.wantedRate(g.demand)
		if key.node == a.config.Self {
			want = max(want-neverLent, 0) // the owner itself uses its own bucket
		}
		wants = append(wants, want)
	}
	acc.maxRate = waterLevel(wants, lendableRate(acc.rate))
	acc.plannedRateSum = 0
	for _, want := range wants {
		acc.plannedRateSum += min(want, acc.maxRate)
	}
}

// wantedRate returns the rate that a node with this demand should get if the rate
// suffices for all nodes.
func (acc *ownedAccount) wantedRate(demand float64) float64 {
	if demand < minGrantRate {
		return 0
	}
	return demand * acc.headroom
}

// plannedGrant returns the size of the grant planned for a node, or 0, 0 for
// none.
func (acc *ownedAccount) plannedGrant(g *grantee) (rate, capacity float64) {
	rate = min(acc.wantedRate(g.demand), acc.maxRate)
	if rate < minGrantRate*minHeadroom {
		return 0, 0
	}
	capacity = min(lendableBurst(acc.burst)*rate/max(acc.plannedRateSum, rate), capacitySeconds*rate+minGrantBurst)
	if capacity < minGrantBurst {
		return 0, 0
	}
	return rate, capacity
}

// decideReply decides on the node's new grant and its loan.
func (a *Limiter) decideReply(p *partition, acc *ownedAccount, g *grantee, r takeRequest) takeReply {
	reply := takeReply{Epoch: p.epoch, ContractRate: acc.rate, ContractBurst: acc.burst}
	share := 1.0
	if acc.totalDemand > g.demand {
		share = max(g.demand/acc.totalDemand, 0.01)
	}
	acc.addToSums(g, -1)
	reply.Loan = acc.bucket.take(r.Waiting)
	if reply.Loan > 0 {
		valid := min(a.loanValidity(), p.leaseRemaining)
		g.loan = recordedGrant{capacity: float64(reply.Loan), recordedAt: clock.Now(), validFor: valid}
		acc.bucket.capacity -= g.loan.capacity
		reply.LoanMillis = valid.Milliseconds()
		reply.ReportSoon = acc.lentLoans+g.loan.capacity > acc.burst*reportLoanShare
	}
	if reply.Loan < r.Waiting {
		reply.RetryMillis = acc.retryAfter(share).Milliseconds()
	}
	a.issueGrant(p, acc, g, r, share, &reply)
	acc.addToSums(g, 1)
	a.resizeBucket(p, acc)
	return reply
}

func (a *Limiter) loanValidity() time.Duration {
	if a.phase == draining {
		return drainLoanValidity
	}
	return maxLoanValidity
}

// timeUntilReleasable returns how long to wait before the leases may be released:
// until every grant issued here expires within the next owner's grace period.
func (a *Limiter) timeUntilReleasable() time.Duration {
	a.partitionsMu.Lock()
	defer a.partitionsMu.Unlock()
	var longest time.Duration
	for _, p := range a.partitions {
		if p.lastExpiryAfter == 0 {
			continue // no grant was issued
		}
		longest = max(longest, p.lastExpiryAfter-a.config.Clock.Monotonic(p.lastExpiryFrom)-grantGracePeriod)
	}
	return longest
}

// issueGrant issues the node's new grant and moves tokens along with its
// capacity.
func (a *Limiter) issueGrant(p *partition, acc *ownedAccount, g *grantee, r takeRequest, share float64, reply *takeReply) {
	rate, capacity := a.sizeGrant(p, acc, g)
	if rate == 0 || capacity == 0 {
		a.recordChange(r, g.confirmed, 0, 0)
		return
	}
	valid := min(maxGrantValidity, p.leaseRemaining+grantGracePeriod)
	if a.phase == draining {
		valid = grantGracePeriod
	}
	p.recordExpiry(a.config.Clock, valid)
	g.issued = recordedGrant{
		epoch: p.epoch, number: r.Number, rate: rate, capacity: capacity,
		contractRate: acc.rate, contractBurst: acc.burst, recordedAt: clock.Now(), validFor: valid,
	}
	var tokens float64
	if grown := capacity - g.confirmed.capacity; grown > 0 && acc.bucket.capacity > 0 {
		tokens = acc.bucket.tokens * min(grown/acc.bucket.capacity, 1)
	}
	free := capacity - tokens
	if r.Held != nil {
		free -= r.Held.Tokens
	}
	if free > 0 {
		tokens += min(free, (acc.bucket.tokens-tokens)*share)
	}
	reply.Tokens = roundDown(min(tokens, capacity))
	acc.bucket.tokens -= reply.Tokens
	reply.Rate, reply.Capacity, reply.ValidMillis = rate, capacity, valid.Milliseconds()
	if rate < g.confirmed.rate || capacity < g.confirmed.capacity {
		reply.ReportSoon = true
	}
	a.recordChange(r, g.confirmed, rate, capacity)
}

// recordChange records a grant that began, ended, or changed by a factor of 2.
// Smaller changes follow every fluctuation of the demand and would fill the ring.
func (a *Limiter) recordChange(r takeRequest, before recordedGrant, rate, capacity float64) {
	if rate < 2*before.rate && before.rate < 2*rate {
		return
	}
	if rate == before.rate {
		return
	}
	a.config.Events.Record(event.GrantChanged{
		Account: r.Account, Node: r.Node, Demand: r.Demand,
		Rate: rate, Burst: capacity, PreviousRate: before.rate, PreviousBurst: before.capacity,
	})
}

// sizeGrant returns the rate and capacity of the node's new grant. It starts
// from the confirmed grant, reduces it to the plan, or enlarges it by capacity
// and rate that are not lent. The grantee must not be counted in the sums
// during the call.
func (a *Limiter) sizeGrant(p *partition, acc *ownedAccount, g *grantee) (rate, capacity float64) {
	plannedRate, plannedCapacity := acc.plannedGrant(g)
	confirmed := g.confirmed
	keptRate := confirmed.rate * shrinkFactor(lendableRate(confirmed.contractRate), lendableRate(acc.rate))
	keptCapacity := confirmed.capacity * shrinkFactor(lendableBurst(confirmed.contractBurst), lendableBurst(acc.burst))
	sameContract := confirmed.contractRate == acc.rate && confirmed.contractBurst == acc.burst
	if sameContract && withinHysteresis(confirmed.rate, plannedRate) && withinHysteresis(confirmed.capacity, plannedCapacity) {
		return confirmed.rate, confirmed.capacity
	}
	acc.addToSums(g, 1)
	lentRate, lentCapacity := a.lent(p, acc)
	acc.addToSums(g, -1)
	freeRate := min(lendableRate(acc.rate)-lentRate, acc.bucket.rate)
	freeCapacity := min(lendableBurst(acc.burst)-lentCapacity, acc.bucket.capacity)
	rate = roundDown(min(plannedRate, keptRate+max(freeRate, 0)))
	capacity = roundDown(min(plannedCapacity, keptCapacity+max(freeCapacity, 0)))
	if rate < minGrantRate/2 || capacity < 1 {
		return 0, 0
	}
	return rate, capacity
}

func withinHysteresis(a, b float64) bool {
	return a > 0 && math.Abs(a-b) <= hysteresis*a
}

// handleReport records a report that asks for nothing.
func (a *Limiter) handleReport(rep report) {
	a.partitionsMu.Lock()
	defer a.partitionsMu.Unlock()
	p := a.ownedPartition(a.Partition(rep.Account))
	if p == nil {
		return
	}
	if acc := a.ownedAccount(p, rep.Account); acc != nil {
		g := acc.grantee(granteeKey{node: rep.Node, incarnation: rep.Incarnation})
		a.applyReport(p, acc, g, rep)
	}
}

// checkLeases checks the lease of each partition, so that the owner's state is
// kept while the lease lasts without a gap, and drops the state of idle accounts.
func (a *Limiter) checkLeases() {
	a.partitionsMu.Lock()
	defer a.partitionsMu.Unlock()
	for _, leaseName := range a.leaseNames {
		p := a.ownedPartition(leaseName)
		if p == nil {
			continue
		}
		for accountName, acc := range p.accounts {
			if a.config.Clock.Monotonic(acc.bucket.refilledAt) < maxGrantValidity {
				continue
			}
			a.ownedAccount(p, accountName)
			if len(acc.grantees) == 0 && acc.bucket.tokens >= acc.burst {
				delete(p.accounts, accountName)
				a.config.Logger.Debug("state of idle account dropped", zap.String("account", accountName))
			}
		}
	}
}
