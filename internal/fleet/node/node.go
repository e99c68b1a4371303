// Package node assembles an entry node from its parts and takes it through its
// life: start, readiness, serving, graceful shutdown.
//
// # Usage
//
//	n, err := node.New(node.Config{ID: "vm-1", Zone: "north", Log: log, List: list, ...})
//	if err != nil {
//		return err
//	}
//	err = n.Run(ctx) // until ctx ends, then until the requests in flight finish
package node

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/contract/follower"
	"chestnutbay.dev/chestnutbay/internal/fleet/heartbeat"
	"chestnutbay.dev/chestnutbay/internal/fleet/lease"
	"chestnutbay.dev/chestnutbay/internal/fleet/peer"
	"chestnutbay.dev/chestnutbay/internal/limit/allowance"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
	"chestnutbay.dev/chestnutbay/internal/report/event"
	"chestnutbay.dev/chestnutbay/internal/target/pool"
	"chestnutbay.dev/chestnutbay/internal/traffic/gateway"
)

// ErrNotReady says why a node takes no new work.
var ErrNotReady = merry.Sentinel("node is not ready")

const (
	// probePath is asked of an ejected instance. Any answer below 500 counts.
	probePath = "/healthz"
	// probeTimeout bounds one probe; an ordinary one takes about 25 ms.
	probeTimeout = 2 * time.Second
	// wantInterval is how often the set of lease names is brought up to date.
	wantInterval = time.Second
	// handoverTimeout bounds the return of grants at a planned stop. It is longer
	// than a lease, because what was lent may outlive its last renewal.
	handoverTimeout = lease.TTL + 3*time.Second

	snapshotMethod = "snapshot"
	releaseMethod  = "lease.release"
)

// Config is what a node is made of.
type Config struct {
	// ID is the node's name on the VM list.
	ID string
	// Zone is the node's availability zone.
	Zone string
	// VMs is the declared fleet size: the most entry VMs that may run at once.
	VMs int
	// Secret is known to all nodes of the fleet.
	Secret []byte
	// Log is the platform's log, and Retention how long it keeps records.
	Log       journal.Log
	Retention time.Duration
	// List is the platform's VM list.
	List roster.List
	// Callers, Peers and Operators are the listeners of the three ports.
	Callers, Peers, Operators net.Listener
	// ShutdownLag is how long the node serves after its readiness is withdrawn.
	ShutdownLag time.Duration
	// ShutdownLimit bounds the time that requests in flight get to finish.
	ShutdownLimit time.Duration
	// Operator makes the handler of the operators' port.
	Operator func(n *Node) http.Handler
	// Burn counts finished requests; nil counts none.
	Burn func(burn.Sample)
	// Logger may be nil.
	Logger *zap.Logger
}

// Node is one entry node.
type Node struct {
	config      Config
	incarnation string
	events      *event.Ring
	logger      *zap.Logger

	watch     *watch
	ranking   *Ranking
	mesh      *peer.Mesh
	follower  *follower.Follower
	leases    *lease.Table
	beat      *heartbeat.Heartbeat
	allowance *allowance.Limiter
	pools     *pool.Pools
	gateway   *gateway.Gateway
	server    *gateway.Server
	probes    http.Client

	leaving atomic.Bool
}

