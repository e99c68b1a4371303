package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
)

// listen opens a TCP listener that is closed when the test ends.
func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// startStateServer starts a VM that answers each call for a state with s, and all other
// calls as a VM of an earlier version does. It returns its address.
func startStateServer(t *testing.T, s feed.State) netip.AddrPort {
	t.Helper()
	l, address := listen(t)
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil //nolint:nilerr // The test has ended.
			}
			handler := jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
				if r.Method == "feed.state" {
					return s, nil
				}
				return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
			})
			jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(conn), handler)
		}
	})
	t.Cleanup(func() { l.Close(); group.Wait() }) //nolint:errcheck // The function returns nil.
	return address
}

// TestFrozenParent guards against a configuration that comes into force too late because
// the VM that was to pass it on is frozen: it accepts the connection, and all the time for
// other VMs was spent on it.
func TestFrozenParent(t *testing.T) {
	is := is.New(t)
	v := openVM(t)
	var members []gossip.Member
	_, frozen := listen(t)
	for i := range 60 {
		members = append(members, gossip.Member{Name: fmt.Sprint("other-", i), Zone: "north", Address: frozen})
	}
	v.AddMembers(members)
	order := v.ZoneOrder(feed.Configuration)
	rank := slices.IndexFunc(order, func(m gossip.Member) bool { return m.Name == "vm-1" })
	ancestors := feed.Ancestors(rank)
	is.True(len(ancestors) >= 2) // the frozen VM is not the last one to ask
	running := order[ancestors[1]]
	running.Address = startStateServer(t, feed.State{Next: 7})
	v.AddMembers([]gossip.Member{running})

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s, err := v.State(ctx, feed.Query{Topic: feed.Configuration, MinNext: 7, Spread: true})
	is.NoErr(err)
	is.Equal(s.Next, int64(7))
}
