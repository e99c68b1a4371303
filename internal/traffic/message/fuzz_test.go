package message_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"chestnutbay.dev/chestnutbay/internal/traffic/message"
)

// bytesConn is a connection that delivers bytes and then ends.
type bytesConn struct {
	net.Conn
	in *bytes.Reader
}

func (c *bytesConn) Read(p []byte) (int, error) { return c.in.Read(p) }

// oneConn accepts one connection.
type oneConn struct {
	net.Listener
	conn net.Conn
}

func (l *oneConn) Accept() (net.Conn, error) { return l.conn, nil }

// FuzzFraming guards against bytes of a caller that end the process, and against a
// delivery of more than the caller sent and one placeholder.
func FuzzFraming(f *testing.F) {
	for _, raw := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nX-T: 1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"\r\n\r\n\r\n", "GET http://[::1%25en0]/ HTTP/1.1\r\nHost: b\r\n\r\n", "\x00\xff",
	} {
		f.Add([]byte(raw))
	}
	const maxHead, placeholderBytes = 4096, 512
	f.Fuzz(func(t *testing.T, raw []byte) {
		l := message.NewListener(&oneConn{conn: &bytesConn{in: bytes.NewReader(raw)}}, "secret", func() int { return maxHead })
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		delivered, _ := io.ReadAll(c) //nolint:errcheck // Any error is right.
		if len(delivered) > len(raw)+placeholderBytes {
			t.Errorf("%d bytes delivered of %d", len(delivered), len(raw))
		}
	})
}

// FuzzRetryAfter guards against a time that is negative or longer than the bound.
func FuzzRetryAfter(f *testing.F) {
	for _, v := range []string{"1", "0.5", "-1", "1e999", "NaN", "Sun, 01 Mar 2026 12:00:30 GMT"} {
		f.Add(v, v)
	}
	f.Fuzz(func(t *testing.T, value, date string) {
		h := http.Header{"Retry-After": {value}, "Date": {date}}
		if d := message.RetryAfter(h, time.Unix(0, 0)); d < 0 || d > message.MaxRetryAfter {
			t.Errorf("%v for %q", d, value)
		}
	})
}
