package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/limit/allowance"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
	"chestnutbay.dev/chestnutbay/internal/report/event"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
	"chestnutbay.dev/chestnutbay/internal/target/pool"
	"chestnutbay.dev/chestnutbay/internal/traffic/gateway"
)

const (
	key         = "key-of-acme-0123456789abcdef"
	otherKey    = "key-of-zenith-0123456789abcdef"
	testTimeout = 20 * time.Second // aborts a test that hangs; no result depends on it
)

// TestMain fails if goroutines are left running. net/http keeps a connection for
// 500 ms after the last response on it, longer than goleak waits.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

// configuration is a gateway.Configuration with a few fixed routes and accounts.
type configuration struct {
	mu       sync.Mutex
	accounts map[contract.KeyHash]*contract.Contract
	service  *contract.Service
}

func newConfiguration() *configuration {
	return &configuration{
		accounts: map[contract.KeyHash]*contract.Contract{
			contract.HashKey(key):      contract.New("acme", 1e6, 1e6, nil, []contract.ServiceAccess{contract.NewServiceAccess("orders", 0.5)}),
			contract.HashKey(otherKey): contract.New("zenith", 1e6, 1e6, nil, nil),
		},
		service: contract.NewService("orders", 2, 8, 0, []contract.Route{
			contract.NewRoute("order", "/order"),
			contract.NewRoute("search", "/search").WithIdempotent(),
			contract.NewRoute("drawing", "/drawing").WithClass(contract.Bulk).WithIdempotent(),
			contract.NewRoute("open", "/open").WithOpen(),
		}),
	}
}

func (c *configuration) AccountByKey(h contract.KeyHash) (*contract.Contract, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.accounts[h]
	return a, ok
}

// withdraw removes the account of a key.
func (c *configuration) withdraw(k string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.accounts, contract.HashKey(k))
}

func (c *configuration) Route(host, path, method string) (*contract.Service, *contract.Route, bool) {
	for i := range c.service.Routes() {
		if r := &c.service.Routes()[i]; r.Matches(host, path, method) {
			return c.service, r, true
		}
	}
	return nil, nil, false
}

// admission is a gateway.Admission that calls the function.
type admission func(*contract.Contract) error

func (a admission) Admit(_ context.Context, c *contract.Contract) error { return a(c) }

// fakePool hands out permits for its addresses in turn. It keeps the requests for
// permits and the outcomes that are reported with them.
type fakePool struct {
	mu        sync.Mutex
	addresses []string
	next      int
	outcomes  []evidence.Outcome // in the order of the reports
	requests  []pool.Request
	reported  chan evidence.Outcome
}

func newFakePool(addresses ...string) *fakePool {
	return &fakePool{addresses: addresses, reported: make(chan evidence.Outcome, 1<<16)}
}

func (p *fakePool) Acquire(ctx context.Context, r pool.Request) (pool.Permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, r)
	for range p.addresses {
		a := p.addresses[p.next%len(p.addresses)]
		p.next++
		if !slices.Contains(r.Exclude, a) {
			return &permit{pool: p, address: a}, ctx.Err()
		}
	}
	return nil, pool.NewRefusal("all instances are excluded", time.Second)
}

type permit struct {
	pool    *fakePool
	address string
}

func (p *permit) Address() string { return p.address }

func (p *permit) Done(o evidence.Outcome) {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.pool.outcomes = append(p.pool.outcomes, o)
	p.pool.reported <- o
}

func (p *fakePool) attemptKinds() []evidence.Kind {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []evidence.Kind
	for _, o := range p.outcomes {
		list = append(list, o.Kind)
	}
	return list
}

// fixture is a gateway that serves on a loopback address, with fake dependencies.
type fixture struct {
	address string
	gateway *gateway.Gateway
	server  *gateway.Server
	conf    *configuration
	targets *fakePool
	events  *event.Ring
	samples chan burn.Sample // of finished requests
}

// startGateway runs a gateway until the test ends. Each change is applied to its Config.
func startGateway(t testing.TB, targets *fakePool, changes ...func(*gateway.Config)) *fixture {
	t.Helper()
	f := &fixture{conf: newConfiguration(), targets: targets, events: new(event.Ring), samples: make(chan burn.Sample, 1<<16)}
	c := gateway.Config{
		Configuration: f.conf,
		Fresh:         func() error { return nil },
		Admission:     admission(func(*contract.Contract) error { return nil }),
		Targets:       targets,
		Burn: func(s burn.Sample) {
			select {
			case f.samples <- s:
			default:
			}
		},
		Events: f.events,
	}
	for _, change := range changes {
		change(&c)
	}
	f.gateway = gateway.New(c)
	f.server = gateway.NewServer(f.gateway)
	l := listen(t)
	f.address = l.Addr().String()
	serve(t, func() error { return f.server.Serve(l) }, func() {
		f.server.Close()
		f.gateway.Close()
	})
	return f
}

