package ingress_test

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	return c
}

// runInBackground runs f in a goroutine. The test waits for it before it ends.
func runInBackground(t *testing.T, f func()) {
	t.Helper()
	var group errgroup.Group
	group.Go(func() error {
		f()
		return nil
	})
	t.Cleanup(func() { group.Wait() }) //nolint:errcheck // f returns no error.
}
