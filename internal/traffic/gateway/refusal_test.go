package gateway_test

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/traffic/gateway"
)

// TestRefusalCopy guards against a late copy of a target's earlier refusal that counts as
// the refusal of the next request on the connection: an order that had run was reported as
// not run, or ran at a second instance too.
func TestRefusalCopy(t *testing.T) {
	is := is.New(t)
	const refusal = "HTTP/1.1 503 Busy\r\nChestnutbay-Not-Run: true\r\nContent-Length: 4\r\n\r\nbusy"
	var ran atomic.Int64
	target := rawTarget(t, func(c net.Conn, br *bufio.Reader) {
		for n := 0; ; n++ {
			r, err := readRequest(br)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body) //nolint:errcheck // The next read fails too.
			if n == 0 {
				io.WriteString(c, refusal) //nolint:errcheck // See above.
				continue
			}
			ran.Add(1)
			io.WriteString(c, refusal) //nolint:errcheck // See above.
		}
	})
	targets := newFakePool(target)
	f := startGateway(t, targets, func(c *gateway.Config) {
		conf := c.Configuration.(*configuration)
		conf.service = conf.service.WithTrustedRefusals()
	})
	order := requestHead("POST", "/order", "Content-Length: 3") + "abc"
	first := call(t, f.address, order)
	is.Equal(first.status, 503)
	is.Equal(first.outcome(), "not-run")
	await(t, targets.reported) // the connection is idle now
	second := call(t, f.address, order)
	is.Equal(ran.Load(), int64(1))
	is.Equal(second.outcome(), "unknown")
}
