// Package contract holds the documents that operators publish: one contract
// per client account, and one description per service of targets. The package
// also sets the defaults of the documents and checks them; a check reports every
// problem, not only the first.
//
// # Usage
//
//	c, err := contract.Decode(file)
//	if err != nil {
//		return err // every problem, with line and key
//	}
//	fmt.Println(c.Account(), c.Rate(), c.Burst())
//
// Documents are immutable once decoded.
package contract

import (
	"fmt"
	"math"
	"regexp"
	"time"
)

// Limits and defaults of a contract.
const (
	// MaxRate is the highest rate, in requests per second.
	MaxRate = 1e6
	// MaxBurst is the highest burst, in requests.
	MaxBurst = 1e6
	// MaxKeys is the highest number of keys of one account.
	MaxKeys = 256
	// MaxDeadline is the longest deadline. It covers a 20-minute upload with a
	// wide margin.
	MaxDeadline = 2 * time.Hour
	// DefaultDeadline is the deadline of a contract that sets none.
	DefaultDeadline = 30 * time.Second
	// DefaultRetryBudget is the share of requests that may be retried if the
	// contract does not set it.
	DefaultRetryBudget = 0.1
	// DefaultObjective is the share of requests that must succeed if the contract
	// does not set it.
	DefaultObjective = 0.999
	// DefaultFloor is the share of a service's instances that ejections must leave
	// in use if the contract does not set it.
	DefaultFloor = 0.5
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Contract holds the limits and guarantees that were agreed with one client
// account. Rate and burst apply to the whole fleet.
type Contract struct {
	account     string
	rate        float64
	burst       float64
	keys        []KeyHash
	services    []ServiceAccess
	deadline    time.Duration
	retryBudget float64
	objective   float64
}

// ServiceAccess grants an account the right to call a service.
type ServiceAccess struct {
	service string
	floor   float64
}

// NewServiceAccess returns the right to call a service. floor is the share of the
// service's instances, 0 to 1, that ejections must leave in use.
func NewServiceAccess(service string, floor float64) ServiceAccess {
	return ServiceAccess{service: service, floor: floor}
}

// Service returns the name of the service.
func (a ServiceAccess) Service() string { return a.service }

// Floor returns the share of the service's instances, 0 to 1, that ejections
// must leave in use.
func (a ServiceAccess) Floor() float64 { return a.floor }

// New returns a contract with the given limits and the defaults for the rest.
func New(account string, rate, burst float64, keys []KeyHash, services []ServiceAccess) *Contract {
	c := &Contract{account: account, rate: rate, burst: burst, keys: keys, services: services}
	c.setDefaults()
	return c
}

func (c *Contract) setDefaults() {
	if c.deadline == 0 {
		c.deadline = DefaultDeadline
	}
	if c.retryBudget == 0 {
		c.retryBudget = DefaultRetryBudget
	}
	if c.objective == 0 {
		c.objective = DefaultObjective
	}
}

// Check returns every problem of the contract, or nil if it is valid.
func (c *Contract) Check() []Problem {
	var p problemCollector
	p.checkName("account", c.account)
	if !(c.rate > 0 && c.rate <= MaxRate) {
		p.addf("rate", "must be more than 0 and at most %g requests per second, is %g", MaxRate, c.rate)
	}
	if !(c.burst >= 1 && c.burst <= MaxBurst) {
		p.addf("burst", "must be from 1 to %g requests, is %g", MaxBurst, c.burst)
	}
	c.checkKeys(&p)
	c.checkServices(&p)
	if c.deadline <= 0 || c.deadline > MaxDeadline {
		p.addf("deadline", "must be more than 0 and at most %s, is %s", MaxDeadline, c.deadline)
	}
	p.checkShare("retry_budget", c.retryBudget)
	p.checkShare("objective", c.objective)
	return p.list
}

func (c *Contract) checkKeys(p *problemCollector) {
	if len(c.keys) > MaxKeys {
		p.addf("keys", "must be at most %d, are %d", MaxKeys, len(c.keys))
	}
	seen := make(map[KeyHash]bool, len(c.keys))
	for i, k := range c.keys {
		if seen[k] && k != (KeyHash{}) { // The zero hash stands for a malformed one, which is reported already.
			p.addf(fmt.Sprintf("keys[%d]", i), "is listed twice")
		}
		seen[k] = true
	}
}

func (c *Contract) checkServices(p *problemCollector) {
	seen := make(map[string]bool, len(c.services))
	for i, u := range c.services {
		key := fmt.Sprintf("services[%d]", i)
		p.checkName(key+".service", u.service)
		p.checkShare(key+".floor", u.floor)
		if seen[u.service] {
			p.addf(key+".service", "%q is listed twice", u.service)
		}
		seen[u.service] = true
	}
}

// Account returns the name of the client account.
func (c *Contract) Account() string { return c.account }

// Rate returns the fleet-wide rate in requests per second.
func (c *Contract) Rate() float64 { return c.rate }

// Burst returns the fleet-wide burst in requests.
func (c *Contract) Burst() float64 { return c.burst }

// Keys returns the hashes of the account's keys.
func (c *Contract) Keys() []KeyHash { return c.keys }

// Services returns the services that the account may call.
func (c *Contract) Services() []ServiceAccess { return c.services }

// Allows reports whether the account may call a service.
func (c *Contract) Allows(service string) bool {
	for _, u := range c.services {
		if u.service == service {
			return true
		}
	}
	return false
}

// Deadline returns the longest time that a request of the account may take.
func (c *Contract) Deadline() time.Duration { return c.deadline }

// RetryBudget returns the share of requests, 0 to 1, that may be retried.
func (c *Contract) RetryBudget() float64 { return c.retryBudget }

// Objective returns the share of requests, 0 to 1, that must succeed.
func (c *Contract) Objective() float64 { return c.objective }

func finite(f float64) bool {
	return !math.IsNaN(f) && !math.IsInf(f, 0)
}
