package gateway

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
	"chestnutbay.dev/chestnutbay/internal/report/event"
	"chestnutbay.dev/chestnutbay/internal/traffic/message"
	"chestnutbay.dev/chestnutbay/internal/traffic/transport"
)

// memoryBodyBytes is the size up to which a body is read before a permit is
// asked for. Such a body can be sent again, and a slow caller does not hold a
// target's slot while it sends.
const memoryBodyBytes = 16 << 10

var memoryBodies = sync.Pool{New: func() any {
	b := make([]byte, memoryBodyBytes)
	return &b
}}

// exchange is one request of a caller, from its head to the end of the answer.
type exchange struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	rc    *http.ResponseController
	id    string
	start time.Time

	keys    []string
	service *contract.Service
	route   *contract.Route
	account *contract.Contract // nil on an open route

	ctx      context.Context
	cancels  []func()
	deadline time.Time
	header   http.Header
	body     *message.Body
	memory   *[]byte // holds a small body
	length   int     // of the small body

	tried      []string
	mayHaveRun bool
	verdict    burn.Verdict
}

func newExchange(g *Gateway, w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{g: g, w: w, r: r, rc: http.NewResponseController(w), id: newIdentity(), start: time.Now(), ctx: r.Context()}
	x.body = message.NewBody(r, x.rc, g.config.Idle)
	h := w.Header()
	h.Set(RequestHeader, x.id)
	if g.flight.leaving() {
		h.Set("Connection", "close")
	}
	return x
}

// end frees what the exchange holds and counts it.
func (x *exchange) end() {
	for _, cancel := range x.cancels {
		cancel()
	}
	if x.memory != nil {
		memoryBodies.Put(x.memory)
	}
	if x.g.config.Burn == nil {
		return
	}
	s := burn.Sample{Account: x.accountName(), Verdict: x.verdict, Duration: time.Since(x.start)}
	if x.route != nil {
		s.Service, s.Route = x.service.Name(), x.route.Name()
	}
	x.g.config.Burn(s)
}

func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Account()
}

