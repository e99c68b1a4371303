package ingress

import (
	"net/http"
	"strconv"
	"time"

	"chestnutbay.dev/chestnutbay/internal/traffic/message"
)

// reason says why a request ended as it did, for logs, metrics and callers.
type reason string

// Reasons.
const (
	answered         reason = "answered"
	badFraming       reason = "malformed request"
	noConfiguration  reason = "no configuration yet"
	noRoute          reason = "no route"
	unknownKey       reason = "unknown key"
	badDeadline      reason = "malformed deadline"
	bodyTooLarge     reason = "body too large"
	bodyStalled      reason = "body made no progress"
	callerLeft       reason = "caller left"
	overRate         reason = "account over its rate"
	noInstance       reason = "no instance available"
	allBusy          reason = "instances refused for want of room"
	unreachable      reason = "instances could not be reached"
	noBudget         reason = "retry budget spent"
	timedOut         reason = "timeout"
	brokeOff         reason = "connection to the instance broke"
	badAnswer        reason = "instance's answer was malformed"
	instanceFailed   reason = "instance answered with an error"
	answerBrokeOff   reason = "instance's answer broke off"
	callerStopped    reason = "caller stopped reading"
	deadlineTooClose reason = "deadline too close"
)

const (
	// startRetryAfter is when a VM that has just started may have a configuration.
	startRetryAfter = 500 * time.Millisecond
	// busyRetryAfter is about the time of one request, after which a slot is free.
	busyRetryAfter = 200 * time.Millisecond
	// defaultTimeout bounds requests for which neither side says a time.
	defaultTimeout = 60 * time.Second
	// writeTimeout bounds the time that a caller may leave an answer unread.
	writeTimeout = 30 * time.Second
)

// failure is an answer of the fleet's own.
type failure struct {
	status     int
	reason     reason
	detail     string
	retryAfter time.Duration // 0 means that the header is left out
}

// refuse answers with a failure.
func (x *exchange) refuse(f *failure) {
	x.result = result{status: f.status, reason: f.reason}
	if f.reason == callerLeft {
		// Without an answer, net/http would send an empty one with status 200.
		message.Abort(x.rc)
		return
	}
	h := x.w.Header()
	if x.id != "" {
		h.Set(x.s.config.Headers.Request, x.id)
	}
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	if f.status == http.StatusUnauthorized {
		h.Set("Www-Authenticate", "Bearer")
	}
	if x.body.Unread() {
		h.Set("Connection", "close")
		x.body.Linger()
	}
	text := string(f.reason)
	if f.detail != "" {
		text += ": " + f.detail
	}
	text += "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.extendWrite()
	x.w.WriteHeader(f.status)
	x.w.Write([]byte(text)) //nolint:errcheck // A caller that has gone needs no error.
}

// extendWrite bounds the time that the caller may leave the answer unread.
func (x *exchange) extendWrite() {
	x.rc.SetWriteDeadline(time.Now().Add(writeTimeout)) //nolint:errcheck // Recorders in tests have no deadline.
}
