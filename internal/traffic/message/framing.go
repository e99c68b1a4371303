// Package message handles HTTP/1.1 messages on the callers' side: it refuses ambiguous
// framing before net/http resolves the ambiguity, reads request bodies with a timeout
// for progress, distinguishes end-to-end from hop-by-hop headers, and aborts a response
// so that it does not look complete.
//
// # Usage
//
//	secret := message.NewSecret()
//	listener := message.NewListener(l, secret, func() int { return 64 << 10 })
//	// in the handler of a server on that listener:
//	if err := message.RefusedHead(r.Header, secret); err != nil {
//		http.Error(w, err.Reason(), err.Status())
//		return
//	}
//	body := message.NewBody(r, http.NewResponseController(w), time.Minute)
package message

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
)

// refusedHeader marks the placeholder for a request whose head was refused. Its value
// starts with the listener's secret, so that callers cannot forge it.
const refusedHeader = "Chestnutbay-Refused"

// KeyHeader carries a caller's key, as an alternative to Authorization.
const KeyHeader = "Chestnutbay-Key"

const (
	// maxLeadingEmptyLines is how many empty lines before a request line are skipped.
	maxLeadingEmptyLines = 2
	// maxLengthDigits bounds a Content-Length to what fits into 63 bits.
	maxLengthDigits = 18
	// framingBufferBytes is the initial size of a connection's buffer for bytes that
	// were received and not delivered yet.
	framingBufferBytes = 4 << 10
)

// FramingError reports an ambiguous, malformed or unsupported request.
type FramingError struct {
	status int
	reason string
}

// Status returns the HTTP status with which to refuse the request.
func (e *FramingError) Status() int { return e.status }

// Reason returns a short description of the fault, for the response to the caller.
func (e *FramingError) Reason() string { return e.reason }

// Error implements error.
func (e *FramingError) Error() string { return "message: " + e.reason }

func malformed(reason string) *FramingError {
	return &FramingError{status: http.StatusBadRequest, reason: reason}
}

var errAfterRefusal = merry.Sentinel("message: the connection carried a malformed request")

// Listener accepts connections that check the framing of the requests they carry.
type Listener struct {
	net.Listener
	secret  string
	maxHead func() int
}

// NewListener wraps l. Its connections refuse heads that are longer than the number of
// bytes that maxHead returned when the connection was accepted. The secret marks the
// placeholders for refused requests; see RefusedHead.
func NewListener(l net.Listener, secret string, maxHead func() int) *Listener {
	return &Listener{Listener: l, secret: secret, maxHead: maxHead}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framedConn{Conn: c, secret: l.secret, maxHead: l.maxHead()}, nil
}

// framedConn delivers requests to net/http one at a time, and each only after its head
// has been checked. net/http itself would silently resolve some ambiguities, for
// example both a Content-Length and a Transfer-Encoding, and would refuse others
// without the fleet's headers. In place of a refused head the connection delivers a
// well-formed placeholder request, which the handler recognizes and refuses. The
// refusal is thereby sent after the responses to earlier requests on the connection.
type framedConn struct {
	net.Conn
	secret  string
	maxHead int

	received      []byte // received, not yet delivered
	deliverable   int    // how many bytes of received may be delivered
	state         framingState
	searched      int   // how many bytes of received were searched for the end of the head
	bodyRemaining int64 // bytes that remain of a body with a Content-Length
	chunks        chunkScanner
	err           error
}

// Unwrap returns the connection that the listener below a Listener accepted, or c itself if
// it comes from elsewhere.
func Unwrap(c net.Conn) net.Conn {
	if f, ok := c.(*framedConn); ok {
		return f.Conn
	}
	return c
}

// Between reports whether no byte of a request has been received since the end of the last
// one. It must not be called during a Read. Of connections from elsewhere it knows nothing,
// and reports true.
func Between(c net.Conn) bool {
	f, ok := c.(*framedConn)
	return !ok || f.state == inHead && len(f.received) == 0
}

type framingState int

const (
	inHead framingState = iota
	inSizedBody
	inChunkedBody
	afterRefusal
)

var framingBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, framingBufferBytes)
	return &b
}}

