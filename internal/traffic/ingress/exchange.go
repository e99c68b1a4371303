package ingress

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chestnutbay.dev/chestnutbay/internal/contract/routing"
	"chestnutbay.dev/chestnutbay/internal/traffic/message"
	"chestnutbay.dev/chestnutbay/internal/traffic/transport"
)

const (
	// heldBodyBytes is the size up to which a body is read before an instance is
	// chosen. Such a body can be sent again, and a slow caller does not hold a slot.
	heldBodyBytes = 512 << 10
	// plainBodyBytes is the size up to which a body is written before the answer is
	// awaited. A longer one is written beside it, since an instance may answer
	// early.
	plainBodyBytes = 16 << 10
	// minRemaining is the least time that is worth sending a request for.
	minRemaining = 2 * time.Millisecond
)

// exchange is one request of a caller, from its head to the end of the answer.
type exchange struct {
	s     *Server
	w     http.ResponseWriter
	r     *http.Request
	rc    *http.ResponseController
	id    string
	start time.Time

	table   *routing.Table
	route   *routing.Route
	account *routing.Account // nil on a public route
	service string

	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time
	body     *message.Body
	held     []byte // a body that was read whole
	isHeld   bool
	prefix   []byte // what was read of a streamed body
	header   http.Header

	charged  bool     // a token of the account was taken
	tried    []string // instances, in the order of the attempts
	attempts []*attempt
	result   result
}

// result is what became of a request.
type result struct {
	status int
	reason reason
}

func newExchange(s *Server, w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{s: s, w: w, r: r, rc: http.NewResponseController(w), start: time.Now(), ctx: r.Context(), cancel: func() {}}
	x.id = r.Header.Get(s.config.Headers.Request)
	x.body = message.NewBody(r, x.rc, bodyIdle)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	return x
}

// end frees what the exchange holds and records the decision.
func (x *exchange) end() {
	x.cancel()
	if x.service != "" && x.result.reason != answered && x.result.reason != callerLeft && x.result.reason != unknownKey {
		x.s.config.Budget.Unserved(x.service)
	}
	x.record()
}

// check finds out what the request may do. It returns why it is refused, or nil.
func (x *exchange) check() *failure {
	if err := message.RefusedHead(x.r.Header, x.s.secret); err != nil {
		return &failure{status: err.Status(), reason: badFraming, detail: err.Reason()}
	}
	x.table = x.s.config.Table()
	if x.table == nil {
		return &failure{status: http.StatusServiceUnavailable, reason: noConfiguration, retryAfter: startRetryAfter}
	}
	if f := x.findRoute(); f != nil {
		return f
	}
	if f := x.findAccount(); f != nil {
		return f
	}
	if f := x.setDeadline(); f != nil {
		return f
	}
	if x.r.ContentLength > x.table.Limits().MaxBodyBytes() {
		return &failure{status: http.StatusRequestEntityTooLarge, reason: bodyTooLarge}
	}
	if f := x.admit(); f != nil {
		return f
	}
	return x.readBody()
}

func (x *exchange) findRoute() *failure {
	host := x.r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	route, ok := x.table.Route(host, x.r.URL.EscapedPath())
	if !ok {
		return &failure{status: http.StatusNotFound, reason: noRoute}
	}
	x.route = route
	x.service = route.Service()
	x.s.config.Budget.Request(x.service)
	return nil
}

// findAccount checks the key, on every request anew.
func (x *exchange) findAccount() *failure {
	if !x.table.NeedsKeys() {
		return nil
	}
	key, shown := x.key()
	if shown {
		if a, ok := x.table.AccountByKey(key); ok {
			x.account = a
			return nil
		}
	}
	if x.route.Public() {
		return nil
	}
	return &failure{status: http.StatusUnauthorized, reason: unknownKey}
}

// key returns the key that the request shows.
func (x *exchange) key() (string, bool) {
	values := x.r.Header["Authorization"]
	if len(values) != 1 {
		return "", false
	}
	return message.Bearer(values[0])
}

// setDeadline takes the route's timeout, or the caller's deadline if it is earlier.
func (x *exchange) setDeadline() *failure {
	limit := x.route.Timeout()
	if v := x.r.Header.Get(x.s.config.Headers.Deadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return &failure{status: http.StatusBadRequest, reason: badDeadline}
		}
		if d := time.Duration(ms) * time.Millisecond; limit == 0 || d < limit {
			limit = d
		}
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	x.deadline = x.start.Add(limit)
	x.ctx, x.cancel = context.WithDeadline(x.r.Context(), x.deadline)
	return nil
}

