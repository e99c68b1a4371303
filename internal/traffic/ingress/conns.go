package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chestnutbay.dev/chestnutbay/internal/traffic/message"
)

const (
	// unusedTimeout is how long a planned stop waits for the first byte on a connection
	// that was accepted and has not been used.
	unusedTimeout = 5 * time.Second
	// drainPoll is the interval between two searches for connections that can be closed.
	drainPoll = 5 * time.Millisecond
)

// callerConn is a caller's connection. It records whether bytes of a request have been read
// since the connection was last idle.
type callerConn struct {
	*net.TCPConn
	raw   syscall.RawConn
	state atomic.Int32 // a connUse
}

// connUse tells whether a request may have begun on a callerConn.
type connUse = int32

const (
	connUnused connUse = iota // no byte has been read since the connection was last idle
	connInUse                 // bytes of a request have been read
	connClosed                // the server closes the connection and reads no more from it
)

func newCallerConn(c *net.TCPConn) *callerConn {
	raw, err := c.SyscallConn()
	if err != nil {
		raw = nil // The connection is closed, and fails at its first read.
	}
	return &callerConn{TCPConn: c, raw: raw}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.state.CompareAndSwap(connUnused, connInUse) && c.state.Load() == connClosed {
		return 0, net.ErrClosed
	}
	return n, err
}

// closeIfUnused closes the connection if no byte of a request has arrived since it was last
// idle, and reports whether it did.
func (c *callerConn) closeIfUnused() bool {
	if c.received() || !c.state.CompareAndSwap(connUnused, connClosed) {
		return false
	}
	c.Close()
	return true
}

// received reports whether bytes of the caller wait in the system's buffer. The connection's
// own Read may be in progress.
func (c *callerConn) received() bool {
	if c.raw == nil {
		return false
	}
	waiting := false
	var b [1]byte
	err := c.raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})
	return err == nil && waiting
}

// callerConns follows the state of the callers' connections. It closes those that have been
// idle for too long, in place of the idle timeout of net/http, which cannot change after
// the server has started, while this one follows the configuration. In a planned stop it
// closes each connection once it is not in use.
type callerConns struct {
	timeout func() time.Duration

	mu    sync.Mutex
	conns map[net.Conn]*callerConnState
}

// callerConnState is the state of one connection.
type callerConnState struct {
	state http.ConnState
	since time.Time
	timer *time.Timer // closes the connection when it has been idle for too long; nil if it is not idle
}

// connStateChanged is the server's ConnState hook.
func (c *callerConns) connStateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous := c.conns[conn]; previous != nil && previous.timer != nil {
		previous.timer.Stop()
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	if c.conns == nil {
		c.conns = make(map[net.Conn]*callerConnState)
	}
	current := &callerConnState{state: state, since: time.Now()}
	c.conns[conn] = current
	if state != http.StateIdle {
		return
	}
	// net/http reads ahead while it serves a request, so that the next one may have begun.
	if caller, ok := message.Unwrap(conn).(*callerConn); ok && message.Between(conn) {
		caller.state.CompareAndSwap(connInUse, connUnused)
	}
	current.timer = time.AfterFunc(c.timeout(), func() { c.closeExpired(conn, current) })
}

// closeExpired closes conn unless it has received a request since its timer fired.
func (c *callerConns) closeExpired(conn net.Conn, expired *callerConnState) {
	c.mu.Lock()
	idle := c.conns[conn] == expired
	c.mu.Unlock()
	if idle {
		conn.Close()
	}
}

// drain closes each connection once no request is in progress on it, and returns when all
// are closed or ctx is done. A request that has begun to arrive counts as in progress.
func (c *callerConns) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for c.closeUnusedConns() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closeUnusedConns closes the connections that are idle, and those that have been accepted long
// ago and not been used. It returns how many remain.
func (c *callerConns) closeUnusedConns() int {
	c.mu.Lock()
	var unused []net.Conn
	for conn, s := range c.conns {
		if s.state == http.StateIdle || s.state == http.StateNew && time.Since(s.since) > unusedTimeout {
			unused = append(unused, conn)
		}
	}
	remaining := len(c.conns)
	c.mu.Unlock()
	for _, conn := range unused {
		if closeIfUnused(conn) {
			remaining--
		}
	}
	return remaining
}

// closeIfUnused closes a connection unless a request has begun to arrive on it, and reports
// whether it did.
func closeIfUnused(conn net.Conn) bool {
	if caller, ok := message.Unwrap(conn).(*callerConn); ok {
		return caller.closeIfUnused()
	}
	conn.Close()
	return true
}
