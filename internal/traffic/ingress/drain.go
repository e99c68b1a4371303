package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainQuiet is how long no connection may have arrived, drainRounds times in a row,
	// until the listener is closed.
	drainQuiet  = 10 * time.Millisecond
	drainRounds = 3
	// maxDrain bounds the time for which a listener goes on accepting under load.
	maxDrain = time.Second
)

// drainListener accepts the connections that wait in the system's queue before it stops
// accepting. Closing a listener resets them, though their callers may have sent requests.
type drainListener struct {
	net.Listener
	draining  atomic.Bool
	drainEnd  atomic.Int64 // Unix ns
	drained   chan struct{}
	drainOnce sync.Once
	closed    chan struct{}
	closeOnce sync.Once
}

func newDrainListener(l net.Listener) *drainListener {
	return &drainListener{Listener: l, drained: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener. Once the queue is drained, it waits for Close.
func (l *drainListener) Accept() (net.Conn, error) {
	c, err := l.accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		c = newCallerConn(tcp)
	}
	return c, err
}

func (l *drainListener) accept() (net.Conn, error) {
	if !l.draining.Load() {
		c, err := l.Listener.Accept()
		if err == nil || !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
	}
	// An Accept whose deadline has passed does not look at the queue. On a busy machine that
	// happens even if each call gets a deadline of its own, so that one quiet round shows
	// nothing.
	for quiet := 0; quiet < drainRounds && time.Now().UnixNano() < l.drainEnd.Load(); quiet++ {
		l.setDeadline(time.Now().Add(drainQuiet))
		c, err := l.Listener.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
	}
	l.drainOnce.Do(func() { close(l.drained) })
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener. Further calls do nothing.
func (l *drainListener) Close() error {
	var err error
	l.closeOnce.Do(func() {
		close(l.closed)
		err = l.Listener.Close()
	})
	return err
}

// drain makes Accept return the connections that wait and then no more, and waits for
// that, for at most half of the time until ctx is done.
func (l *drainListener) drain(ctx context.Context) {
	now := time.Now()
	limit := maxDrain
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, deadline.Sub(now)/2)
	}
	l.drainEnd.Store(now.Add(limit).UnixNano())
	if l.draining.Swap(true) || !l.setDeadline(now) {
		return
	}
	select {
	case <-l.drained:
	case <-l.closed:
	case <-ctx.Done():
	}
}

// setDeadline reports whether the listener supports deadlines.
func (l *drainListener) setDeadline(t time.Time) bool {
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	return ok && d.SetDeadline(t) == nil
}
