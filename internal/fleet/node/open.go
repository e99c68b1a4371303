package node

import (
	"context"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/base/kernel"
	"chestnutbay.dev/chestnutbay/internal/base/settings"
	"chestnutbay.dev/chestnutbay/internal/operator/office"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
)

// Open creates the log and VM list plug-ins that the settings name, opens the listeners
// of the three ports, and assembles the node.
func Open(ctx context.Context, s *settings.Settings, logger *zap.Logger) (*Node, error) {
	log, err := kernel.Build[journal.Log](journal.PluginKind, s.Log().Plugin(), s.Log().Options())
	if err != nil {
		return nil, merry.Prepend(err, "node.Open")
	}
	list, err := kernel.Build[roster.List](roster.PluginKind, s.Roster().Plugin(), s.Roster().Options())
	if err != nil {
		return nil, merry.Prepend(err, "node.Open")
	}
	counters := new(burn.Counters)
	c := Config{
		ID:            s.Node().ID(),
		Zone:          s.Node().Zone(),
		VMs:           s.Fleet().VMs(),
		Secret:        s.Fleet().Secret(),
		Log:           log,
		Retention:     s.Log().Retention(),
		VMList:        list,
		ShutdownLag:   s.Shutdown().Lag(),
		ShutdownLimit: s.Shutdown().Limit(),
		Burn:          counters.Count,
		Logger:        logger,
	}
	c.NewOperatorHandler = func(n *Node) http.Handler { return newOperatorHandler(n, s, counters) }
	if err := listen(ctx, &c, s.Listen()); err != nil {
		return nil, merry.Prepend(err, "node.Open")
	}
	n, err := New(c)
	if err != nil {
		closeListeners(c)
		return nil, err
	}
	return n, nil
}

// listen opens the three listeners and stores them in c. On failure it closes those
// that it opened.
func listen(ctx context.Context, c *Config, l settings.Listen) error {
	var lc net.ListenConfig
	var err error
	if c.CallersListener, err = lc.Listen(ctx, "tcp", l.Callers().String()); err != nil {
		return err
	}
	if c.PeersListener, err = lc.Listen(ctx, "tcp", l.Peers().String()); err != nil {
		closeListeners(*c)
		return err
	}
	if c.OperatorsListener, err = lc.Listen(ctx, "tcp", l.Operators().String()); err != nil {
		closeListeners(*c)
		return err
	}
	return nil
}

// closeListeners closes those of the three listeners that are open.
func closeListeners(c Config) {
	for _, l := range []net.Listener{c.CallersListener, c.PeersListener, c.OperatorsListener} {
		if l != nil {
			l.Close()
		}
	}
}

// newOperatorHandler returns the HTTP handler of the operators' port.
func newOperatorHandler(n *Node, s *settings.Settings, counters *burn.Counters) http.Handler {
	o := &operatorBackend{node: n, counters: counters}
	o.registerHandlers()
	return office.New(office.Config{
		Credentials: s.Operators().Credentials(),
		Publisher:   o,
		Documents:   n.follower.Ledger(),
		Events:      o,
		Burn:        o,
		Status:      o,
		Ready:       n.Ready,
		Metrics:     newMetrics(n, counters),
		Ring:        n.events,
		Logger:      n.logger.Named("operators"),
	})
}

// newMetrics returns the node's metrics. No label holds a client account, so that the
// number of time series does not grow with the number of accounts.
func newMetrics(n *Node, counters *burn.Counters) prometheus.Gatherer {
	r := prometheus.NewRegistry()
	r.MustRegister(burn.NewCollector(counters, n.follower.Ledger()))
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	gauge := func(name, help string, f func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "chestnutbay", Name: name, Help: help}, f))
	}
	counter := func(name, help string, f func() float64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "chestnutbay", Name: name, Help: help}, f))
	}
	gauge("ready", "1 while the node takes new work.", func() float64 {
		if n.Ready() != nil {
			return 0
		}
		return 1
	})
	gauge("requests_in_flight", "Requests in progress.", func() float64 { return float64(n.gateway.InFlight()) })
	gauge("configuration_position", "First log offset that is not applied yet.", func() float64 {
		return float64(n.follower.Position().Next)
	})
	counter("peer_calls_total", "Calls made to other nodes.", func() float64 { return float64(n.mesh.Stats().Calls) })
	counter("peer_calls_served_total", "Calls answered for other nodes.", func() float64 { return float64(n.mesh.Stats().Served) })
	counter("peer_bytes_in_total", "Bytes received from other nodes.", func() float64 { return float64(n.mesh.Stats().BytesIn) })
	counter("peer_bytes_out_total", "Bytes sent to other nodes.", func() float64 { return float64(n.mesh.Stats().BytesOut) })
	return r
}
