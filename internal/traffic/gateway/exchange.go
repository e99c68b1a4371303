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

// maxBufferedBodyBytes is the size up to which a request body is read whole before
// a permit is acquired. Such a body can be sent again, and a slow caller does not
// hold a target's slot while it uploads.
const maxBufferedBodyBytes = 16 << 10

var bodyBuffers = sync.Pool{New: func() any {
	b := make([]byte, maxBufferedBodyBytes)
	return &b
}}

// exchange handles one request of a caller, from its head to the end of the
// response.
type exchange struct {
	gateway   *Gateway
	w         http.ResponseWriter
	r         *http.Request
	rc        *http.ResponseController
	requestID string
	start     time.Time

	keys    []string // the distinct keys that the request presents
	service *contract.Service
	route   *contract.Route
	account *contract.Contract // nil on an open route

	ctx          context.Context
	cancelFuncs  []func()
	deadline     time.Time
	header       http.Header
	body         *message.Body
	memory       *[]byte // a small body, read whole; nil for others
	memoryLength int     // length of the body in memory

	triedAddresses []string // addresses of the instances that were tried
	mayHaveRun     bool     // a target may have executed the request
	verdict        burn.Verdict
}

func newExchange(g *Gateway, w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{gateway: g, w: w, r: r, rc: http.NewResponseController(w), requestID: newRequestID(), start: time.Now(), ctx: r.Context()}
	x.body = message.NewBody(r, x.rc, g.config.BodyIdleTimeout)
	h := w.Header()
	h.Set(RequestIDHeader, x.requestID)
	if g.inFlight.isDraining() {
		h.Set("Connection", "close")
	}
	return x
}

// end releases the resources of the exchange and reports the request to
// Config.Burn.
func (x *exchange) end() {
	for _, cancel := range x.cancelFuncs {
		cancel()
	}
	if x.memory != nil {
		bodyBuffers.Put(x.memory)
	}
	if x.gateway.config.Burn == nil {
		return
	}
	s := burn.Sample{Account: x.accountName(), Verdict: x.verdict, Duration: time.Since(x.start)}
	if x.route != nil {
		s.Service, s.Route = x.service.Name(), x.route.Name()
	}
	x.gateway.config.Burn(s)
}

// accountName returns the name of the client account, or "" if there is none.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Account()
}

