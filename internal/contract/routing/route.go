package routing

import (
	"math/rand/v2"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds of routes. The zero value allows the least.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Upload requests run at most once and have large bodies.
	Upload
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Upload:
		return "upload"
	default:
		return "unsafe"
	}
}

// Split is one service's part of a route's requests.
type Split struct {
	// Service is the service's name.
	Service string
	// Weight is the service's share in relation to the route's other weights.
	Weight float64
}

// RouteConfig is what an operator says of a route.
type RouteConfig struct {
	// Name identifies the route in logs.
	Name string
	// Host is the host of the route's requests, without a port.
	Host string
	// Prefix begins the paths of the route's requests. It begins and ends with a
	// slash.
	Prefix string
	// Kind says what may be repeated.
	Kind Kind
	// Timeout is the longest time that a caller is kept waiting. 0 means no limit
	// other than the caller's own.
	Timeout time.Duration
	// Objective is the time within which an answer is worth the most. 0 means none.
	Objective time.Duration
	// Attempts is the largest number of instances that one request is sent to. 0
	// stands for 1.
	Attempts int
	// Priority is the route's rank; 0 is the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Splits lists the services of the route.
	Splits []Split
}

// Route is one rule of a Table. It is immutable.
type Route struct {
	config RouteConfig
	total  float64 // of the weights
}

func newRoute(c RouteConfig) *Route {
	c.Attempts = max(c.Attempts, 1)
	r := &Route{config: c}
	for _, s := range c.Splits {
		r.total += s.Weight
	}
	return r
}

// Name identifies the route in logs.
func (r *Route) Name() string { return r.config.Name }

// Kind says what may be repeated.
func (r *Route) Kind() Kind { return r.config.Kind }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.config.Kind == Safe }

// Timeout is the longest time that a caller is kept waiting, or 0.
func (r *Route) Timeout() time.Duration { return r.config.Timeout }

// Objective is the time within which an answer is worth the most, or 0.
func (r *Route) Objective() time.Duration { return r.config.Objective }

// Attempts is the largest number of instances that one request is sent to.
func (r *Route) Attempts() int { return r.config.Attempts }

// Priority is the route's rank; 0 is the highest.
func (r *Route) Priority() int { return r.config.Priority }

// Public reports whether requests need no key.
func (r *Route) Public() bool { return r.config.Public }

// Service picks the service of one request, in proportion to the weights.
func (r *Route) Service() string {
	splits := r.config.Splits
	if len(splits) == 1 || r.total <= 0 {
		return splits[0].Service
	}
	x := rand.Float64() * r.total
	for _, s := range splits {
		if x < s.Weight {
			return s.Service
		}
		x -= s.Weight
	}
	return splits[len(splits)-1].Service
}
