// Package quota limits each client account to its rate and burst over all VMs without
// a call between VMs per request: every VM keeps a token bucket for the account's whole
// rate, takes a token for each of its own admissions at once, and for those of the
// other VMs when they report them.
//
// A VM that receives messages from only part of the fleet fills its buckets at only
// that part of the rate, because the VMs that it cannot reach may use the rest. So the
// parts of a partitioned fleet together stay within the rate. Requests that two VMs
// admit before they receive each other's reports are taken out of the bucket
// afterwards, which may then be below zero.
//
// # Usage
//
//	q := quota.New(quota.Config{Presence: members})
//	if wait, ok := q.Admit("acme", 29, 29); !ok {
//		// refuse the request; the account may try again after wait
//	}
//
// Reports and Observe exchange admissions with the other VMs.
package quota

import (
	"sync"
	"time"

	"chestnutbay.dev/chestnutbay/internal/fleet/outbox"
)

const (
	// newBucketShare is the share of the burst that a new bucket holds, since a VM that
	// has just started does not know what other VMs admitted before.
	newBucketShare = 0.25
	// maxDebt bounds how far a bucket falls below zero, in seconds of the rate, so
	// that an account is not refused for long after a partition ends.
	maxDebt = 2.0
	// maxRetryAfter is the longest time after which an account over its rate is asked
	// to retry.
	maxRetryAfter = 2 * time.Second
	// minBurst is the least capacity of a bucket, in tokens. Without it, a VM that
	// reaches no other VM could never admit a request of a small account.
	minBurst = 1.0
)

// Presence reports how much of the fleet this VM can reach.
type Presence interface {
	// Heard returns the share of the fleet's VMs from which this VM has recently
	// received a message, this VM included: above 0, at most 1.
	Heard() float64
}

// Config holds the dependencies of a Quota.
type Config struct {
	// Presence may be nil for a fleet of one VM.
	Presence Presence
	// Changed is called when this VM has a new admission to report to the other VMs;
	// urgent asks to report it at once. It may be nil.
	Changed func(urgent bool)
}

// Quota holds the token buckets of the client accounts. It is safe for concurrent use.
type Quota struct {
	config Config

	mu       sync.Mutex
	accounts map[string]*bucket
	changed  outbox.Changes // accounts whose admissions are to be reported
}

// bucket is the token bucket of one client account.
type bucket struct {
	rate, burst float64
	tokens      float64
	lastFill    time.Time       // when tokens were last added
	admitted    uint32          // by this VM since its start
	peers       map[string]peer // by VM
}

// peer is the last report of another VM on the account.
type peer struct {
	incarnation uint64
	admitted    uint32
}

// New returns a quota without accounts.
func New(c Config) *Quota {
	return &Quota{config: c, accounts: make(map[string]*bucket)}
}

// Admit takes one token of an account with the given rate in requests per second and
// burst in requests. If there is none, it returns false and the time after which the
// next may be available.
func (q *Quota) Admit(account string, rate, burst float64) (time.Duration, bool) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucket(account, rate, burst, now)
	reachable := q.reachableShare()
	b.fill(now, reachable)
	if b.tokens < 1 {
		return b.wait(reachable), false
	}
	b.tokens--
	b.admitted++
	q.changed.Mark(account)
	if q.config.Changed != nil {
		// Near the limit, other VMs must learn of admissions soon.
		q.config.Changed(b.tokens < b.burst/4)
	}
	return 0, true
}

// Refund returns the token of a request that reached no target.
func (q *Quota) Refund(account string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.accounts[account]
	if b == nil {
		return
	}
	b.tokens++
	b.admitted--
	q.changed.Mark(account)
}

// Tokens returns the tokens that remain in an account's bucket, for logs. The number is
// below zero after other VMs reported more admissions than there were tokens.
func (q *Quota) Tokens(account string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.accounts[account]; b != nil {
		return b.tokens
	}
	return 0
}

// reachableShare returns the share of the fleet that this VM can reach.
func (q *Quota) reachableShare() float64 {
	if q.config.Presence == nil {
		return 1
	}
	return q.config.Presence.Heard()
}

// bucket returns the bucket of an account, with its rate and burst brought up to date. A
// new bucket is partly filled.
func (q *Quota) bucket(account string, rate, burst float64, now time.Time) *bucket {
	b := q.accounts[account]
	if b == nil {
		b = &bucket{lastFill: now, tokens: newBucketShare * burst}
		q.accounts[account] = b
	}
	b.rate, b.burst = rate, max(burst, 1)
	b.tokens = min(b.tokens, b.burst)
	return b
}

// fill adds the tokens for the time since the last call. reachable is the share of
// the fleet that this VM can reach.
func (b *bucket) fill(now time.Time, reachable float64) {
	elapsed := max(now.Sub(b.lastFill).Seconds(), 0)
	b.lastFill = now
	capacity := max(b.burst*reachable, minBurst)
	if b.tokens >= capacity {
		// A VM that can no longer reach others does not keep their share of the burst.
		b.tokens = capacity
		return
	}
	b.tokens = min(b.tokens+b.rate*reachable*elapsed, capacity)
}

// wait returns the time until the bucket has a whole token, at most maxRetryAfter.
func (b *bucket) wait(reachable float64) time.Duration {
	missing := 1 - b.tokens
	d := time.Duration(missing / max(b.rate*reachable, 0.1) * float64(time.Second))
	return min(d, maxRetryAfter)
}

// Report is one VM's report of an account to the other VMs. The count is cumulative, so
// that the next report makes up for a lost one.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Account  string
	Admitted uint32 // since the VM's start
}

// Reports returns the counts of accounts with changes that are still to be
// reported. Each change is returned by two calls, because one report of it may
// get lost.
func (q *Quota) Reports() []Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Report
	for _, account := range q.changed.Take() {
		list = append(list, Report{Account: account, Admitted: q.accounts[account].admitted})
	}
	return list
}

// Dirty reports whether Reports would return anything.
func (q *Quota) Dirty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.changed.Len() > 0
}

// Limits returns an account's rate in requests per second and its burst in requests, or
// false for an unknown account.
type Limits func(account string) (rate, burst float64, ok bool)

// Observe merges the reports of another VM. An incarnation is one start of that VM's
// process, whose counts begin at 0. If baseline is set, this VM has just started, and
// the first count of each account only serves as the starting point for later ones.
func (q *Quota) Observe(vm string, incarnation uint64, reports []Report, limits Limits, baseline bool) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	reachable := q.reachableShare()
	for _, r := range reports {
		rate, burst, ok := limits(r.Account)
		if !ok {
			continue
		}
		b := q.bucket(r.Account, rate, burst, now)
		b.fill(now, reachable)
		b.observe(vm, peer{incarnation: incarnation, admitted: r.Admitted}, baseline)
	}
}

func (b *bucket) observe(vm string, current peer, baseline bool) {
	if b.peers == nil {
		b.peers = make(map[string]peer)
	}
	last, known := b.peers[vm]
	b.peers[vm] = current
	switch {
	case !known && baseline:
		return
	case last.incarnation != current.incarnation:
		last = peer{}
	}
	// A refund lowers the count, so the difference may be negative.
	b.tokens -= float64(int32(current.admitted - last.admitted))
	b.tokens = min(max(b.tokens, -maxDebt*b.rate), b.burst)
}

// ForgetVM drops the last reports of a VM that is no longer a member of the fleet.
func (q *Quota) ForgetVM(vm string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, b := range q.accounts {
		delete(b.peers, vm)
	}
}
