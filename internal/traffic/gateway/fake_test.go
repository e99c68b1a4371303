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
	key      = "key-of-acme-0123456789abcdef"
	otherKey = "key-of-zenith-0123456789abcdef"
	patience = 20 * time.Second // ends a test that hangs; no verdict depends on it
)

// net/http keeps a connection for 500 ms after the last answer on it, longer than
// goleak waits.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

// configuration is a small fixed set of routes and accounts.
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

type admission func(*contract.Contract) error

func (a admission) Admit(_ context.Context, c *contract.Contract) error { return a(c) }

// targets hands out permits in turn and keeps what they report.
type targets struct {
	mu        sync.Mutex
	addresses []string
	next      int
	outcomes  []evidence.Outcome
	requests  []pool.Request
	reported  chan evidence.Outcome
}

func newTargets(addresses ...string) *targets {
	return &targets{addresses: addresses, reported: make(chan evidence.Outcome, 1<<16)}
}

func (t *targets) Acquire(ctx context.Context, r pool.Request) (pool.Permit, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests = append(t.requests, r)
	for range t.addresses {
		a := t.addresses[t.next%len(t.addresses)]
		t.next++
		if !slices.Contains(r.Exclude, a) {
			return &permit{t: t, address: a}, ctx.Err()
		}
	}
	return nil, pool.NewRefusal("no instance is left", time.Second)
}

type permit struct {
	t       *targets
	address string
}

func (p *permit) Address() string { return p.address }

func (p *permit) Done(o evidence.Outcome) {
	p.t.mu.Lock()
	defer p.t.mu.Unlock()
	p.t.outcomes = append(p.t.outcomes, o)
	p.t.reported <- o
}

func (t *targets) kinds() []evidence.Kind {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []evidence.Kind
	for _, o := range t.outcomes {
		list = append(list, o.Kind)
	}
	return list
}

// fixture is a gateway behind a real listener.
type fixture struct {
	address string
	gateway *gateway.Gateway
	server  *gateway.Server
	conf    *configuration
	targets *targets
	events  *event.Ring
	samples chan burn.Sample
}

func start(t testing.TB, targets *targets, change ...func(*gateway.Config)) *fixture {
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
	for _, ch := range change {
		ch(&c)
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

// serve runs a server until the test ends.
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

// rawTarget is a target that handles its connections by hand. It closes each one
// when handle returns.
func rawTarget(t testing.TB, handle func(c net.Conn, br *bufio.Reader)) string {
	t.Helper()
	l := listen(t)
	var mu sync.Mutex
	var group errgroup.Group
	open := make(map[net.Conn]bool)
	serve(t, func() error {
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
		mu.Lock()
		for c := range open {
			c.Close()
		}
		mu.Unlock()
		group.Wait()
	})
	return l.Addr().String()
}

// answer makes a target that reads each request whole and writes raw bytes.
func answer(t testing.TB, raw string) string {
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

// truncate makes a target that writes raw bytes and closes the connection.
func truncate(t testing.TB, raw string) string {
	return rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := readRequest(br); err == nil {
			io.WriteString(c, raw)
		}
	})
}

// refusing is an address on which nothing listens: a port that is never handed out
// to listeners of other tests.
const refusing = "127.0.0.1:1"

func readRequest(br *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

func resetNow(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func dial(t testing.TB, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(patience))
	t.Cleanup(func() { c.Close() })
	return c
}

// head is a request's first lines with the key.
func head(method, path string, lines ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer " + key + "\r\n" +
		strings.Join(append(lines, "", ""), "\r\n")
}

// reply is an answer as a careful caller sees it.
type reply struct {
	status  int
	header  http.Header
	body    string
	trailer http.Header
	close   bool
	err     error // nil only after a whole answer
}

func (r reply) outcome() string { return r.header.Get("Chestnutbay-Outcome") }

func readReply(br *bufio.Reader, method string) reply {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), trailer: resp.Trailer, close: resp.Close, err: err}
}

