package node

import (
	"context"
	"encoding/json"
	"errors"
	"runtime/debug"
	"sort"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/contract/follower"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/operator/office"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

const (
	eventsMethod = "events"
	burnMethod   = "burn"
	// callAllTimeout bounds a call to all nodes, and the read of the log for the
	// status. A node that does not reply in time is reported as missing.
	callAllTimeout = 2 * time.Second
	// inForceTimeout is the time within which a change is in force on every live
	// node. A listed node that has not confirmed it by then is reported as missing.
	inForceTimeout = 6 * time.Second
)

// operatorBackend implements the interfaces that the operators' API needs from a node.
type operatorBackend struct {
	node     *Node
	counters *burn.Counters
}

// eventsQuery holds the parameters of a call for a node's events about a subject.
type eventsQuery struct {
	Subject string `json:"subject"`
	Limit   int    `json:"limit"`
}

// registerHandlers registers the handlers of the calls by which another node collects
// this node's events and counters for its operators.
func (o *operatorBackend) registerHandlers() {
	o.node.mesh.Handle(eventsMethod, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var q eventsQuery
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, err
		}
		return event.Reports(o.node.ID(), o.node.events, q.Subject, q.Limit), nil
	})
	o.node.mesh.Handle(burnMethod, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var q burn.Query
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, err
		}
		return o.counters.Snapshot(o.node.ID(), q), nil
	})
}

// Publish publishes a change and, once a quorum has accepted it, waits up to
// inForceTimeout until every listed node has it in force.
func (o *operatorBackend) Publish(ctx context.Context, c ledger.Change) (office.Receipt, error) {
	r, err := o.node.follower.Publish(ctx, c)
	switch {
	case err == nil:
		ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
		defer cancel()
		r = o.node.follower.AwaitInForce(ctx, r)
		return office.NewReceipt(r.Version, r.Confirmed, r.Missing), nil
	case errors.Is(err, follower.ErrUnknown):
		return office.Receipt{}, merry.Errorf("%w: %w", office.ErrUnknown, err)
	case errors.Is(err, follower.ErrUnavailable):
		return office.Receipt{}, merry.Errorf("%w: %w", office.ErrUnavailable, err)
	}
	return office.Receipt{}, err
}

// Events returns the newest events of all nodes about a subject, and the nodes that did
// not reply.
func (o *operatorBackend) Events(ctx context.Context, subject string, limit int) ([]event.Report, []string, error) {
	lists, missing := callAll[[]event.Report](ctx, o.node, eventsMethod, eventsQuery{Subject: subject, Limit: limit})
	return event.MergeReports(limit, lists...), missing, nil
}

// Burn returns the merged counters of all nodes, and the nodes that did not reply.
func (o *operatorBackend) Burn(ctx context.Context, q burn.Query) (burn.Snapshot, []string, error) {
	snapshots, missing := callAll[burn.Snapshot](ctx, o.node, burnMethod, q)
	return burn.Merge(snapshots...), missing, nil
}

// callAll calls a method on every listed node, this one included. It returns the
// replies, in no particular order, and the IDs of the nodes whose call failed, sorted.
func callAll[T any](ctx context.Context, n *Node, method string, params any) (replies []T, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, callAllTimeout)
	defer cancel()
	var mu sync.Mutex
	var g errgroup.Group
	for _, id := range append(n.peerIDs(), n.ID()) {
		g.Go(func() error {
			var reply T
			err := n.mesh.Call(ctx, id, method, params, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, id)
				return nil
			}
			replies = append(replies, reply)
			return nil
		})
	}
	_ = g.Wait() // The functions return no error: a failed call only adds to missing.
	sort.Strings(missing)
	return replies, missing
}

// Status describes the fleet as this node sees it.
func (o *operatorBackend) Status(ctx context.Context) (office.FleetState, error) {
	n := o.node
	s := office.FleetState{
		Node:     n.ID(),
		Zone:     n.Zone(),
		Software: software(),
		Position: int64(n.follower.Position().Next),
		VMs:      n.config.VMs,
		Quorum:   n.quorum(),
		Nodes:    o.nodes(),
		Zones:    o.zones(),
	}
	if err := n.Ready(); err != nil {
		s.Ready = err.Error()
	}
	ctx, cancel := context.WithTimeout(ctx, callAllTimeout)
	defer cancel()
	if _, err := n.config.Log.Read(ctx, n.follower.Position().Next, 1); err != nil && !errors.Is(err, journal.ErrExpired) {
		s.Log = err.Error()
	}
	return s, nil
}

// software returns the version of the main module as the build recorded it.
func software() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

// nodes returns the state of each listed node as this node last saw it.
func (o *operatorBackend) nodes() []office.NodeState {
	var list []office.NodeState
	for _, listed := range o.node.watcher.nodes() {
		s := office.NodeState{ID: listed.ID(), Zone: listed.Zone(), Leaving: listed.Leaving()}
		position, age, ok := o.node.heartbeats.Peer(listed.ID())
		if listed.ID() == o.node.ID() {
			position, ok = o.node.follower.Position(), true
		}
		if ok {
			s.Serving = position.Serving
			s.Position = int64(position.Next)
			s.LastSeen = time.Now().Add(-age)
		}
		list = append(list, s)
	}
	return list
}

// zones returns the state of the availability zones that have a listed node or
// instance, sorted by name.
func (o *operatorBackend) zones() []office.ZoneState {
	names := make(map[string]bool)
	for _, n := range o.node.watcher.nodes() {
		names[n.Zone()] = true
	}
	for _, i := range o.node.watcher.instances() {
		names[i.Zone()] = true
	}
	var list []office.ZoneState
	for name := range names {
		out, version := o.node.follower.Ledger().Zone(name)
		list = append(list, office.ZoneState{Zone: name, Out: out, Version: version})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Zone < list[j].Zone })
	return list
}
