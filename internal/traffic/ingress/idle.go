package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that have been idle for too long. It replaces
// the idle timeout of net/http, which cannot change after the server has started, while
// this one follows the configuration.
type idleConns struct {
	timeout func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// connStateChanged is the server's ConnState hook. It starts a connection's timer when
// the connection becomes idle, and stops it otherwise.
func (c *idleConns) connStateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.timers[conn]; t != nil {
		t.Stop()
		delete(c.timers, conn)
	}
	if state != http.StateIdle {
		return
	}
	if c.timers == nil {
		c.timers = make(map[net.Conn]*time.Timer)
	}
	c.timers[conn] = time.AfterFunc(c.timeout(), func() { c.close(conn) })
}

// close closes conn unless it has received a request since its timer fired.
func (c *idleConns) close(conn net.Conn) {
	c.mu.Lock()
	_, idle := c.timers[conn]
	delete(c.timers, conn)
	c.mu.Unlock()
	if idle {
		conn.Close()
	}
}
