// Package peer carries calls between the nodes of the fleet: JSON-RPC 2.0 over
// TLS 1.3, one persistent connection per direction.
//
// Both ends prove that they know the fleet secret before the first message. A
// client of the public port, which does not know it, cannot send any. A call
// needs a request and a reply, so a network partition in one direction fails
// calls in both.
//
// # Usage
//
//	mesh, err := peer.New(peer.Config{Self: "vm-1", Secret: secret, Nodes: listed})
//	mesh.Handle("ping", func(ctx context.Context, from string, params json.RawMessage) (any, error) {
//		return "pong", nil
//	})
//	group.Go(func() error { return mesh.Serve(ctx, listener) })
//	err = mesh.Call(ctx, "vm-2", "ping", nil, &reply)
//
// A call without a reply returns ErrUnreachable; a call for which the other
// node's handler returned an error returns ErrRemote.
package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/platform/roster"
)

// Errors of calls and connections.
var (
	// ErrUnreachable reports a call without a reply. The other node may have
	// handled it.
	ErrUnreachable = merry.Sentinel("node unreachable")
	// ErrRemote reports an error that the other node's handler returned.
	ErrRemote = merry.Sentinel("remote error")
	// ErrUnauthenticated reports a connection from a process that does not know
	// the fleet secret.
	ErrUnauthenticated = merry.Sentinel("peer does not know the fleet secret")
)

const (
	// dialTimeout bounds the time to connect and authenticate.
	dialTimeout = 2 * time.Second
	// redialDelay is the shortest time between a failed dial and the next one, so
	// that calls to a dead node do not dial it again and again.
	redialDelay = 250 * time.Millisecond
	// maxConcurrent bounds the requests that one connection has in progress;
	// further ones wait in the socket.
	maxConcurrent = 4096
	// helloMethod is the first call on a connection. It names the caller, and the
	// reply names the node called.
	helloMethod = "hello"
	// codeHandler is the JSON-RPC error code for an error that a handler
	// returned.
	codeHandler = -32000
)

// Handler handles a call from another node.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Config holds the settings and dependencies of New.
type Config struct {
	// Self is this node's ID.
	Self string
	// Secret is the fleet secret, known to all nodes of the fleet and to nobody
	// else.
	Secret []byte
	// Nodes returns the nodes on the VM list. It may include this node.
	Nodes func() []roster.Node
	// Logger is optional; nil disables logging.
	Logger *zap.Logger
}

// Mesh manages this node's connections to its peers.
type Mesh struct {
	config   Config
	tls      *tls.Config
	handlers map[string]Handler

	mu     sync.Mutex
	links  map[string]*link
	closed bool

	calls, served, bytesIn, bytesOut atomic.Uint64
}

// Stats counts the traffic between this node and its peers since the process
// started.
type Stats struct {
	// Calls and Served count outgoing calls and calls handled for peers.
	Calls, Served uint64
	// BytesIn and BytesOut count TCP payload bytes, TLS records included.
	BytesIn, BytesOut uint64
}

// link is the outgoing connection to one node. inUse holds a value while one
// caller uses the other fields or dials. Other callers wait until inUse is
// free or their context ends.
type link struct {
	inUse     chan struct{}
	address   string
	conn      *jsonrpc2.Conn
	failedAt  time.Time
	dialError error
}

