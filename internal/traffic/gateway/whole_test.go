package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/report/burn"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
	"chestnutbay.dev/chestnutbay/internal/traffic/gateway"
)

// TestTruncation guards against a response that breaks off at the target and looks
// complete to the caller, as the naive proxy makes it look.
func TestTruncation(t *testing.T) {
	get := requestHead("GET", "/order")
	http10 := strings.Replace(get, "HTTP/1.1", "HTTP/1.0", 1)
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	for _, tc := range []struct {
		name     string
		raw      string
		response string
		kind     evidence.Kind
	}{
		{name: "Content-Length", raw: get, response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", kind: evidence.Reset},
		{name: "Content-Length, HTTP/1.0", raw: http10, response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", kind: evidence.Reset},
		{name: "after a chunk", raw: get, response: chunks, kind: evidence.Reset},
		{name: "after a chunk, HTTP/1.0", raw: http10, response: chunks, kind: evidence.Reset},
		{name: "within a chunk", raw: get, response: chunks + "9\r\nabc", kind: evidence.Reset},
		{name: "a malformed chunk size", raw: get, response: chunks + "zz\r\nabc", kind: evidence.Malformed},
		{name: "within the trailers", raw: get, response: strings.Replace(chunks, "\r\n\r\n", "\r\nTrailer: X-Sum\r\n\r\n", 1) + "0\r\nX-S", kind: evidence.Malformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			target := respondAndClose(t, tc.response)
			targets := newFakePool(target)
			f := startGateway(t, targets)
			is.True(call(t, f.address, tc.raw).err != nil) // a truncated response looks complete
			is.Equal(await(t, targets.reported).Kind, tc.kind)
			is.Equal(await(t, f.samples).Verdict, burn.Truncated)
			is.NoErr(call(t, startNaiveProxy(t, target), tc.raw).err)
		})
	}
}

// TestSurplus guards against surplus bytes after a response that are passed on as the
// response to the next request on the connection, and against a POST that fails because
// the target closed the idle connection. At the end, a client without that check
// receives the surplus bytes as a response, which shows that the test would detect the
// fault.
func TestSurplus(t *testing.T) {
	is := is.New(t)
	order := requestHead("POST", "/order", "Content-Length: 0")
	second := strings.Replace(plainOK, "ok", "no", 1)
	for _, tc := range []struct {
		name    string
		respond func(c net.Conn, untilIdle func()) // responds to a request; untilIdle waits until the connection is idle
	}{
		{name: "at once", respond: func(c net.Conn, idle func()) {
			io.WriteString(c, plainOK+second)
			idle()
		}},
		{name: "on the idle connection", respond: func(c net.Conn, idle func()) {
			io.WriteString(c, plainOK)
			idle()
			io.WriteString(c, second)
		}},
		{name: "closed while idle", respond: func(c net.Conn, idle func()) {
			io.WriteString(c, plainOK)
			idle()
			c.Close()
		}},
	} {
		idle, acted := make(chan bool), make(chan bool, 8)
		targets := newFakePool(rawTarget(t, func(c net.Conn, br *bufio.Reader) {
			for {
				if _, err := readRequest(br); err != nil {
					return
				}
				tc.respond(c, func() {
					select {
					case <-idle:
					case <-t.Context().Done(): // the test has failed
					}
				})
				acted <- true
			}
		}))
		f := startGateway(t, targets)
		for range 3 {
			r := call(t, f.address, order)
			is.Equal(r.status, 200) // tc.name
			is.Equal(r.body, "ok")
			await(t, targets.reported)
			idle <- true
			await(t, acted)
		}
	}
	c := dial(t, respondWith(t, plainOK+second))
	br := bufio.NewReader(c)
	io.WriteString(c, order)
	is.Equal(readResponse(br, "POST").body, "ok")
	io.WriteString(c, order)
	is.Equal(readResponse(br, "POST").body, "no") // without a check the surplus bytes are the second response
}

// TestDuplex guards against an upload of which only a part reaches the target: net/http
// discards the rest when the target responds before the end of the upload.
func TestDuplex(t *testing.T) {
	is := is.New(t)
	const size = 100_000
	f := startGateway(t, newFakePool(rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n#\r\n")
		n, _ := io.Copy(io.Discard, r.Body)
		text := strconv.FormatInt(n, 10)
		fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	})))
	c := dial(t, f.address)
	io.WriteString(c, requestHead("PUT", "/drawing", fmt.Sprintf("Content-Length: %d", size))+strings.Repeat("x", size/2))
	br := bufio.NewReader(c)
	_, err := br.Peek(1) // the response has begun
	is.NoErr(err)
	io.WriteString(c, strings.Repeat("x", size/2))
	r := readResponse(br, "PUT")
	is.NoErr(r.err)
	is.Equal(r.body, "#100000")
}

