package transport

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// errHeadTooLarge reports a response whose head exceeds MaxHeadBytes.
var errHeadTooLarge = merry.Sentinel("transport: the response's head is too large")

// connBufferBytes is the size of the read and write buffers of a connection in use.
const connBufferBytes = 16 << 10

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, connBufferBytes) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, connBufferBytes) }}
)

// conn is a connection to an instance. It holds a read buffer only while an
// attempt uses it.
type conn struct {
	net.Conn
	address      string
	stallTimeout time.Duration
	rawConn      syscall.RawConn
	reader       *bufio.Reader

	written       *atomic.Bool // set when a byte of the current attempt's request was written
	headRemaining int          // bytes by which the head may still grow, or -1 while a body is read
	// previousMethod is the method of the last request on the connection, "" before it.
	previousMethod string
	idleSince      time.Time
	idleTimer      *time.Timer
}

func newConn(netConn net.Conn, address string, stallTimeout time.Duration) *conn {
	c := &conn{Conn: netConn, address: address, stallTimeout: stallTimeout, headRemaining: -1}
	if s, ok := netConn.(syscall.Conn); ok {
		c.rawConn, _ = s.SyscallConn()
	}
	return c
}

// begin prepares the connection for an attempt: it takes a read buffer and limits the
// head of the response. written becomes true when the first byte of the request is
// written.
func (c *conn) begin(written *atomic.Bool) {
	c.written = written
	c.headRemaining = MaxHeadBytes
	c.reader = readerPool.Get().(*bufio.Reader)
	c.reader.Reset(c)
}

// release returns the read buffer to the pool. A connection that is used again must not
// have bytes in the buffer, since they are lost.
func (c *conn) release() {
	if c.reader != nil {
		c.reader.Reset(nil)
		readerPool.Put(c.reader)
		c.reader = nil
	}
}

// buffered returns how many bytes can be read without waiting.
func (c *conn) buffered() int {
	if c.reader == nil {
		return 0
	}
	return c.reader.Buffered()
}

func (c *conn) discard() {
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	c.Close()
}

// Read limits the size of a response's head, and the time for which a read of its body
// may wait for data.
func (c *conn) Read(p []byte) (int, error) {
	if c.headRemaining == 0 {
		return 0, errHeadTooLarge
	}
	if c.headRemaining > 0 {
		n, err := c.Conn.Read(p[:min(len(p), c.headRemaining)])
		c.headRemaining -= n
		return n, err
	}
	if err := c.SetReadDeadline(time.Now().Add(c.stallTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write records that bytes were written, and limits the time for which the target may
// leave them unread.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.stallTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.written.Store(true)
	}
	return n, err
}

// usable reports whether the idle connection is open and has no bytes to read. A byte
// that arrived before the next request was written belongs to no request.
func (c *conn) usable() bool {
	if c.rawConn == nil {
		return false
	}
	var b [1]byte
	waiting := true
	err := c.rawConn.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = n > 0 || err != syscall.EAGAIN
		return true
	})
	return err == nil && !waiting
}
