package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes connections that carry no request for too long. net/http fixes
// that time at its start, but here it follows the configuration.
type idleConns struct {
	timeout func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func (c *idleConns) changed(conn net.Conn, state http.ConnState) {
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

func (c *idleConns) close(conn net.Conn) {
	c.mu.Lock()
	_, idle := c.timers[conn]
	delete(c.timers, conn)
	c.mu.Unlock()
	if idle {
		conn.Close()
	}
}
