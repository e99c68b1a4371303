package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/report/burn"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
	"chestnutbay.dev/chestnutbay/internal/target/pool"
	"chestnutbay.dev/chestnutbay/internal/traffic/gateway"
	"chestnutbay.dev/chestnutbay/internal/traffic/transport"
)

const plainOK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// respondOnce starts a target that runs two requests per connection. It responds to the
// first and closes the connection without a response to the second. ran counts the
// requests that it ran.
func respondOnce(t testing.TB, ran *atomic.Int64) string {
	return rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		for i := range 2 {
			if _, err := readRequest(br); err != nil {
				return
			}
			ran.Add(1)
			if i == 0 {
				io.WriteString(c, plainOK)
			}
		}
	})
}

// TestAtMostOnce guards against a request that runs twice: the target runs it and
// closes the reused connection without a response. net/http's transport then sends it
// again if the method is idempotent or an Idempotency-Key header is present.
func TestAtMostOnce(t *testing.T) {
	for _, tc := range []struct {
		name      string
		raw       string
		naiveRuns int64 // how often a naive proxy runs the second request
	}{
		{name: "a plain order", raw: requestHead("POST", "/order", "Content-Length: 3") + "abc", naiveRuns: 1},
		{name: "an order with Idempotency-Key", raw: requestHead("POST", "/order", "Content-Length: 0", "Idempotency-Key: 1"), naiveRuns: 2},
		{name: "an order with X-Idempotency-Key", raw: requestHead("DELETE", "/order", "X-Idempotency-Key: 1"), naiveRuns: 2},
		{name: "a chunked order", raw: requestHead("POST", "/order", "Transfer-Encoding: chunked") + "3\r\nabc\r\n0\r\n\r\n", naiveRuns: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var ran, ranNaive atomic.Int64
			targets := newFakePool(respondOnce(t, &ran))
			f := startGateway(t, targets)
			is.Equal(call(t, f.address, tc.raw).status, 200)
			await(t, targets.reported) // the connection is idle now
			r := call(t, f.address, tc.raw)
			is.Equal(r.status, 502)
			is.Equal(r.outcome(), "unknown")
			is.Equal(ran.Load(), int64(2)) // one with a response, one without
			is.Equal(targets.attemptKinds(), []evidence.Kind{evidence.Answered, evidence.Reset})

			n := startNaiveProxy(t, respondOnce(t, &ranNaive))
			call(t, n, tc.raw)
			call(t, n, tc.raw)
			is.Equal(ranNaive.Load(), 1+tc.naiveRuns)
		})
	}
}