// check finds out what the request may do. It returns why it is refused, or nil.
func (x *exchange) check() *Failure {
	if err := message.RefusedHead(x.r.Header, x.g.secret); err != nil {
		return badRequest(err.Status(), err.Reason())
	}
	if f := x.checkForm(); f != nil {
		return f
	}
	if err := x.g.config.Fresh(); err != nil {
		return unavailable(http.StatusServiceUnavailable, "this node's configuration may be out of date", time.Second)
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
	return x.admit()
}

// checkForm refuses what the fleet does not proxy.
func (x *exchange) checkForm() *Failure {
	x.keys = presentedKeys(x.r.Header)
	if x.r.Method == http.MethodConnect {
		return badRequest(http.StatusNotImplemented, "CONNECT is not supported")
	}
	if x.r.Header["Upgrade"] != nil || message.HasToken(x.r.Header, "Connection", "upgrade") {
		return badRequest(http.StatusNotImplemented, "protocol upgrades are not supported")
	}
	address := x.r.Method + " " + x.r.Host + " " + x.r.RequestURI
	decoded, err := url.QueryUnescape(address)
	if containsKey(address, x.keys) || err == nil && containsKey(decoded, x.keys) {
		return badRequest(http.StatusBadRequest, "the request's address contains the key")
	}
	return nil
}

// findRoute looks the route up. A target may read a path with dot segments,
// empty segments or encoded slashes in another way than the prefix match does.
// Such a path is refused if that way leads to another route, which may need a
// key.
func (x *exchange) findRoute() *Failure {
	host := x.r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	service, route, ok := x.g.config.Configuration.Route(host, x.r.URL.Path, x.r.Method)
	for _, p := range otherReadings(x.r.URL) {
		s, r, found := x.g.config.Configuration.Route(host, p, x.r.Method)
		if found != ok || found && (s.Name() != service.Name() || r.Name() != route.Name()) {
			return badRequest(http.StatusBadRequest, "the path is ambiguous")
		}
	}
	if !ok {
		return badRequest(http.StatusNotFound, "no route matches the request")
	}
	x.service, x.route = service, route
	return nil
}

// otherReadings returns the paths that a target may read instead of the decoded
// one.
func otherReadings(u *url.URL) []string {
	var list []string
	slashes := strings.ReplaceAll(u.Path, `\`, "/")
	clean := path.Clean("/" + slashes)
	if strings.HasSuffix(slashes, "/") && clean != "/" {
		clean += "/"
	}
	if clean != u.Path {
		list = append(list, clean)
	}
	escaped := u.EscapedPath()
	if !strings.Contains(escaped, "%2F") && !strings.Contains(escaped, "%2f") {
		return list
	}
	// Encoded slashes that do not separate segments.
	literal := strings.NewReplacer("%2F", "%252F", "%2f", "%252F").Replace(escaped)
	if p, err := url.PathUnescape(literal); err == nil {
		list = append(list, p)
	}
	return list
}

// findAccount checks the key, on every request anew.
func (x *exchange) findAccount() *Failure {
	if x.route.Open() {
		return nil
	}
	switch len(x.keys) {
	case 0:
		return badRequest(http.StatusUnauthorized, "the request shows no key")
	case 1:
	default:
		return badRequest(http.StatusUnauthorized, "the request shows more than one key")
	}
	account, ok := x.g.config.Configuration.AccountByKey(contract.HashKey(x.keys[0]))
	if !ok {
		return badRequest(http.StatusUnauthorized, "the key is unknown or withdrawn")
	}
	x.account = account
	if !account.Allows(x.service.Name()) {
		return badRequest(http.StatusForbidden, "the account may not use the service")
	}
	return nil
}

// setDeadline takes the contract's deadline, or the caller's if it is earlier.
func (x *exchange) setDeadline() *Failure {
	limit := contract.DefaultDeadline
	if x.account != nil {
		limit = x.account.Deadline()
	}
	if values := x.r.Header[DeadlineHeader]; len(values) > 0 {
		ms, err := strconv.ParseInt(values[0], 10, 64)
		if err != nil || ms <= 0 || len(values) > 1 {
			return badRequest(http.StatusBadRequest, DeadlineHeader+" must be a positive number of milliseconds")
		}
		if ms < limit.Milliseconds() {
			limit = time.Duration(ms) * time.Millisecond
		}
	}
	x.deadline = x.start.Add(limit)
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	x.ctx = ctx
	x.cancels = append(x.cancels, cancel)
	return nil
}

func (x *exchange) admit() *Failure {
	if x.account == nil {
		return nil
	}
	if err := x.g.config.Admission.Admit(x.ctx, x.account); err != nil {
		return notAdmitted(x.ctx, err)
	}
	return nil
}

// prepare builds what every attempt sends, and reads a small body.
func (x *exchange) prepare() *Failure {
	x.header = towardsTarget(x.r, x.keys)
	x.header[RequestHeader] = []string{x.id}
	if n := x.r.ContentLength; n <= 0 || n > memoryBodyBytes {
		return nil
	}
	x.memory = memoryBodies.Get().(*[]byte)
	x.length = int(x.r.ContentLength)
	// A caller that sends slowly has until its deadline.
	x.body.LimitIdle(time.Until(x.deadline))
	if _, err := io.ReadFull(x.body, (*x.memory)[:x.length]); err != nil {
		return broken(err, NotRun)
	}
	return nil
}

// request builds one attempt's request. Its trailers are filled in while the body
// is read. Attempts may run at the same time, so each has its own headers.
func (x *exchange) request() *http.Request {
	h := maps.Clone(x.header)
	h[DeadlineHeader] = []string{strconv.FormatInt(max(time.Until(x.deadline).Milliseconds(), 1), 10)}
	u := *x.r.URL
	u.Scheme, u.Host = "", ""
	out := &http.Request{
		Method: x.r.Method, URL: &u, Host: x.r.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	switch {
	case x.memory != nil:
		out.ContentLength = int64(x.length)
		out.Body = transport.MemoryBody((*x.memory)[:x.length])
	case x.r.ContentLength != 0:
		x.stream(out)
	}
	return out
}

// stream makes the caller's body the request's.
func (x *exchange) stream(out *http.Request) {
	x.rc.EnableFullDuplex() //nolint:errcheck // HTTP/2 is always full duplex.
	out.ContentLength = x.r.ContentLength
	out.Body = x.body
	if message.HasToken(x.r.Header, "Expect", "100-continue") {
		out.Header["Expect"] = []string{"100-continue"}
	}
	if out.ContentLength >= 0 {
		return
	}
	out.TransferEncoding = []string{"chunked"}
	names := trailerNames(x.r.Trailer)
	if len(names) == 0 {
		return
	}
	out.Trailer = make(http.Header, len(names))
	for _, name := range names {
		out.Trailer[name] = nil
	}
	x.body.AtEnd(func() {
		for _, name := range names {
			values := x.r.Trailer[name]
			if !slices.ContainsFunc(values, func(v string) bool { return carriesKey(name, v, x.keys) }) {
				out.Trailer[name] = values
			}
		}
	})
}

// replayable reports whether the body can still be sent whole.
func (x *exchange) replayable() bool {
	return x.r.ContentLength == 0 || x.memory != nil || x.body.Untouched()
}

// refuse answers with the fleet's own error.
func (x *exchange) refuse(f *Failure) {
	f.Request = x.id
	x.verdict = f.verdict
	x.report(f.Status, f.Outcome, f.Reason)
	if x.body.Unread() {
		x.w.Header().Set("Connection", "close")
		x.body.Linger()
	}
	x.extendWrite()
	f.write(x.w)
}

// report makes a failed request known to operators.
func (x *exchange) report(status int, outcome Outcome, reason string) {
	if x.verdict == burn.CallerLeft {
		return
	}
	e := event.RequestsFailed{
		Status: status, Outcome: string(outcome), Reason: reason,
		Account: x.accountName(), Targets: x.tried, Requests: []string{x.id},
	}
	if x.route != nil {
		e.Service, e.Route = x.service.Name(), x.route.Name()
	}
	x.g.failures.record(e)
	level := zap.DebugLevel
	if outcome != NotRun {
		level = zap.InfoLevel
	}
	if entry := x.g.logger.Check(level, "request failed"); entry != nil {
		entry.Write(zap.String("request", x.id), zap.Int("status", status), zap.String("outcome", string(outcome)),
			zap.String("reason", reason), zap.String("account", e.Account), zap.String("service", e.Service),
			zap.String("route", e.Route), zap.Strings("targets", x.tried))
	}
}

// extendWrite bounds the time that the caller may leave the answer unread.
func (x *exchange) extendWrite() {
	x.rc.SetWriteDeadline(time.Now().Add(x.g.config.Idle)) //nolint:errcheck // Recorders in tests have no deadline.
}
