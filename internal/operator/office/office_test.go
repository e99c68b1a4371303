package office_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"chestnutbay.dev/chestnutbay/internal/base/settings"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/operator/office"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	token    = "operator-token"
	document = "account: acme\nrate: 5\nburst: 10\n"
)

// fleet is a fake of all dependencies of the API. Like a node, it keeps changes in a
// ledger. If err is set, every call fails with it.
type fleet struct {
	ledger  ledger.Ledger
	ring    event.Ring
	changes []ledger.Change
	err     error
	ready   error
}

func (f *fleet) Publish(_ context.Context, c ledger.Change) (office.Receipt, error) {
	if f.err != nil {
		return office.Receipt{}, f.err
	}
	payload, err := ledger.Encode(c)
	if err != nil {
		return office.Receipt{}, err
	}
	f.changes = append(f.changes, c)
	result := f.ledger.Apply(journal.NewRecord(f.ledger.Next(), time.Unix(0, 0), payload))
	return office.NewReceipt(result.Version(), []string{"a", "b"}, []string{"c"}), result.Err()
}

func (f *fleet) Events(_ context.Context, subject string, limit int) ([]event.Report, []string, error) {
	return event.MergeReports(limit, event.Reports("a", &f.ring, subject, limit)), []string{"c"}, f.err
}

func (f *fleet) Burn(_ context.Context, q burn.Query) (burn.Snapshot, []string, error) {
	var c burn.Counters
	c.Count(burn.Sample{Account: "acme", Service: "orders", Route: "place", Verdict: burn.NotRun})
	return c.Snapshot("a", q), []string{"c"}, f.err
}

func (f *fleet) Status(context.Context) (office.FleetState, error) {
	return office.FleetState{Node: "a", VMs: 3, Quorum: 2}, f.err
}

func newHandler(f *fleet) *office.Handler {
	return office.New(office.Config{
		Credentials: []settings.Credential{
			settings.NewCredential("alice", contract.HashKey(token)),
			settings.NewCredential("bob", contract.HashKey("another")),
		},
		Publisher: f, Documents: &f.ledger, Events: f, Burn: f, Status: f, Ring: &f.ring,
		Ready:   func() error { return f.ready },
		Metrics: prometheus.NewRegistry(),
	})
}

// request sends a request to a handler and returns the response.
func request(h http.Handler, method, target, auth, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	if auth != "" {
		r.Header.Set("Authorization", auth)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against a route that can be used without an operator's token, and against a
// health check that requires a token, which the load balancer does not have.
func TestEveryRouteNeedsToken(t *testing.T) {
	hash := contract.HashKey("k").String()
	for _, tt := range []struct {
		method, path string
		open         bool
	}{
		{method: "GET", path: "/live", open: true},
		{method: "GET", path: "/ready", open: true},
		{method: "GET", path: "/metrics"},
		{method: "POST", path: "/v1/documents"},
		{method: "DELETE", path: "/v1/keys/" + hash},
		{method: "POST", path: "/v1/zones/north/out"},
		{method: "POST", path: "/v1/zones/north/in"},
		{method: "GET", path: "/v1/status"},
		{method: "GET", path: "/v1/contracts"},
		{method: "GET", path: "/v1/contracts/acme"},
		{method: "GET", path: "/v1/services"},
		{method: "GET", path: "/v1/services/orders"},
		{method: "GET", path: "/v1/events"},
		{method: "GET", path: "/v1/burn"},
	} {
		t.Run(tt.method+" "+tt.path, func(t *testing.T) {
			is := is.New(t)
			for _, auth := range []string{"", "Bearer ", "Bearer wrong", "Basic " + token, token, "Bearer " + contract.HashKey(token).String()} {
				var f fleet
				w := request(newHandler(&f), tt.method, tt.path, auth, document)
				is.Equal(w.Code == http.StatusUnauthorized, !tt.open) // auth is not a valid token
				is.Equal(len(f.changes), 0)
			}
			var f fleet
			is.True(request(newHandler(&f), tt.method, tt.path, "Bearer "+token, document).Code != http.StatusUnauthorized)
		})
	}
}

// Guards against invalid input that still makes a change, and against responses that
// name neither the problem nor its line.
func TestBadInputChangesNothing(t *testing.T) {
	for _, tt := range []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{name: "both of two problems are reported", method: "POST", path: "/v1/documents", body: "account: acme\nrate: -1\nburst: 0\n", status: 422, want: `"line":3,"key":"burst"`},
		{name: "unknown key", method: "POST", path: "/v1/documents", body: document + "brust: 3\n", status: 422, want: `"line":4,"key":"brust"`},
		{name: "empty document", method: "POST", path: "/v1/documents", status: 422, want: "empty"},
		{name: "document over the limit", method: "POST", path: "/v1/documents", body: document + strings.Repeat("# filler\n", office.MaxDocumentBytes/9), status: 422, want: "too large"},
		{name: "base that is not a number", method: "POST", path: "/v1/documents?base=x", body: document, status: 422, want: `"key":"base"`},
		{name: "base below ledger.NoVersion", method: "POST", path: "/v1/zones/north/in?base=-2", status: 422, want: `"key":"base"`},
		{name: "change ID that is too long", method: "POST", path: "/v1/zones/north/out?id=" + strings.Repeat("x", 65), status: 422, want: `"key":"id"`},
		{name: "key instead of its hash", method: "DELETE", path: "/v1/keys/my-key", status: 422, want: "64 hexadecimal digits"},
		{name: "limit of zero", method: "GET", path: "/v1/events?limit=0", status: 422, want: `"key":"limit"`},
		{name: "document that does not exist", method: "GET", path: "/v1/contracts/nobody", status: 404, want: "not-found"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var f fleet
			w := request(newHandler(&f), tt.method, tt.path, "Bearer "+token, tt.body)
			is.Equal(w.Code, tt.status)
			is.True(strings.Contains(w.Body.String(), tt.want)) // the response names the problem
			is.Equal(len(f.changes), 0)
		})
	}
}