// serve runs a server until the test ends. stop must make run return.
func serve(t testing.TB, run func() error, stop func()) {
	var group errgroup.Group
	group.Go(run)
	t.Cleanup(func() {
		stop()
		group.Wait()
	})
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// rawTarget starts a target that calls handle for each connection and closes the
// connection when handle returns. It returns the target's address.
func rawTarget(t testing.TB, handle func(c net.Conn, br *bufio.Reader)) string {
	t.Helper()
	l := listen(t)
	var mu sync.Mutex
	var group errgroup.Group
	open := make(map[net.Conn]bool)
	accepted := make(chan struct{}) // closed when no further connection is accepted
	serve(t, func() error {
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return err
			}
			mu.Lock()
			open[c] = true
			mu.Unlock()
			group.Go(func() error {
				defer c.Close()
				handle(c, bufio.NewReader(c))
				return nil
			})
		}
	}, func() {
		l.Close()
		<-accepted
		mu.Lock()
		for c := range open {
			c.Close()
		}
		mu.Unlock()
		group.Wait()
	})
	return l.Addr().String()
}

// respondWith starts a target that reads each request whole and writes raw bytes. It
// keeps the connection open if the end of the response is known without closing it.
func respondWith(t testing.TB, raw string) string {
	return rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		for {
			if _, err := readRequest(br); err != nil {
				return
			}
			io.WriteString(c, raw)
			if !strings.Contains(raw, "Content-Length") && !strings.Contains(raw, "chunked") && !strings.Contains(raw, " 204 ") && !strings.Contains(raw, " 304 ") {
				return
			}
		}
	})
}

// respondAndClose starts a target that reads one request, writes raw bytes and closes
// the connection.
func respondAndClose(t testing.TB, raw string) string {
	return rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := readRequest(br); err == nil {
			io.WriteString(c, raw)
		}
	})
}

// refusingAddress is an address on which nothing listens: port 1 is never assigned to a
// listener of another test.
const refusingAddress = "127.0.0.1:1"

// readRequest reads a request with its whole body.
func readRequest(br *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// dial makes a connection that is closed when the test ends.
func dial(t testing.TB, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { c.Close() })
	return c
}

// requestHead returns the request line and headers of a request that presents the key.
// lines are further headers.
func requestHead(method, path string, lines ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer " + key + "\r\n" +
		strings.Join(append(lines, "", ""), "\r\n")
}

// response is a response as seen by a caller that checks whether it is complete.
type response struct {
	status  int
	header  http.Header
	body    string
	trailer http.Header
	close   bool
	err     error // nil only if the response is complete
}

func (r response) outcome() string { return r.header.Get("Chestnutbay-Outcome") }

func readResponse(br *bufio.Reader, method string) response {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return response{err: err, header: http.Header{}}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), trailer: resp.Trailer, close: resp.Close, err: err}
}

// call sends raw bytes on a new connection and reads the response.
func call(t testing.TB, address, raw string) response {
	t.Helper()
	c := dial(t, address)
	io.WriteString(c, raw)
	method, _, _ := strings.Cut(raw, " ")
	return readResponse(bufio.NewReader(c), method)
}

// await receives a value from c, or fails the test after testTimeout.
func await[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for a value")
		panic("unreachable")
	}
}

// startNaiveProxy starts a simple proxy that uses net/http's transport and ignores the
// error of copying a body. Its faults show that the tests would detect them. It returns
// the proxy's address.
func startNaiveProxy(t testing.TB, target string) string {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 8}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		outgoing := r.Clone(r.Context())
		outgoing.RequestURI, outgoing.URL.Scheme, outgoing.URL.Host = "", "http", target
		if r.ContentLength == 0 {
			outgoing.Body = nil
		}
		resp, err := transport.RoundTrip(outgoing)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for name, values := range resp.Header {
			if name != "Content-Length" {
				w.Header()[textproto.CanonicalMIMEHeaderKey(name)] = values
			}
		}
		w.WriteHeader(resp.StatusCode)
		io.Copy(w, resp.Body)
	})
	s := &http.Server{Handler: handler}
	l := listen(t)
	serve(t, func() error { return s.Serve(l) }, func() {
		s.Close()
		transport.CloseIdleConnections()
	})
	return l.Addr().String()
}

