package message

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"chestnutbay.dev/chestnutbay/internal/traffic/transport"
)

// lingerTimeout bounds how long net/http may wait for the rest of a body that
// nobody wants before it closes the connection.
const lingerTimeout = 2 * time.Second

// Body is the body of a caller's request. Each read may take the idle timeout, so a
// long upload that makes progress is not cut off.
type Body struct {
	src  io.ReadCloser
	rc   *http.ResponseController
	idle time.Duration

	mu      sync.Mutex
	stopped bool
	touched bool
	whole   bool
	atEnd   func() // called at the end of the body
}

// NewBody returns the body of a request. A read may take as long as idle.
func NewBody(r *http.Request, rc *http.ResponseController, idle time.Duration) *Body {
	return &Body{src: r.Body, rc: rc, idle: idle, whole: r.ContentLength == 0}
}

// LimitIdle lowers the time that a read may take.
func (b *Body) LimitIdle(idle time.Duration) { b.idle = min(b.idle, idle) }

// AtEnd sets a function that is called when the whole body has been read.
func (b *Body) AtEnd(f func()) { b.atEnd = f }

// Read reads on, unless the body was interrupted.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return 0, transport.ErrInterrupted
	}
	b.touched = true
	b.rc.SetReadDeadline(time.Now().Add(b.idle)) //nolint:errcheck // Recorders in tests have no deadline.
	b.mu.Unlock()
	n, err := b.src.Read(p)
	if err == nil {
		return n, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var timeout net.Error
	switch {
	case errors.Is(err, io.EOF):
		b.whole = true
		// net/http now watches the connection, which must not time out.
		b.rc.SetReadDeadline(time.Time{}) //nolint:errcheck // See above.
		if b.atEnd != nil {
			b.atEnd()
		}
	case b.stopped && errors.As(err, &timeout) && timeout.Timeout():
		err = transport.ErrInterrupted
	}
	return n, err
}

// Close does nothing: the body belongs to the server.
func (b *Body) Close() error { return nil }

// Interrupt makes a read in progress and all further ones fail.
func (b *Body) Interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.whole {
		return
	}
	b.stopped = true
	b.rc.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // See above.
}

// Interrupted reports whether a read was made to fail. net/http then takes the caller
// for gone, though it may not be.
func (b *Body) Interrupted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}

// Untouched reports whether nothing of the body was read.
func (b *Body) Untouched() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.touched
}

// Unread reports whether the body may have bytes that nobody has read.
func (b *Body) Unread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.whole
}

// Linger bounds what net/http reads of an unwanted body.
func (b *Body) Linger() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.whole && !b.stopped {
		b.rc.SetReadDeadline(time.Now().Add(lingerTimeout)) //nolint:errcheck // See above.
	}
}

// Abort breaks the caller's transfer, so that what it has got does not pass for
// a whole answer. The reset also reaches callers that read until the connection
// closes.
func Abort(rc *http.ResponseController) {
	c, _, err := rc.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	reset(c)
	c.Close()
}

// reset makes closing a TCP connection send RST.
func reset(c net.Conn) {
	if f, ok := c.(*framedConn); ok {
		c = f.Conn
	}
	if t, ok := c.(interface{ SetLinger(int) error }); ok {
		t.SetLinger(0) //nolint:errcheck // A connection that is gone needs no reset.
	}
}