// check validates and authorizes the request and sets its deadline. It returns the
// reason for a refusal, or nil.
func (x *exchange) check() *Failure {
	if err := message.RefusedHead(x.r.Header, x.gateway.framingSecret); err != nil {
		return badRequest(err.Status(), err.Reason())
	}
	if f := x.checkSupported(); f != nil {
		return f
	}
	if err := x.gateway.config.Fresh(); err != nil {
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

// checkSupported refuses methods and protocols that the gateway does not proxy. It
// also refuses a request whose address contains the key, because the address goes
// to the target unchanged.
func (x *exchange) checkSupported() *Failure {
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

// findRoute looks up the route. A target may interpret a path with dot segments,
// empty segments or encoded slashes differently than the prefix match does. The
// request is refused if such an interpretation leads to another route, which may
// need a key.
func (x *exchange) findRoute() *Failure {
	host := x.r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	service, route, ok := x.gateway.config.Configuration.Route(host, x.r.URL.Path, x.r.Method)
	for _, p := range alternativePaths(x.r.URL) {
		s, r, found := x.gateway.config.Configuration.Route(host, p, x.r.Method)
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

// alternativePaths returns the paths, other than the decoded path, as which a target
// may interpret the URL's path.
func alternativePaths(u *url.URL) []string {
	var paths []string
	withSlashes := strings.ReplaceAll(u.Path, `\`, "/")
	cleaned := path.Clean("/" + withSlashes)
	if strings.HasSuffix(withSlashes, "/") && cleaned != "/" {
		cleaned += "/"
	}
	if cleaned != u.Path {
		paths = append(paths, cleaned)
	}
	escaped := u.EscapedPath()
	if !strings.Contains(escaped, "%2F") && !strings.Contains(escaped, "%2f") {
		return paths
	}
	// A target may treat encoded slashes as part of a segment, not as separators.
	literal := strings.NewReplacer("%2F", "%252F", "%2f", "%252F").Replace(escaped)
	if p, err := url.PathUnescape(literal); err == nil {
		paths = append(paths, p)
	}
	return paths
}

// findAccount looks up the client account by its key, unless the route is open. It
// does so for every request, so that a withdrawn key also stops working on open
// connections.
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
	account, ok := x.gateway.config.Configuration.AccountByKey(contract.HashKey(x.keys[0]))
	if !ok {
		return badRequest(http.StatusUnauthorized, "the key is unknown or withdrawn")
	}
	x.account = account
	if !account.Allows(x.service.Name()) {
		return badRequest(http.StatusForbidden, "the account may not use the service")
	}
	return nil
}

// setDeadline sets the deadline of the account's contract, or the caller's if that
// is earlier.
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
	x.cancelFuncs = append(x.cancelFuncs, cancel)
	return nil
}

// admit checks the account's rate. Open routes have none.
func (x *exchange) admit() *Failure {
	if x.account == nil {
		return nil
	}
	if err := x.gateway.config.Admission.Admit(x.ctx, x.account); err != nil {
		return admissionFailure(x.ctx, err)
	}
	return nil
}

// prepare builds the headers that all attempts send, and reads a small body into
// memory.
func (x *exchange) prepare() *Failure {
	x.header = targetHeaders(x.r, x.keys)
	x.header[RequestIDHeader] = []string{x.requestID}
	if n := x.r.ContentLength; n <= 0 || n > maxBufferedBodyBytes {
		return nil
	}
	x.memory = bodyBuffers.Get().(*[]byte)
	x.memoryLength = int(x.r.ContentLength)
	// A read must not wait for a slow caller beyond the deadline.
	x.body.LimitIdle(time.Until(x.deadline))
	if _, err := io.ReadFull(x.body, (*x.memory)[:x.memoryLength]); err != nil {
		return bodyFailure(err, NotRun)
	}
	return nil
}

// newAttemptRequest builds the request of one attempt. Its trailers are filled in at
// the end of the body. Attempts may run concurrently, so each has its own headers.
func (x *exchange) newAttemptRequest() *http.Request {
	h := maps.Clone(x.header)
	h[DeadlineHeader] = []string{strconv.FormatInt(max(time.Until(x.deadline).Milliseconds(), 1), 10)}
	u := *x.r.URL
	u.Scheme, u.Host = "", ""
	outgoing := &http.Request{
		Method: x.r.Method, URL: &u, Host: x.r.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	switch {
	case x.memory != nil:
		outgoing.ContentLength = int64(x.memoryLength)
		outgoing.Body = transport.MemoryBody((*x.memory)[:x.memoryLength])
	case x.r.ContentLength != 0:
		x.streamBody(outgoing)
	}
	return outgoing
}

// streamBody makes the caller's body the body of the outgoing request, without
// reading it into memory first.
func (x *exchange) streamBody(outgoing *http.Request) {
	x.rc.EnableFullDuplex() //nolint:errcheck // HTTP/2 is always full duplex.
	outgoing.ContentLength = x.r.ContentLength
	outgoing.Body = x.body
	if message.HasToken(x.r.Header, "Expect", "100-continue") {
		outgoing.Header["Expect"] = []string{"100-continue"}
	}
	if outgoing.ContentLength >= 0 {
		return
	}
	outgoing.TransferEncoding = []string{"chunked"}
	names := trailerNames(x.r.Trailer)
	if len(names) == 0 {
		return
	}
	outgoing.Trailer = make(http.Header, len(names))
	for _, name := range names {
		outgoing.Trailer[name] = nil
	}
	x.body.AtEnd(func() {
		for _, name := range names {
			values := x.r.Trailer[name]
			if !slices.ContainsFunc(values, func(v string) bool { return carriesKey(name, v, x.keys) }) {
				outgoing.Trailer[name] = values
			}
		}
	})
}

// replayable reports whether the whole body can still be sent in another attempt.
func (x *exchange) replayable() bool {
	return x.r.ContentLength == 0 || x.memory != nil || x.body.Untouched()
}

// refuse responds with an error of the gateway's own.
func (x *exchange) refuse(f *Failure) {
	f.Request = x.requestID
	x.verdict = f.verdict
	x.reportFailure(f.Status, f.Outcome, f.Reason)
	if x.body.MustClose() {
		x.w.Header().Set("Connection", "close")
		x.body.Linger()
	}
	x.extendWriteDeadline()
	f.write(x.w)
}

// reportFailure logs a failed request and records it as an event, unless the caller
// disconnected.
func (x *exchange) reportFailure(status int, outcome Outcome, reason string) {
	if x.verdict == burn.CallerDisconnected {
		return
	}
	e := event.RequestsFailed{
		Status: status, Outcome: string(outcome), Reason: reason,
		Account: x.accountName(), Targets: x.triedAddresses, Requests: []string{x.requestID},
	}
	if x.route != nil {
		e.Service, e.Route = x.service.Name(), x.route.Name()
	}
	x.gateway.failures.record(e)
	level := zap.DebugLevel
	if outcome != NotRun {
		level = zap.InfoLevel
	}
	if entry := x.gateway.logger.Check(level, "request failed"); entry != nil {
		entry.Write(zap.String("request", x.requestID), zap.Int("status", status), zap.String("outcome", string(outcome)),
			zap.String("reason", reason), zap.String("account", e.Account), zap.String("service", e.Service),
			zap.String("route", e.Route), zap.Strings("targets", x.triedAddresses))
	}
}

// extendWriteDeadline bounds the time that the caller may leave the next part of the
// response unread.
func (x *exchange) extendWriteDeadline() {
	x.rc.SetWriteDeadline(time.Now().Add(x.gateway.config.BodyIdleTimeout)) //nolint:errcheck // Response recorders in tests support no deadline.
}