func (x *exchange) admit() *failure {
	if x.account == nil || !x.account.Limited() {
		return nil
	}
	wait, ok := x.s.config.Quota.Admit(x.account.Name(), x.account.Rate(), x.account.Burst())
	if !ok {
		return &failure{status: http.StatusTooManyRequests, reason: overRate, retryAfter: wait}
	}
	x.charged = true
	return nil
}

// refund gives the account's token back if the request reached no instance.
func (x *exchange) refund() {
	if x.charged {
		x.charged = false
		x.s.config.Quota.Refund(x.account.Name())
	}
}

// readBody reads a body that is small enough to be held.
func (x *exchange) readBody() *failure {
	if x.r.ContentLength == 0 {
		x.isHeld = true
		return nil
	}
	x.body.LimitIdle(time.Until(x.deadline))
	if x.r.ContentLength > heldBodyBytes {
		return nil
	}
	limit := int64(heldBodyBytes)
	if x.r.ContentLength > 0 {
		limit = x.r.ContentLength
	}
	held := make([]byte, 0, min(limit, max(x.r.ContentLength, 4<<10))+1)
	for int64(len(held)) <= limit {
		if len(held) == cap(held) {
			held = append(held, 0)[:len(held)]
		}
		n, err := x.body.Read(held[len(held):cap(held)])
		held = held[:len(held)+n]
		if errors.Is(err, io.EOF) {
			x.held, x.isHeld = held, true
			return nil
		}
		if err != nil {
			return x.brokenBody(err)
		}
	}
	x.prefix = held
	return nil
}

// brokenBody explains an error of the caller's body.
func (x *exchange) brokenBody(err error) *failure {
	var framing *message.FramingError
	var timeout net.Error
	switch {
	case errors.As(err, &framing):
		return &failure{status: framing.Status(), reason: badFraming, detail: framing.Reason()}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &failure{status: http.StatusRequestTimeout, reason: bodyStalled}
	}
	return &failure{status: http.StatusBadRequest, reason: callerLeft, detail: err.Error()}
}

// replayable reports whether the body can still be sent whole.
func (x *exchange) replayable() bool { return x.isHeld || (x.prefix == nil && x.body.Untouched()) }

// request builds one attempt's request.
func (x *exchange) request(instance string) *http.Request {
	h := maps.Clone(x.header)
	names := &x.s.config.Headers
	h.Set(names.Deadline, strconv.FormatInt(max(time.Until(x.deadline).Milliseconds(), 1), 10))
	h.Set(names.Instance, instance)
	u := *x.r.URL
	u.Scheme, u.Host = "", ""
	out := &http.Request{Method: x.r.Method, URL: &u, Host: x.r.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	switch {
	case x.isHeld && len(x.held) == 0:
	case x.isHeld && len(x.held) <= plainBodyBytes:
		out.ContentLength = int64(len(x.held))
		out.Body = transport.MemoryBody(x.held)
	case x.isHeld:
		out.ContentLength = int64(len(x.held))
		out.Body = io.NopCloser(strings.NewReader(string(x.held)))
	default:
		x.stream(out)
	}
	return out
}

// stream makes the caller's body the request's.
func (x *exchange) stream(out *http.Request) {
	x.rc.EnableFullDuplex() //nolint:errcheck // Only recorders in tests lack it.
	out.ContentLength = x.r.ContentLength
	out.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(strings.NewReader(string(x.prefix)), x.body), x.body}
	if out.ContentLength < 0 {
		out.TransferEncoding = []string{"chunked"}
	}
}

// towardsTarget returns the headers that go out with the request.
func (x *exchange) towardsTarget() http.Header {
	names := &x.s.config.Headers
	named := message.ConnectionNames(x.r.Header)
	out := make(http.Header, len(x.r.Header)+4)
	for name, values := range x.r.Header {
		if name == "Authorization" || name == "Expect" || name == "Content-Length" || !message.EndToEnd(name, named) {
			continue
		}
		out[name] = values
	}
	// What only the fleet may say.
	out.Del(names.Account)
	out.Del(names.Instance)
	out.Del(names.NotRun)
	out.Del(names.Signature)
	if x.account != nil {
		out.Set(names.Account, x.account.Name())
	}
	if out["User-Agent"] == nil {
		out["User-Agent"] = []string{""} // Keeps net/http from adding its own.
	}
	return out
}
