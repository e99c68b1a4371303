package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one request of a client.
type request struct {
	id     string
	method string
	path   string
	body   string
	workMs int // how long the instance runs it
	// header holds further header lines.
	header string
	// split is how many bytes of the body the client sends with a write of their own.
	split int
	// deadline is the time that the client waits.
	deadline time.Duration
}

// outcome is what a client got.
type outcome struct {
	sent, end time.Time // when the last byte was sent, and when the client knew
	status    int       // 0 if the connection ended without a complete answer
	err       error
	body      string
	closing   bool // the answer closes the connection
}

// client is a client's connection to one VM. It sends one request after another.
type client struct {
	conn   net.Conn
	in     *bufio.Reader
	record *record
}

// dial opens a connection, which clients allow one second.
func dial(r *record, address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: c, in: bufio.NewReader(c), record: r}, nil
}

func (c *client) close() { c.conn.Close() }

// do sends a request and waits for its answer.
func (c *client) do(q request) outcome {
	method := q.method
	if method == "" {
		method = http.MethodGet
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nChestnutbay-Request-Id: %s\r\nChestnutbay-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nX-Work-Ms: %d\r\n",
		method, q.path, host, q.id, q.deadline.Milliseconds(), key, q.workMs)
	b.WriteString(q.header)
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	fmt.Fprintf(&b, "\r\n%s", q.body)
	c.record.addf("client sends %s (%s %s, work %d ms)", q.id, method, q.path, q.workMs)
	whole := b.String()
	for _, part := range []string{whole[:len(whole)-q.split], whole[len(whole)-q.split:]} {
		if part == "" {
			continue
		}
		if _, err := io.WriteString(c.conn, part); err != nil {
			return c.finish(q, outcome{sent: time.Now(), err: err})
		}
	}
	o := outcome{sent: time.Now()}
	if err := c.conn.SetReadDeadline(time.Now().Add(q.deadline)); err != nil {
		o.err = err
		return c.finish(q, o)
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		o.err = err
		return c.finish(q, o)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		o.err = err
		return c.finish(q, o)
	}
	o.status, o.body, o.closing = resp.StatusCode, string(body), resp.Close
	return c.finish(q, o)
}

func (c *client) finish(q request, o outcome) outcome {
	o.end = time.Now()
	if o.err != nil {
		c.record.addf("client: %s gets no complete answer: %v", q.id, o.err)
	} else {
		c.record.addf("client: %s gets %d, connection closes: %t", q.id, o.status, o.closing)
	}
	return o
}
