package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// heartbeat is the interval at which an instance writes its entry.
const heartbeat = 1500 * time.Millisecond

// instance is a stand-in for an instance of a service. It runs a request for as long as
// the header X-Work-Ms says, and drops it when its connection closes.
type instance struct {
	id, service, zone string
	listener          net.Listener
	record            *record
	born              time.Time
	group             errgroup.Group
	stop              chan struct{}
	// rejectsAt returns after how many bytes of a body of that length the instance
	// rejects the request, before the body is in. It may be nil.
	rejectsAt func(length int64) (int64, bool)
	// quiet leaves the lines about requests out of the record.
	quiet bool

	mu   sync.Mutex
	open map[net.Conn]bool
	runs map[string]int // runs by request ID
	done map[string]int // runs that came to their end, by request ID
}

// newInstance returns an instance that listens and is not started yet.
func newInstance(r *record, ip, id, service, zone string) (*instance, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	return &instance{
		id: id, service: service, zone: zone, listener: l, record: r, born: time.Now().Add(-time.Hour),
		stop: make(chan struct{}), open: make(map[net.Conn]bool), runs: make(map[string]int), done: make(map[string]int),
	}, nil
}

// start makes the instance serve, and register itself in the store.
func (i *instance) start(s *store) {
	i.group.Go(func() error { i.accept(); return nil })
	i.group.Go(func() error { i.register(s); return nil })
}

func (i *instance) close() {
	close(i.stop)
	i.listener.Close()
	i.mu.Lock()
	for c := range i.open {
		c.Close()
	}
	i.mu.Unlock()
	_ = i.group.Wait()
}

func (i *instance) register(s *store) {
	for n := 1; ; n++ {
		s.put("keyed.servers", i.id, fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":4,"state":"ready","warmupLeftS":0,"sequence":%d,"born":%d}`,
			i.service, i.listener.Addr().String(), i.zone, n, i.born.UnixMilli()))
		select {
		case <-i.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (i *instance) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		i.open[c] = true
		i.mu.Unlock()
		i.group.Go(func() error {
			i.serve(c)
			c.Close()
			i.mu.Lock()
			delete(i.open, c)
			i.mu.Unlock()
			return nil
		})
	}
}

// serve serves the requests of one connection, one at a time.
func (i *instance) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("Chestnutbay-Request-Id")
		if r.Header.Get("Chestnutbay-Expect-Instance") != i.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nChestnutbay-Request-Id: %s\r\nChestnutbay-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, i.id)
			continue
		}
		if n, ok := i.rejection(r.ContentLength); ok {
			if !rejectEarly(c, r, id, n) {
				return
			}
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // A body that was cut off does not run.
		}
		i.count(i.runs, id)
		i.notef("instance %s runs %s: %s %s, %d bytes, tenant %q", i.id, id, r.Method, r.URL.RequestURI(), len(body), r.Header.Get("Chestnutbay-Tenant"))
		work, _ := strconv.Atoi(r.Header.Get("X-Work-Ms"))
		if !i.work(c, in, time.Duration(work)*time.Millisecond) {
			i.notef("instance %s: the connection closed while %s was at work", i.id, id)
			return
		}
		i.count(i.done, id)
		answer := "done " + id
		i.notef("instance %s answers %s", i.id, id)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nChestnutbay-Request-Id: %s\r\nChestnutbay-Response-Signature: signed-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(answer), answer)
	}
}

// rejection returns whether and where the instance rejects a request with a body of that
// length.
func (i *instance) rejection(length int64) (int64, bool) {
	if i.rejectsAt == nil {
		return 0, false
	}
	return i.rejectsAt(length)
}

// rejectEarly answers after n bytes of the body, and reads on. It reports whether the
// connection can be used on.
func rejectEarly(c net.Conn, r *http.Request, id string, n int64) bool {
	if _, err := io.CopyN(io.Discard, r.Body, n); err != nil {
		return false
	}
	const answer = "too large"
	fmt.Fprintf(c, "HTTP/1.1 413 Content Too Large\r\nChestnutbay-Request-Id: %s\r\nChestnutbay-Response-Signature: signed-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(answer), answer)
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// notef adds a line to the record unless the instance is quiet.
func (i *instance) notef(format string, args ...any) {
	if !i.quiet {
		i.record.addf(format, args...)
	}
}

// work waits until the request is done, and reports false if its connection closed first.
func (i *instance) work(c net.Conn, in *bufio.Reader, d time.Duration) bool {
	defer c.SetReadDeadline(time.Time{}) //nolint:errcheck // A broken connection fails at its next use.
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	_, err := in.Peek(1)
	timeout, ok := err.(net.Error)
	return err == nil || ok && timeout.Timeout()
}

func (i *instance) count(m map[string]int, id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	m[id]++
}

// ran returns how often a request began to run.
func (i *instance) ran(id string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.runs[id]
}
