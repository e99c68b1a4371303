// Package gateway is the HTTP handler that callers talk to. It checks the key,
// the route and the rate, gets a permit for a target instance, sends the request
// there and streams the answer back.
//
// Every answer says in the header Chestnutbay-Outcome what became of the request:
// "answered", "not-run" (it certainly did not run) or "unknown" (it may have run).
// docs/callers.md describes the caller's side.
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
// Server refuses ambiguous framing before net/http resolves the ambiguity. The
// Gateway alone is an http.Handler, but then what net/http accepts is accepted.
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

// Configuration looks up what operators published.
type Configuration interface {
	AccountByKey(hash contract.KeyHash) (*contract.Contract, bool)
	Route(host, path, method string) (*contract.Service, *contract.Route, bool)
}

// Admission holds client accounts to their rates.
type Admission interface {
	Admit(ctx context.Context, account *contract.Contract) error
}

// Config holds what a Gateway works with. Configuration, Fresh, Admission and
// Targets are required.
type Config struct {
	Configuration Configuration
	// Fresh returns why new work is refused, or nil.
	Fresh     func() error
	Admission Admission
	Targets   pool.Acquirer
	// Burn counts finished requests. It may be nil.
	Burn   func(burn.Sample)
	Events *event.Ring
	Logger *zap.Logger
	// Node is this node's name, for the log.
	Node string
	// VMs is the declared fleet size, over which an instance's connections are
	// shared. 0 stands for 1.
	VMs int
	// Idle bounds the time that a caller may leave a body unread or unsent. 0
	// stands for DefaultIdle.
	Idle time.Duration
	// Transport holds the settings towards the targets.
	Transport transport.Config
}

// DefaultIdle is how long a caller's body may make no progress.
const DefaultIdle = time.Minute

// Gateway proxies callers' requests to targets. It is safe for concurrent use.
type Gateway struct {
	config    Config
	transport *transport.Transport
	budget    retry.Budget
	latencies sync.Map // routeName → *retry.Latency
	failures  failures
	flight    flight
	logger    *zap.Logger
	secret    string // marks requests that the framing check refused
}

type routeName struct {
	service string
	route   string
}

// New returns a gateway.
func New(c Config) *Gateway {
	if c.Idle == 0 {
		c.Idle = DefaultIdle
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	c.VMs = max(c.VMs, 1)
	return &Gateway{
		config:    c,
		transport: transport.New(c.Transport),
		failures:  failures{ring: c.Events},
		logger:    c.Logger.With(zap.String("node", c.Node)),
		secret:    message.NewSecret(),
	}
}

// Close drops the idle connections to targets.
func (g *Gateway) Close() {
	g.failures.flush()
	g.transport.Close()
}

// InFlight returns how many requests are in progress.
func (g *Gateway) InFlight() int { return g.flight.size() }

// Drain makes every further answer close its connection, and waits until no
// request is in progress.
func (g *Gateway) Drain(ctx context.Context) error { return g.flight.drain(ctx) }

// ServeHTTP proxies one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.flight.enter()
	defer g.flight.leave()
	x := newExchange(g, w, r)
	defer x.end()
	if f := x.check(); f != nil {
		x.refuse(f)
		return
	}
	x.forward()
}

// latency returns the memory of a route's first-byte times.
func (g *Gateway) latency(service, route string) *retry.Latency {
	name := routeName{service: service, route: route}
	if l, ok := g.latencies.Load(name); ok {
		return l.(*retry.Latency)
	}
	l, _ := g.latencies.LoadOrStore(name, new(retry.Latency))
	return l.(*retry.Latency)
}

// maxIdle is this VM's share of an instance's connections.
func (g *Gateway) maxIdle(s *contract.Service) int {
	return max(s.Connections()/g.config.VMs, 1)
}
