package transport_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/target/evidence"
	"chestnutbay.dev/chestnutbay/internal/traffic/transport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startTarget starts a server that calls handle for one request after another on each
// connection, until handle returns an error. It then closes the connection and sends to
// closed.
func startTarget(t *testing.T, handle func(c net.Conn, br *bufio.Reader) error) (address string, closed chan bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed = make(chan bool, 64)
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return err
			}
			group.Go(func() error {
				defer c.Close()
				br := bufio.NewReader(c)
				for handle(c, br) == nil {
				}
				closed <- true
				return nil
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		group.Wait()
	})
	return l.Addr().String(), closed
}

func respondOK(c net.Conn, br *bufio.Reader) error {
	r, err := http.ReadRequest(br)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err
}

func newRequest(method string) *http.Request {
	return &http.Request{Method: method, URL: &url.URL{Path: "/"}, Host: "a", Header: http.Header{}}
}

func readBody(a *transport.Attempt) error {
	resp := a.Response()
	defer resp.Body.Close()
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

func waitFor(t *testing.T, c chan bool) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(20 * time.Second):
		t.Fatal("the connection was not closed")
	}
}

// TestIdleLimit guards against more idle connections to an instance than MaxIdle, and
// against idle connections that are never closed.
func TestIdleLimit(t *testing.T) {
	is := is.New(t)
	address, closed := startTarget(t, respondOK)
	tr := transport.New(transport.Config{IdleTimeout: 100 * time.Millisecond})
	defer tr.Close()
	var attempts []*transport.Attempt
	for range 5 {
		attempts = append(attempts, tr.Send(context.Background(), address, newRequest("GET"), transport.Options{MaxIdle: 2, Retryable: true}))
	}
	for _, a := range attempts {
		is.NoErr(a.Err())
		is.NoErr(readBody(a))
		is.True(a.FirstByte() > 0)
	}
	for range 5 { // 3 beyond MaxIdle, and 2 after the idle timeout
		waitFor(t, closed)
	}
	is.Equal(tr.Idle(address), 0)
}

// TestFreshness guards against a request that must not run twice and is sent on a
// connection that was idle for long. If the target closes the connection at that moment,
// it is unknown whether the request ran.
func TestFreshness(t *testing.T) {
	is := is.New(t)
	address, _ := startTarget(t, respondOK)
	var mu sync.Mutex
	dials := 0
	tr := transport.New(transport.Config{Freshness: time.Nanosecond, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		mu.Lock()
		dials++
		mu.Unlock()
		return new(net.Dialer).DialContext(ctx, network, address)
	}})
	defer tr.Close()
	for _, tc := range []struct {
		retryable bool
		dials     int
	}{{true, 1}, {true, 1}, {false, 2}, {true, 2}} {
		a := tr.Send(context.Background(), address, newRequest("GET"), transport.Options{MaxIdle: 2, Retryable: tc.retryable})
		is.NoErr(a.Err())
		is.NoErr(readBody(a))
		is.Equal(dials, tc.dials)
	}
}

// failingConn is a connection that fails after the remaining bytes have been written.
type failingConn struct {
	net.Conn
	remaining int
}

func (b *failingConn) Write(p []byte) (int, error) {
	n := min(len(p), b.remaining)
	b.remaining -= n
	if n > 0 {
		b.Conn.Write(p[:n])
	}
	b.Close()
	return n, errors.New("connection reset by test")
}

// TestWritten guards against an attempt that claims that no byte was written although
// one was, so that a request may run twice, and against one that claims the opposite, so
// that a request is not retried.
func TestWritten(t *testing.T) {
	address, _ := startTarget(t, respondOK)
	for _, tc := range []struct {
		name    string
		bytes   int
		refuse  bool
		written bool
		kind    evidence.Kind
	}{
		{name: "no connection", refuse: true, kind: evidence.ConnectFailed},
		{name: "no byte", bytes: 0, kind: evidence.Reset},
		{name: "one byte", bytes: 1, written: true, kind: evidence.Reset},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tr := transport.New(transport.Config{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				if tc.refuse {
					return nil, errors.New("connection refused by test")
				}
				c, err := new(net.Dialer).DialContext(ctx, network, address)
				return &failingConn{Conn: c, remaining: tc.bytes}, err
			}})
			defer tr.Close()
			a := tr.Send(context.Background(), address, newRequest("POST"), transport.Options{})
			defer a.Close()
			is.True(a.Err() != nil)
			is.Equal(a.Written(), tc.written)
			is.Equal(a.Kind(), tc.kind)
		})
	}
}

// slowBody is a body that returns io.EOF only after release is closed.
type slowBody struct {
	remaining string
	release   chan bool
}

func (s *slowBody) Read(p []byte) (int, error) {
	if s.remaining == "" {
		<-s.release
		return 0, io.EOF
	}
	n := copy(p, s.remaining)
	s.remaining = s.remaining[n:]
	return n, nil
}

func (s *slowBody) Close() error { return nil }

// TestFirstByte guards against a slow caller that makes a target look slow: the time to
// the first byte must count from the end of the request's body.
func TestFirstByte(t *testing.T) {
	is := is.New(t)
	bodyStarted := make(chan bool, 1)
	address, _ := startTarget(t, func(c net.Conn, br *bufio.Reader) error {
		r, err := http.ReadRequest(br)
		if err != nil {
			return err
		}
		io.ReadFull(r.Body, make([]byte, 3))
		bodyStarted <- true
		io.Copy(io.Discard, r.Body)
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err
	})
	tr := transport.New(transport.Config{})
	defer tr.Close()
	release := make(chan bool)
	r := newRequest("POST")
	r.Body = &slowBody{remaining: "abc", release: release}
	r.ContentLength = -1
	r.TransferEncoding = []string{"chunked"}
	start := time.Now()
	var callerDelay time.Duration
	var group errgroup.Group
	group.Go(func() error {
		<-bodyStarted
		time.Sleep(100 * time.Millisecond) // simulates a slow caller; the result does not depend on the exact time
		callerDelay = time.Since(start)
		close(release)
		return nil
	})
	a := tr.Send(context.Background(), address, r, transport.Options{})
	defer a.Close()
	total := time.Since(start)
	group.Wait()
	is.NoErr(a.Err())
	is.True(a.FirstByte() > 0)
	is.True(a.FirstByte() <= total-callerDelay+time.Millisecond)
	is.True(a.Uploaded())
}
