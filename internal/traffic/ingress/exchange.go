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
	// maxBufferedBodyBytes is the largest request body that is read into memory before
	// an instance is chosen. A buffered body can be sent again on a retry, and a slow
	// caller does not occupy a slot of an instance while it uploads.
	maxBufferedBodyBytes = 512 << 10
	// maxInlineBodyBytes is the largest buffered body that is written before reading the
	// response starts. A longer body is written concurrently with reading, since an
	// instance may respond before it has read the whole body.
	maxInlineBodyBytes = 16 << 10
	// maxDeadline bounds a caller's deadline.
	maxDeadline = 24 * time.Hour
	// minRemaining is the time that must remain until the deadline for a first attempt or
	// a retry to start.
	minRemaining = 2 * time.Millisecond
)

// exchange is one request of a caller and its response.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	rc     *http.ResponseController
	id     string
	start  time.Time

	table   *routing.Table
	route   *routing.Route
	account *routing.Account // nil on a public route
	service string

	ctx          context.Context
	cancel       context.CancelFunc
	deadline     time.Time
	body         *message.Body
	bufferedBody []byte // the whole body, if isBuffered
	isBuffered   bool
	bodyPrefix   []byte // the part of a streamed body that was read before streaming
	targetHeader http.Header

	charged  bool     // a token was taken from the account's rate limit
	tried    []string // IDs of the instances chosen so far, in order
	attempts []*attempt
	result   result
}

// result is the status of a request and the reason for it, as logged and counted.
type result struct {
	status int
	reason reason
}

func newExchange(s *Server, w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{server: s, w: w, r: r, rc: http.NewResponseController(w), start: time.Now(), ctx: r.Context(), cancel: func() {}}
	x.id = r.Header.Get(s.config.Headers.RequestID)
	x.body = message.NewBody(r, x.rc, bodyIdleTimeout)
	return x
}

// finish releases the exchange's context and records its result. The retry budget counts
// the request as unserved unless it was answered, the caller disconnected or the key was
// unknown.
func (x *exchange) finish() {
	x.cancel()
	if x.service != "" && x.result.reason != answered && x.result.reason != callerDisconnected && x.result.reason != unknownKey {
		x.server.config.RetryBudget.Unserved(x.service)
	}
	x.record()
}

