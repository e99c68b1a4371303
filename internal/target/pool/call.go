package pool

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Time limits of calls to other nodes.
const (
	// callTimeout limits a call; the time that a request may wait at the owner is
	// added to it.
	callTimeout = 300 * time.Millisecond
	// avoidFor is how long an unreachable node is called only through a relay node.
	avoidFor = time.Second
)

// relayFailedPrefix marks entries of Pools.unreachable for nodes that a relay
// node did not reach either.
const relayFailedPrefix = "via a third node: "

var errNoOwner = merry.Sentinel("no owner of the pool is known")

// call calls a method of a node, through a relay node when the direct call
// fails: a broken path usually separates two nodes, but seldom one node from all
// others.
func (p *Pools) call(ctx context.Context, node, method string, params, result any) error {
	err := merry.New("node is not called because an earlier call failed")
	if !p.isAvoided(node) {
		err = p.callDirect(ctx, node, method, params, result)
		if err == nil || ctx.Err() != nil {
			return err
		}
		p.markAvoided(node)
	}
	relayNode, ok := p.pickRelay(node)
	if !ok || p.isAvoided(relayFailedPrefix+node) {
		return err
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	err = p.callDirect(ctx, relayNode, methodRelay, relayParams{Node: node, Method: method, Params: raw}, result)
	if err != nil && ctx.Err() == nil {
		p.markAvoided(relayFailedPrefix + node)
	}
	return err
}

func (p *Pools) callDirect(ctx context.Context, node, method string, params, result any) error {
	wait := callTimeout
	if q, ok := params.(acquireParams); ok {
		wait += time.Duration(q.WaitMillis) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return p.config.Caller.Call(ctx, node, method, params, result)
}

func (p *Pools) isAvoided(node string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.unreachable[node]
	if ok && time.Since(at) >= avoidFor {
		delete(p.unreachable, node)
		ok = false
	}
	return ok
}

func (p *Pools) markAvoided(node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachable[node] = time.Now()
}

// pickRelay returns a random node, other than the destination, to which calls
// have not failed recently.
func (p *Pools) pickRelay(node string) (string, bool) {
	var others []string
	for _, n := range p.config.Nodes() {
		if n.ID() != node && !p.isAvoided(n.ID()) {
			others = append(others, n.ID())
		}
	}
	if len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}

// relay forwards a call to the node that it names.
func (p *Pools) relay(ctx context.Context, q relayParams) (any, error) {
	if !strings.HasPrefix(q.Method, "permit.") || q.Method == methodRelay {
		return nil, merry.Errorf("Pools.relay: method %q must not be relayed", q.Method)
	}
	var result json.RawMessage
	if err := p.config.Caller.Call(ctx, q.Node, q.Method, q.Params, &result); err != nil {
		return nil, merry.Prepend(err, "Pools.relay")
	}
	return result, nil
}

// state asks the owner of a pool, which may be this node, for the pool's
// capacity and recent outcomes.
func (p *Pools) state(ctx context.Context, key poolKey, window time.Duration) (stateReply, error) {
	var reply stateReply
	ownerNode, ok := p.config.Leases.Holder(key.lease())
	if !ok {
		return reply, merry.Wrap(errNoOwner)
	}
	if ownerNode == p.config.Self {
		return p.owner(key).state(window), nil
	}
	q := stateParams{Service: key.service, Zone: key.zone, WindowMillis: window.Milliseconds()}
	err := p.call(ctx, ownerNode, methodState, q, &reply)
	return reply, err
}
