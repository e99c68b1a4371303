package ingress

import (
	"net/http"
	"strconv"
	"time"

	"chestnutbay.dev/chestnutbay/internal/traffic/message"
)

// reason names why a request ended with its status. It appears in logs, in metrics and
// in the fleet's own responses to callers.
type reason string

const (
	answered             reason = "answered"
	malformedRequest     reason = "malformed request"
	noConfiguration      reason = "no configuration yet"
	noRoute              reason = "no route"
	unknownKey           reason = "unknown key"
	malformedDeadline    reason = "malformed deadline"
	bodyTooLarge         reason = "body too large"
	bodyStalled          reason = "body made no progress"
	callerDisconnected   reason = "caller left"
	overRate             reason = "account over its rate"
	noInstance           reason = "no instance available"
	instancesBusy        reason = "instances refused for want of room"
	instancesUnreachable reason = "instances could not be reached"
	retryBudgetSpent     reason = "retry budget spent"
	timedOut             reason = "timeout"
	connectionBroke      reason = "connection to the instance broke"
	malformedResponse    reason = "instance's answer was malformed"
	instanceFailed       reason = "instance answered with an error"
	responseCutOff       reason = "instance's answer broke off"
	callerStoppedReading reason = "caller stopped reading"
	deadlineTooClose     reason = "deadline too close"
	vmStops              reason = "VM stops"
)

const (
	// startRetryAfter is the Retry-After of a VM without a configuration. A VM that has
	// just started receives its configuration in about this time.
	startRetryAfter = 500 * time.Millisecond
	// busyRetryAfter is the Retry-After when no instance could take the request: about
	// the duration of one request, after which a slot becomes free.
	busyRetryAfter = 200 * time.Millisecond
	// stopRetryAfter is the Retry-After of a VM that stops. The caller's next connection
	// leads to another VM, which can take the request at once.
	stopRetryAfter = time.Millisecond
	// defaultTimeout applies when neither the route nor the caller sets a time limit.
	defaultTimeout = 60 * time.Second
	// writeTimeout bounds each write to a caller that does not read its response.
	writeTimeout = 30 * time.Second
)

// failure is an error response that the fleet itself generates.
type failure struct {
	status     int
	reason     reason
	detail     string
	retryAfter time.Duration // 0 omits the Retry-After header
}

// refuse sends f to the caller, or aborts the connection if the caller has disconnected.
func (x *exchange) refuse(f *failure) {
	x.result = result{status: f.status, reason: f.reason}
	if f.reason == callerDisconnected {
		// If the handler writes nothing, net/http sends an empty response with status 200.
		message.Abort(x.rc)
		return
	}
	h := x.w.Header()
	if x.id != "" {
		h.Set(x.server.config.Headers.RequestID, x.id)
	}
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	if f.status == http.StatusUnauthorized {
		h.Set("Www-Authenticate", "Bearer")
	}
	if x.body.MustClose() {
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
	x.writeHead(f.status)
	x.w.Write([]byte(text)) //nolint:errcheck // A caller that has disconnected cannot be told.
}

// writeHead sends the head of the response. A VM that leaves closes the connection after it.
func (x *exchange) writeHead(status int) {
	if x.server.leaving.Load() {
		x.w.Header().Set("Connection", "close")
	}
	x.extendWriteDeadline()
	x.w.WriteHeader(status)
}

// extendWriteDeadline allows the next write to the caller to take writeTimeout.
func (x *exchange) extendWriteDeadline() {
	x.rc.SetWriteDeadline(time.Now().Add(writeTimeout)) //nolint:errcheck // Only test recorders do not support it.
}