// TestSecondInstance guards against requests that fail although they could be retried
// at another instance, against retries of requests that may have run, and against the
// outcome "not-run" without proof.
func TestSecondInstance(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nChestnutbay-Not-Run: true\r\nContent-Length: 4\r\n\r\nbusy"
	closeOnly := func(t *testing.T) string { return respondAndClose(t, "") }
	get, post := requestHead("GET", "/order"), requestHead("POST", "/order", "Content-Length: 3")+"abc"
	upload := requestHead("PUT", "/drawing", "Transfer-Encoding: chunked") + "3\r\nabc\r\n0\r\n\r\n"
	expect := requestHead("POST", "/order", "Expect: 100-continue", "Content-Length: 20000")
	trustRefusals := func(c *gateway.Config) {
		conf := c.Configuration.(*configuration)
		conf.service = conf.service.WithTrustedRefusals()
	}
	for _, tc := range []struct {
		name         string // the fault that the case guards against
		raw          string
		startFirst   func(*testing.T) string
		change       func(*gateway.Config)
		noSecond     bool // there is no second instance
		status       int
		outcome      string
		attemptKinds []evidence.Kind
		verdict      burn.Verdict
	}{
		{name: "a lookup was not retried after its connection broke", raw: get, startFirst: closeOnly,
			status: 200, outcome: "answered", attemptKinds: []evidence.Kind{evidence.Reset, evidence.Answered}, verdict: burn.Good},
		{name: "an order was retried after its connection broke", raw: post, startFirst: closeOnly,
			status: 502, outcome: "unknown", attemptKinds: []evidence.Kind{evidence.Reset}, verdict: burn.Unknown},
		{name: "an order was not retried though nothing of it was written", raw: post, startFirst: func(*testing.T) string { return refusingAddress },
			status: 200, outcome: "answered", attemptKinds: []evidence.Kind{evidence.ConnectFailed, evidence.Answered}, verdict: burn.Good},
		{name: "an order of which nothing was written was reported as unknown", raw: post, startFirst: func(*testing.T) string { return refusingAddress }, noSecond: true,
			status: 503, outcome: "not-run", attemptKinds: []evidence.Kind{evidence.ConnectFailed}, verdict: burn.NotRun},
		{name: "an order was not retried after a trusted refusal", raw: post, startFirst: func(t *testing.T) string { return respondWith(t, refusal) }, change: trustRefusals,
			status: 200, outcome: "answered", attemptKinds: []evidence.Kind{evidence.Refused, evidence.Answered}, verdict: burn.Good},
		{name: "a trusted refusal was not reported as not-run", raw: post, startFirst: func(t *testing.T) string { return respondWith(t, refusal) }, change: trustRefusals, noSecond: true,
			status: 503, outcome: "not-run", attemptKinds: []evidence.Kind{evidence.Refused}, verdict: burn.NotRun},
		{name: "an order was retried after an untrusted refusal", raw: post, startFirst: func(t *testing.T) string { return respondWith(t, refusal) },
			status: 503, outcome: "answered", attemptKinds: []evidence.Kind{evidence.Answered}, verdict: burn.TargetError},
		{name: "a lookup was not retried after an instance shed load", raw: get, startFirst: func(t *testing.T) string { return respondWith(t, refusal) },
			status: 200, outcome: "answered", attemptKinds: []evidence.Kind{evidence.Answered, evidence.Answered}, verdict: burn.Good},
		{name: "the target's refusal of a lookup was replaced by the gateway's own error", raw: get, startFirst: func(t *testing.T) string { return respondWith(t, refusal) }, noSecond: true,
			status: 503, outcome: "answered", attemptKinds: []evidence.Kind{evidence.Answered}, verdict: burn.TargetError},
		{name: "the rest of a streamed upload was retried", raw: upload, startFirst: closeOnly,
			status: 502, outcome: "unknown", attemptKinds: []evidence.Kind{evidence.Reset}, verdict: burn.Unknown},
		{name: "an upload of which nothing was read was not retried", raw: expect, startFirst: func(t *testing.T) string {
			return rawTarget(t, func(c net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err == nil {
					io.WriteString(c, refusal)
				}
			})
		}, change: trustRefusals, status: 200, outcome: "answered", attemptKinds: []evidence.Kind{evidence.Refused, evidence.Answered}, verdict: burn.Good},
		{name: "a malformed response was passed on", raw: post, startFirst: func(t *testing.T) string { return respondAndClose(t, "HTTP/1.1 OK\r\n\r\n") },
			status: 502, outcome: "unknown", attemptKinds: []evidence.Kind{evidence.Malformed}, verdict: burn.Unknown},
		{name: "a response head over the size limit was accepted", raw: post, startFirst: func(t *testing.T) string {
			return respondAndClose(t, "HTTP/1.1 200 OK\r\nX-A: "+strings.Repeat("a", transport.MaxHeadBytes)+"\r\n\r\n")
		}, status: 502, outcome: "unknown", attemptKinds: []evidence.Kind{evidence.Malformed}, verdict: burn.Unknown},
		{name: "a switch of protocols was passed on", raw: post, startFirst: func(t *testing.T) string {
			return respondAndClose(t, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n")
		}, status: 502, outcome: "unknown", attemptKinds: []evidence.Kind{evidence.Malformed}, verdict: burn.Unknown},
		{name: "a status below 100 crashed the handler", raw: post, startFirst: func(t *testing.T) string { return respondAndClose(t, "HTTP/1.1 042 OK\r\n\r\n") },
			status: 502, outcome: "unknown", attemptKinds: []evidence.Kind{evidence.Malformed}, verdict: burn.Unknown},
		{name: "another request's response was passed on", raw: post, startFirst: func(t *testing.T) string {
			return respondWith(t, "HTTP/1.1 200 OK\r\nChestnutbay-Request: other\r\nContent-Length: 2\r\n\r\nok")
		}, status: 502, outcome: "unknown", attemptKinds: []evidence.Kind{evidence.Malformed}, verdict: burn.Unknown},
		{name: "an outcome forged by the target was passed on", raw: post, startFirst: func(t *testing.T) string {
			return respondWith(t, "HTTP/1.1 200 OK\r\nChestnutbay-Outcome: not-run\r\nChestnutbay_Outcome: x\r\nContent-Length: 2\r\n\r\nok")
		}, status: 200, outcome: "answered", attemptKinds: []evidence.Kind{evidence.Answered}, verdict: burn.Good},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			second := rawTarget(t, func(c net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if r.Header.Get("Expect") != "" {
					io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
				}
				io.Copy(io.Discard, r.Body)
				io.WriteString(c, plainOK)
			})
			targets := newFakePool(tc.startFirst(t), second)
			if tc.noSecond {
				targets.addresses = targets.addresses[:1]
			}
			if tc.change == nil {
				tc.change = func(*gateway.Config) {}
			}
			f := startGateway(t, targets, tc.change)
			var r response
			if strings.Contains(tc.raw, "Expect") {
				r = callExpecting(t, f.address, tc.raw, strings.Repeat("x", 20000))
			} else {
				r = call(t, f.address, tc.raw)
			}
			is.NoErr(r.err)
			is.Equal(r.status, tc.status)
			is.Equal(r.header["Chestnutbay-Outcome"], []string{tc.outcome})
			is.Equal(r.header["Chestnutbay_outcome"], nil)
			is.Equal(await(t, f.samples).Verdict, tc.verdict)
			is.Equal(targets.attemptKinds(), tc.attemptKinds)
		})
	}
}

