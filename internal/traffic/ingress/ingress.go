// Package ingress serves callers on an entry VM: it finds the route and the client
// account of a request, holds the account to its rate, chooses a target instance
// and passes the whole answer on, or says truthfully why there is none.
//
// A VM serves a request alone. What it needs from others (the configuration, the
// instances, their load and failures, what other VMs admitted) has arrived before
// and is used as it was last known.
//
// Statuses of the fleet's own answers: 503 and 429 promise that the request has not
// run and will not run; 502 and 504 promise nothing.
//
// # Usage
//
//	s := ingress.New(ingress.Config{Table: state.Table, Balancer: balancer, Quota: quota, Budget: budget, Headers: headers})
//	group.Go(func() error { return s.Serve(listener) })
//	err := s.Shutdown(ctx)
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/contract/routing"
	"chestnutbay.dev/chestnutbay/internal/limit/quota"
	"chestnutbay.dev/chestnutbay/internal/target/balancer"
	"chestnutbay.dev/chestnutbay/internal/traffic/message"
	"chestnutbay.dev/chestnutbay/internal/traffic/retry"
	"chestnutbay.dev/chestnutbay/internal/traffic/transport"
)

// Headers names the headers between callers, the fleet and targets.
type Headers struct {
	// Request carries the identity that the caller gave the request.
	Request string
	// Deadline carries the remaining milliseconds.
	Deadline string
	// Signature marks an answer as the target's own.
	Signature string
	// Account tells the target whose key came with the request.
	Account string
	// Instance tells a target which instance is meant.
	Instance string
	// NotRun marks a target's answer that proves that the request did not run.
	NotRun string
}

// Config is what a Server works with. All but Metrics and Logger are required.
type Config struct {
	// Table returns the configuration in force, or nil before there is one.
	Table    func() *routing.Table
	Balancer *balancer.Balancer
	Quota    *quota.Quota
	Budget   *retry.FleetBudget
	Headers  Headers
	// VMs returns the number of VMs, over which an instance's connections are
	// shared.
	VMs     func() int
	Metrics *Metrics
	Logger  *zap.Logger
}

const (
	// dialTimeout bounds the time to connect to an instance, which takes a few
	// milliseconds between zones. A request that was not sent may go elsewhere.
	dialTimeout = 300 * time.Millisecond
	// bodyIdle bounds the time that a caller's body may make no progress.
	bodyIdle = 30 * time.Second
	// headSlack is added to the head limit that net/http knows, since the framing
	// check has the limit that counts.
	headSlack = 64 << 10
	// idleSlack keeps an idle connection open a little longer than callers use it.
	idleSlack = time.Second
	// unloadedIdle closes idle connections of a VM that knows no limits yet.
	unloadedIdle = 30 * time.Second
)

// Server accepts callers' connections. It is safe for concurrent use.
type Server struct {
	config    Config
	transport *transport.Transport
	http      *http.Server
	secret    string
	leaving   atomic.Bool
	inFlight  atomic.Int64
	idle      idleConns
}

// New returns a server.
func New(c Config) *Server {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.VMs == nil {
		c.VMs = func() int { return 1 }
	}
	s := &Server{
		config:    c,
		transport: transport.New(transport.Config{DialTimeout: dialTimeout, IdleTimeout: upstreamIdle, Freshness: upstreamFreshness}),
		secret:    message.NewSecret(),
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	s.idle.timeout = s.idleTimeout
	s.http = &http.Server{
		Handler:                      s,
		ReadHeaderTimeout:            routing.DefaultHeadTimeout,
		MaxHeaderBytes:               routing.DefaultMaxHeadBytes + headSlack,
		Protocols:                    &protocols,
		DisableGeneralOptionsHandler: true,
		ConnState:                    s.idle.changed,
	}
	if log, err := zap.NewStdLogAt(c.Logger, zap.DebugLevel); err == nil {
		s.http.ErrorLog = log
	}
	return s
}

func (s *Server) idleTimeout() time.Duration {
	t := s.config.Table()
	if t == nil {
		return unloadedIdle
	}
	return t.Limits().IdleTimeout() + idleSlack
}

func (s *Server) maxHead() int {
	if t := s.config.Table(); t != nil {
		return t.Limits().MaxHeadBytes()
	}
	return routing.DefaultMaxHeadBytes
}

// Serve accepts connections until Shutdown or Close. It then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(message.NewListener(l, s.secret, s.maxHead))
}

// Leave makes every further answer close its connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// InFlight returns how many requests are in progress.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Shutdown closes the listeners and the idle connections, and waits for the
// requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	s.transport.Close()
	return err
}

// Close closes every connection.
func (s *Server) Close() error {
	s.transport.Close()
	return s.http.Close()
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := newExchange(s, w, r)
	defer x.end()
	if f := x.check(); f != nil {
		x.refuse(f)
		return
	}
	x.forward()
}