// TestReuse guards against connections to targets that are closed without need, and
// against reuse of one whose request was cancelled.
func TestReuse(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int64
	started := make(chan bool, 8)
	targets := newFakePool(rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		connections.Add(1)
		for {
			r, err := readRequest(br)
			if err != nil {
				return
			}
			if r.URL.Path == "/order/slow" {
				started <- true
				io.Copy(io.Discard, br)
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		}
	}))
	f := startGateway(t, targets)
	for range 5 {
		is.Equal(call(t, f.address, requestHead("POST", "/order", "Transfer-Encoding: chunked")+"1\r\nx\r\n0\r\n\r\n").body, "ok")
		await(t, targets.reported)
	}
	is.Equal(connections.Load(), int64(1))
	c := dial(t, f.address)
	io.WriteString(c, requestHead("GET", "/order/slow"))
	await(t, started)
	c.Close()
	is.Equal(await(t, targets.reported).Kind, evidence.Cancelled)
	is.Equal(call(t, f.address, requestHead("GET", "/order")).body, "ok")
	is.Equal(connections.Load(), int64(2))
}

// TestHeaders guards against keys and forged headers that are passed on in either
// direction, against hop-by-hop headers that are passed on, and against end-to-end
// headers that are not.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var arrived *http.Request
	var body string
	target := rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			b, _ := io.ReadAll(r.Body)
			mu.Lock()
			arrived, body = r, string(b)
			mu.Unlock()
			io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nChestnutbay-Outcome: not-run\r\n\r\n"+
				"HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nProxy-Authenticate: Basic\r\n"+
				"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nTrailer: X-Sum, Chestnutbay-Outcome\r\nTransfer-Encoding: chunked\r\n\r\n"+
				"2\r\nok\r\n0\r\nX-Sum: 7\r\nX-Late: 8\r\nChestnutbay-Outcome: not-run\r\n\r\n")
		}
	})
	f := startGateway(t, newFakePool(target))
	for _, path := range []string{"/order", "/open/x"} {
		c := dial(t, f.address)
		io.WriteString(c, requestHead("POST", path+"?a=%2F&b", "Chestnutbay-Key: "+key, "chestnutbay_key: "+key, "X-Copy: "+key,
			"Authorization: Basic Zm9v", "Proxy-Authorization: Bearer "+key, "Connection: X-Hop, Chestnutbay-Request, Via", "X-Hop: 1", "TE: trailers, gzip",
			"Chestnutbay-Request: mine", "Chestnutbay-Not-Run: true", "Chestnutbay-Refused: x 200 fine", "Content_Length: 5",
			"X-Forwarded-For: 192.0.2.1", "X-Many: 1", "X-Many: 2", "Transfer-Encoding: chunked", "Trailer: X-T, X-K, Chestnutbay-Key")+
			"3\r\nabc\r\n0\r\nX-T: 5\r\nX-K: "+key+"\r\nChestnutbay-Key: "+key+"\r\n\r\n")
		br := bufio.NewReader(c)
		hint := readResponse(br, "HEAD")
		is.Equal(hint.status, 103)
		is.Equal(hint.header.Get("Link"), "</a>")
		is.Equal(hint.outcome(), "")
		r := readResponse(br, "POST")
		is.NoErr(r.err)
		is.Equal(r.body, "ok")
		is.Equal(r.header["Set-Cookie"], []string{"a=1", "b=2"})
		is.Equal(r.header["Chestnutbay-Outcome"], []string{"answered"})
		for _, name := range []string{"X-Hop", "Keep-Alive", "Proxy-Authenticate", "Link", "Content-Type"} {
			is.Equal(r.header[name], nil)
		}
		is.Equal(r.trailer, http.Header{"X-Sum": {"7"}, "X-Late": {"8"}})
		mu.Lock()
		h := arrived.Header
		is.Equal(arrived.RequestURI, path+"?a=%2F&b")
		is.Equal(arrived.Host, "shop.example")
		is.Equal(body, "abc")
		is.Equal(arrived.Trailer, http.Header{"X-T": {"5"}, "X-K": nil})
		is.Equal(h["Authorization"], []string{"Basic Zm9v"})
		is.Equal(h["X-Many"], []string{"1", "2"})
		is.Equal(h["X-Forwarded-For"], []string{"192.0.2.1, 127.0.0.1"})
		is.Equal(h["Via"], []string{"1.1 chestnutbay"})
		is.Equal(h["Te"], []string{"trailers"})
		is.Equal(h["Chestnutbay-Request"], r.header["Chestnutbay-Request"])
		is.True(h.Get("Chestnutbay-Deadline-Ms") != "")
		for _, name := range []string{"Chestnutbay-Key", "Chestnutbay_key", "Chestnutbay-Not-Run", "Chestnutbay-Refused", "Proxy-Authorization", "X-Copy", "X-Hop", "Connection", "Content_length", "User-Agent"} {
			is.Equal(h[name], nil)
		}
		mu.Unlock()
	}
}