// callExpecting sends a request that expects 100 Continue, sends the body only after
// that, and reads the final response.
func callExpecting(t *testing.T, address, raw, body string) response {
	t.Helper()
	c := dial(t, address)
	io.WriteString(c, raw)
	br := bufio.NewReader(c)
	line, _ := br.Peek(len("HTTP/1.1 100"))
	if string(line) == "HTTP/1.1 100" {
		br.Discard(len("HTTP/1.1 100 Continue\r\n\r\n"))
		io.WriteString(c, body)
	}
	return readResponse(br, "POST")
}

// TestRetryBudget guards against an overload that amplifies itself, because each
// failing lookup is retried. A service has a budget of at least one retry per second,
// of which one account may use only its contract's share of its own requests.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	targets := newFakePool(respondAndClose(t, ""), respondAndClose(t, ""))
	f := startGateway(t, targets)
	for range 40 {
		is.Equal(call(t, f.address, requestHead("GET", "/order")).outcome(), "unknown")
	}
	is.True(len(targets.attemptKinds()) <= 44) // at most 10% of the account's 40 requests are retried
	is.True(len(targets.attemptKinds()) > 40)
}

// TestHedge guards against a lookup that waits for a hung instance although another
// one would respond, and against a hedge that may go to the same instance.
func TestHedge(t *testing.T) {
	is := is.New(t)
	var hang atomic.Bool
	var hungRequests atomic.Int64
	release := make(chan struct{})
	handle := func(c net.Conn, br *bufio.Reader) {
		for {
			if _, err := readRequest(br); err != nil {
				return
			}
			if hang.Load() && hungRequests.Add(1) == 1 {
				<-release
				return
			}
			io.WriteString(c, plainOK)
		}
	}
	targets := newFakePool(rawTarget(t, handle), rawTarget(t, handle))
	f := startGateway(t, targets)
	defer close(release)
	for range 200 {
		is.Equal(call(t, f.address, requestHead("GET", "/search")).status, 200)
		await(t, f.samples) // sent after the outcomes of all attempts were reported
	}
	for len(targets.reported) > 0 {
		<-targets.reported
	}
	hang.Store(true)
	r := call(t, f.address, requestHead("GET", "/search")) // fails at its deadline if there is no hedge
	is.NoErr(r.err)
	is.Equal(r.status, 200)
	kinds := []evidence.Kind{await(t, targets.reported).Kind, await(t, targets.reported).Kind}
	slices.Sort(kinds)
	is.Equal(kinds, []evidence.Kind{evidence.Answered, evidence.TimedOut})
	targets.mu.Lock()
	defer targets.mu.Unlock()
	is.Equal(len(targets.requests[len(targets.requests)-1].Exclude), 1)
}

