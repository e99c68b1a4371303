// Package node assembles an entry node from its components and runs it: start,
// readiness, serving and graceful shutdown.
//
// # Usage
//
//	n, err := node.New(node.Config{ID: "vm-1", Zone: "north", Log: log, VMList: list, ...})
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

// ErrNotReady reports that a node accepts no new requests. The error that wraps it
// gives the reason.
var ErrNotReady = merry.Sentinel("node is not ready")

const (
	// probePath is the path of a probe of an ejected instance. Any status below 500
	// counts as success.
	probePath = "/healthz"
	// probeTimeout bounds one probe. A probe normally takes about 25 ms.
	probeTimeout = 2 * time.Second
	// leaseNamesInterval is how often the lease table gets the current set of names.
	leaseNamesInterval = time.Second
	// handoverTimeout bounds the handover of pools and the wait for outstanding grants
	// at a planned stop. It exceeds lease.TTL because a grant may outlive the lease under
	// which it was issued, by up to 3 s.
	handoverTimeout = lease.TTL + 3*time.Second

	snapshotMethod = "snapshot"
	releaseMethod  = "lease.release"
)

// Config holds the settings and dependencies of a node. Burn and Logger may be left
// zero.
type Config struct {
	// ID is the node's name on the VM list.
	ID string
	// Zone is the node's availability zone.
	Zone string
	// VMs is the declared fleet size: the most entry VMs that may run at once.
	VMs int
	// Secret is the shared secret of the fleet's nodes.
	Secret []byte
	// Log is the platform's log of configuration changes. Retention is how long it
	// keeps records.
	Log       journal.Log
	Retention time.Duration
	// VMList is the platform's list of nodes and instances.
	VMList roster.List
	// CallersListener, PeersListener and OperatorsListener are the listeners for
	// callers, for other nodes and for operators.
	CallersListener, PeersListener, OperatorsListener net.Listener
	// ShutdownLag is how long the node still serves new requests after it has stopped
	// reporting that it is ready.
	ShutdownLag time.Duration
	// ShutdownLimit bounds the time that requests in flight get to finish.
	ShutdownLimit time.Duration
	// NewOperatorHandler returns the HTTP handler of the operators' port.
	NewOperatorHandler func(n *Node) http.Handler
	// Burn is called for each finished request, to count it. It may be nil.
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

	watcher     *listWatcher
	ranking     *Ranking
	mesh        *peer.Mesh
	follower    *follower.Follower
	leases      *lease.Table
	heartbeats  *heartbeat.Heartbeat
	allowance   *allowance.Limiter
	pools       *pool.Pools
	gateway     *gateway.Gateway
	server      *gateway.Server
	probeClient http.Client

	leaving atomic.Bool
}

