package routing

import (
	"math/rand/v2"
	"time"
)

// Kind tells whether a route's requests may be executed more than once, and whether they
// have large bodies.
type Kind int

// Kinds of routes. The zero value is the most restrictive.
const (
	// Unsafe requests may be executed at most once.
	Unsafe Kind = iota
	// Safe requests may be executed more than once.
	Safe
	// Upload requests may be executed at most once and have large bodies.
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

// Split assigns a share of a route's requests to a service.
type Split struct {
	// Service is the service's name.
	Service string
	// Weight is the service's share, relative to the sum of the route's weights.
	Weight float64
}

// RouteConfig is the operator's configuration of a route.
type RouteConfig struct {
	// Name identifies the route in logs.
	Name string
	// Host is the host of the route's requests, without a port.
	Host string
	// Prefix is the common prefix of the paths of the route's requests. It begins and
	// ends with a slash.
	Prefix string
	// Kind tells whether requests may be executed more than once.
	Kind Kind
	// Timeout bounds the time until a caller gets a response. 0 means no limit other
	// than the caller's own.
	Timeout time.Duration
	// Objective is the latency objective, the time within which a response has the
	// highest value. 0 means none.
	Objective time.Duration
	// Attempts is the maximum number of instances to which one request is sent. 0
	// stands for 1.
	Attempts int
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Public reports whether the route accepts requests without a key.
	Public bool
	// Splits lists the services of the route.
	Splits []Split
}

// Route assigns the requests with a host and a path prefix to services. It is
// immutable.
type Route struct {
	config      RouteConfig
	totalWeight float64 // sum of the weights of all splits
}

// newRoute returns a route. The caller has checked that it has at least one split.
func newRoute(c RouteConfig) *Route {
	c.Attempts = max(c.Attempts, 1)
	r := &Route{config: c}
	for _, s := range c.Splits {
		r.totalWeight += s.Weight
	}
	return r
}

// Name returns the name that identifies the route in logs.
func (r *Route) Name() string { return r.config.Name }

// Kind tells whether requests may be executed more than once.
func (r *Route) Kind() Kind { return r.config.Kind }

// Idempotent reports whether a request may be executed more than once.
func (r *Route) Idempotent() bool { return r.config.Kind == Safe }

// Timeout returns the bound on the time until a caller gets a response, or 0 for none.
func (r *Route) Timeout() time.Duration { return r.config.Timeout }

// Objective returns the latency objective, or 0 if the route has none.
func (r *Route) Objective() time.Duration { return r.config.Objective }

// Attempts returns the maximum number of instances to which one request is sent.
func (r *Route) Attempts() int { return r.config.Attempts }

// Priority returns the priority of the route's requests; 0 is the highest.
func (r *Route) Priority() int { return r.config.Priority }

// Public reports whether the route accepts requests without a key.
func (r *Route) Public() bool { return r.config.Public }

// Service returns the name of a service for one request, drawn at random in proportion
// to the weights.
func (r *Route) Service() string {
	splits := r.config.Splits
	if len(splits) == 1 || r.totalWeight <= 0 {
		return splits[0].Service
	}
	x := rand.Float64() * r.totalWeight
	for _, s := range splits {
		if x < s.Weight {
			return s.Service
		}
		x -= s.Weight
	}
	return splits[len(splits)-1].Service
}
