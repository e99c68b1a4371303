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

// lingerTimeout bounds how long net/http may wait for the rest of an unwanted body
// before it closes the connection.
const lingerTimeout = 2 * time.Second

// Body is the body of a caller's request. Its timeout applies to each read, not to the
// whole body, so a long upload that makes progress is not cut off. Its methods may be
// called concurrently with Read, except LimitIdle and AtEnd.
type Body struct {
	src         io.ReadCloser
	rc          *http.ResponseController
	idleTimeout time.Duration

	mu          sync.Mutex
	interrupted bool
	started     bool
	complete    bool
	atEnd       func() // called at the end of the body
}

// NewBody returns the body of r. A read fails with a timeout after idle without data.
func NewBody(r *http.Request, rc *http.ResponseController, idle time.Duration) *Body {
	return &Body{src: r.Body, rc: rc, idleTimeout: idle, complete: r.ContentLength == 0}
}

// LimitIdle lowers the timeout of further reads to idle, if that is shorter.
func (b *Body) LimitIdle(idle time.Duration) { b.idleTimeout = min(b.idleTimeout, idle) }

// AtEnd sets a function that Read calls once the whole body has been read.
func (b *Body) AtEnd(f func()) { b.atEnd = f }

// Read implements io.Reader. After Interrupt it returns transport.ErrInterrupted.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.interrupted {
		b.mu.Unlock()
		return 0, transport.ErrInterrupted
	}
	b.started = true
	b.rc.SetReadDeadline(time.Now().Add(b.idleTimeout)) //nolint:errcheck // Only test recorders do not support it.
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
		b.complete = true
		// From here on net/http reads the connection in the background to notice when the
		// caller disconnects. That read must not time out.
		b.rc.SetReadDeadline(time.Time{}) //nolint:errcheck // See above.
		if b.atEnd != nil {
			b.atEnd()
		}
	case b.interrupted && errors.As(err, &timeout) && timeout.Timeout():
		err = transport.ErrInterrupted
	}
	return n, err
}

// Close does nothing, since net/http closes the body of a server's request.
func (b *Body) Close() error { return nil }

// Interrupt makes a read in progress and all further reads fail. It does nothing if the
// whole body has been read.
func (b *Body) Interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.complete {
		return
	}
	b.interrupted = true
	b.rc.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // See above.
}

// Interrupted reports whether Interrupt took effect. net/http then cancels the request's
// context as if the caller had disconnected, although it may still be connected.
func (b *Body) Interrupted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.interrupted
}

// Untouched reports whether no read of the body has started, so that the whole body can
// still be read.
func (b *Body) Untouched() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.started
}

// MustClose reports whether the connection must be closed behind the response: it may still
// carry bytes of the body, or Interrupt took effect, which may have cancelled the contexts of
// later requests even if the end of the body arrived at the same moment.
func (b *Body) MustClose() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.complete || b.interrupted
}

// Linger bounds the time for which net/http reads the rest of an unwanted body after the
// response.
func (b *Body) Linger() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.complete && !b.interrupted {
		b.rc.SetReadDeadline(time.Now().Add(lingerTimeout)) //nolint:errcheck // See above.
	}
}

// Abort resets the caller's connection, so that a response that was sent in part does
// not look complete. A reset, unlike an orderly close, is an error also for callers that
// read the response until the connection closes. If the connection cannot be taken over,
// Abort panics with http.ErrAbortHandler.
func Abort(rc *http.ResponseController) {
	c, _, err := rc.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resetOnClose(c)
	c.Close()
}

// resetOnClose makes Close of a TCP connection send RST.
func resetOnClose(c net.Conn) {
	if t, ok := Unwrap(c).(interface{ SetLinger(int) error }); ok {
		t.SetLinger(0) //nolint:errcheck // A connection that is closed already needs no reset.
	}
}