// New assembles a node. Nothing runs before Run.
func New(c Config) (*Node, error) {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	n := &Node{
		config:  c,
		events:  new(event.Ring),
		logger:  c.Logger.With(zap.String("node", c.ID)),
		ranking: NewRanking(c.ID),
		probes:  http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	n.watch = &watch{list: c.List, logger: n.logger, onRead: func(l roster.Listing) { n.ranking.Update(l.Nodes()) }}
	if err := n.assembleFleet(); err != nil {
		return nil, merry.Prepend(err, "node.New")
	}
	n.assembleTraffic()
	n.handle()
	return n, nil
}

func (n *Node) assembleFleet() error {
	var err error
	n.mesh, err = peer.New(peer.Config{
		Self:   n.config.ID,
		Secret: n.config.Secret,
		Nodes:  n.watch.nodes,
		Logger: n.logger.Named("peer"),
	})
	if err != nil {
		return err
	}
	n.follower = follower.New(follower.Config{
		Log:       n.config.Log,
		Self:      n.config.ID,
		Quorum:    n.quorum,
		Peers:     snapshots{mesh: n.mesh},
		Retention: n.config.Retention,
		Events:    n.events,
		Logger:    n.logger.Named("follower"),
	})
	n.incarnation = n.follower.Position().Incarnation
	n.leases = lease.New(lease.Config{
		Self:        n.config.ID,
		Incarnation: n.incarnation,
		Quorum:      n.quorum,
		Rank:        n.ranking.Rank,
		Events:      n.events,
		Logger:      n.logger.Named("lease"),
	})
	n.beat = heartbeat.New(heartbeat.Config{
		Mesh:     n.mesh,
		Follower: n.follower,
		Leases:   n.leases,
		Logger:   n.logger.Named("heartbeat"),
	})
	return nil
}

func (n *Node) assembleTraffic() {
	n.allowance = allowance.New(allowance.Config{
		Self:        n.config.ID,
		Incarnation: n.incarnation,
		Leases:      n.leases,
		Caller:      n.mesh,
		Contracts:   n.follower.Ledger(),
		Nodes:       n.peerIDs,
		Events:      n.events,
		Logger:      n.logger.Named("allowance"),
	})
	n.allowance.Register(n.mesh)
	n.pools = pool.New(pool.Config{
		Self:          n.config.ID,
		Incarnation:   n.incarnation,
		Zone:          n.config.Zone,
		VMs:           func() int { return n.config.VMs },
		Leases:        n.leases,
		Caller:        n.mesh,
		Configuration: n.follower.Ledger(),
		Instances:     n.watch.instances,
		Nodes:         n.mesh.Nodes,
		Probe:         n.probe,
		Events:        n.events,
		Logger:        n.logger.Named("pool"),
	})
	n.pools.Register(n.mesh)
	n.gateway = gateway.New(gateway.Config{
		Configuration: n.follower.Ledger(),
		Fresh:         n.follower.Fresh,
		Admission:     n.allowance,
		Targets:       n.pools,
		Burn:          n.config.Burn,
		Events:        n.events,
		Logger:        n.logger.Named("gateway"),
		Node:          n.config.ID,
		VMs:           n.config.VMs,
	})
	n.server = gateway.NewServer(n.gateway)
}

// handle registers the messages that belong to no single part.
func (n *Node) handle() {
	n.mesh.Handle(snapshotMethod, func(context.Context, string, json.RawMessage) (any, error) {
		return n.follower.Snapshot(), nil
	})
	n.mesh.Handle(releaseMethod, func(_ context.Context, from string, params json.RawMessage) (any, error) {
		var r release
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, err
		}
		n.leases.EndVotes(from, r.Incarnation, r.Names)
		return struct{}{}, nil
	})
}

// release tells the voters that a process has given up leases.
type release struct {
	Incarnation string   `json:"inc"`
	Names       []string `json:"names"`
}

// snapshots gives the follower the part of the mesh that it needs.
type snapshots struct {
	mesh *peer.Mesh
}

// IDs lists the other nodes.
func (s snapshots) IDs() []string { return ids(s.mesh.Nodes()) }

// Snapshot asks a node for its whole configuration.
func (s snapshots) Snapshot(ctx context.Context, node string) (follower.Snapshot, error) {
	var snapshot follower.Snapshot
	err := s.mesh.Call(ctx, node, snapshotMethod, nil, &snapshot)
	return snapshot, err
}

func ids(nodes []roster.Node) []string {
	list := make([]string, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, n.ID())
	}
	return list
}

func (n *Node) peerIDs() []string { return ids(n.mesh.Nodes()) }

func (n *Node) quorum() int { return n.config.VMs/2 + 1 }

// ID returns the node's name.
func (n *Node) ID() string { return n.config.ID }

// Zone returns the node's availability zone.
func (n *Node) Zone() string { return n.config.Zone }

// Ready returns nil while the balancer may send callers to this node.
func (n *Node) Ready() error {
	if n.leaving.Load() {
		return merry.Prepend(ErrNotReady, "the node is leaving")
	}
	if err := n.follower.Fresh(); err != nil {
		return merry.Errorf("%w: %w", ErrNotReady, err)
	}
	return nil
}

// probe asks an instance for its health. What it answers is not trusted alone.
func (n *Node) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+probePath, http.NoBody)
	if err != nil {
		return merry.Prepend(err, "Node.probe")
	}
	resp, err := n.probes.Do(req)
	if err != nil {
		return merry.Prepend(err, "Node.probe")
	}
	resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError {
		return merry.Errorf("Node.probe: %s answers %s", address, resp.Status)
	}
	return nil
}