// New assembles a node. It starts no goroutine; Run does.
func New(c Config) (*Node, error) {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	n := &Node{
		config:      c,
		events:      new(event.Ring),
		logger:      c.Logger.With(zap.String("node", c.ID)),
		ranking:     NewRanking(c.ID),
		probeClient: http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	n.watcher = &listWatcher{list: c.VMList, logger: n.logger, onRead: func(l roster.Listing) { n.ranking.Update(l.Nodes()) }}
	if err := n.assembleFleet(); err != nil {
		return nil, merry.Prepend(err, "node.New")
	}
	n.assembleTraffic()
	n.registerHandlers()
	return n, nil
}

// assembleFleet sets up the components that connect the node to the fleet: the calls
// between nodes, the configuration, the leases and the heartbeat.
func (n *Node) assembleFleet() error {
	var err error
	n.mesh, err = peer.New(peer.Config{
		Self:   n.config.ID,
		Secret: n.config.Secret,
		Nodes:  n.watcher.nodes,
		Logger: n.logger.Named("peer"),
	})
	if err != nil {
		return err
	}
	n.follower = follower.New(follower.Config{
		Log:       n.config.Log,
		Self:      n.config.ID,
		Quorum:    n.quorum,
		Peers:     snapshotClient{mesh: n.mesh},
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
	n.heartbeats = heartbeat.New(heartbeat.Config{
		Mesh:     n.mesh,
		Follower: n.follower,
		Leases:   n.leases,
		Logger:   n.logger.Named("heartbeat"),
	})
	return nil
}

// assembleTraffic sets up the components that serve requests: the rates of the client
// accounts, the pools of instances and the gateway.
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
		Instances:     n.watcher.instances,
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

// registerHandlers registers the handlers of the calls for configuration snapshots and
// released leases. The other components register their own.
func (n *Node) registerHandlers() {
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

// release is the message by which a process tells the voters that it has released
// leases.
type release struct {
	Incarnation string   `json:"inc"`
	Names       []string `json:"names"`
}

// snapshotClient requests configuration snapshots from other nodes. It implements
// follower.Peers.
type snapshotClient struct {
	mesh *peer.Mesh
}

// IDs returns the IDs of the other listed nodes.
func (s snapshotClient) IDs() []string { return nodeIDs(s.mesh.Nodes()) }

// Snapshot returns the whole configuration of another node.
func (s snapshotClient) Snapshot(ctx context.Context, node string) (follower.Snapshot, error) {
	var snapshot follower.Snapshot
	err := s.mesh.Call(ctx, node, snapshotMethod, nil, &snapshot)
	return snapshot, err
}

func nodeIDs(nodes []roster.Node) []string {
	list := make([]string, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, n.ID())
	}
	return list
}

func (n *Node) peerIDs() []string { return nodeIDs(n.mesh.Nodes()) }

// quorum returns the size of a majority of the declared fleet.
func (n *Node) quorum() int { return n.config.VMs/2 + 1 }

// ID returns the node's name.
func (n *Node) ID() string { return n.config.ID }

// Zone returns the node's availability zone.
func (n *Node) Zone() string { return n.config.Zone }

// Ready returns nil while the load balancer may send requests to this node. Otherwise
// the error matches ErrNotReady and gives the reason.
func (n *Node) Ready() error {
	if n.leaving.Load() {
		return merry.Prepend(ErrNotReady, "the node is leaving")
	}
	if err := n.follower.Fresh(); err != nil {
		return merry.Errorf("%w: %w", ErrNotReady, err)
	}
	return nil
}

// probe sends a health check to an instance. A success is not enough to give the
// instance its full load, because it may answer probes and fail requests.
func (n *Node) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+probePath, http.NoBody)
	if err != nil {
		return merry.Prepend(err, "Node.probe")
	}
	resp, err := n.probeClient.Do(req)
	if err != nil {
		return merry.Prepend(err, "Node.probe")
	}
	resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError {
		return merry.Errorf("Node.probe: %s answers %s", address, resp.Status)
	}
	return nil
}

// Run runs the node until ctx ends or a component fails, and then shuts it down
// gracefully.
func (n *Node) Run(ctx context.Context) error {
	// The components keep running after ctx ends, because the requests in flight need
	// them.
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	g, componentsCtx := errgroup.WithContext(componentsCtx)
	operatorServer := &http.Server{Handler: n.config.NewOperatorHandler(n), ReadHeaderTimeout: gateway.HeaderTimeout}

	g.Go(func() error { return n.mesh.Serve(componentsCtx, n.config.PeersListener) })
	g.Go(func() error { return n.watcher.run(componentsCtx) })
	g.Go(func() error { return n.follower.Run(componentsCtx) })
	g.Go(func() error { return n.leases.Run(componentsCtx) })
	g.Go(func() error { return n.heartbeats.Run(componentsCtx) })
	g.Go(func() error { return n.allowance.Run(componentsCtx) })
	g.Go(func() error { return n.pools.Run(componentsCtx) })
	g.Go(func() error { return n.maintainLeaseNames(componentsCtx) })
	g.Go(func() error { return ignoreClosed(n.server.Serve(n.config.CallersListener)) })
	g.Go(func() error { return ignoreClosed(operatorServer.Serve(n.config.OperatorsListener)) })
	g.Go(func() error {
		defer stopComponents()
		select {
		case <-ctx.Done():
		case <-componentsCtx.Done():
		}
		err := n.shutdown(componentsCtx)
		return errors.Join(err, operatorServer.Close())
	})
	n.logger.Info("node started",
		zap.String("zone", n.config.Zone),
		zap.Stringer("callers", n.config.CallersListener.Addr()),
		zap.Stringer("peers", n.config.PeersListener.Addr()),
		zap.Stringer("operators", n.config.OperatorsListener.Addr()))
	if err := g.Wait(); err != nil {
		return merry.Prepend(err, "Node.Run")
	}
	n.logger.Info("node stopped")
	return nil
}

// ignoreClosed drops the errors that a server returns after it was closed.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// maintainLeaseNames keeps the lease table informed of the names that exist, until ctx
// ends. The names of pools change with the configuration.
func (n *Node) maintainLeaseNames(ctx context.Context) error {
	ticker := time.NewTicker(leaseNamesInterval)
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

// shutdown takes the node out of service. The node reports that it is not ready, serves
// new requests for ShutdownLag because the load balancer notices late, hands over its
// permits, grants and leases, and waits up to ShutdownLimit for the requests in flight.
func (n *Node) shutdown(componentsCtx context.Context) error {
	n.leaving.Store(true)
	n.logger.Info("leaving: readiness withdrawn", zap.Duration("lag", n.config.ShutdownLag))
	lagCtx, cancelLag := context.WithTimeout(componentsCtx, n.config.ShutdownLag)
	defer cancelLag()
	// From now on responses close their connections, so that callers move to other
	// nodes. Requests that still arrive during the lag are served.
	if err := n.gateway.Drain(lagCtx); err != nil {
		n.logger.Debug("requests are still in progress at the end of the lag", zap.Error(err))
	}
	<-lagCtx.Done()
	n.handover(componentsCtx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(componentsCtx), n.config.ShutdownLimit)
	defer cancel()
	n.logger.Info("leaving: waiting for requests in flight", zap.Int("requests", n.gateway.InFlight()))
	if err := n.server.Shutdown(ctx); err != nil {
		n.server.Close()
		return merry.Errorf("requests are still in flight after %s: %w", n.config.ShutdownLimit, err)
	}
	n.gateway.Close()
	return nil
}

// handover returns permits, grants and leases, so that their next holder doesn't have
// to wait until they expire. The leases of account partitions are released only if all
// grants issued under them were returned or expire early enough; otherwise the next
// owner would issue the same tokens again.
func (n *Node) handover(componentsCtx context.Context) {
	ctx, cancel := context.WithTimeout(componentsCtx, handoverTimeout)
	defer cancel()
	if err := n.pools.Drain(ctx); err != nil {
		n.logger.Warn("pools could not be handed over in time", zap.Error(err))
	}
	names := n.pools.LeaseNames()
	if err := n.allowance.Drain(ctx); err != nil {
		n.logger.Warn("grants were not returned in time; the leases of account partitions are left to expire", zap.Error(err))
		n.leases.Release(names...)
	} else {
		names = n.leases.ReleaseAll()
	}
	n.announceRelease(componentsCtx, release{Incarnation: n.incarnation, Names: names})
}

// announceRelease tells the voters that this process has released leases.
func (n *Node) announceRelease(ctx context.Context, r release) {
	ctx, cancel := context.WithTimeout(ctx, callAllTimeout)
	defer cancel()
	var g errgroup.Group
	for _, id := range n.peerIDs() {
		g.Go(func() error { return n.mesh.Call(ctx, id, releaseMethod, r, nil) })
	}
	if err := g.Wait(); err != nil {
		n.logger.Debug("a node could not be told of released leases; its votes for them expire", zap.Error(err))
	}
}