// check finds the route, account and deadline of the request, charges the account's
// rate limit and buffers a short body. It returns why the request is refused, or nil.
func (x *exchange) check() *failure {
	if err := message.RefusedHead(x.r.Header, x.server.secret); err != nil {
		return &failure{status: err.Status(), reason: malformedRequest, detail: err.Reason()}
	}
	x.table = x.server.config.Table()
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
	if !x.server.endsInTime(x.deadline) {
		return &failure{status: http.StatusServiceUnavailable, reason: vmStops, retryAfter: stopRetryAfter}
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
	x.server.config.RetryBudget.Request(x.service)
	return nil
}

// findAccount looks up the account of the request's key. The key is checked on every
// request, so that a withdrawn key stops working on open connections too.
func (x *exchange) findAccount() *failure {
	if !x.table.NeedsKeys() {
		return nil
	}
	key, present := x.presentedKey()
	if present {
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

// presentedKey returns the bearer token of the request. It reports false unless there
// is exactly one Authorization header and it has that scheme.
func (x *exchange) presentedKey() (string, bool) {
	values := x.r.Header["Authorization"]
	if len(values) != 1 {
		return "", false
	}
	return message.Bearer(values[0])
}

// setDeadline sets the deadline from the route's timeout or from the caller's deadline
// header, whichever is earlier.
func (x *exchange) setDeadline() *failure {
	limit := x.route.Timeout()
	if v := x.r.Header.Get(x.server.config.Headers.Deadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return &failure{status: http.StatusBadRequest, reason: malformedDeadline}
		}
		ms = min(ms, maxDeadline.Milliseconds())
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
	wait, ok := x.server.config.Quota.Admit(x.account.Name(), x.account.Rate(), x.account.Burst())
	if !ok {
		return &failure{status: http.StatusTooManyRequests, reason: overRate, retryAfter: wait}
	}
	x.charged = true
	return nil
}

// refund returns the token that admit took. finishFailed calls it if no instance may
// have run the request.
func (x *exchange) refund() {
	if x.charged {
		x.charged = false
		x.server.config.Quota.Refund(x.account.Name())
	}
}

// readBody buffers the body if it is no longer than maxBufferedBodyBytes. If a body of
// unknown length turns out to be longer, the bytes read so far become bodyPrefix.
func (x *exchange) readBody() *failure {
	if x.r.ContentLength == 0 {
		x.isBuffered = true
		return nil
	}
	x.body.LimitIdle(time.Until(x.deadline))
	if x.r.ContentLength > maxBufferedBodyBytes {
		return nil
	}
	limit := int64(maxBufferedBodyBytes)
	if x.r.ContentLength > 0 {
		limit = x.r.ContentLength
	}
	buffered := make([]byte, 0, min(limit, max(x.r.ContentLength, 4<<10))+1)
	for int64(len(buffered)) <= limit {
		if len(buffered) == cap(buffered) {
			buffered = append(buffered, 0)[:len(buffered)]
		}
		n, err := x.body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if errors.Is(err, io.EOF) {
			x.bufferedBody, x.isBuffered = buffered, true
			return nil
		}
		if err != nil {
			return x.bodyReadFailure(err)
		}
	}
	x.bodyPrefix = buffered
	return nil
}

// bodyReadFailure returns the refusal for an error in reading the caller's body.
func (x *exchange) bodyReadFailure(err error) *failure {
	var framing *message.FramingError
	var timeout net.Error
	switch {
	case errors.As(err, &framing):
		return &failure{status: framing.Status(), reason: malformedRequest, detail: framing.Reason()}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &failure{status: http.StatusRequestTimeout, reason: bodyStalled}
	}
	return &failure{status: http.StatusBadRequest, reason: callerDisconnected, detail: err.Error()}
}

// replayable reports whether the whole body can still be sent in another attempt.
func (x *exchange) replayable() bool {
	return x.isBuffered || (x.bodyPrefix == nil && x.body.Untouched())
}

// buildRequest returns the request to send to an instance in one attempt.
func (x *exchange) buildRequest(instance string) *http.Request {
	h := maps.Clone(x.targetHeader)
	names := &x.server.config.Headers
	h.Set(names.Deadline, strconv.FormatInt(max(time.Until(x.deadline).Milliseconds(), 1), 10))
	h.Set(names.Instance, instance)
	u := *x.r.URL
	u.Scheme, u.Host = "", ""
	out := &http.Request{Method: x.r.Method, URL: &u, Host: x.r.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	switch {
	case x.isBuffered && len(x.bufferedBody) == 0:
	case x.isBuffered && len(x.bufferedBody) <= maxInlineBodyBytes:
		out.ContentLength = int64(len(x.bufferedBody))
		out.Body = transport.MemoryBody(x.bufferedBody)
	case x.isBuffered:
		out.ContentLength = int64(len(x.bufferedBody))
		out.Body = io.NopCloser(strings.NewReader(string(x.bufferedBody)))
	default:
		x.streamBody(out)
	}
	return out
}

// streamBody makes out read its body from the caller while it is being sent.
func (x *exchange) streamBody(out *http.Request) {
	x.rc.EnableFullDuplex() //nolint:errcheck // Only test recorders do not support it.
	out.ContentLength = x.r.ContentLength
	out.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(strings.NewReader(string(x.bodyPrefix)), x.body), x.body}
	if out.ContentLength < 0 {
		out.TransferEncoding = []string{"chunked"}
	}
}

// buildTargetHeader returns the headers to send to the target: the caller's end-to-end
// headers without its key, and the name of its account.
func (x *exchange) buildTargetHeader() http.Header {
	names := &x.server.config.Headers
	named := message.ConnectionNames(x.r.Header)
	out := make(http.Header, len(x.r.Header)+4)
	for name, values := range x.r.Header {
		if name == "Authorization" || name == "Expect" || name == "Content-Length" || !message.EndToEnd(name, named) {
			continue
		}
		out[name] = values
	}
	// Only the fleet and targets set these headers, so values from a caller are forged.
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