// TestDeadline guards against requests that keep a target busy after the deadline or
// after the caller disconnected, against the outcome "not-run" for such requests, and
// against counting a slow or disconnected caller as a timeout of the target, or not
// counting a target that hangs.
func TestDeadline(t *testing.T) {
	for _, tc := range []struct {
		name       string
		raw        string
		disconnect bool
		status     int
		kind       evidence.Kind
		verdict    burn.Verdict
	}{
		{name: "a target that hangs is not late", raw: requestHead("POST", "/order", "Chestnutbay-Deadline-Ms: 50", "Content-Length: 0"),
			status: 504, kind: evidence.TimedOut, verdict: burn.Unknown},
		{name: "a caller that sends too slowly counts against the target", raw: requestHead("POST", "/order", "Chestnutbay-Deadline-Ms: 50", "Content-Length: 20000") + "x",
			status: 504, kind: evidence.Cancelled, verdict: burn.Unknown},
		{name: "a caller that leaves counts against the target", raw: requestHead("POST", "/order", "Content-Length: 0"), disconnect: true,
			kind: evidence.Cancelled, verdict: burn.CallerDisconnected},
		{name: "a caller that leaves its upload counts against the target", raw: requestHead("POST", "/order", "Content-Length: 20000") + "x", disconnect: true,
			kind: evidence.Cancelled, verdict: burn.CallerDisconnected},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			deadlines, closed := make(chan string, 1), make(chan bool, 1)
			targets := newFakePool(rawTarget(t, func(_ net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				deadlines <- r.Header.Get("Chestnutbay-Deadline-Ms")
				io.Copy(io.Discard, br) // until the connection closes
				closed <- true
			}))
			f := startGateway(t, targets)
			c := dial(t, f.address)
			io.WriteString(c, tc.raw)
			ms := await(t, deadlines)
			is.True(len(ms) > 0 && (tc.disconnect || len(ms) <= 2))
			if tc.disconnect {
				c.Close()
			} else {
				r := readResponse(bufio.NewReader(c), "POST")
				is.Equal(r.status, tc.status)
				is.Equal(r.outcome(), "unknown")
			}
			await(t, closed)
			is.Equal(await(t, targets.reported).Kind, tc.kind)
			is.Equal(await(t, f.samples).Verdict, tc.verdict)
		})
	}
}

