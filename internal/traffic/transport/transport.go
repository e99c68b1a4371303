// Package transport sends one attempt of a request to a target instance over HTTP/1.1
// and records whether any byte of it was written.
//
// net/http's Transport is not used, for two reasons. It retries a request by itself when
// a reused connection breaks and the method is idempotent or an Idempotency-Key header
// is present. And it may take surplus bytes, which a target sent after a response, for
// the response to the next request on the connection. Requests and responses are still
// written and parsed by net/http.
//
// # Usage
//
//	t := transport.New(transport.Config{})
//	defer t.Close()
//	a := t.Send(ctx, address, request, transport.Options{MaxIdle: 8})
//	defer a.Close()
//	if a.Err() != nil {
//		return a.Written(), a.Kind() // false: the request did not run
//	}
//	_, err := io.Copy(w, a.Response().Body)
//
// An attempt ends when its response's body has been read to the end, when it fails, when
// its context is done, or with Close. Its connection is reused only if the request was
// written completely, the response was read completely, no byte followed it and nothing
// was cancelled. A surplus response that arrives after the next request has been written
// can be told from the response to that request only by an ID that the target repeats;
// see Options.Stray.
package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Defaults of a Config.
const (
	// DefaultDialTimeout bounds the time to make a connection, which takes about
	// 1 ms inside an AZ.
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout is how long an unused connection is kept open.
	DefaultIdleTimeout = 15 * time.Second
	// DefaultStallTimeout ends an attempt when the target does not read the request, or
	// does not send more of the response's body, for this time.
	DefaultStallTimeout = time.Minute
	// DefaultFreshness is how long a connection may have been idle and still carry a
	// request that must not run twice. Common servers close idle connections after 2 s
	// or more. If the target closes the connection while a request is on its way, it is
	// unknown whether the request ran.
	DefaultFreshness = time.Second
	// MaxHeadBytes bounds the head of a response, including the 1xx responses before it.
	MaxHeadBytes = 256 << 10
	// ContinueTimeout is how long a request with an Expect header waits for the target's
	// 100 Continue before it sends its body anyway.
	ContinueTimeout = time.Second
)

// Config holds the settings of a Transport. Zero fields get the defaults above.
type Config struct {
	DialTimeout  time.Duration
	IdleTimeout  time.Duration
	StallTimeout time.Duration
	Freshness    time.Duration
	// Dial makes connections. The default is a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (c *Config) defaults() {
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.StallTimeout == 0 {
		c.StallTimeout = DefaultStallTimeout
	}
	if c.Freshness == 0 {
		c.Freshness = DefaultFreshness
	}
	if c.Dial == nil {
		c.Dial = new(net.Dialer).DialContext
	}
}

// Options holds the settings of one attempt.
type Options struct {
	// MaxIdle is the largest number of idle connections to the instance that are kept.
	// At least one is kept.
	MaxIdle int
	// Retryable allows the use of a connection that was idle for longer than
	// Config.Freshness, because the request can be retried if the target closes the
	// connection at that moment.
	Retryable bool
	// Informational receives the target's 1xx responses other than 100 and 101. It is
	// called by the goroutine that calls Send.
	Informational func(status int, h http.Header)
	// Stray reports whether a response belongs to an earlier request. Such a response, a
	// late second copy, is dropped, and the response after it is read. If it is nil, the
	// first response counts.
	Stray func(r *http.Response) bool
	// Interrupt must make a Read of the request's body that is in progress return
	// ErrInterrupted. It is called at most once, when the attempt ends while the body
	// may still be read.
	Interrupt func()
}

// Transport sends attempts and keeps idle connections. It is safe for
// concurrent use.
type Transport struct {
	config Config

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// New returns a transport without connections.
func New(c Config) *Transport {
	c.defaults()
	return &Transport{config: c, idle: make(map[string][]*conn)}
}

// Close closes the idle connections. Attempts in progress continue, and close their
// connections at their end.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	idle := t.idle
	t.idle = make(map[string][]*conn)
	t.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.discard()
		}
	}
}

// Idle returns how many idle connections to an instance are open.
func (t *Transport) Idle(address string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.idle[address])
}

// connect returns an idle connection to the instance, or a new one if none is usable.
func (t *Transport) connect(ctx context.Context, address string, retryable bool) (*conn, error) {
	for {
		c := t.takeIdle(address, retryable)
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		c.discard()
	}
	ctx, cancel := context.WithTimeout(ctx, t.config.DialTimeout)
	defer cancel()
	netConn, err := t.config.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(netConn, address, t.config.StallTimeout), nil
}

// takeIdle removes the idle connection that was used last from the pool and returns it.
// It returns nil if there is none, or if that one was idle for too long for a request
// that is not retryable.
func (t *Transport) takeIdle(address string, retryable bool) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if !retryable && time.Since(c.idleSince) > t.config.Freshness {
		return nil
	}
	t.setIdle(address, list[:len(list)-1])
	c.idleTimer.Stop()
	return c
}

// setIdle replaces the list of idle connections to an instance. The caller holds the
// lock.
func (t *Transport) setIdle(address string, list []*conn) {
	if len(list) == 0 {
		delete(t.idle, address)
		return
	}
	t.idle[address] = list
}

// putIdle keeps a connection for the next attempt. It closes the connection instead if
// there are maxIdle already or the transport is closed.
func (t *Transport) putIdle(c *conn, maxIdle int) {
	c.release()
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[c.address]
	if t.closed || len(list) >= max(maxIdle, 1) {
		c.discard()
		return
	}
	c.idleSince = time.Now()
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(t.config.IdleTimeout, func() { t.closeExpired(c) })
	} else {
		c.idleTimer.Reset(t.config.IdleTimeout)
	}
	t.idle[c.address] = append(list, c)
}

// closeExpired closes a connection that has been idle for the idle timeout.
func (t *Transport) closeExpired(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[c.address]
	for i := range list {
		if list[i] != c {
			continue
		}
		// The timer may have fired while an attempt was using the connection, which has
		// become idle again since.
		if time.Since(c.idleSince) < t.config.IdleTimeout {
			return
		}
		t.setIdle(c.address, append(list[:i:i], list[i+1:]...))
		c.discard()
		return
	}
}
