// Package entry runs an entry VM: the server for callers, the exchange of reports with
// other VMs, the local copy of the configuration and of the list of instances, the
// readiness and metrics endpoints, and the planned stop.
//
// The VM holds all data that requests need in memory. While the store or the other VMs
// are unavailable, it continues to serve from its last known state.
//
// # Usage
//
//	v, err := entry.Open(entry.Config{Name: "vm-1", Zone: "north", Source: store, Members: store, Decoder: decoder})
//	if err != nil {
//		return err
//	}
//	return v.Run(ctx) // a planned stop begins when ctx ends
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/contract/routing"
	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
	"chestnutbay.dev/chestnutbay/internal/fleet/rollout"
	"chestnutbay.dev/chestnutbay/internal/limit/quota"
	"chestnutbay.dev/chestnutbay/internal/target/balancer"
	"chestnutbay.dev/chestnutbay/internal/target/departure"
	"chestnutbay.dev/chestnutbay/internal/target/directory"
	"chestnutbay.dev/chestnutbay/internal/traffic/ingress"
	"chestnutbay.dev/chestnutbay/internal/traffic/retry"
)

// Members is the list of the fleet's VMs in the store.
type Members interface {
	// Register adds this VM.
	Register(ctx context.Context, m gossip.Member) error
	// List returns all registered VMs.
	List(ctx context.Context) ([]gossip.Member, error)
	// Remove deletes the entry of a VM that no longer runs.
	Remove(ctx context.Context, name string) error
}

// Config holds the settings and dependencies of a VM. Seeds, MetricsAddress,
// GracePeriod and Logger may be left zero.
type Config struct {
	Name string
	Zone string
	// CallersAddress, ReadinessAddress and MetricsAddress are the addresses of the TCP
	// listeners for callers' requests, readiness checks and metrics. If MetricsAddress
	// is "", no metrics are served.
	CallersAddress   string
	ReadinessAddress string
	MetricsAddress   string
	// FleetAddress is the address at which other VMs reach this one, over UDP and TCP.
	FleetAddress netip.AddrPort
	// Seeds are addresses of other VMs to ask for state while the store is unavailable.
	Seeds []netip.AddrPort

	Source  feed.Source
	Decoder feed.Decoder
	Members Members
	Headers ingress.Headers

	// RetryRatio and RetrySlack bound the retries of requests over all VMs, as
	// retry.FleetConfig describes.
	RetryRatio float64
	RetrySlack float64
	// FirstStart reports that the whole fleet starts for the first time.
	FirstStart bool
	// GracePeriod is the maximum duration of a planned stop. 0 stands for 30 s.
	GracePeriod time.Duration
	// SettingsDigest identifies the settings that the VMs of a fleet share.
	SettingsDigest string

	Logger *zap.Logger
}

// maxSilentVMs bounds the queue of silent VMs to remove from the store's list.
const maxSilentVMs = 16

// VM is an entry VM.
type VM struct {
	config      Config
	incarnation uint64
	table       atomic.Pointer[routing.Table]
	directory   directory.Directory
	balancer    *balancer.Balancer
	departures  *departure.Notices
	quota       *quota.Quota
	budget      *retry.FleetBudget
	feed        *feed.Feed
	gossip      *gossip.Gossip
	server      *ingress.Server
	registry    *prometheus.Registry
	leaving     atomic.Bool
	gracePeriod atomic.Int64 // a time.Duration
	outbox      announcementQueue
	silentVMs   chan string // silent VMs to remove from the store's list
	refusals    refusals
	rollout     *rollout.Tracker
	packed      packedStates

	callersListener, readinessListener, metricsListener, controlListener net.Listener
}

// Open opens all listeners and returns a VM that is ready to Run.
func Open(c Config) (*VM, error) {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	v := &VM{config: c, incarnation: rand.Uint64(), registry: prometheus.NewRegistry(), silentVMs: make(chan string, maxSilentVMs)}
	conn, err := v.listen()
	if err != nil {
		v.closeListeners()
		return nil, merry.Prepend(err, "entry.Open")
	}
	v.assemble(conn)
	return v, nil
}

// listen opens the TCP listeners and returns the UDP socket for the gossip.
func (v *VM) listen() (net.PacketConn, error) {
	var errs [4]error
	v.callersListener, errs[0] = net.Listen("tcp", v.config.CallersAddress)
	v.readinessListener, errs[1] = net.Listen("tcp", v.config.ReadinessAddress)
	v.controlListener, errs[2] = net.Listen("tcp", v.config.FleetAddress.String())
	if v.config.MetricsAddress != "" {
		v.metricsListener, errs[3] = net.Listen("tcp", v.config.MetricsAddress)
	}
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	return net.ListenPacket("udp", v.config.FleetAddress.String())
}

// closeListeners closes the TCP listeners that have been opened.
func (v *VM) closeListeners() {
	for _, l := range []net.Listener{v.callersListener, v.readinessListener, v.controlListener, v.metricsListener} {
		if l != nil {
			l.Close()
		}
	}
}

