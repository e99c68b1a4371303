package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/traffic/message"
)

// Limits on callers' connections.
const (
	// HeaderTimeout bounds the time to receive the head of a connection's first
	// request.
	HeaderTimeout = 10 * time.Second
	// IdleTimeout is how long a connection may be idle between requests before it is
	// closed.
	IdleTimeout = 90 * time.Second
	// MaxHeaderBytes bounds the request line and the headers of a request together.
	MaxHeaderBytes = 64 << 10
)

// Server accepts callers' connections for a Gateway. It speaks HTTP/1.0 and
// HTTP/1.1; the platform's load balancer terminates TLS and HTTP/2. The time of a
// whole request is limited only by its deadline, so long uploads work.
type Server struct {
	gateway *Gateway
	http    *http.Server
}

// NewServer returns a server that passes callers' requests to g. It does not listen
// yet; see Serve.
func NewServer(g *Gateway) *Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	s := &http.Server{
		Handler:           g,
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       IdleTimeout,
		// The framing check enforces MaxHeaderBytes. net/http must accept more, so that
		// the placeholder request for a head that is too large reaches the gateway.
		MaxHeaderBytes: 2 * MaxHeaderBytes,
		Protocols:      &protocols,
		// The gateway responds to "OPTIONS *" itself, with its own headers.
		DisableGeneralOptionsHandler: true,
	}
	if log, err := zap.NewStdLogAt(g.logger, zap.DebugLevel); err == nil {
		s.ErrorLog = log
	}
	return &Server{gateway: g, http: s}
}

// Serve accepts connections until Shutdown or Close. It then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(message.NewListener(l, s.gateway.framingSecret, func() int { return MaxHeaderBytes }))
}

// Shutdown closes the listeners and the idle connections, and waits for the
// requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close closes the listeners and every connection.
func (s *Server) Close() error { return s.http.Close() }
