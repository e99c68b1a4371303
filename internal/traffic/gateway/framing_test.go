package gateway_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/traffic/gateway"
)

// TestFraming guards against request smuggling: when two parsers disagree about where
// a request ends, a caller can insert a request of its own between those of others.
func TestFraming(t *testing.T) {
	post := func(lines ...string) string { return requestHead("POST", "/order", lines...) }
	chunked := post("Transfer-Encoding: chunked")
	for _, tc := range []struct {
		name         string // the fault in the request, which must not be accepted
		raw          string
		status       int
		naiveAccepts bool // net/http accepts it, and a naive proxy passes it on
	}{
		{name: "a length and a coding", raw: post("Content-Length: 3", "Transfer-Encoding: chunked") + "0\r\n\r\n", status: 400, naiveAccepts: true},
		{name: "a coding and a length", raw: post("Transfer-Encoding: chunked", "Content-Length: 3") + "0\r\n\r\n", status: 400, naiveAccepts: true},
		{name: "two equal lengths", raw: post("Content-Length: 3", "Content-Length: 3") + "abc", status: 400, naiveAccepts: true},
		{name: "two different lengths", raw: post("Content-Length: 3", "Content-Length: 4") + "abcd", status: 400},
		{name: "a list of lengths", raw: post("Content-Length: 3, 3") + "abc", status: 400},
		{name: "a signed length", raw: post("Content-Length: +3") + "abc", status: 400},
		{name: "a huge length", raw: post("Content-Length: 99999999999999999999"), status: 400},
		{name: "a folded header", raw: post("X-A: b", " Content-Length: 3") + "abc", status: 400, naiveAccepts: true},
		{name: "a folded coding", raw: post("Transfer-Encoding:", " chunked") + "0\r\n\r\n", status: 400, naiveAccepts: true},
		{name: "two codings", raw: post("Transfer-Encoding: chunked", "Transfer-Encoding: chunked") + "0\r\n\r\n", status: 400},
		{name: "an unknown coding", raw: post("Transfer-Encoding: xchunked") + "0\r\n\r\n", status: 501},
		{name: "a space before the colon", raw: post("Content-Length : 3") + "abc", status: 400},
		{name: "a line without CR", raw: strings.Replace(post("Content-Length: 3"), "Host: shop.example\r\n", "Host: shop.example\n", 1) + "abc", status: 400, naiveAccepts: true},
		{name: "a bare CR in a value", raw: post("X-A: b\rContent-Length: 3") + "abc", status: 400},
		{name: "two hosts", raw: post("Host: other.example"), status: 400},
		{name: "no host", raw: "GET /open HTTP/1.1\r\n\r\n", status: 400},
		{name: "a host with a path", raw: "GET /open HTTP/1.1\r\nHost: a/b\r\n\r\n", status: 400},
		{name: "a request target with a user", raw: "GET http://a@shop.example/open HTTP/1.1\r\nHost: shop.example\r\n\r\n", status: 400, naiveAccepts: true},
		{name: "two keys in Authorization", raw: post("Authorization: Bearer another"), status: 400, naiveAccepts: true},
		{name: "the same key twice", raw: post("authorization: Bearer " + key), status: 400, naiveAccepts: true},
		{name: "the key header twice", raw: post("Chestnutbay-Key: "+key, "Chestnutbay-Key: "+key), status: 400, naiveAccepts: true},
		{name: "a coding in HTTP/1.0", raw: strings.Replace(chunked, "HTTP/1.1", "HTTP/1.0", 1) + "0\r\n\r\n", status: 400, naiveAccepts: true},
		{name: "HTTP/2 without TLS", raw: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", status: 505, naiveAccepts: true},
		{name: "HTTP/1.2", raw: "GET /open HTTP/1.2\r\nHost: a\r\n\r\n", status: 505, naiveAccepts: true},
		{name: "a NUL in a value", raw: post("X-A: b\x00c"), status: 400},
		{name: "a space in the request target", raw: "GET /open /x HTTP/1.1\r\nHost: a\r\n\r\n", status: 400},
		{name: "a head over the size limit", raw: post("X-A: " + strings.Repeat("a", gateway.MaxHeaderBytes)), status: 431, naiveAccepts: true},
		{name: "an unknown expectation", raw: post("Expect: unknown", "Content-Length: 3"), status: 417},
		{name: "CONNECT", raw: "CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n", status: 501, naiveAccepts: true},
		{name: "a chunk size with the prefix 0x", raw: chunked + "0x3\r\nabc\r\n0\r\n\r\n", status: 400},
		{name: "a chunk size with a sign", raw: chunked + "+3\r\nabc\r\n0\r\n\r\n", status: 400},
		{name: "a chunk size with a space", raw: chunked + "3 \r\nabc\r\n0\r\n\r\n", status: 400, naiveAccepts: true},
		{name: "a chunk size that overflows", raw: chunked + "10000000000000003\r\nabc\r\n0\r\n\r\n", status: 400},
		{name: "an empty chunk size", raw: chunked + "\r\nabc\r\n0\r\n\r\n", status: 400},
		{name: "a chunk longer than its size", raw: chunked + "3\r\nabcd\r\n0\r\n\r\n", status: 400},
		{name: "a chunk size without CR", raw: chunked + "3\nabc\r\n0\r\n\r\n", status: 400},
		{name: "a folded trailer", raw: chunked + "0\r\nX-A: b\r\n c\r\n\r\n", status: 400, naiveAccepts: true},
		{name: "a trailer without a name", raw: chunked + "0\r\n: b\r\n\r\n", status: 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			complete := make(chan bool, 8)
			target := rawTarget(t, func(c net.Conn, br *bufio.Reader) {
				if _, err := readRequest(br); err == nil {
					complete <- true
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			f := startGateway(t, newFakePool(target))
			r := call(t, f.address, tc.raw)
			is.NoErr(r.err)
			if r.status != tc.status {
				t.Log(r.body)
			}
			is.Equal(r.status, tc.status)
			is.True(strings.Contains(r.body, `"reason"`))
			is.True(r.outcome() == "not-run" || r.outcome() == "unknown")
			is.Equal(len(complete), 0) // the target got a whole request
			naiveResponse := call(t, startNaiveProxy(t, target), tc.raw)
			is.Equal(naiveResponse.status == http.StatusOK, tc.naiveAccepts)
		})
	}
}

// TestAbsoluteForm guards against a request target in absolute form that is refused, or
// that is routed by the Host header, which HTTP/1.1 tells servers to ignore beside it.
func TestAbsoluteForm(t *testing.T) {
	for _, host := range []string{"shop.example", "other.example"} {
		t.Run(host, func(t *testing.T) {
			is := is.New(t)
			received := make(chan *http.Request, 1)
			target := rawTarget(t, func(c net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				received <- r
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			})
			f := startGateway(t, newFakePool(target))
			got := call(t, f.address, "GET http://shop.example/order?x=1 HTTP/1.1\r\nHost: "+host+"\r\nAuthorization: Bearer "+key+"\r\n\r\n")
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			r := await(t, received)
			is.Equal(r.Host, "shop.example")
			is.Equal(r.RequestURI, "/order?x=1")
		})
	}
}

// TestPipelining guards against a connection on which a refused or pipelined request
// gets the response of another one, whatever the sizes of the writes.
func TestPipelining(t *testing.T) {
	target := rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			b, _ := io.ReadAll(r.Body)
			text := r.URL.Path + string(b)
			resp := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text))}
			resp.Write(c)
		}
	})
	f := startGateway(t, newFakePool(target))
	raw := requestHead("POST", "/order/1", "Content-Length: 3") + "abc" +
		requestHead("POST", "/order/2", "Transfer-Encoding: chunked") + "2;x=y\r\nde\r\n1\r\nf\r\n0\r\nX-T: 1\r\n\r\n\r\n" +
		requestHead("GET", "/order/3") +
		requestHead("POST", "/order/4", "Content-Length: 3", "Content-Length: 3") + "ghi" +
		requestHead("GET", "/order/5")
	for _, writeSize := range []int{1, 2, 7, 61, len(raw)} {
		is := is.New(t)
		c := dial(t, f.address)
		for piece := range split(raw, writeSize) {
			c.Write(piece)
		}
		br := bufio.NewReader(c)
		for _, want := range []string{"/order/1abc", "/order/2def", "/order/3"} {
			r := readResponse(br, "GET")
			is.NoErr(r.err)
			is.Equal(r.body, want)
		}
		refused := readResponse(br, "GET")
		is.Equal(refused.status, 400)
		is.Equal(refused.outcome(), "not-run")
		is.True(readResponse(br, "GET").err != nil) // nothing after a refusal
	}
}

