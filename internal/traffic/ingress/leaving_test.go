package ingress_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// withHeader returns a signed response with a status, a header line and a short body.
func withHeader(status int, line string) func(string, int) scriptedResponse {
	return func(id string, _ int) scriptedResponse {
		return scriptedResponse{raw: fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request: %s\r\nX-Signature: s\r\n%s\r\nContent-Length: 2\r\n\r\nok", status, id, line)}
	}
}

// TestInstanceLeaves guards against requests to an instance that said in a response, of
// whatever status, that it is leaving, and against requests that wait although all
// instances are leaving.
func TestInstanceLeaves(t *testing.T) {
	for _, status := range []int{200, 404, 500, 503} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			is := is.New(t)
			b, targets := newTestServer(t, withHeader(status, "X-Leaving: 1"))
			is.Equal(b.send("POST", "/order/1", "x", nil).status, status)
			got := b.send("POST", "/order/2", "x", nil)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(got.header.Get("Retry-After") != "")
			is.Equal(len(targets[0].requests()), 1)
		})
	}
}

// TestOthersStay guards against a response that takes the wrong instance out of use: one
// from another instance at the address (421), and one whose header says something else.
func TestOthersStay(t *testing.T) {
	for _, tt := range []struct {
		name   string
		status int
		line   string
	}{
		{name: "another instance", status: 421, line: "X-Leaving: 1"},
		{name: "not leaving", status: 200, line: "X-Leaving: 0"},
		{name: "no such header", status: 200, line: "X-Other: 1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, targets := newTestServer(t, withHeader(tt.status, tt.line))
			b.send("POST", "/order/1", "x", nil)
			b.send("POST", "/order/2", "x", nil)
			is.Equal(len(targets[0].requests()), 2)
		})
	}
}

// TestPause guards against requests to an instance that refused one with a Retry-After,
// and against callers that are told to return before any instance takes requests.
func TestPause(t *testing.T) {
	for _, tt := range []struct {
		name     string
		status   int
		line     string
		requests int     // at the instance, of two
		seconds  float64 // the least Retry-After of the second response
	}{
		{name: "seconds", status: 503, line: "Retry-After: 20", requests: 1, seconds: 19},
		{name: "a fraction", status: 503, line: "Retry-After: 15.5", requests: 1, seconds: 14},
		{name: "not run", status: 503, line: "X-Not-Run: 1\r\nRetry-After: 20", requests: 1, seconds: 19},
		{name: "without bound", status: 503, line: "Retry-After: 1e999", requests: 1, seconds: 60},
		{name: "negative", status: 503, line: "Retry-After: -5", requests: 2},
		{name: "not a number", status: 503, line: "Retry-After: NaN", requests: 2},
		{name: "no header", status: 503, line: "X-Other: 1", requests: 2},
		{name: "another status", status: 500, line: "Retry-After: 20", requests: 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, targets := newTestServer(t, withHeader(tt.status, tt.line))
			b.send("POST", "/order/1", "x", nil)
			got := b.send("POST", "/order/2", "x", nil)
			is.Equal(len(targets[0].requests()), tt.requests)
			if tt.requests == 1 {
				is.Equal(got.status, http.StatusServiceUnavailable)
				seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(seconds >= tt.seconds)
			}
		})
	}
}