// TestBodiless guards against responses without a body that get one or lose their
// Content-Length, and against connections that cannot be used correctly after them.
func TestBodiless(t *testing.T) {
	for _, tc := range []struct {
		name     string
		raw      string
		response string
		status   int
		length   string
	}{
		{name: "HEAD with a length", raw: requestHead("HEAD", "/order"), response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", status: 200, length: "9"},
		{name: "HEAD with chunks", raw: requestHead("HEAD", "/order"), response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", status: 200},
		{name: "204", raw: requestHead("DELETE", "/order"), response: "HTTP/1.1 204 No Content\r\n\r\n", status: 204},
		{name: "304", raw: requestHead("GET", "/order"), response: "HTTP/1.1 304 Not Modified\r\nETag: \"1\"\r\nContent-Length: 9\r\n\r\n", status: 304},
		{name: "an empty body", raw: requestHead("GET", "/order"), response: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", status: 200, length: "0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := startGateway(t, newFakePool(respondWith(t, tc.response)))
			c := dial(t, f.address)
			br := bufio.NewReader(c)
			method, _, _ := strings.Cut(tc.raw, " ")
			for range 2 {
				io.WriteString(c, tc.raw)
				r := readResponse(br, method)
				is.NoErr(r.err)
				is.Equal(r.status, tc.status)
				is.Equal(r.body, "")
				is.Equal(r.header.Get("Content-Length"), tc.length)
			}
			is.Equal(br.Buffered(), 0)
		})
	}
}

// TestEarlyResponse guards against the rest of an upload that is parsed as a request
// after the target has responded early, and against a connection that stays open.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	f := startGateway(t, newFakePool(rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
			io.Copy(io.Discard, br)
		}
	})))
	c := dial(t, f.address)
	io.WriteString(c, requestHead("PUT", "/drawing", "Content-Length: 1000000")+"x")
	br := bufio.NewReader(c)
	r := readResponse(br, "PUT")
	is.NoErr(r.err)
	is.Equal(r.status, 413)
	is.True(r.close)
	io.WriteString(c, requestHead("GET", "/order"))
	_, err := br.ReadByte()
	is.True(err != nil)
}

