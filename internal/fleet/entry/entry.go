// Package entry runs an entry VM: the server for callers, the reports between VMs,
// the copy of the configuration and of the list of instances, readiness, metrics
// and the planned stop.
//
// Everything that a request needs is in this VM's memory. The VM serves on alone,
// from what it last knew, when the store or the other VMs are away.
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
	"chestnutbay.dev/chestnutbay/internal/limit/quota"
	"chestnutbay.dev/chestnutbay/internal/target/balancer"
	"chestnutbay.dev/chestnutbay/internal/target/directory"
	"chestnutbay.dev/chestnutbay/internal/traffic/ingress"
	"chestnutbay.dev/chestnutbay/internal/traffic/retry"
)

// Members lists the VMs of the fleet in the store.
type Members interface {
	// Register adds this VM.
	Register(ctx context.Context, m gossip.Member) error
	// List returns all registered VMs.
	List(ctx context.Context) ([]gossip.Member, error)
	// Remove drops a VM that is gone.
	Remove(ctx context.Context, name string) error
}

// Config is what a VM works with.
type Config struct {
	Name string
	Zone string
	// Callers, Readiness and Metrics are listening addresses. Metrics may be "".
	Callers   string
	Readiness string
	Metrics   string
	// Fleet is the address at which other VMs reach this one, over UDP and TCP.
	Fleet netip.AddrPort
	// Seeds are addresses of other VMs to ask while the store is away.
	Seeds []netip.AddrPort

	Source  feed.Source
	Decoder feed.Decoder
	Members Members
	Headers ingress.Headers

	// RetryRatio and RetrySlack bound the repeats of requests over all VMs.
	RetryRatio float64
	RetrySlack float64
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool
	// Grace is the time from the start of a planned stop to its end.
	Grace time.Duration

	Logger *zap.Logger
}

// maxSilent bounds the VMs that wait to be removed from the list.
const maxSilent = 16

// VM is an entry VM.
type VM struct {
	config      Config
	incarnation uint64
	table       atomic.Pointer[routing.Table]
	directory   directory.Directory
	balancer    *balancer.Balancer
	quota       *quota.Quota
	budget      *retry.FleetBudget
	feed        *feed.Feed
	gossip      *gossip.Gossip
	server      *ingress.Server
	registry    *prometheus.Registry
	leaving     atomic.Bool
	grace       atomic.Int64 // a time.Duration
	outbox      announcements
	silent      chan string // VMs to remove from the list in the store

	callers, readiness, metrics, control net.Listener
}

// Open listens on all addresses and assembles the VM.
func Open(c Config) (*VM, error) {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	v := &VM{config: c, incarnation: rand.Uint64(), registry: prometheus.NewRegistry(), silent: make(chan string, maxSilent)}
	conn, err := v.listen()
	if err != nil {
		v.closeListeners()
		return nil, merry.Prepend(err, "entry.Open")
	}
	v.assemble(conn)
	return v, nil
}

func (v *VM) listen() (net.PacketConn, error) {
	var errs [4]error
	v.callers, errs[0] = net.Listen("tcp", v.config.Callers)
	v.readiness, errs[1] = net.Listen("tcp", v.config.Readiness)
	v.control, errs[2] = net.Listen("tcp", v.config.Fleet.String())
	if v.config.Metrics != "" {
		v.metrics, errs[3] = net.Listen("tcp", v.config.Metrics)
	}
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	return net.ListenPacket("udp", v.config.Fleet.String())
}

func (v *VM) closeListeners() {
	for _, l := range []net.Listener{v.callers, v.readiness, v.control, v.metrics} {
		if l != nil {
			l.Close()
		}
	}
}

func (v *VM) assemble(conn net.PacketConn) {
	c := v.config
	v.gossip = gossip.New(gossip.Config{
		Self:        gossip.Member{Name: c.Name, Zone: c.Zone, Address: c.Fleet},
		Incarnation: v.incarnation,
		Conn:        conn,
		Compose:     v.compose,
		Receive:     v.receive,
		Forgotten:   v.forgotten,
		Logger:      c.Logger,
	})
	v.balancer = balancer.New(balancer.Config{
		Directory: &v.directory, Warmup: v, Fleet: v.gossip, Zone: c.Zone, Changed: v.gossip.Changed,
		Recent: func(service string) (float64, float64) { return v.budget.Recent(service) },
	})
	v.quota = quota.New(quota.Config{Presence: v.gossip, Changed: v.gossip.Changed})
	v.budget = retry.NewFleetBudget(retry.FleetConfig{Ratio: c.RetryRatio, Slack: c.RetrySlack, Heard: v.gossip.Heard, FirstStart: c.FirstStart})
	v.feed = feed.New(feed.Config{
		Source: c.Source, Apply: v.apply, Announce: v.announce, Rank: v.gossip.Rank, ZoneRank: v.gossip.ZoneRank, Peers: v,
		Significant: c.Decoder.Significant, Logger: c.Logger,
	})
	v.server = ingress.New(ingress.Config{
		Table: v.table.Load, Balancer: v.balancer, Quota: v.quota, RetryBudget: v.budget, Headers: c.Headers,
		VMs: v.gossip.Size, Metrics: ingress.NewMetrics(v.registry), Logger: c.Logger,
	})
	v.grace.Store(int64(c.Grace))
	v.registerMetrics()
}

// Adjustment holds the settings that a running VM can change.
type Adjustment struct {
	RetryRatio float64
	RetrySlack float64
	Grace      time.Duration
}

// Adjust puts changed settings in force.
func (v *VM) Adjust(a Adjustment) {
	v.budget.Adjust(a.RetryRatio, a.RetrySlack)
	v.grace.Store(int64(a.Grace))
}

// WarmupRate returns the requests a second that a cold instance of a service bears
// from all VMs together.
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

// Run serves until ctx ends and the planned stop is over.
func (v *VM) Run(ctx context.Context) error {
	log := v.config.Logger
	log.Info("VM starts", zap.String("zone", v.config.Zone), zap.Uint64("incarnation", v.incarnation))
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, inner := errgroup.WithContext(background)
	group.Go(func() error { return v.gossip.Run(inner) })
	group.Go(func() error { return v.feed.Run(inner) })
	group.Go(func() error { return v.serveControl(inner) })
	group.Go(func() error { v.keepRegistered(inner); return nil })
	group.Go(func() error { v.retireSilent(inner); return nil })
	group.Go(func() error { return serveUntil(inner, v.readiness, http.HandlerFunc(v.serveReadiness)) })
	if v.metrics != nil {
		group.Go(func() error { return serveUntil(inner, v.metrics, v.metricsHandler()) })
	}
	group.Go(func() error {
		if err := v.server.Serve(v.callers); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	select {
	case <-ctx.Done():
		v.stop()
	case <-inner.Done():
		v.server.Close()
	}
	stop()
	err := group.Wait()
	log.Info("VM stops", zap.Error(err))
	return err
}

// serveUntil serves a small HTTP interface until ctx ends.
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

// serveReadiness tells the balancer in front whether this VM takes connections.
func (v *VM) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if v.leaving.Load() || v.table.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