// CloseWrite closes the sending side. net/http calls it before Close, so that the caller
// can still read the last response.
func (c *framedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Read returns only bytes that have been checked.
func (c *framedConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		if c.deliverable > 0 {
			return c.deliver(p), nil
		}
		if c.err != nil {
			return 0, c.err
		}
		if len(c.received) > 0 && c.advance() {
			continue
		}
		n, err := c.receive(p)
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// deliver copies deliverable bytes to p and removes them from received.
func (c *framedConn) deliver(p []byte) int {
	n := copy(p, c.received[:c.deliverable])
	c.deliverable -= n
	c.discard(n)
	return n
}

// discard removes n bytes from the front of received. An empty buffer of the initial
// size goes back to the pool.
func (c *framedConn) discard(n int) {
	rest := copy(c.received, c.received[n:])
	c.received = c.received[:rest]
	if rest > 0 {
		return
	}
	if b := c.received; cap(b) == framingBufferBytes {
		framingBuffers.Put(&b)
	}
	c.received = nil
}

// appendReceived adds p to received.
func (c *framedConn) appendReceived(p []byte) {
	if c.received == nil {
		c.received = *framingBuffers.Get().(*[]byte)
	}
	c.received = append(c.received, p...)
}

// receive reads from the network. Bytes that need no check of a head are returned in p;
// others are appended to received, and receive returns 0 for them.
func (c *framedConn) receive(p []byte) (int, error) {
	if c.state == inSizedBody {
		p = p[:min(int64(len(p)), c.bodyRemaining)]
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	switch c.state {
	case inSizedBody:
		c.bodyRemaining -= int64(n)
		if c.bodyRemaining == 0 {
			c.state = inHead
		}
		return n, err
	case inChunkedBody:
		k := c.scanChunks(p[:n])
		if k < n {
			c.appendReceived(p[k:n])
		}
		return k, nil
	default:
		c.appendReceived(p[:n])
		return 0, nil
	}
}

// advance processes the bytes in received. It reports false if more bytes are needed
// before any can be delivered.
func (c *framedConn) advance() bool {
	switch c.state {
	case inSizedBody:
		c.deliverable = int(min(int64(len(c.received)), c.bodyRemaining))
		c.bodyRemaining -= int64(c.deliverable)
		if c.bodyRemaining == 0 {
			c.state = inHead
		}
		return true
	case inChunkedBody:
		c.deliverable = c.scanChunks(c.received)
		return true
	case inHead:
		return c.advanceHead()
	default:
		return false
	}
}

// scanChunks returns how many bytes of p belong to the chunked body. A malformed chunk
// becomes the error of further reads.
func (c *framedConn) scanChunks(p []byte) int {
	n, done, err := c.chunks.scan(p)
	if err != nil {
		c.err = err
		return n
	}
	if done {
		c.state = inHead
	}
	return n
}

// advanceHead checks the next head if it is complete, and reports false if it is not.
func (c *framedConn) advanceHead() bool {
	for range maxLeadingEmptyLines {
		if !bytes.HasPrefix(c.received, []byte("\r\n")) {
			break
		}
		c.discard(2)
	}
	end, err := headEnd(c.received, c.searched, c.maxHead)
	if err != nil {
		c.refuse(err)
		return true
	}
	c.searched = len(c.received)
	if end == 0 {
		return false
	}
	c.searched = 0
	f, err := checkHead(c.received[:end])
	if err != nil {
		c.refuse(err)
		return true
	}
	c.deliverable = end
	switch {
	case f.chunked:
		c.state = inChunkedBody
		c.chunks = chunkScanner{}
	case f.length > 0:
		c.state = inSizedBody
		c.bodyRemaining = f.length
	}
	return true
}

// refuse replaces the received bytes by the placeholder request. Reads after it fail.
func (c *framedConn) refuse(e *FramingError) {
	c.received = fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: refused\r\nConnection: close\r\n%s: %s %d %s\r\n\r\n",
		refusedHeader, c.secret, e.status, e.reason)
	c.deliverable = len(c.received)
	c.state = afterRefusal
	c.err = errAfterRefusal
}

// RefusedHead returns the error for which the head was refused if h belongs to a
// placeholder request with that secret. It returns nil for any other request.
func RefusedHead(h http.Header, secret string) *FramingError {
	rest, ok := strings.CutPrefix(h.Get(refusedHeader), secret+" ")
	if !ok {
		return nil
	}
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil {
		return nil
	}
	return &FramingError{status: status, reason: reason}
}