// TestStall guards against callers and targets that hold a connection indefinitely
// without making progress.
func TestStall(t *testing.T) {
	shortTimeouts := func(c *gateway.Config) {
		c.BodyIdleTimeout = 50 * time.Millisecond
		c.Transport.StallTimeout = 50 * time.Millisecond
	}
	for _, tc := range []struct {
		name     string
		raw      string
		response string
		status   int
		kind     evidence.Kind
	}{
		{name: "a caller that stops in its upload", raw: requestHead("PUT", "/drawing", "Content-Length: 1000000") + "x", status: 408, kind: evidence.Cancelled},
		{name: "a target that stops in its response", raw: requestHead("GET", "/order"), response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", status: 200, kind: evidence.TimedOut},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			targets := newFakePool(rawTarget(t, func(c net.Conn, br *bufio.Reader) {
				io.WriteString(c, tc.response)
				io.Copy(io.Discard, br)
			}))
			f := startGateway(t, targets, shortTimeouts)
			r := call(t, f.address, tc.raw)
			is.Equal(r.status, tc.status)
			is.Equal(r.err != nil, tc.response != "")
			is.Equal(await(t, targets.reported).Kind, tc.kind)
		})
	}
}

// faultyTarget starts a target whose behaviour depends on the number in the request's
// header X-Id. It either refuses the request without running it, or counts the run in
// ran and then responds correctly, in part, twice or not at all. It returns the
// target's address.
func faultyTarget(t testing.TB, ran *sync.Map) string {
	return rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			b, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Id")
			if string(b) != "" && string(b) != id {
				id += " with the body of another"
			}
			n, _ := strconv.Atoi(id)
			if n%11 == 3 {
				io.WriteString(c, "HTTP/1.1 503 Busy\r\nChestnutbay-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			count, _ := ran.LoadOrStore(id, new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
			text := strings.Repeat(id+" ", 1000)
			complete := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			switch n % 11 {
			case 0:
				return
			case 1:
				io.WriteString(c, complete[:len(complete)/2])
				return
			case 2:
				io.WriteString(c, complete+complete)
				continue
			case 4:
				io.WriteString(c, complete[:20])
				resetConn(c)
				return
			case 5:
				io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(text), text)
				continue
			case 6:
				io.Copy(io.Discard, br) // no response before the deadline
				return
			}
			io.WriteString(c, complete)
		}
	})
}

