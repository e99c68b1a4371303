package ingress

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainQuiet is how long no connection may have arrived until the listener is closed.
	drainQuiet = 5 * time.Millisecond
	// maxDrain bounds the time for which a listener goes on accepting under load.
	maxDrain = 250 * time.Millisecond
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
	quiet := false
	for {
		c, err := l.Listener.Accept()
		if tcp, ok := c.(*net.TCPConn); ok {
			c = newCallerConn(tcp)
		}
		if err == nil || !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if quiet || time.Now().UnixNano() > l.drainEnd.Load() {
			l.drainOnce.Do(func() { close(l.drained) })
			<-l.closed
			return nil, net.ErrClosed
		}
		// A connection that arrived before the deadline may still wait in the queue.
		quiet = true
		l.setDeadline(time.Now().Add(drainQuiet))
	}
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
// that.
func (l *drainListener) drain() {
	if l.draining.Swap(true) {
		return
	}
	now := time.Now()
	l.drainEnd.Store(now.Add(maxDrain).UnixNano())
	if !l.setDeadline(now) {
		return
	}
	select {
	case <-l.drained:
	case <-l.closed:
	}
}

// setDeadline reports whether the listener supports deadlines.
func (l *drainListener) setDeadline(t time.Time) bool {
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	return ok && d.SetDeadline(t) == nil
}
