package gateway

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"

	"chestnutbay.dev/chestnutbay/internal/report/burn"
	"chestnutbay.dev/chestnutbay/internal/traffic/message"
)

// copyBufferBytes is the size of the buffers through which response bodies are
// copied.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// relayInformational passes a 1xx response on, except to callers that speak HTTP/1.0.
func (x *exchange) relayInformational(status int, h http.Header) {
	if !x.r.ProtoAtLeast(1, 1) {
		return
	}
	headers := x.w.Header()
	saved := maps.Clone(headers)
	copyCallerHeaders(headers, h)
	x.extendWriteDeadline()
	x.w.WriteHeader(status)
	clear(headers)
	maps.Copy(headers, saved)
}

// relay passes the target's response on. If it breaks off, the connection to the
// caller is reset, so that the part received does not look complete.
func (x *exchange) relay(a *attempt) {
	resp := a.sent.Response() //nolint:bodyclose // end closes the body with the attempt.
	x.verdict = burn.Good
	if resp.StatusCode >= http.StatusInternalServerError {
		x.verdict = burn.TargetError
	}
	outcome := x.outcome(a)
	if outcome == NotRun {
		x.verdict = burn.NotRun
	}
	if x.verdict != burn.Good {
		x.reportFailure(resp.StatusCode, outcome, "the target answered with an error")
	}
	x.writeHead(resp, outcome)
	targetErr, callerErr := x.copyBody(resp)
	switch {
	case callerErr != nil:
		// A caller that stops reading is no evidence about the target.
		a.sent.Abandon()
		x.verdict = burn.CallerDisconnected
	case targetErr != nil:
		x.verdict = x.truncationVerdict()
		x.reportFailure(0, Unknown, "the target's answer broke off")
	default:
		x.writeTrailers(resp)
	}
	a.end()
	if targetErr != nil || callerErr != nil {
		message.Abort(x.rc)
	}
}

// outcome returns the outcome for a response. A trusted refusal proves nothing about
// earlier attempts, which may have run.
func (x *exchange) outcome(a *attempt) Outcome {
	switch {
	case !a.refused():
		return Answered
	case x.mayHaveRun:
		return Unknown
	}
	return NotRun
}

// truncationVerdict returns the verdict for a response that broke off. If the caller
// disconnected, the verdict is CallerDisconnected, so that nobody is blamed.
func (x *exchange) truncationVerdict() burn.Verdict {
	if f := contextFailure(x.ctx); f != nil && f.verdict == burn.CallerDisconnected {
		return burn.CallerDisconnected
	}
	return burn.Truncated
}

// writeHead writes the status and the headers of the target's response.
func (x *exchange) writeHead(resp *http.Response, outcome Outcome) {
	h := x.w.Header()
	copyCallerHeaders(h, resp.Header)
	h.Set(OutcomeHeader, string(outcome))
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // Keeps net/http from detecting a content type.
	}
	for _, name := range trailerNames(resp.Trailer) {
		h.Add("Trailer", name)
	}
	if x.body.MustClose() {
		// The rest of the request body must not be parsed as another request.
		h.Set("Connection", "close")
		if x.body.Untouched() {
			x.body.Linger()
		}
	}
	x.extendWriteDeadline()
	x.w.WriteHeader(resp.StatusCode)
}

// copyBody passes the body on. It returns an error of the target's connection or of
// the caller's.
func (x *exchange) copyBody(resp *http.Response) (targetErr, callerErr error) {
	if resp.Body == http.NoBody {
		return nil, nil
	}
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	copied := int64(0)
	for {
		n, err := resp.Body.Read(*buffer)
		copied += int64(n)
		if n > 0 {
			x.extendWriteDeadline()
			if _, err := x.w.Write((*buffer)[:n]); err != nil {
				return nil, err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
		if n == len(*buffer) || copied == resp.ContentLength {
			continue
		}
		// The next read may block, so the caller gets what has arrived.
		if err := x.rc.Flush(); err != nil {
			return nil, err
		}
	}
}

// writeTrailers passes the trailers on, including those that were not announced.
func (x *exchange) writeTrailers(resp *http.Response) {
	if len(resp.Trailer) == 0 {
		return
	}
	h := x.w.Header()
	announced := h["Trailer"]
	for _, name := range trailerNames(resp.Trailer) {
		field := name
		if !slices.Contains(announced, name) {
			field = http.TrailerPrefix + name
		}
		h[field] = resp.Trailer[name]
	}
}