// Run runs the node until ctx ends, and then shuts it down gracefully.
func (n *Node) Run(ctx context.Context) error {
	// The parts outlive ctx: they are needed until the last request is done.
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	g, parts := errgroup.WithContext(parts)
	operators := &http.Server{Handler: n.config.Operator(n), ReadHeaderTimeout: gateway.HeaderTimeout}

	g.Go(func() error { return n.mesh.Serve(parts, n.config.Peers) })
	g.Go(func() error { return n.watch.run(parts) })
	g.Go(func() error { return n.follower.Run(parts) })
	g.Go(func() error { return n.leases.Run(parts) })
	g.Go(func() error { return n.beat.Run(parts) })
	g.Go(func() error { return n.allowance.Run(parts) })
	g.Go(func() error { return n.pools.Run(parts) })
	g.Go(func() error { return n.keepWanting(parts) })
	g.Go(func() error { return ignoreClosed(n.server.Serve(n.config.Callers)) })
	g.Go(func() error { return ignoreClosed(operators.Serve(n.config.Operators)) })
	g.Go(func() error {
		defer stopParts()
		select {
		case <-ctx.Done():
		case <-parts.Done():
		}
		err := n.shutdown(parts)
		return errors.Join(err, operators.Close())
	})
	n.logger.Info("node started",
		zap.String("zone", n.config.Zone),
		zap.Stringer("callers", n.config.Callers.Addr()),
		zap.Stringer("peers", n.config.Peers.Addr()),
		zap.Stringer("operators", n.config.Operators.Addr()))
	if err := g.Wait(); err != nil {
		return merry.Prepend(err, "Node.Run")
	}
	n.logger.Info("node stopped")
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// keepWanting tells the lease table which names exist.
func (n *Node) keepWanting(ctx context.Context) error {
	ticker := time.NewTicker(wantInterval)
	defer ticker.Stop()
	for {
		n.leases.SetNames(append(n.allowance.Partitions(), n.pools.LeaseNames()...))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// shutdown withdraws readiness, serves while the balancer lags, hands over what
// the node holds, and waits for the requests in flight.
func (n *Node) shutdown(parts context.Context) error {
	n.leaving.Store(true)
	n.logger.Info("leaving: readiness withdrawn", zap.Duration("lag", n.config.ShutdownLag))
	lag, endLag := context.WithTimeout(parts, n.config.ShutdownLag)
	defer endLag()
	// From now on answers close their connections, so that callers move to other
	// nodes. Requests that still arrive during the lag are served.
	if err := n.gateway.Drain(lag); err != nil {
		n.logger.Debug("requests in progress at the end of the lag", zap.Error(err))
	}
	<-lag.Done()
	n.handover(parts)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(parts), n.config.ShutdownLimit)
	defer cancel()
	n.logger.Info("leaving: waiting for requests in flight", zap.Int("requests", n.gateway.InFlight()))
	if err := n.server.Shutdown(ctx); err != nil {
		n.server.Close()
		return merry.Errorf("requests in flight after %s: %w", n.config.ShutdownLimit, err)
	}
	n.gateway.Close()
	return nil
}

// handover gives permits, grants and leases back, so that their next holder
// doesn't have to wait until they lapse. A lease of accounts is released only
// when all that was lent under it is back: the next home lends the same tokens.
func (n *Node) handover(parts context.Context) {
	ctx, cancel := context.WithTimeout(parts, handoverTimeout)
	defer cancel()
	if err := n.pools.Drain(ctx); err != nil {
		n.logger.Warn("pools not handed over; they lapse", zap.Error(err))
	}
	names := n.pools.LeaseNames()
	if err := n.allowance.Drain(ctx); err != nil {
		n.logger.Warn("grants not back in time; the leases of accounts lapse", zap.Error(err))
		n.leases.Release(names...)
	} else {
		names = n.leases.ReleaseAll()
	}
	n.announce(parts, release{Incarnation: n.incarnation, Names: names})
}

// announce tells the voters that leases are free.
func (n *Node) announce(ctx context.Context, r release) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var g errgroup.Group
	for _, id := range n.peerIDs() {
		g.Go(func() error { return n.mesh.Call(ctx, id, releaseMethod, r, nil) })
	}
	if err := g.Wait(); err != nil {
		n.logger.Debug("a node missed the release of leases; they lapse", zap.Error(err))
	}
}
