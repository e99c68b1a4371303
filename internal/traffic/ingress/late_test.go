package ingress_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// startShutdown begins a planned stop that cuts off requests after grace, and returns when
// the server no longer accepts connections. The function returned waits for its end.
func startShutdown(t *testing.T, b *testServer, grace time.Duration) func() error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	t.Cleanup(cancel)
	var group errgroup.Group
	b.server.Leave()
	group.Go(func() error { return b.server.Shutdown(ctx) })
	for {
		c, err := net.Dial("tcp", b.address)
		if err != nil {
			return group.Wait
		}
		c.Close()
		time.Sleep(50 * time.Millisecond) // longer than the quiet time after which a listener closes
	}
}

// accept opens a connection and returns when the server has accepted it.
func accept(t *testing.T, b *testServer) net.Conn {
	t.Helper()
	c := dial(t, b.address)
	t.Cleanup(func() { c.Close() })
	is.New(t).NoErr(c.SetDeadline(time.Now().Add(testTimeout)))
	// Connections are accepted in their order.
	is.New(t).Equal(b.send("GET", "/look/", "", nil).status, 200)
	return c
}

const orderHead = "POST /order/ HTTP/1.1\r\nHost: shop\r\nAuthorization: Bearer " + key + "\r\nX-Request: r-1\r\n"

// TestLateRequest guards against requests that a VM accepts in its planned stop and does not
// answer: those on connections that were accepted before were read and dropped, and one that
// cannot end before the grace period does would be cut off while an instance runs it.
func TestLateRequest(t *testing.T) {
	const inTime = "X-Deadline: 1000\r\n"
	for _, tt := range []struct {
		name          string
		before, after string // sent before and after the stop has begun
		grace         time.Duration
		status        int
	}{
		{name: "the whole request", after: orderHead + inTime + "Content-Length: 1\r\n\r\nx", grace: testTimeout, status: 200},
		{name: "the second half of the head", before: orderHead, after: inTime + "Content-Length: 1\r\n\r\nx", grace: testTimeout, status: 200},
		{name: "the body", before: orderHead + inTime + "Content-Length: 1\r\n\r\n", after: "x", grace: testTimeout, status: 200},
		{name: "half a chunk", before: orderHead + inTime + "Transfer-Encoding: chunked\r\n\r\n2\r\nx", after: "x\r\n0\r\n\r\n", grace: testTimeout, status: 200},
		{name: "the whole request, with a deadline after the grace period", after: orderHead + "Content-Length: 1\r\n\r\nx", grace: 4 * time.Second, status: 503},
		{name: "the second half of the head, with a deadline after the grace period", before: orderHead, after: "Content-Length: 1\r\n\r\nx", grace: 4 * time.Second, status: 503},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, targets := newTestServer(t, always(doneResponse))
			c := accept(t, b)
			_, err := io.WriteString(c, tt.before)
			is.NoErr(err)
			stopped := startShutdown(t, b, tt.grace)
			_, err = io.WriteString(c, tt.after)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, tt.status)
			is.True(resp.Close)
			is.NoErr(stopped())
			orders := 0
			for _, r := range targets[0].requests() {
				if r.method == http.MethodPost {
					orders++
				}
			}
			is.Equal(orders == 1, tt.status == 200) // one that was refused was not passed on
		})
	}
}

// TestIdleInStop guards against a planned stop that waits for connections without a request,
// and against a caller that gets a reset in place of an orderly close.
func TestIdleInStop(t *testing.T) {
	is := is.New(t)
	b, _ := newTestServer(t, always(doneResponse))
	c := accept(t, b)
	_, err := io.WriteString(c, orderHead+"Content-Length: 1\r\n\r\nx")
	is.NoErr(err)
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	io.Copy(io.Discard, resp.Body) //nolint:errcheck // The next read fails too.
	resp.Body.Close()
	is.True(!resp.Close)
	is.NoErr(startShutdown(t, b, testTimeout)())
	_, err = br.ReadByte()
	is.True(errors.Is(err, io.EOF))
}

// TestReadAheadInStop guards against a request that is dropped in a planned stop because its
// first bytes were read while the request before it was served, so that the connection
// counted as idle.
func TestReadAheadInStop(t *testing.T) {
	is := is.New(t)
	b, targets := newTestServer(t, always(doneResponse))
	c := accept(t, b)
	const order = orderHead + "X-Deadline: 1000\r\nContent-Length: 1\r\n\r\nx"
	_, err := io.WriteString(c, order+orderHead)
	is.NoErr(err)
	br := bufio.NewReader(c)
	answer := func() (status int, closes bool) {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body) //nolint:errcheck // The next read fails too.
		return resp.StatusCode, resp.Close
	}
	_, closes := answer()
	is.True(!closes)
	stopped := startShutdown(t, b, testTimeout)
	_, err = io.WriteString(c, order[len(orderHead):])
	is.NoErr(err)
	status, _ := answer()
	is.Equal(status, 200)
	is.NoErr(stopped())
	is.Equal(len(targets[0].requests()), 3) // the first one is that of accept
}