// overRate makes the admission refuse requests over the account's rate.
func overRate(c *gateway.Config) {
	c.Admission = admission(func(*contract.Contract) error { return allowance.NewRefusal("over the rate", 40*time.Millisecond) })
}

// rateOwnerUnreachable makes the admission refuse requests because the account's rate
// cannot be checked.
func rateOwnerUnreachable(c *gateway.Config) {
	c.Admission = admission(func(*contract.Contract) error { return allowance.NewUnreachable("owner unreachable", time.Second) })
}

// TestRefusals guards against requests that reach a target though they must be
// refused, and against refusals that do not report that the request was not run.
func TestRefusals(t *testing.T) {
	stale := func(c *gateway.Config) { c.Fresh = func() error { return errors.New("configuration is out of date") } }
	for _, tc := range []struct {
		name    string // the fault that the case guards against
		raw     string
		change  func(*gateway.Config)
		status  int
		verdict burn.Verdict
	}{
		{name: "a request without a key was accepted", raw: "GET /order HTTP/1.1\r\nHost: a\r\n\r\n", status: 401, verdict: burn.BadRequest},
		{name: "an unknown key was accepted", raw: "GET /order HTTP/1.1\r\nHost: a\r\nChestnutbay-Key: nobody\r\n\r\n", status: 401, verdict: burn.BadRequest},
		{name: "two keys were accepted", raw: requestHead("GET", "/order", "Chestnutbay-Key: "+otherKey), status: 401, verdict: burn.BadRequest},
		{name: "an account used a service that its contract does not include", raw: "GET /order HTTP/1.1\r\nHost: a\r\nChestnutbay-Key: " + otherKey + "\r\n\r\n", status: 403, verdict: burn.BadRequest},
		{name: "a request without a route was accepted", raw: requestHead("GET", "/nowhere"), status: 404, verdict: burn.BadRequest},
		{name: "OPTIONS * got a response without an outcome", raw: requestHead("OPTIONS", "*"), status: 404, verdict: burn.BadRequest},
		{name: "a request was accepted with a configuration out of date", raw: requestHead("GET", "/order"), change: stale, status: 503, verdict: burn.NotRun},
		{name: "a request over the rate was accepted", raw: requestHead("GET", "/order"), change: overRate, status: 429, verdict: burn.OverRate},
		{name: "a request counted as over a rate that could not be checked", raw: requestHead("GET", "/order"), change: rateOwnerUnreachable, status: 503, verdict: burn.NotRun},
		{name: "a bad deadline was ignored", raw: requestHead("GET", "/order", "Chestnutbay-Deadline-Ms: soon"), status: 400, verdict: burn.BadRequest},
		{name: "a request for an upgrade was proxied without it", raw: requestHead("GET", "/order", "Connection: Upgrade", "Upgrade: websocket"), status: 501, verdict: burn.BadRequest},
		{name: "the key was sent to the target in the address", raw: requestHead("GET", "/order?k="+key), status: 400, verdict: burn.BadRequest},
		{name: "an open route gave access to a closed one by dots", raw: "GET /open/../order HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, verdict: burn.BadRequest},
		{name: "an open route gave access to a closed one by encoded dots", raw: "GET /open/%2e%2e/order HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, verdict: burn.BadRequest},
		{name: "an open route gave access to a closed one by encoded slashes", raw: "GET /open%2F..%2Forder HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, verdict: burn.BadRequest},
		{name: "an open route gave access to a closed one by backslashes", raw: "GET /open/..%5Corder HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, verdict: burn.BadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			arrived := make(chan string, 1)
			target := rawTarget(t, func(net.Conn, *bufio.Reader) { arrived <- "a connection" })
			if tc.change == nil {
				tc.change = func(*gateway.Config) {}
			}
			f := startGateway(t, newFakePool(target), tc.change)
			r := call(t, f.address, tc.raw)
			is.NoErr(r.err)
			is.Equal(r.status, tc.status)
			is.Equal(r.outcome(), "not-run")
			is.True(strings.Contains(r.body, `"outcome":"not-run"`))
			is.True(strings.Contains(r.body, r.header.Get("Chestnutbay-Request")))
			is.Equal(r.header.Get("Retry-After") != "", tc.status == 429 || tc.status == 503)
			is.Equal(await(t, f.samples).Verdict, tc.verdict)
			is.Equal(len(arrived), 0)
			is.Equal(len(f.events.About("request/"+r.header.Get("Chestnutbay-Request"), 10)), 1)
		})
	}
}