// Guards against errors that the client reports as a different error, so that an
// operator would draw the wrong conclusion about the change.
func TestErrorsReachTheClient(t *testing.T) {
	for _, tt := range []struct {
		name string
		err  error
		want error
	}{
		{name: "key that belongs to another account", err: merry.Wrap(ledger.ErrKeyTaken), want: ledger.ErrKeyTaken},
		{name: "invalid record", err: ledger.ErrInvalid, want: contract.ErrInvalid},
		{name: "outcome unknown", err: merry.Errorf("x: %w", office.ErrUnknown), want: office.ErrUnknown},
		{name: "append to the log without a response", err: journal.ErrUnknown, want: office.ErrUnknown},
		{name: "log unavailable", err: journal.ErrUnavailable, want: office.ErrUnavailable},
		{name: "no quorum", err: office.ErrUnavailable, want: office.ErrUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := fleet{err: tt.err}
			c := serve(t, newHandler(&f))
			_, err := c.ZoneOut(t.Context(), "id-1", "north")
			is.True(errors.Is(err, tt.want))
			for _, other := range []error{ledger.ErrConflict, office.ErrUnknown, office.ErrUnavailable, office.ErrUnreachable} {
				is.Equal(errors.Is(err, other), errors.Is(tt.want, other))
			}
			is.True(f.ring.About("operator/alice", 1) != nil) // failed changes are recorded too
		})
	}
}

// Guards against a lost update when two operators change the same document. The second
// change must be refused with the newer version, and must succeed when it is based on
// that version. Also guards against a change that takes effect twice when it is sent
// again with the same ID.
func TestConflict(t *testing.T) {
	is := is.New(t)
	var f fleet
	c := serve(t, newHandler(&f))
	first, err := c.Publish(t.Context(), "id-1", ledger.NoVersion, []byte(document))
	is.NoErr(err)
	is.Equal(first.Receipt().Confirmed(), []string{"a", "b"})
	is.Equal(first.Receipt().Missing(), []string{"c"})
	repeated, err := c.Publish(t.Context(), "id-1", ledger.NoVersion, []byte(document))
	is.NoErr(err)
	is.Equal(repeated.Receipt().Version(), first.Receipt().Version())

	_, err = c.Publish(t.Context(), "id-2", ledger.NoVersion, []byte(document))
	is.True(errors.Is(err, ledger.ErrConflict))
	var failure *office.Failure
	is.True(errors.As(err, &failure))
	current, ok := failure.Current()
	is.True(ok)
	is.Equal(current, first.Receipt().Version())

	read, err := c.Contract(t.Context(), "acme")
	is.NoErr(err)
	is.Equal(read.Version(), current)
	second, err := c.Publish(t.Context(), "id-3", read.Version(), read.Text())
	is.NoErr(err)
	is.True(second.Receipt().Version() > current)
	list, err := c.Events(t.Context(), "account/acme", 10)
	is.NoErr(err)
	is.Equal(len(list.Events), 4)
	is.Equal(list.Missing, []string{"c"})
	is.True(strings.Contains(string(list.Events[2].Evidence), `"Outcome":"conflict"`))
}

// Guards against a zone that returns to service although another operator has taken it
// out again in the meantime.
func TestZoneInNeedsTheVersionThatTookItOut(t *testing.T) {
	is := is.New(t)
	var f fleet
	c := serve(t, newHandler(&f))
	firstOut, err := c.ZoneOut(t.Context(), "id-1", "north")
	is.NoErr(err)
	secondOut, err := c.ZoneOut(t.Context(), "id-2", "north")
	is.NoErr(err)
	_, err = c.ZoneIn(t.Context(), "id-3", firstOut.Receipt().Version(), "north")
	is.True(errors.Is(err, ledger.ErrConflict))
	is.True(f.ledger.ZoneOut("north"))
	_, err = c.ZoneIn(t.Context(), "id-4", secondOut.Receipt().Version(), "north")
	is.NoErr(err)
	is.True(!f.ledger.ZoneOut("north"))
	_, err = c.WithdrawKey(t.Context(), "id-5", contract.HashKey("k"))
	is.NoErr(err)
	is.True(f.ledger.Withdrawn(contract.HashKey("k")))
}

