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

// copyBytes is the size of the pieces in which an answer is passed on.
const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBytes)
	return &b
}}

// inform passes a 1xx answer on.
func (x *exchange) inform(status int, h http.Header) {
	if !x.r.ProtoAtLeast(1, 1) {
		return
	}
	own := x.w.Header()
	saved := maps.Clone(own)
	towardsCaller(own, h)
	x.extendWrite()
	x.w.WriteHeader(status)
	clear(own)
	maps.Copy(own, saved)
}

// relay passes the target's answer on, whole or recognisably broken.
func (x *exchange) relay(s *sending) {
	resp := s.attempt.Response() //nolint:bodyclose // drop ends the attempt.
	x.verdict = burn.Good
	if resp.StatusCode >= http.StatusInternalServerError {
		x.verdict = burn.TargetError
	}
	outcome := x.outcome(s)
	if outcome == NotRun {
		x.verdict = burn.NotRun
	}
	if x.verdict != burn.Good {
		x.report(resp.StatusCode, outcome, "the target answered with an error")
	}
	x.writeHead(resp, outcome)
	target, caller := x.copyBody(resp)
	switch {
	case caller != nil:
		// What the caller does not read says nothing about the target.
		s.attempt.Abandon()
		x.verdict = burn.CallerLeft
	case target != nil:
		x.verdict = x.brokenAnswer()
		x.report(0, Unknown, "the target's answer broke off")
	default:
		x.writeTrailers(resp)
	}
	s.drop()
	if target != nil || caller != nil {
		message.Abort(x.rc)
	}
}

// outcome says what the answer proves. A trusted refusal proves nothing about
// earlier attempts.
func (x *exchange) outcome(s *sending) Outcome {
	switch {
	case !s.refused():
		return Answered
	case x.mayHaveRun:
		return Unknown
	}
	return NotRun
}

// brokenAnswer judges an answer that did not arrive whole.
func (x *exchange) brokenAnswer() burn.Verdict {
	if f := ended(x.ctx); f != nil && f.verdict == burn.CallerLeft {
		return burn.CallerLeft
	}
	return burn.Truncated
}

func (x *exchange) writeHead(resp *http.Response, outcome Outcome) {
	h := x.w.Header()
	towardsCaller(h, resp.Header)
	h.Set(OutcomeHeader, string(outcome))
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // Keeps net/http from guessing.
	}
	for _, name := range trailerNames(resp.Trailer) {
		h.Add("Trailer", name)
	}
	if x.body.Unread() {
		// What the caller still sends must not be taken for a request.
		h.Set("Connection", "close")
		if x.body.Untouched() {
			x.body.Linger()
		}
	}
	x.extendWrite()
	x.w.WriteHeader(resp.StatusCode)
}

// copyBody passes the body on. It tells the target's errors from the caller's.
func (x *exchange) copyBody(resp *http.Response) (target, caller error) {
	if resp.Body == http.NoBody {
		return nil, nil
	}
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	sent := int64(0)
	for {
		n, err := resp.Body.Read(*buffer)
		sent += int64(n)
		if n > 0 {
			x.extendWrite()
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
		if n == len(*buffer) || sent == resp.ContentLength {
			continue
		}
		// More may take a while, so what has come goes out.
		if err := x.rc.Flush(); err != nil {
			return nil, err
		}
	}
}

// writeTrailers passes the trailers on, also those that were not announced.
func (x *exchange) writeTrailers(resp *http.Response) {
	if len(resp.Trailer) == 0 {
		return
	}
	h := x.w.Header()
	announced := h["Trailer"]
	for _, name := range trailerNames(resp.Trailer) {
		key := name
		if !slices.Contains(announced, name) {
			key = http.TrailerPrefix + name
		}
		h[key] = resp.Trailer[name]
	}
}