// New returns a Mesh without connections. It fails if the secret is too short.
func New(c Config) (*Mesh, error) {
	t, err := tlsConfig(c.Secret)
	if err != nil {
		return nil, merry.Prepend(err, "peer.New")
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &Mesh{
		config:   c,
		tls:      t,
		handlers: make(map[string]Handler),
		links:    make(map[string]*link),
	}, nil
}

// Self returns this node's ID.
func (m *Mesh) Self() string { return m.config.Self }

// Nodes returns the listed nodes except this one.
func (m *Mesh) Nodes() []roster.Node {
	var others []roster.Node
	for _, n := range m.config.Nodes() {
		if n.ID() != m.config.Self {
			others = append(others, n)
		}
	}
	return others
}

// Handle sets the handler of a method. All handlers must be set before Serve.
func (m *Mesh) Handle(method string, h func(ctx context.Context, from string, params json.RawMessage) (any, error)) {
	m.handlers[method] = h
}

// Stats returns the traffic counters.
func (m *Mesh) Stats() Stats {
	return Stats{
		Calls: m.calls.Load(), Served: m.served.Load(),
		BytesIn: m.bytesIn.Load(), BytesOut: m.bytesOut.Load(),
	}
}

// Serve accepts connections until ctx ends, then closes all connections.
func (m *Mesh) Serve(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		m.closeLinks()
		return l.Close()
	})
	g.Go(func() error {
		for {
			raw, err := l.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				return merry.Prepend(err, "Mesh.Serve")
			}
			g.Go(func() error {
				m.serveConn(ctx, raw)
				return nil
			})
		}
	})
	return g.Wait()
}

func (m *Mesh) serveConn(ctx context.Context, raw net.Conn) {
	conn := tls.Server(&countingConn{Conn: raw, mesh: m}, m.tls)
	handshakeCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	err := conn.HandshakeContext(handshakeCtx)
	cancel()
	if err != nil {
		m.config.Logger.Warn("refused a connection from a peer", zap.Stringer("address", raw.RemoteAddr()), zap.Error(err))
		raw.Close()
		return
	}
	s := &session{mesh: m}
	s.group.SetLimit(maxConcurrent)
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), s)
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		rpc.Close()
	}
	_ = s.group.Wait() // the functions in the group return no errors
}

// session serves an incoming connection.
type session struct {
	mesh  *Mesh
	group errgroup.Group

	mu   sync.Mutex
	from string
}

// Handle handles one request in the session's group, so that a slow one does not
// delay the next.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == helloMethod {
		s.handleHello(ctx, conn, req)
		return
	}
	s.group.Go(func() error {
		s.handleCall(ctx, conn, req)
		return nil
	})
}

func (s *session) handleHello(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var from string
	if req.Params == nil || json.Unmarshal(*req.Params, &from) != nil || from == "" {
		conn.Close()
		return
	}
	s.mu.Lock()
	s.from = from
	s.mu.Unlock()
	if err := conn.Reply(ctx, req.ID, s.mesh.config.Self); err != nil {
		s.mesh.config.Logger.Debug("peer disconnected during the hello exchange", zap.String("node", from), zap.Error(err))
	}
}

func (s *session) handleCall(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	s.mu.Lock()
	from := s.from
	s.mu.Unlock()
	result, err := s.mesh.dispatch(ctx, from, req)
	if req.Notif {
		return
	}
	if err != nil {
		err = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: codeHandler, Message: err.Error()})
	} else {
		err = conn.Reply(ctx, req.ID, result)
	}
	if err != nil {
		s.mesh.config.Logger.Debug("could not send reply", zap.String("node", from), zap.String("method", req.Method), zap.Error(err))
	}
}

func (m *Mesh) dispatch(ctx context.Context, from string, req *jsonrpc2.Request) (any, error) {
	if from == "" {
		return nil, merry.Wrap(ErrUnauthenticated)
	}
	h, ok := m.handlers[req.Method]
	if !ok {
		return nil, merry.Errorf("unknown method %q", req.Method)
	}
	m.served.Add(1)
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return h(ctx, from, params)
}

// Call sends a request to a node and waits for the reply until ctx ends. A call
// to this node itself invokes the handler directly.
func (m *Mesh) Call(ctx context.Context, node, method string, params, result any) error {
	if node == m.config.Self {
		return m.callSelf(ctx, method, params, result)
	}
	conn, err := m.connect(ctx, node)
	if err != nil {
		return merry.Errorf("Mesh.Call: %s at %s: %w: %w", method, node, ErrUnreachable, err)
	}
	m.calls.Add(1)
	err = conn.Call(ctx, method, params, result)
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return merry.Errorf("Mesh.Call: %s at %s: %w: %s", method, node, ErrRemote, remote.Message)
	default:
		return merry.Errorf("Mesh.Call: %s at %s: %w: %w", method, node, ErrUnreachable, err)
	}
}

