package ingress

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"chestnutbay.dev/chestnutbay/internal/traffic/message"
	"chestnutbay.dev/chestnutbay/internal/traffic/transport"
)

const (
	// maxBufferedResponseBytes is the largest response body that is read completely
	// before any of it is sent to the caller. If such a response is cut off, the request
	// can still be retried.
	maxBufferedResponseBytes = 128 << 10
	// copyBytes is the size of the buffer for copying the rest of a longer response.
	copyBytes = 32 << 10
)

// response is an instance's response with its whole body, or with the beginning of a
// body that is longer than maxBufferedResponseBytes.
type response struct {
	upstream *transport.Attempt
	body     []byte
	complete bool
}

// readResponse reads the whole body of a response, or the beginning of a long one. It
// returns nil if the response was cut off.
func readResponse(upstream *transport.Attempt) *response {
	resp := upstream.Response() //nolint:bodyclose // The attempt ends with its body.
	size := int64(4 << 10)
	if resp.ContentLength >= 0 {
		size = min(resp.ContentLength, maxBufferedResponseBytes)
	}
	body := make([]byte, 0, size+1)
	for len(body) <= maxBufferedResponseBytes {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return &response{upstream: upstream, body: body, complete: true}
		}
		if err != nil {
			return nil
		}
	}
	return &response{upstream: upstream, body: body}
}

// relay sends the attempt's response to the caller. If the instance cuts it off, the
// caller's connection is aborted so that the response does not look complete.
func (x *exchange) relay(a *attempt) {
	resp := a.upstream.Response() //nolint:bodyclose // The attempt ends with its body.
	x.result = result{status: resp.StatusCode, reason: answered}
	if resp.StatusCode >= http.StatusInternalServerError {
		x.result.reason = instanceFailed
	}
	h := x.w.Header()
	named := message.ConnectionNames(resp.Header)
	for name, values := range resp.Header {
		if message.EndToEnd(name, named) && name != "Content-Length" {
			h[name] = values
		}
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	switch {
	case x.r.Method == http.MethodHead && resp.ContentLength >= 0:
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	case a.response.complete && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified:
		h.Set("Content-Length", strconv.Itoa(len(a.response.body)))
	case resp.ContentLength >= 0 && !a.response.complete:
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	if x.body.MustClose() {
		// The unread rest of the body must not be parsed as the next request.
		h.Set("Connection", "close")
		x.body.Linger()
	}
	x.writeHead(resp.StatusCode)
	if _, err := x.w.Write(a.response.body); err != nil {
		x.result.reason = callerStoppedReading
	} else if !a.response.complete {
		x.copyRest(resp.Body)
	}
	a.upstream.Close()
}

// copyRest copies the rest of a long response to the caller. If the instance cuts the
// response off, the caller's connection is aborted.
func (x *exchange) copyRest(body io.Reader) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			x.extendWriteDeadline()
			if _, err := x.w.Write(buffer[:n]); err != nil {
				x.result.reason = callerStoppedReading
				return
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			x.result.reason = responseCutOff
			message.Abort(x.rc)
			return
		}
	}
}
