package allowance

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
)

// errNoOwner means that the owner of the partition was not found or gave no
// usable reply, neither directly nor through third nodes.
var errNoOwner = merry.Sentinel("the owner of the partition cannot be reached")

// directRetryDelay is how long a node is not called directly after a call to
// it failed. Partitions that it owns are reached through third nodes
// meanwhile.
const directRetryDelay = time.Second

// relayTimeout is how long a third node waits for the owner's reply.
const relayTimeout = callTimeout / 2

// maxRelays is how many third nodes are tried for one request.
const maxRelays = 2

// sendTake sends a request to the owner of the partition, directly or through a
// third node.
func (a *Limiter) sendTake(leaseName string, r takeRequest) (takeReply, error) {
	ctx, cancel := context.WithTimeout(a.ctx, takeTimeout)
	defer cancel()
	owner, known := a.config.Leases.Holder(leaseName)
	if known && owner != a.config.Self && !a.isUnresponsive(owner) {
		reply, err := a.takeDirect(ctx, owner, r)
		if err == nil {
			return reply, nil
		}
		if reply.NotOwner {
			owner = reply.Owner
		}
	}
	if owner == a.config.Self {
		owner = ""
	}
	return a.takeRelayed(ctx, owner, r)
}

// takeDirect calls the node that is believed to be the owner. If that node
// names another owner, takeDirect calls the named node, but follows no further
// name.
func (a *Limiter) takeDirect(ctx context.Context, owner string, r takeRequest) (takeReply, error) {
	var reply takeReply
	for range 2 {
		reply = takeReply{}
		if err := a.call(ctx, owner, methodTake, r, &reply); err != nil {
			return takeReply{}, err
		}
		if !reply.NotOwner {
			break
		}
		if reply.Owner == "" || reply.Owner == owner || reply.Owner == a.config.Self {
			return reply, errNoOwner
		}
		owner = reply.Owner
	}
	if reply.NotOwner || reply.Epoch == 0 {
		return reply, errNoOwner
	}
	return reply, nil
}

// takeRelayed sends the request through up to maxRelays third nodes. A third
// node that knows no owner itself forwards it to the given owner, unless that
// is "".
func (a *Limiter) takeRelayed(ctx context.Context, owner string, r takeRequest) (takeReply, error) {
	attempts := 0
	for _, node := range shuffled(a.config.Nodes()) {
		if node == owner || node == a.config.Self || a.isUnresponsive(node) {
			continue
		}
		var reply takeReply
		err := a.callWithTimeout(ctx, callTimeout, node, methodRelay, relayRequest{Owner: owner, Take: r}, &reply)
		if err == nil && !reply.NotOwner && reply.Epoch != 0 {
			return reply, nil
		}
		if attempts++; attempts == maxRelays || ctx.Err() != nil {
			break
		}
	}
	return takeReply{}, errNoOwner
}

func shuffled(nodes []string) []string {
	nodes = slices.Clone(nodes)
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes
}

func (a *Limiter) callWithTimeout(ctx context.Context, timeout time.Duration, node, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return a.config.Caller.Call(ctx, node, method, params, result)
}

// call calls a node and records whether it replied.
func (a *Limiter) call(ctx context.Context, node, method string, params, result any) error {
	err := a.callWithTimeout(ctx, callTimeout, node, method, params, result)
	a.unresponsiveMu.Lock()
	defer a.unresponsiveMu.Unlock()
	if err == nil {
		delete(a.unresponsive, node)
	} else {
		a.unresponsive[node] = clock.Now()
	}
	return err
}

func (a *Limiter) isUnresponsive(node string) bool {
	a.unresponsiveMu.Lock()
	defer a.unresponsiveMu.Unlock()
	since, ok := a.unresponsive[node]
	return ok && clock.Elapsed(since) < directRetryDelay
}

// forgetUnresponsive drops the nodes that may be called directly again.
func (a *Limiter) forgetUnresponsive() {
	a.unresponsiveMu.Lock()
	defer a.unresponsiveMu.Unlock()
	for node, since := range a.unresponsive {
		if clock.Elapsed(since) >= directRetryDelay {
			delete(a.unresponsive, node)
		}
	}
}

// Register registers the handlers for calls from other nodes.
func (a *Limiter) Register(h Handlers) {
	h.Handle(methodTake, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var r takeRequest
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, merry.Errorf("%s: %w", methodTake, err)
		}
		return a.handleTake(r), nil
	})
	h.Handle(methodReturn, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var r returnRequest
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, merry.Errorf("%s: %w", methodReturn, err)
		}
		for _, rep := range r.Reports {
			a.handleReport(rep)
		}
		return struct{}{}, nil
	})
	h.Handle(methodRelay, func(ctx context.Context, _ string, params json.RawMessage) (any, error) {
		var r relayRequest
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, merry.Errorf("%s: %w", methodRelay, err)
		}
		return a.relay(ctx, r)
	})
}

// relay handles the request if this node is the owner, and otherwise calls the
// owner. It forwards over one hop only.
func (a *Limiter) relay(ctx context.Context, r relayRequest) (takeReply, error) {
	reply := a.handleTake(r.Take)
	if !reply.NotOwner {
		return reply, nil
	}
	owner := reply.Owner
	if owner == "" {
		owner = r.Owner
	}
	if owner == "" || owner == a.config.Self || owner == r.Take.Node || a.isUnresponsive(owner) {
		return reply, nil
	}
	reply = takeReply{}
	// The timeout is shorter than the caller's, so that the caller does not
	// regard this node as unresponsive.
	err := a.callWithTimeout(ctx, relayTimeout, owner, methodTake, r.Take, &reply)
	return reply, err
}