func (m *Mesh) callSelf(ctx context.Context, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return merry.Prepend(err, "Mesh.Call")
	}
	h, ok := m.handlers[method]
	if !ok {
		return merry.Errorf("Mesh.Call: unknown method %q: %w", method, ErrRemote)
	}
	response, err := h(ctx, m.config.Self, raw)
	if err != nil {
		return merry.Errorf("Mesh.Call: %s: %w: %w", method, ErrRemote, err)
	}
	if result == nil {
		return nil
	}
	raw, err = json.Marshal(response)
	if err != nil {
		return merry.Prepend(err, "Mesh.Call")
	}
	return json.Unmarshal(raw, result)
}

// connect returns the open connection to a node and dials if there is none.
func (m *Mesh) connect(ctx context.Context, node string) (*jsonrpc2.Conn, error) {
	address, ok := m.address(node)
	if !ok {
		return nil, merry.Errorf("node %s is not on the VM list", node)
	}
	l, err := m.link(node)
	if err != nil {
		return nil, err
	}
	select {
	case l.inUse <- struct{}{}:
		defer func() { <-l.inUse }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if l.conn != nil && l.address == address && !disconnected(l.conn) {
		return l.conn, nil
	}
	if l.address == address && time.Since(l.failedAt) < redialDelay {
		return nil, l.dialError
	}
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
	l.address = address
	conn, err := m.dial(ctx, node, address)
	if err != nil {
		l.failedAt, l.dialError = time.Now(), err
		return nil, err
	}
	l.conn = conn
	return conn, nil
}

func disconnected(c *jsonrpc2.Conn) bool {
	select {
	case <-c.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (m *Mesh) address(node string) (string, bool) {
	for _, n := range m.config.Nodes() {
		if n.ID() == node {
			return n.PeerAddress(), true
		}
	}
	return "", false
}

func (m *Mesh) link(node string) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, net.ErrClosed
	}
	l := m.links[node]
	if l == nil {
		l = &link{inUse: make(chan struct{}, 1)}
		m.links[node] = l
	}
	return l, nil
}

// Reset drops the connection to a node. The next call dials again, which detects
// a VM that was replaced behind the same address.
func (m *Mesh) Reset(node string) {
	m.mu.Lock()
	l := m.links[node]
	delete(m.links, node)
	m.mu.Unlock()
	if l != nil {
		l.close()
	}
}

func (l *link) close() {
	l.inUse <- struct{}{}
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
	<-l.inUse
}

func (m *Mesh) closeLinks() {
	m.mu.Lock()
	links := m.links
	m.links = nil
	m.closed = true
	m.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func (m *Mesh) dial(ctx context.Context, node, address string) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(&countingConn{Conn: raw, mesh: m}, m.tls)
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	// The connection is kept after the call that opened it.
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(conn), noRequests{})
	var name string
	if err := rpc.Call(ctx, helloMethod, m.config.Self, &name); err != nil {
		rpc.Close()
		return nil, err
	}
	// After an address has moved to another VM, that VM must not receive messages
	// for the node that had it before.
	if name != node {
		rpc.Close()
		return nil, merry.Errorf("%s identifies itself as node %s, not %s", address, name, node)
	}
	return rpc, nil
}

// noRequests accepts no calls on an outgoing connection: the other node opens its
// own connection for them.
type noRequests struct{}

// Handle closes the connection on any request.
func (noRequests) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	conn.Close()
}

// countingConn counts the bytes of a connection, for the node's budget of control
// traffic.
type countingConn struct {
	net.Conn
	mesh *Mesh
}

// Read adds the bytes read to the node's counter.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mesh.bytesIn.Add(uint64(n))
	return n, err
}

// Write adds the bytes written to the node's counter.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.mesh.bytesOut.Add(uint64(n))
	return n, err
}