// Guards against a client that reports that nothing was sent although a node may have
// made the change, and against a client that fails although another node is available.
func TestClientWithSeveralNodes(t *testing.T) {
	unreachable := closedAddress(t)
	closing := serveFunc(t, func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			connection.Close()
		}
	})
	malformed := serveFunc(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{") })
	var healthyFleet, failingFleet fleet
	failingFleet.err = office.ErrUnavailable
	healthy := serveFunc(t, newHandler(&healthyFleet).ServeHTTP)
	failing := serveFunc(t, newHandler(&failingFleet).ServeHTTP)
	for _, tt := range []struct {
		name      string
		addresses []string
		want      error
	}{
		{name: "the first node is down", addresses: []string{unreachable, healthy}},
		{name: "the first node cannot publish", addresses: []string{failing, healthy}},
		{name: "the first node closes the connection", addresses: []string{closing, healthy}},
		{name: "all nodes are down", addresses: []string{unreachable, unreachable}, want: office.ErrUnreachable},
		{name: "no address", want: office.ErrUnreachable},
		{name: "connection closed, then down", addresses: []string{closing, unreachable}, want: office.ErrUnknown},
		{name: "connection closed, then unavailable", addresses: []string{closing, failing}, want: office.ErrUnknown},
		{name: "down, then unavailable", addresses: []string{unreachable, failing}, want: office.ErrUnavailable},
		{name: "the response is malformed", addresses: []string{malformed}, want: office.ErrUnknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := office.NewClient(tt.addresses, token).ZoneOut(t.Context(), ledger.NewID(), "north")
			is.True(errors.Is(err, tt.want))
			is.Equal(err == nil, tt.want == nil)
		})
	}
}

// Guards against a readiness check that passes while the node accepts no new requests,
// and against a liveness check that fails then, which would restart the node.
func TestHealth(t *testing.T) {
	is := is.New(t)
	var f fleet
	h := newHandler(&f)
	is.Equal(request(h, "GET", "/ready", "", "").Code, http.StatusOK)
	f.ready = errors.New("stopping")
	w := request(h, "GET", "/ready", "", "")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(strings.TrimSpace(w.Body.String()), "stopping")
	is.Equal(request(h, "GET", "/live", "", "").Code, http.StatusOK)
	empty := office.New(office.Config{})
	is.Equal(request(empty, "GET", "/ready", "", "").Code, http.StatusServiceUnavailable) // the handler has no readiness check
}

// Guards against a panic of the API when one of its dependencies is nil.
func TestMissingPartsAnswerUnavailable(t *testing.T) {
	is := is.New(t)
	h := office.New(office.Config{Credentials: []settings.Credential{settings.NewCredential("alice", contract.HashKey(token))}})
	for _, path := range []string{"status", "contracts", "contracts/a", "services", "services/a", "events", "burn"} {
		is.Equal(request(h, "GET", "/v1/"+path, "Bearer "+token, "").Code, http.StatusServiceUnavailable)
	}
	is.Equal(request(h, "POST", "/v1/zones/north/out", "Bearer "+token, "").Code, http.StatusServiceUnavailable)
}

// Guards against lists, a status or a report that reach the client without data of the
// fleet, without the nodes that did not reply, or with the wrong objective.
func TestReads(t *testing.T) {
	is := is.New(t)
	var f fleet
	c := serve(t, newHandler(&f))
	_, err := c.Publish(t.Context(), "id-1", ledger.NoVersion, []byte(document+"objective: 0.5\n"))
	is.NoErr(err)
	names, err := c.Contracts(t.Context())
	is.NoErr(err)
	is.Equal(names, []string{"acme"})
	services, err := c.Services(t.Context())
	is.NoErr(err)
	is.Equal(len(services), 0)
	state, err := c.Status(t.Context())
	is.NoErr(err)
	is.Equal(fmt.Sprint(state.Node, state.VMs, state.Quorum), "a3 2")
	report, err := c.Burn(t.Context(), burn.Query{Account: "acme", Limit: 5})
	is.NoErr(err)
	is.Equal(report.Missing, []string{"c"})
	is.Equal(report.Accounts[0].Objective, 0.5) // from the contract in force
}

// serve starts a server with a handler and returns a client for it.
func serve(t *testing.T, h *office.Handler) *office.Client {
	return office.NewClient([]string{serveFunc(t, h.ServeHTTP)}, token)
}

// serveFunc starts a server and returns its address.
func serveFunc(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return l.Addr().String()
}
