package burn

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// shards is the number of shards of the counters. Each has a mutex of its own, so
	// that requests on several cores seldom wait for each other.
	shards = 64
	// MaxPairs is how many pairs of client account and route a node counts separately, so
	// that memory stays bounded. The limit is divided equally among the shards. When the
	// shard of an account is full, a request of a new pair is counted under OtherRoutes
	// of its account if that counter exists, and otherwise under OtherAccounts.
	MaxPairs = 262144
	// OtherRoutes stands for the routes of an account that have no counter.
	OtherRoutes = "(other)"
	// OtherAccounts stands for the accounts that have no counter.
	OtherAccounts = "(other)"
	// OpenAccount stands for callers of routes that need no key.
	OpenAccount = "(open)"
	// NoRoute stands for requests that matched no route.
	NoRoute = "(none)"
)

// Pair identifies a counter: a client account and a route of a service.
type Pair struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Route   string `json:"route"`
}

// Counters counts the finished requests of one node. The zero value is ready to
// use and safe for concurrent use.
type Counters struct {
	once   sync.Once
	seed   maphash.Seed
	shards [shards]shard
}

// shard holds the counters of a part of the client accounts.
type shard struct {
	mu     sync.Mutex
	series map[Pair]*series
	// total counts the requests of all pairs, for the plots of a report.
	total series
	// verdicts and durations are exported as metrics.
	verdicts  verdictCounts
	durations histogram
}

// Count adds one finished request.
func (c *Counters) Count(s Sample) {
	c.count(s, unitOf(time.Now()))
}

func (c *Counters) count(sample Sample, now uint32) {
	pair := pairOf(sample)
	sh := c.shard(pair.Account)
	failed := sample.Verdict.Failure()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.verdicts.add(sample.Service, sample.Verdict)
	sh.durations.add(sample.Duration)
	if !sample.Verdict.eligible() {
		return
	}
	sh.find(pair, now).add(now, failed)
	sh.total.add(now, failed)
}

// pairOf returns the client account and route under which a request is counted.
// OpenAccount and NoRoute replace empty names.
func pairOf(s Sample) Pair {
	p := Pair{Account: s.Account, Service: s.Service, Route: s.Route}
	if p.Account == "" {
		p.Account = OpenAccount
	}
	if p.Route == "" {
		p.Route = NoRoute
	}
	return p
}

// shard returns the shard that holds all counters of an account.
func (c *Counters) shard(account string) *shard {
	c.once.Do(func() { c.seed = maphash.MakeSeed() })
	return &c.shards[maphash.String(c.seed, account)%shards]
}

// find returns the counter of a pair and creates it if needed. When the shard is full,
// it drops the counters whose windows are empty; if that frees none, it returns a shared
// counter.
func (sh *shard) find(p Pair, now uint32) *series {
	if s := sh.series[p]; s != nil {
		return s
	}
	if sh.series == nil {
		sh.series = make(map[Pair]*series)
	}
	if len(sh.series) >= MaxPairs/shards {
		sh.prune(now)
	}
	if len(sh.series) >= MaxPairs/shards {
		return sh.fallback(p)
	}
	s := new(series)
	sh.series[p] = s
	return s
}

// prune drops the counters whose windows are empty.
func (sh *shard) prune(now uint32) {
	for p, s := range sh.series {
		if s.empty(now) {
			delete(sh.series, p)
		}
	}
}

// fallback returns the shared counter of the account's other routes if there is one, and
// else the shared counter of all other accounts in this shard.
func (sh *shard) fallback(p Pair) *series {
	other := Pair{Account: p.Account, Route: OtherRoutes}
	if s := sh.series[other]; s != nil {
		return s
	}
	other = Pair{Account: OtherAccounts, Route: OtherRoutes}
	s := sh.series[other]
	if s == nil {
		s = new(series)
		sh.series[other] = s
	}
	return s
}

// eligible reports whether a request counts towards the objective, which it does if the
// fleet owed the caller a response.
func (v Verdict) eligible() bool {
	switch v {
	case OverRate, CallerDisconnected, BadRequest:
		return false
	default:
		return true
	}
}

// Failure reports whether the request counts as a failure against the objective.
func (v Verdict) Failure() bool {
	switch v {
	case NotRun, Unknown, Truncated, TargetError:
		return true
	default:
		return false
	}
}
