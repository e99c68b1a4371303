// Package ingress serves callers on an entry VM. For each request it finds the route
// and the client account, enforces the account's rate limit, chooses a target instance
// and returns the instance's complete response, or an error response with the reason
// why there is none.
//
// A VM handles a request without asking other VMs. Data from elsewhere (the
// configuration, the instances with their load and failures, the requests that other
// VMs admitted) is received in the background, and the last known state is used.
//
// Statuses of the fleet's own error responses: 503 and 429 guarantee that the request
// has not run and will not run; after 502 and 504 it may have run.
//
// # Usage
//
//	s := ingress.New(ingress.Config{Table: state.Table, Balancer: balancer, Quota: quota, RetryBudget: budget, Headers: headers})
//	group.Go(func() error { return s.Serve(listener) })
//	err := s.Shutdown(ctx)
package ingress

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/contract/routing"
	"chestnutbay.dev/chestnutbay/internal/limit/quota"
	"chestnutbay.dev/chestnutbay/internal/target/balancer"
	"chestnutbay.dev/chestnutbay/internal/target/directory"
	"chestnutbay.dev/chestnutbay/internal/traffic/message"
	"chestnutbay.dev/chestnutbay/internal/traffic/retry"
	"chestnutbay.dev/chestnutbay/internal/traffic/transport"
)

// Headers holds the names of the headers that callers, the fleet and targets exchange.
type Headers struct {
	// RequestID carries the request ID that the caller chose.
	RequestID string
	// Deadline carries the milliseconds that remain until the deadline.
	Deadline string
	// Signature is set on the responses that the target itself generated. A successful
	// response without it is rejected.
	Signature string
	// Account carries the name of the client account to the target.
	Account string
	// Instance carries the ID of the instance that the request is meant for. Another
	// instance at the same address refuses it with status 421.
	Instance string
	// NotRun is set on a target's response when the request did not run.
	NotRun string
	// Leaving is "1" on the responses of an instance that is leaving.
	Leaving string
}

// Config holds the settings and dependencies of a Server. VMs, Metrics and Logger are
// optional; all other fields are required.
type Config struct {
	// Table returns the routing table in force, or nil before there is a configuration.
	Table       func() *routing.Table
	Balancer    *balancer.Balancer
	Quota       *quota.Quota
	RetryBudget *retry.FleetBudget
	Headers     Headers
	// Departed is called with each instance whose response said that it is leaving. It may
	// be nil.
	Departed func(i *directory.Instance)
	// VMs returns the number of VMs that share an instance's connection limit. The
	// default is 1.
	VMs     func() int
	Metrics *Metrics
	Logger  *zap.Logger
}

const (
	// dialTimeout bounds the time to connect to an instance, which takes a few
	// milliseconds between zones. After a timeout another instance can be tried, since
	// nothing was sent.
	dialTimeout = 300 * time.Millisecond
	// bodyIdleTimeout is how long a read of a caller's body may wait for data.
	bodyIdleTimeout = 30 * time.Second
	// headSlack is added to net/http's own limit for request heads, since the limit that
	// counts is the one that the framing check of package message enforces.
	headSlack = 64 << 10
	// idleSlack is added to the configured idle timeout, so that callers that follow the
	// same timeout stop using a connection before it is closed.
	idleSlack = time.Second
	// unconfiguredIdleTimeout is the idle timeout of callers' connections before there
	// is a configuration.
	unconfiguredIdleTimeout = 30 * time.Second
)

// Server accepts callers' connections. It is safe for concurrent use.
type Server struct {
	config    Config
	transport *transport.Transport
	http      *http.Server
	secret    string
	leaving   atomic.Bool
	inFlight  atomic.Int64
	conns     callerConns
	listener  atomic.Pointer[drainListener] // nil before Serve
	stopBy    atomic.Int64                  // Unix ns; see Shutdown; 0 before it
}

// New returns a server that does not listen yet; see Serve.
func New(c Config) *Server {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.VMs == nil {
		c.VMs = func() int { return 1 }
	}
	s := &Server{
		config:    c,
		transport: transport.New(transport.Config{DialTimeout: dialTimeout, IdleTimeout: upstreamIdleTimeout, Freshness: upstreamFreshness}),
		secret:    message.NewSecret(),
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	s.conns.timeout = s.idleTimeout
	s.http = &http.Server{
		Handler:                      s,
		ReadHeaderTimeout:            routing.DefaultHeadTimeout,
		MaxHeaderBytes:               routing.DefaultMaxHeadBytes + headSlack,
		Protocols:                    &protocols,
		DisableGeneralOptionsHandler: true,
		ConnState:                    s.conns.connStateChanged,
	}
	if log, err := zap.NewStdLogAt(c.Logger, zap.DebugLevel); err == nil {
		s.http.ErrorLog = log
	}
	return s
}

func (s *Server) idleTimeout() time.Duration {
	t := s.config.Table()
	if t == nil {
		return unconfiguredIdleTimeout
	}
	return t.Limits().IdleTimeout() + idleSlack
}

func (s *Server) maxHeadBytes() int {
	if t := s.config.Table(); t != nil {
		return t.Limits().MaxHeadBytes()
	}
	return routing.DefaultMaxHeadBytes
}

// Serve accepts connections on l until Shutdown or Close is called. It then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	d := newDrainListener(l)
	s.listener.Store(d)
	err := s.http.Serve(message.NewListener(d, s.secret, s.maxHeadBytes))
	if s.stopBy.Load() != 0 && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed // net/http does not know of the planned stop yet
	}
	return err
}

// Leave makes the server close each connection after its next response, so that callers
// move to other VMs before a planned stop.
func (s *Server) Leave() { s.leaving.Store(true) }

// InFlight returns how many requests are in progress.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Shutdown accepts the connections that wait, closes the listener, and waits until each
// connection is closed or ctx is done, in which case it returns the context's error. A
// connection is closed when no request is in progress on it. A request that arrives
// meanwhile is served if its deadline is not later than that of ctx, and refused otherwise,
// since it might be cut off. The Shutdown of net/http would close a connection on which it
// reads a request without an answer.
func (s *Server) Shutdown(ctx context.Context) error {
	stopBy, ok := ctx.Deadline()
	if !ok {
		stopBy = time.Unix(0, math.MaxInt64)
	}
	s.stopBy.Store(stopBy.UnixNano())
	s.Leave()
	if l := s.listener.Load(); l != nil {
		l.drain(ctx)
		l.Close()
	}
	if err := s.conns.drain(ctx); err != nil {
		return err
	}
	err := s.http.Shutdown(ctx)
	s.transport.Close()
	return err
}

// endsInTime reports whether a request with the given deadline ends before a planned stop
// cuts off the requests in progress.
func (s *Server) endsInTime(deadline time.Time) bool {
	stopBy := s.stopBy.Load()
	return stopBy == 0 || deadline.UnixNano() <= stopBy
}

// Close closes the listeners and every connection without waiting for requests in
// progress.
func (s *Server) Close() error {
	s.transport.Close()
	return s.http.Close()
}

// ServeHTTP implements http.Handler. It serves one caller's request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := newExchange(s, w, r)
	defer x.finish()
	if f := x.check(); f != nil {
		x.refuse(f)
		return
	}
	x.forward()
}
