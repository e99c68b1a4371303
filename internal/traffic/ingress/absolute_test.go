package ingress_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// sendRaw sends the bytes of one request on a new connection, and returns the status of
// the response, or 0 if there is none.
func (b *testServer) sendRaw(raw string) int {
	b.t.Helper()
	c := dial(b.t, b.address)
	defer c.Close()
	io.WriteString(c, raw) //nolint:errcheck // The server may have closed the connection.
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body) //nolint:errcheck // Only the status counts.
	return resp.StatusCode
}

// TestAbsoluteForm guards against a request target in absolute form that is refused, or
// that is routed by the Host header, which HTTP/1.1 tells servers to ignore beside it.
func TestAbsoluteForm(t *testing.T) {
	for _, tt := range []struct {
		name, target, host string
		want               int
	}{
		{name: "the same host", target: "http://shop/look/1?x=1", host: "shop", want: 200},
		{name: "a port", target: "http://shop:80/look/1?x=1", host: "shop", want: 200},
		{name: "another host in the header", target: "http://shop/look/1?x=1", host: "other", want: 200},
		{name: "an unknown host in the target", target: "http://other/look/1?x=1", host: "shop", want: 404},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, targets := newTestServer(t, always(doneResponse))
			is.Equal(b.sendRaw("GET "+tt.target+" HTTP/1.1\r\nHost: "+tt.host+"\r\nAuthorization: Bearer "+key+"\r\nX-Request: r-1\r\n\r\n"), tt.want)
			if tt.want == 200 {
				is.Equal(targets[0].requests()[0].uri, "/look/1?x=1")
			}
		})
	}
}