// assemble creates the components of the VM and connects them.
func (v *VM) assemble(conn net.PacketConn) {
	c := v.config
	v.gossip = gossip.New(gossip.Config{
		Self:           v.self(),
		Incarnation:    v.incarnation,
		Conn:           conn,
		Compose:        v.compose,
		Receive:        v.receive,
		MemberTimedOut: v.memberTimedOut,
		Logger:         c.Logger,
	})
	v.balancer = balancer.New(balancer.Config{
		Directory: &v.directory, Warmup: v, Fleet: v.gossip, Zone: c.Zone, Changed: v.gossip.RequestSend,
		RecentTraffic: func(service string) (float64, float64) { return v.budget.RecentTraffic(service) },
	})
	v.departures = departure.New(departure.Config{Directory: &v.directory, Changed: v.gossip.RequestSend})
	v.rollout = rollout.New(rollout.Config{Changed: v.gossip.RequestSend})
	v.rollout.SetSettings(c.SettingsDigest)
	v.quota = quota.New(quota.Config{Presence: v.gossip, Changed: v.gossip.RequestSend})
	v.budget = retry.NewFleetBudget(retry.FleetConfig{Ratio: c.RetryRatio, Slack: c.RetrySlack, Heard: v.gossip.Heard, FirstStart: c.FirstStart})
	v.feed = feed.New(feed.Config{
		Source: c.Source, Apply: v.apply, Announce: v.announce, Rank: v.gossip.Rank, ZoneRank: v.gossip.ZoneRank, Peers: v, StartFromPeers: v.startsFromPeers(),
		Significant: c.Decoder.Significant, Logger: c.Logger,
	})
	v.server = ingress.New(ingress.Config{
		Table: v.table.Load, Balancer: v.balancer, Quota: v.quota, RetryBudget: v.budget, Headers: c.Headers,
		Departed: v.departures.Record, VMs: v.gossip.Size, Metrics: ingress.NewMetrics(v.registry), Logger: c.Logger,
	})
	v.gracePeriod.Store(int64(c.GracePeriod))
	v.registerMetrics()
}

// Adjustment holds the settings that a running VM can change.
type Adjustment struct {
	RetryRatio  float64
	RetrySlack  float64
	GracePeriod time.Duration
	// SettingsDigest is as in Config.
	SettingsDigest string
}

// Adjust applies changed settings. A changed grace period applies to planned stops that
// begin afterwards.
func (v *VM) Adjust(a Adjustment) {
	v.budget.Adjust(a.RetryRatio, a.RetrySlack)
	v.gracePeriod.Store(int64(a.GracePeriod))
	v.rollout.SetSettings(a.SettingsDigest)
}

// WarmupRate returns how many requests per second a cold instance of a service can take
// from all VMs together, or 0 if the service is unknown.
func (v *VM) WarmupRate(service string) float64 {
	if s, ok := v.service(service); ok {
		return s.WarmupRate()
	}
	return 0
}

// service returns a service of the configuration in force.
func (v *VM) service(name string) (*routing.Service, bool) {
	t := v.table.Load()
	if t == nil {
		return nil, false
	}
	return t.Service(name)
}

// Run serves requests until ctx ends, then carries out a planned stop and returns when it
// is complete. If one of the VM's components fails, Run closes the server for callers at
// once and returns the error.
func (v *VM) Run(ctx context.Context) error {
	log := v.config.Logger
	log.Info("VM starts", zap.String("zone", v.config.Zone), zap.Uint64("incarnation", v.incarnation))
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return v.gossip.Run(groupCtx) })
	group.Go(func() error { return v.feed.Run(groupCtx) })
	group.Go(func() error { return v.serveControl(groupCtx) })
	group.Go(func() error { v.keepRegistered(groupCtx); return nil })
	group.Go(func() error { v.removeSilentVMs(groupCtx); return nil })
	group.Go(func() error { return serveUntil(groupCtx, v.readinessListener, http.HandlerFunc(v.serveReadiness)) })
	if v.metricsListener != nil {
		group.Go(func() error { return serveUntil(groupCtx, v.metricsListener, v.metricsHandler()) })
	}
	group.Go(func() error {
		if err := v.server.Serve(v.callersListener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	select {
	case <-ctx.Done():
		v.stop()
	case <-groupCtx.Done():
		v.server.Close()
	}
	stop()
	err := group.Wait()
	log.Info("VM stops", zap.Error(err))
	return err
}

// serveUntil serves HTTP requests on a listener until ctx ends.
func serveUntil(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: controlTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return s.Close()
	})
	group.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return group.Wait()
}

// serveReadiness tells the load balancer in front of the fleet whether this VM accepts
// connections: it answers 200 if so, and 503 before the first configuration is in force
// and during a planned stop.
func (v *VM) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if v.leaving.Load() || v.table.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