// TestShortDeadline guards against a timeout that counts against the target although
// the deadline was shorter than the route's usual response time.
func TestShortDeadline(t *testing.T) {
	is := is.New(t)
	var hang atomic.Bool
	targets := newFakePool(rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		for {
			if _, err := readRequest(br); err != nil || hang.Load() {
				io.Copy(io.Discard, br)
				return
			}
			if _, err := io.WriteString(c, plainOK); err != nil {
				return
			}
		}
	}))
	f := startGateway(t, targets)
	for range 128 {
		is.Equal(call(t, f.address, requestHead("POST", "/order", "Content-Length: 0")).status, 200)
		await(t, targets.reported)
	}
	hang.Store(true)
	is.Equal(call(t, f.address, requestHead("POST", "/order", "Content-Length: 0", "Chestnutbay-Deadline-Ms: 1")).status, 504)
	is.Equal(await(t, targets.reported).Kind, evidence.Cancelled)
	is.Equal(call(t, f.address, requestHead("POST", "/order", "Content-Length: 0", "Chestnutbay-Deadline-Ms: 1000")).status, 504)
	is.Equal(await(t, targets.reported).Kind, evidence.TimedOut)
}

// fullPool is a pool whose slots are all in use.
type fullPool struct{}

func (fullPool) Acquire(ctx context.Context, _ pool.Request) (pool.Permit, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestNoSlot guards against a request that waits for a slot past its deadline.
func TestNoSlot(t *testing.T) {
	is := is.New(t)
	f := startGateway(t, newFakePool(), func(c *gateway.Config) { c.Targets = fullPool{} })
	r := call(t, f.address, requestHead("POST", "/order", "Chestnutbay-Deadline-Ms: 20", "Content-Length: 0"))
	is.Equal(r.status, 504)
	is.Equal(r.outcome(), "not-run")
}

// TestKeyWithdrawn guards against a withdrawn key that still works on an open
// connection.
func TestKeyWithdrawn(t *testing.T) {
	is := is.New(t)
	f := startGateway(t, newFakePool(respondWith(t, plainOK)))
	c := dial(t, f.address)
	br := bufio.NewReader(c)
	io.WriteString(c, requestHead("GET", "/order"))
	is.Equal(readResponse(br, "GET").status, 200)
	f.conf.withdraw(key)
	io.WriteString(c, requestHead("GET", "/order"))
	is.Equal(readResponse(br, "GET").status, 401)
}

// TestEvents guards against refusals of one account that displace all other events from
// the ring, against events that a search by account does not find, and against events
// whose counts omit refusals.
func TestEvents(t *testing.T) {
	is := is.New(t)
	f := startGateway(t, newFakePool(), overRate)
	c := dial(t, f.address)
	br := bufio.NewReader(c)
	for range 500 {
		io.WriteString(c, requestHead("GET", "/order"))
		is.Equal(readResponse(br, "GET").status, 429)
	}
	is.Equal(len(f.events.About("", 1000)), 1)
	f.gateway.Close()
	entries := f.events.About("account/acme", 1000)
	is.Equal(len(entries), 2)
	is.True(strings.Contains(entries[1].Event().Summary(), "499 request(s)"))
}

// TestShutdown guards against a planned stop that cuts off an upload in progress.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	received := make(chan int64, 1)
	f := startGateway(t, newFakePool(rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		received <- n
		io.WriteString(c, plainOK)
	})))
	c := dial(t, f.address)
	io.WriteString(c, requestHead("PUT", "/drawing", "Expect: 100-continue", "Content-Length: 40000"))
	br := bufio.NewReader(c)
	is.Equal(readResponse(br, "PUT").status, 100)
	is.Equal(f.gateway.InFlight(), 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	stopped := make(chan error, 2)
	serve(t, func() error { stopped <- f.server.Shutdown(ctx); return nil }, func() {})
	serve(t, func() error { stopped <- f.gateway.Drain(ctx); return nil }, func() {})
	io.WriteString(c, strings.Repeat("x", 40000))
	is.Equal(await(t, received), int64(40000))
	is.Equal(readResponse(br, "PUT").status, 200)
	is.NoErr(await(t, stopped))
	is.NoErr(await(t, stopped))
	is.Equal(f.gateway.InFlight(), 0)
}
