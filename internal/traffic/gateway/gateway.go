// Package gateway provides the HTTP handler for callers. It checks the key, the
// route and the rate, acquires a permit for a target instance, sends the request
// to it and streams the response back.
//
// Every final response states the outcome of the request in the header
// Chestnutbay-Outcome: "answered" (the response is the target's), "not-run" (it is
// certain that no target ran the request) or "unknown" (a target may have run it).
// docs/callers.md describes the gateway from the caller's point of view.
//
// # Usage
//
//	g := gateway.New(gateway.Config{
//		Configuration: follower.Ledger(),
//		Fresh:         follower.Fresh,
//		Admission:     allowance,
//		Targets:       pools,
//		VMs:           48,
//	})
//	defer g.Close()
//	s := gateway.NewServer(g)
//	err := s.Serve(listener) // http.ErrServerClosed after s.Shutdown
//
// Server refuses requests with ambiguous framing before net/http resolves the
// ambiguity. Gateway is an http.Handler and works without Server, but then accepts
// any framing that net/http accepts.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
	"chestnutbay.dev/chestnutbay/internal/report/event"
	"chestnutbay.dev/chestnutbay/internal/target/pool"
	"chestnutbay.dev/chestnutbay/internal/traffic/message"
	"chestnutbay.dev/chestnutbay/internal/traffic/retry"
	"chestnutbay.dev/chestnutbay/internal/traffic/transport"
)

// Configuration looks up accounts and routes in the configuration that operators
// published. The methods return false if there is no match.
type Configuration interface {
	AccountByKey(hash contract.KeyHash) (*contract.Contract, bool)
	Route(host, path, method string) (*contract.Service, *contract.Route, bool)
}

// Admission enforces the rates of client accounts.
type Admission interface {
	// Admit returns nil if a request of the account may be sent now. A refusal is an
	// *allowance.Refusal.
	Admit(ctx context.Context, account *contract.Contract) error
}

// Config holds the dependencies and settings of a Gateway. Configuration, Fresh,
// Admission and Targets are required.
type Config struct {
	Configuration Configuration
	// Fresh returns an error while the configuration may be out of date, and nil
	// otherwise. Requests are refused while it returns an error.
	Fresh     func() error
	Admission Admission
	Targets   pool.Acquirer
	// Burn receives a sample of each finished request, to count it. It may be nil.
	Burn   func(burn.Sample)
	Events *event.Ring
	Logger *zap.Logger
	// Node is this node's name, for log lines.
	Node string
	// VMs is the declared number of VMs in the fleet, which share the connections
	// that an instance can take. 0 stands for 1.
	VMs int
	// BodyIdleTimeout bounds how long a caller may send nothing of a request body, or
	// read nothing of a response body. 0 stands for DefaultBodyIdleTimeout.
	BodyIdleTimeout time.Duration
	// Transport holds the settings for connections to targets.
	Transport transport.Config
}

// DefaultBodyIdleTimeout is how long a body may make no progress at the caller.
const DefaultBodyIdleTimeout = time.Minute

// Gateway proxies callers' requests to targets. It is safe for concurrent use.
type Gateway struct {
	config        Config
	transport     *transport.Transport
	retryBudget   retry.Budget
	latencies     sync.Map // routeKey → *retry.Latency
	failures      failureRecorder
	inFlight      inFlightCounter
	logger        *zap.Logger
	framingSecret string // marks the placeholders for requests that the framing check refused
}

// routeKey identifies a route by the names of its service and of the route.
type routeKey struct {
	service string
	route   string
}

// New returns a gateway with the settings c. Close must be called when it is no longer
// used.
func New(c Config) *Gateway {
	if c.BodyIdleTimeout == 0 {
		c.BodyIdleTimeout = DefaultBodyIdleTimeout
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	c.VMs = max(c.VMs, 1)
	return &Gateway{
		config:        c,
		transport:     transport.New(c.Transport),
		failures:      failureRecorder{ring: c.Events},
		logger:        c.Logger.With(zap.String("node", c.Node)),
		framingSecret: message.NewSecret(),
	}
}

// Close records the failure events of the current period and closes the idle
// connections to targets.
func (g *Gateway) Close() {
	g.failures.flush()
	g.transport.Close()
}

// InFlight returns how many requests are in progress.
func (g *Gateway) InFlight() int { return g.inFlight.size() }

// Drain makes the responses to further requests close their connections, and waits
// until no request is in progress or ctx is done.
func (g *Gateway) Drain(ctx context.Context) error { return g.inFlight.drain(ctx) }

// ServeHTTP checks one request of a caller and proxies it to a target.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.add()
	defer g.inFlight.remove()
	x := newExchange(g, w, r)
	defer x.end()
	if f := x.check(); f != nil {
		x.refuse(f)
		return
	}
	x.forward()
}

// latency returns the recent times to the first byte on a route.
func (g *Gateway) latency(service, route string) *retry.Latency {
	key := routeKey{service: service, route: route}
	if l, ok := g.latencies.Load(key); ok {
		return l.(*retry.Latency)
	}
	l, _ := g.latencies.LoadOrStore(key, new(retry.Latency))
	return l.(*retry.Latency)
}

// maxIdle returns how many idle connections to an instance this VM may keep: its
// share of the connections that an instance of the service can take, at least 1.
func (g *Gateway) maxIdle(s *contract.Service) int {
	return max(s.Connections()/g.config.VMs, 1)
}