// call sends raw bytes on a new connection and reads the answer.
func call(t testing.TB, address, raw string) reply {
	t.Helper()
	c := dial(t, address)
	io.WriteString(c, raw)
	method, _, _ := strings.Cut(raw, " ")
	return readReply(bufio.NewReader(c), method)
}

// await receives with a generous limit.
func await[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

// naive is a proxy as it is easily written: net/http's transport, and a copy whose
// error is not looked at. The tests show that they find its faults.
func naive(t testing.TB, target string) string {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 8}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.RequestURI, out.URL.Scheme, out.URL.Host = "", "http", target
		if r.ContentLength == 0 {
			out.Body = nil
		}
		resp, err := transport.RoundTrip(out)
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

func overRate(c *gateway.Config) {
	c.Admission = admission(func(*contract.Contract) error { return allowance.NewRefusal("over the rate", 40*time.Millisecond) })
}

func noHome(c *gateway.Config) {
	c.Admission = admission(func(*contract.Contract) error { return allowance.NewUnreachable("no home", time.Second) })
}

// TestRefusals guards against work that is done for the wrong caller or for none,
// and against refusals that do not say so.
func TestRefusals(t *testing.T) {
	stale := func(c *gateway.Config) { c.Fresh = func() error { return errors.New("old") } }
	for _, tc := range []struct {
		name    string // what is wrong if it fails
		raw     string
		change  func(*gateway.Config)
		status  int
		verdict burn.Verdict
	}{
		{name: "a request without a key ran", raw: "GET /order HTTP/1.1\r\nHost: a\r\n\r\n", status: 401, verdict: burn.BadRequest},
		{name: "an unknown key was accepted", raw: "GET /order HTTP/1.1\r\nHost: a\r\nChestnutbay-Key: nobody\r\n\r\n", status: 401, verdict: burn.BadRequest},
		{name: "two keys were accepted", raw: head("GET", "/order", "Chestnutbay-Key: "+otherKey), status: 401, verdict: burn.BadRequest},
		{name: "an account used a service of others", raw: "GET /order HTTP/1.1\r\nHost: a\r\nChestnutbay-Key: " + otherKey + "\r\n\r\n", status: 403, verdict: burn.BadRequest},
		{name: "a request without a route ran", raw: head("GET", "/nowhere"), status: 404, verdict: burn.BadRequest},
		{name: "OPTIONS * got no outcome", raw: head("OPTIONS", "*"), status: 404, verdict: burn.BadRequest},
		{name: "a node without fresh configuration took work", raw: head("GET", "/order"), change: stale, status: 503, verdict: burn.NotRun},
		{name: "an account got more than its rate", raw: head("GET", "/order"), change: overRate, status: 429, verdict: burn.OverRate},
		{name: "a refusal for want of a home was held against the account", raw: head("GET", "/order"), change: noHome, status: 503, verdict: burn.NotRun},
		{name: "a bad deadline was ignored", raw: head("GET", "/order", "Chestnutbay-Deadline-Ms: soon"), status: 400, verdict: burn.BadRequest},
		{name: "an upgrade was swallowed", raw: head("GET", "/order", "Connection: Upgrade", "Upgrade: websocket"), status: 501, verdict: burn.BadRequest},
		{name: "the key went out in the address", raw: head("GET", "/order?k="+key), status: 400, verdict: burn.BadRequest},
		{name: "an open route led to a closed one by dots", raw: "GET /open/../order HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, verdict: burn.BadRequest},
		{name: "an open route led to a closed one by encoded dots", raw: "GET /open/%2e%2e/order HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, verdict: burn.BadRequest},
		{name: "an open route led to a closed one by encoded slashes", raw: "GET /open%2F..%2Forder HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, verdict: burn.BadRequest},
		{name: "an open route led to a closed one by backslashes", raw: "GET /open/..%5Corder HTTP/1.1\r\nHost: a\r\n\r\n", status: 400, verdict: burn.BadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			arrived := make(chan string, 1)
			target := rawTarget(t, func(net.Conn, *bufio.Reader) { arrived <- "a connection" })
			if tc.change == nil {
				tc.change = func(*gateway.Config) {}
			}
			f := start(t, newTargets(target), tc.change)
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
