package peer_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/fleet/peer"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var secret = []byte("a secret of the fleet under test")

type fleet struct {
	meshes map[string]*peer.Mesh
	nodes  []roster.Node
}

// startFleet runs one mesh per name until the test ends. A mesh identifies itself
// by its own name even if the VM list gives its address to another node.
func startFleet(t *testing.T, secrets map[string][]byte) *fleet {
	t.Helper()
	is := is.New(t)
	f := &fleet{meshes: make(map[string]*peer.Mesh)}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	t.Cleanup(func() {
		cancel()
		is.NoErr(g.Wait())
	})
	for name, s := range secrets {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		f.nodes = append(f.nodes, roster.NewNode(name, l.Addr().String(), "north", false))
		m, err := peer.New(peer.Config{Self: name, Secret: s, Nodes: func() []roster.Node { return f.nodes }})
		is.NoErr(err)
		m.Handle("echo", func(_ context.Context, from string, params json.RawMessage) (any, error) {
			return from + ":" + string(params), nil
		})
		m.Handle("fail", func(context.Context, string, json.RawMessage) (any, error) {
			return nil, errors.New("the reason")
		})
		m.Handle("wait", func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		f.meshes[name] = m
		g.Go(func() error { return m.Serve(ctx, l) })
	}
	return f
}

// TestCallsDoNotWaitForEachOther guards against replies that reach the wrong
// caller, and against a slow call that delays the others on its connection.
func TestCallsDoNotWaitForEachOther(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, map[string][]byte{"a": secret, "b": secret})
	slowCtx, cancelSlow := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return f.meshes["a"].Call(slowCtx, "b", "wait", nil, nil) })
	for i := range 200 {
		g.Go(func() error {
			var reply string
			if err := f.meshes["a"].Call(context.Background(), "b", "echo", i, &reply); err != nil {
				return err
			}
			want, _ := json.Marshal(i)
			if reply != "a:"+string(want) {
				t.Errorf("call %d got %q", i, reply)
			}
			return nil
		})
	}
	var reply string
	is.NoErr(f.meshes["a"].Call(context.Background(), "b", "echo", 1, &reply))
	cancelSlow()
	is.True(errors.Is(g.Wait(), peer.ErrUnreachable)) // the canceled call fails
}

// TestErrors guards against errors that a caller cannot tell apart: an error of
// the handler proves that the message arrived, a broken connection does not.
func TestErrors(t *testing.T) {
	f := startFleet(t, map[string][]byte{"a": secret, "b": secret, "stranger": []byte("another secret of 16+ bytes")})
	f.nodes = append(f.nodes,
		roster.NewNode("gone", "127.0.0.1:1", "north", false),
		roster.NewNode("renamed", f.nodes[0].PeerAddress(), "north", false))
	tests := []struct {
		name   string
		node   string
		method string
		want   error
	}{
		{"handler's error is taken for a lost message", "b", "fail", peer.ErrRemote},
		{"unknown method is taken for a lost message", "b", "nosuch", peer.ErrRemote},
		{"dead node is taken for a handler's error", "gone", "echo", peer.ErrUnreachable},
		{"node that is not on the VM list is called", "never-listed", "echo", peer.ErrUnreachable},
		{"node without the fleet secret is trusted", "stranger", "echo", peer.ErrUnreachable},
		{"address that now belongs to another node gets the message", "renamed", "echo", peer.ErrUnreachable},
		{"own handler's error is lost", "a", "fail", peer.ErrRemote},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			err := f.meshes["a"].Call(context.Background(), tt.node, tt.method, 1, nil)
			is.True(errors.Is(err, tt.want))
		})
	}
}

// TestReconnects guards against a node that stays unreachable after the
// connection to it was closed.
func TestReconnects(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, map[string][]byte{"a": secret, "b": secret})
	for range 3 {
		var reply string
		is.NoErr(f.meshes["a"].Call(context.Background(), "b", "echo", 1, &reply))
		f.meshes["a"].Reset("b")
	}
}

// TestStrangerIsRefused guards against calls from a process without the fleet
// secret.
func TestStrangerIsRefused(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, map[string][]byte{"a": secret, "stranger": []byte("another secret of 16+ bytes")})
	err := f.meshes["stranger"].Call(context.Background(), "a", "echo", 1, nil)
	is.True(errors.Is(err, peer.ErrUnreachable))
	is.Equal(f.meshes["a"].Stats().Served, uint64(0))
	_, err = peer.New(peer.Config{Secret: []byte("short")})
	is.True(err != nil) // a secret that is short enough to guess is rejected
}

// BenchmarkCall measures one call between two nodes on the loopback interface, at
// both ends.
func BenchmarkCall(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	var nodes []roster.Node
	var meshes []*peer.Mesh
	for _, name := range []string{"a", "b"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		nodes = append(nodes, roster.NewNode(name, l.Addr().String(), "north", false))
		m, err := peer.New(peer.Config{Self: name, Secret: secret, Nodes: func() []roster.Node { return nodes }})
		if err != nil {
			b.Fatal(err)
		}
		m.Handle("echo", func(_ context.Context, _ string, p json.RawMessage) (any, error) { return p, nil })
		meshes = append(meshes, m)
		g.Go(func() error { return m.Serve(ctx, l) })
	}
	params := struct{ Account string }{"lakeside-hardware"}
	start := time.Now()
	for b.Loop() {
		if err := meshes[0].Call(ctx, "b", "echo", params, nil); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(time.Since(start).Microseconds())/float64(b.N), "us/call")
	b.ReportMetric(float64(meshes[0].Stats().BytesOut)/float64(b.N), "bytes-out/call")
	b.ReportMetric(float64(meshes[0].Stats().BytesIn)/float64(b.N), "bytes-in/call")
	cancel()
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
}
