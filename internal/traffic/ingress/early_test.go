package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// startEarlyTarget starts an instance that answers an upload before it has read the body,
// keeps the connection and reads on, and returns its address.
func startEarlyTarget(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	var group errgroup.Group
	serve := func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			id, status := r.Header.Get("X-Request"), "200 OK"
			if r.ContentLength > 1 {
				status = "413 Too Large"
			}
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request: %s\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", status, id) //nolint:errcheck // The next read fails too.
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
	}
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				serve(c)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		group.Wait() //nolint:errcheck // The functions return nil.
	})
	return l.Addr().String()
}

// TestOrderAfterEarlyAnswer guards against an order that is passed on and gets no answer,
// because a long upload before it on the caller's connection was answered early: the
// connection was kept although its context was cancelled.
func TestOrderAfterEarlyAnswer(t *testing.T) {
	is := is.New(t)
	b := newTestServerAt(t, startEarlyTarget(t))
	const callers, uploads = 8, 60
	var group errgroup.Group
	for caller := range callers {
		group.Go(func() error {
			for n := range uploads {
				// Just above and below the size up to which a body is read before it is sent.
				size := 512<<10 + (n%2)*200 - 100 + n
				if err := uploadAndOrder(b.address, fmt.Sprintf("r-%d-%d", caller, n), size); err != nil {
					return err
				}
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
}

// uploadAndOrder sends an upload and, if its connection is kept, an order.
func uploadAndOrder(address, id string, size int) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return err
	}
	br := bufio.NewReader(c)
	for _, length := range []int{size, 1} {
		_, err := fmt.Fprintf(c, "POST /order/ HTTP/1.1\r\nHost: shop\r\nAuthorization: Bearer %s\r\nX-Request: %s-%d\r\nContent-Length: %d\r\n\r\n%s",
			key, id, length, length, strings.Repeat("x", length))
		if err != nil && length > 1 {
			return nil // answered and closed before the whole body was sent
		}
		if err != nil {
			return fmt.Errorf("order after %s: %w", id, err)
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil && length > 1 {
			return nil // See above.
		}
		if err != nil {
			return fmt.Errorf("order after %s: %w", id, err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil {
			return err
		}
		if resp.Close {
			return nil
		}
	}
	return nil
}