// TestHistory guards against faults that show only when failures of many kinds occur
// at once. Every caller must get the complete response to its own request or an error,
// an order must run at most once, and a request with the outcome "not-run" never.
func TestHistory(t *testing.T) {
	is := is.New(t)
	var ran sync.Map
	targets := newFakePool(faultyTarget(t, &ran), faultyTarget(t, &ran), faultyTarget(t, &ran), refusingAddress)
	f := startGateway(t, targets, func(c *gateway.Config) {
		conf := c.Configuration.(*configuration)
		conf.service = conf.service.WithTrustedRefusals()
	})
	const callers, each = 32, 66
	var outcomes sync.Map
	var group errgroup.Group
	for caller := range callers {
		group.Go(func() error {
			var c net.Conn
			var br *bufio.Reader
			for i := range each {
				id := strconv.Itoa(caller*each + i)
				method, body := "POST", id
				if i%3 == 0 {
					method, body = "GET", ""
				}
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", f.address); err != nil {
						return err
					}
					c.SetDeadline(time.Now().Add(testTimeout))
					br = bufio.NewReader(c)
				}
				lines := []string{"X-Id: " + id, "Content-Length: " + strconv.Itoa(len(body))}
				if (caller*each+i)%11 == 6 {
					lines = append(lines, "Chestnutbay-Deadline-Ms: 50")
				}
				io.WriteString(c, requestHead(method, "/order", lines...)+body)
				r := readResponse(br, method)
				if r.err == nil && r.status == 200 && r.body != strings.Repeat(id+" ", 1000) {
					return fmt.Errorf("request %s got the response to another request: %.40q", id, r.body)
				}
				if r.err == nil && r.outcome() == "" {
					return fmt.Errorf("request %s got no outcome: %d", id, r.status)
				}
				outcomes.Store(method+id, r.outcome())
				if r.err != nil || r.close {
					c.Close()
					c = nil
				}
			}
			if c != nil {
				c.Close()
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
	counts := map[string]int{}
	outcomes.Range(func(name, outcome any) bool {
		counts[outcome.(string)]++
		id := strings.TrimLeft(name.(string), "GETPOS")
		runs := int64(0)
		if n, ok := ran.Load(id); ok {
			runs = n.(*atomic.Int64).Load()
		}
		if strings.HasPrefix(name.(string), "POST") && runs > 1 {
			t.Errorf("%s ran %d times", name, runs)
		}
		if outcome == "not-run" && runs > 0 {
			t.Errorf("%s was not run, but ran %d times", name, runs)
		}
		if outcome == "answered" && runs == 0 && !strings.HasPrefix(name.(string), "GET") {
			t.Errorf("%s was answered, but never ran", name)
		}
		return true
	})
	ran.Range(func(id, _ any) bool {
		if strings.Contains(id.(string), "another") {
			t.Errorf("request %s", id)
		}
		return true
	})
	is.True(counts["answered"] > 0 && counts["unknown"] > 0 && counts["not-run"] > 0)
	t.Log(counts)
}

// heapGrowth returns how far the heap in use rises above its present size while run
// is running.
func heapGrowth(run func()) uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	before, peak := m.HeapInuse, m.HeapInuse
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		tick := time.NewTicker(2 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return nil
			case <-tick.C:
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapInuse)
			}
		}
	})
	run()
	close(done)
	group.Wait()
	return peak - before
}

// progressConn is a connection whose transfers may take any time as long as they make
// progress. A busy machine may need more than testTimeout for a large body.
type progressConn struct{ net.Conn }

func (c progressConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c progressConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(testTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// TestLargeBodies guards against memory use that grows with the size of a body.
func TestLargeBodies(t *testing.T) {
	is := is.New(t)
	const size, bound = 1 << 30, 32 << 20
	piece := bytes.Repeat([]byte("x"), 1<<20)
	send := func(w io.Writer) error {
		for range size / len(piece) {
			if _, err := w.Write(piece); err != nil {
				return err
			}
		}
		return nil
	}
	f := startGateway(t, newFakePool(rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				return
			}
			if r.Method == http.MethodPut {
				io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Got: %d\r\nContent-Length: 0\r\n\r\n", n))
				continue
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
			if send(c) != nil {
				return
			}
		}
	})))
	c := progressConn{dial(t, f.address)}
	br := bufio.NewReaderSize(c, 64<<10)
	uploadGrowth := heapGrowth(func() {
		io.WriteString(c, requestHead("PUT", "/drawing", fmt.Sprintf("Content-Length: %d", size)))
		is.NoErr(send(c))
		is.Equal(readResponse(br, "PUT").header.Get("X-Got"), strconv.Itoa(size))
	})
	downloadGrowth := heapGrowth(func() {
		io.WriteString(c, requestHead("GET", "/drawing"))
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		defer resp.Body.Close()
		n, err := io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.Equal(n, int64(size))
	})
	t.Logf("1 GiB up: the heap grew by %d KiB; down: by %d KiB", uploadGrowth>>10, downloadGrowth>>10)
	is.True(uploadGrowth < bound)
	is.True(downloadGrowth < bound)
}
