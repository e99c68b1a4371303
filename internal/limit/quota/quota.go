// Package quota holds each client account to its rate and burst over all VMs
// without a call per request: every VM runs the account's whole token bucket, takes
// its own admissions out of it at once and those of the other VMs when they report
// them.
//
// A VM that hears only part of the fleet fills its buckets with only that part of
// the rate, because the VMs that it does not hear may use the rest. So the parts of
// a partitioned fleet together stay within the rate. What two VMs admit before they
// hear of each other is taken out of the bucket afterwards, which may then be below
// zero.
//
// # Usage
//
//	q := quota.New(quota.Config{Presence: members})
//	if wait, ok := q.Admit("acme", 29, 29); !ok {
//		// refuse; the account may come back after wait
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
	// startShare is the part of the burst in the bucket of a VM that has just
	// started and does not know what other VMs admitted before.
	startShare = 0.25
	// maxDebt bounds how far a bucket falls below zero, in seconds of the rate, so
	// that an account is not refused for long after VMs meet again.
	maxDebt = 2.0
	// maxRetryAfter bounds what an account over its rate is told to wait.
	maxRetryAfter = 2 * time.Second
	// minOwnBurst is what a VM that hears nobody may admit at once.
	minOwnBurst = 1.0
)

// Presence tells how much of the fleet a VM hears.
type Presence interface {
	// Heard returns the part of the fleet's VMs that were heard lately, this VM
	// included: above 0, at most 1.
	Heard() float64
}

// Config is what a Quota works with.
type Config struct {
	// Presence may be nil for a fleet of one VM.
	Presence Presence
	// Changed is called when an admission should be reported. It may be nil.
	Changed func(urgent bool)
}

// Quota holds the buckets. It is safe for concurrent use.
type Quota struct {
	config Config

	mu       sync.Mutex
	accounts map[string]*bucket
	changed  outbox.Changes
}

type bucket struct {
	rate, burst float64
	tokens      float64
	filled      time.Time
	admitted    uint32 // by this VM since its start
	peers       map[string]peer
}

type peer struct {
	incarnation uint64
	admitted    uint32
}

// New returns a quota without accounts.
func New(c Config) *Quota {
	return &Quota{config: c, accounts: make(map[string]*bucket)}
}

// Admit takes one token of an account. Without one it returns when the next may be
// there.
func (q *Quota) Admit(account string, rate, burst float64) (time.Duration, bool) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucket(account, rate, burst, now)
	heard := q.heard()
	b.fill(now, heard)
	if b.tokens < 1 {
		return b.wait(heard), false
	}
	b.tokens--
	b.admitted++
	q.changed.Mark(account)
	if q.config.Changed != nil {
		// Near the limit, other VMs must know soon.
		q.config.Changed(b.tokens < b.burst/4)
	}
	return 0, true
}

// Refund gives the token of a request back that reached no target.
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

// Tokens returns what is left in an account's bucket, for logs.
func (q *Quota) Tokens(account string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.accounts[account]; b != nil {
		return b.tokens
	}
	return 0
}

func (q *Quota) heard() float64 {
	if q.config.Presence == nil {
		return 1
	}
	return q.config.Presence.Heard()
}

func (q *Quota) bucket(account string, rate, burst float64, now time.Time) *bucket {
	b := q.accounts[account]
	if b == nil {
		b = &bucket{filled: now, tokens: startShare * burst}
		q.accounts[account] = b
	}
	b.rate, b.burst = rate, max(burst, 1)
	b.tokens = min(b.tokens, b.burst)
	return b
}

// fill adds what has come in since the last time.
func (b *bucket) fill(now time.Time, heard float64) {
	elapsed := max(now.Sub(b.filled).Seconds(), 0)
	b.filled = now
	capacity := max(b.burst*heard, minOwnBurst)
	if b.tokens >= capacity {
		// A VM that lost sight of others does not keep their part of the burst.
		b.tokens = capacity
		return
	}
	b.tokens = min(b.tokens+b.rate*heard*elapsed, capacity)
}

func (b *bucket) wait(heard float64) time.Duration {
	missing := 1 - b.tokens
	d := time.Duration(missing / max(b.rate*heard, 0.1) * float64(time.Second))
	return min(d, maxRetryAfter)
}

// Report is what one VM tells the others of an account.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Account  string
	Admitted uint32 // since the VM's start
}

// Reports returns what has changed since the last reports, each change a few times.
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

// Limits returns an account's rate and burst, or false for an unknown account.
type Limits func(account string) (rate, burst float64, ok bool)

// Observe takes in what another VM reports. If baseline is set, this VM has just
// started, and the first counts that it hears lie before its time.
func (q *Quota) Observe(vm string, incarnation uint64, reports []Report, limits Limits, baseline bool) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	heard := q.heard()
	for _, r := range reports {
		rate, burst, ok := limits(r.Account)
		if !ok {
			continue
		}
		b := q.bucket(r.Account, rate, burst, now)
		b.fill(now, heard)
		b.observe(vm, peer{incarnation: incarnation, admitted: r.Admitted}, baseline)
	}
}

func (b *bucket) observe(vm string, now peer, baseline bool) {
	if b.peers == nil {
		b.peers = make(map[string]peer)
	}
	last, known := b.peers[vm]
	b.peers[vm] = now
	switch {
	case !known && baseline:
		return
	case last.incarnation != now.incarnation:
		last = peer{}
	}
	// A refund lowers the count.
	b.tokens -= float64(int32(now.admitted - last.admitted))
	b.tokens = min(max(b.tokens, -maxDebt*b.rate), b.burst)
}

// Forget drops what a VM reported.
func (q *Quota) Forget(vm string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, b := range q.accounts {
		delete(b.peers, vm)
	}
}
