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
	// heldAnswerBytes is the size up to which an answer is read whole before any of
	// it is passed on, so that one that breaks off can be replaced.
	heldAnswerBytes = 128 << 10
	// copyBytes is the size of the pieces in which a longer answer is passed on.
	copyBytes = 32 << 10
)

// answer is an instance's answer with a complete body, or with the first part of a
// long one.
type answer struct {
	sent  *transport.Attempt
	body  []byte
	whole bool
}

// readAnswer reads an answer whole, or the first part of a long one. It returns
// nil if the answer broke off.
func readAnswer(sent *transport.Attempt) *answer {
	resp := sent.Response() //nolint:bodyclose // The attempt ends with its body.
	size := int64(4 << 10)
	if resp.ContentLength >= 0 {
		size = min(resp.ContentLength, heldAnswerBytes)
	}
	body := make([]byte, 0, size+1)
	for len(body) <= heldAnswerBytes {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return &answer{sent: sent, body: body, whole: true}
		}
		if err != nil {
			return nil
		}
	}
	return &answer{sent: sent, body: body}
}

// relay passes an answer on, whole or recognisably broken.
func (x *exchange) relay(a *attempt) {
	resp := a.sent.Response() //nolint:bodyclose // The attempt ends with its body.
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
		h["Content-Type"] = nil // Keeps net/http from guessing.
	}
	switch {
	case x.r.Method == http.MethodHead && resp.ContentLength >= 0:
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	case a.answer.whole && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified:
		h.Set("Content-Length", strconv.Itoa(len(a.answer.body)))
	case resp.ContentLength >= 0 && !a.answer.whole:
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	if x.body.Unread() {
		// What the caller still sends must not be taken for a request.
		h.Set("Connection", "close")
		x.body.Linger()
	}
	x.extendWrite()
	x.w.WriteHeader(resp.StatusCode)
	if _, err := x.w.Write(a.answer.body); err != nil {
		x.result.reason = callerStopped
	} else if !a.answer.whole {
		x.copyRest(resp.Body)
	}
	a.sent.Close()
}

// copyRest passes the rest of a long answer on. If it breaks off, so does the
// caller's transfer.
func (x *exchange) copyRest(body io.Reader) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			x.extendWrite()
			if _, err := x.w.Write(buffer[:n]); err != nil {
				x.result.reason = callerStopped
				return
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			x.result.reason = answerBrokeOff
			message.Abort(x.rc)
			return
		}
	}
}
