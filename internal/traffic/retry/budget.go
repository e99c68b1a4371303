// Package retry decides whether a failed request may be retried at a target, and bounds
// the number of retries.
//
// # Usage
//
//	var budget retry.Budget
//	budget.Request("orders", "acme")
//	...
//	if request.Allows() && budget.Take("orders", "acme", contract.RetryBudget()) {
//		// send it to another instance
//	}
//
// Without a budget an overload amplifies itself, because every failed request causes
// another one.
package retry

import (
	"sync"
	"time"
)

// Bounds of the retry budget of a service on this node. The larger of MaxRetryShare and
// MinRetryRate applies.
const (
	// Window is the time over which requests and retries are counted.
	Window = 10 * time.Second
	// MaxRetryShare is the highest number of retries as a share of the requests.
	MaxRetryShare = 0.1
	// MinRetryRate is how many retries per second are allowed however few requests
	// there are.
	MinRetryRate = 1.0
)

// windowSeconds is the number of counters of a window, one per second.
const windowSeconds = int(Window / time.Second)

// Budget counts requests and retries per service and per client account. The
// zero value is ready to use. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	services  map[string]*window
	accounts  map[accountKey]*window
	lastSweep int64
	start     time.Time
}

// accountKey identifies one client account at one service.
type accountKey struct {
	service string
	account string
}

// Request counts a request once, however often it is sent.
func (b *Budget) Request(service, account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.second()
	s, a := b.windows(now, service, account)
	s.at(now).requests++
	a.at(now).requests++
}

// Take uses one retry of the budget and reports whether it is allowed. The bound of the
// service protects its targets. share, from the account's contract, bounds the account's
// retries as a share of its own requests; every account may have one retry per window.
func (b *Budget) Take(service, account string, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.second()
	s, a := b.windows(now, service, account)
	requests, retries := s.sum(now)
	if float64(retries+1) > max(MaxRetryShare*float64(requests), MinRetryRate*Window.Seconds()) {
		return false
	}
	requests, retries = a.sum(now)
	if float64(retries+1) > max(share*float64(requests), 1) {
		return false
	}
	s.at(now).retries++
	a.at(now).retries++
	return true
}

// Accounts returns how many pairs of account and service have a window.
func (b *Budget) Accounts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.accounts)
}

func (b *Budget) windows(now int64, service, account string) (*window, *window) {
	if b.services == nil {
		b.services = make(map[string]*window)
		b.accounts = make(map[accountKey]*window)
	}
	b.sweep(now)
	key := accountKey{service: service, account: account}
	s, a := b.services[service], b.accounts[key]
	if s == nil {
		s = new(window)
		b.services[service] = s
	}
	if a == nil {
		a = new(window)
		b.accounts[key] = a
	}
	return s, a
}

// sweep drops the windows of accounts and services that were idle for the length of a
// window. It does so at most once per window.
func (b *Budget) sweep(now int64) {
	if now-b.lastSweep < int64(windowSeconds) {
		return
	}
	b.lastSweep = now
	for key, w := range b.accounts {
		if now-w.lastUsed >= int64(windowSeconds) {
			delete(b.accounts, key)
		}
	}
	for name, w := range b.services {
		if now-w.lastUsed >= int64(windowSeconds) {
			delete(b.services, name)
		}
	}
}

// window is a ring of counters, one per second.
type window struct {
	counts   [windowSeconds]count
	lastUsed int64 // last second in which something was counted
}

// count holds the requests and retries of one second.
type count struct {
	second   int64
	requests int
	retries  int
}

func (w *window) at(now int64) *count {
	w.lastUsed = now
	c := &w.counts[now%int64(windowSeconds)]
	if c.second != now {
		*c = count{second: now}
	}
	return c
}

func (w *window) sum(now int64) (requests, retries int) {
	for _, c := range w.counts {
		if now-c.second < int64(windowSeconds) {
			requests += c.requests
			retries += c.retries
		}
	}
	return requests, retries
}

// second returns the number of the current second by the monotonic clock. The first
// number is larger than the length of the window, so that an unused counter, whose
// second is 0, is outside the window.
func (b *Budget) second() int64 {
	if b.start.IsZero() {
		b.start = time.Now()
	}
	return int64(2*windowSeconds) + int64(time.Since(b.start)/time.Second)
}