// split yields s in pieces of at most size bytes.
func split(s string, size int) func(func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(s) > 0 {
			n := min(size, len(s))
			if !yield([]byte(s[:n])) {
				return
			}
			s = s[n:]
		}
	}
}

// FuzzRequest sends arbitrary bytes. A request that arrives at the target must carry
// the gateway's headers, be framed unambiguously and contain no key.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		requestHead("GET", "/order"),
		requestHead("POST", "/order", "Content-Length: 3") + "abc" + requestHead("GET", "/search"),
		requestHead("POST", "/order", "Transfer-Encoding: chunked", "Trailer: X-T, Chestnutbay-Key") + "3;a=b\r\nabc\r\n0\r\nX-T: 1\r\nChestnutbay-Key: " + key + "\r\n\r\n",
		requestHead("POST", "/order", "Content-Length: 3", "Transfer-Encoding: chunked") + "0\r\n\r\n",
		requestHead("GET", "/open", "Chestnutbay_Key: "+key, "Connection: close, Chestnutbay-Request", "authorization: bearer\t"+key),
		"GET http://a/open HTTP/1.0\r\nX-Key: " + key + "\r\nChestnutbay-Key: " + key + "\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	arrived := make(chan []byte, 64)
	target := rawTarget(f, func(c net.Conn, br *bufio.Reader) {
		var raw bytes.Buffer
		if _, err := readRequest(bufio.NewReader(io.TeeReader(br, &raw))); err == nil {
			arrived <- raw.Bytes()
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		}
	})
	g := startGateway(f, newFakePool(target))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := dial(t, g.address)
		defer resetConn(c) // a reset leaves no local port in TIME_WAIT
		// The malformed request at the end makes the gateway close the connection, unless
		// it is read as part of an incomplete body.
		c.Write(append(data, "\r\n\r\nX\r\n\r\n"...))
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		io.Copy(io.Discard, c)
		for range len(arrived) {
			checkArrived(t, <-arrived)
		}
	})
}

// checkArrived checks a request as it arrived at the target.
func checkArrived(t *testing.T, raw []byte) {
	head, _, _ := strings.Cut(string(raw), "\r\n\r\n")
	lower := strings.ToLower(head)
	if strings.Contains(head, key) && strings.Contains(head, "/order") {
		t.Errorf("the key arrived at the target: %q", head)
	}
	for _, name := range []string{"\nchestnutbay-key:", "\nchestnutbay_key:", "\nauthorization: bearer", "\nupgrade:", "\nproxy-"} {
		if strings.Contains(lower, name) {
			t.Errorf("%q arrived at the target: %q", name, head)
		}
	}
	if strings.Count(lower, "\nchestnutbay-request:") != 1 || strings.Count(lower, "\nhost:") != 1 {
		t.Errorf("the gateway's headers are missing or doubled: %q", head)
	}
	if strings.Count(lower, "\ncontent-length:")+strings.Count(lower, "\ntransfer-encoding:") > 1 {
		t.Errorf("ambiguous framing arrived at the target: %q", head)
	}
}
