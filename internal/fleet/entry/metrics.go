package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
	"chestnutbay.dev/chestnutbay/internal/fleet/rollout"
)

// registerMetrics registers the metrics of the configuration, the instances, the fleet,
// the store and the datagrams.
func (v *VM) registerMetrics() {
	gauge := func(name, help string, f func() float64) {
		v.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
	}
	counter := func(name, help string, f func() float64) {
		v.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, f))
	}
	gauge("chestnutbay_configuration_version", "Version of the configuration in force, 0 before the first.", func() float64 {
		if t := v.table.Load(); t != nil {
			return float64(t.Version())
		}
		return 0
	})
	gauge("chestnutbay_configuration_next_offset", "Offset after the last record of the configuration's topic that this VM has read.", func() float64 { return float64(v.feed.Next(feed.Configuration)) })
	gauge("chestnutbay_configuration_age_seconds", "Age of the proof that the configuration is the newest.", func() float64 { return v.age(feed.Configuration) })
	gauge("chestnutbay_instances_age_seconds", "Age of the proof that the list of instances is complete.", func() float64 { return v.age(feed.Instances) })
	gauge("chestnutbay_instances", "Listed target instances.", func() float64 { return float64(v.directory.Size()) })
	gauge("chestnutbay_vms", "VMs of the fleet, this one included.", func() float64 { return float64(v.gossip.Size()) })
	gauge("chestnutbay_vms_heard_ratio", "Part of the VMs that were heard lately.", v.gossip.Heard)
	gauge("chestnutbay_requests_in_flight", "Requests in progress.", func() float64 { return float64(v.server.InFlight()) })
	counter("chestnutbay_store_reads_total", "Reads of the store.", func() float64 { return float64(v.feed.Reads()) })
	stat := func(f func(gossip.Stats) uint64) func() float64 {
		return func() float64 { return float64(f(v.gossip.Stats())) }
	}
	counter("chestnutbay_datagrams_sent_total", "Datagrams to other VMs.", stat(func(s gossip.Stats) uint64 { return s.Sent }))
	counter("chestnutbay_datagrams_received_total", "Datagrams from other VMs.", stat(func(s gossip.Stats) uint64 { return s.Received }))
	counter("chestnutbay_datagrams_passed_on_total", "Datagrams passed on in the own zone.", stat(func(s gossip.Stats) uint64 { return s.PassedOn }))
	counter("chestnutbay_datagram_bundles_total", "Bundles of datagrams that this VM put together.", stat(func(s gossip.Stats) uint64 { return s.Bundles }))
	v.registry.MustRegister(newRolloutCollector(v.status))
	counter("chestnutbay_datagram_bytes_sent_total", "Bytes of datagrams to other VMs.", stat(func(s gossip.Stats) uint64 { return s.BytesSent }))
}

// age returns the age in seconds of the proof that the copy of a topic is complete, or
// -1 before the topic is loaded.
func (v *VM) age(t feed.Topic) float64 {
	age, ok := v.feed.Age(t)
	if !ok {
		return -1
	}
	return age.Seconds()
}

// StatusPath is the path of the metrics address under which a VM returns what the VMs of
// the fleet run, a rollout.Status as JSON.
const StatusPath = "/status"

// metricsHandler serves the status under StatusPath and the metrics under all other paths.
func (v *VM) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", promhttp.HandlerFor(v.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+StatusPath, v.serveStatus)
	return mux
}

// serveStatus returns what the VMs of the fleet run.
func (v *VM) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v.status()) //nolint:errcheck // A caller that has disconnected cannot be told.
}

// status returns what the VMs of the fleet run, as this VM knows it.
func (v *VM) status() rollout.Status {
	return v.rollout.Status(v.self(), v.gossip.Members())
}

// rolloutCollector collects the number of VMs of each zone by what they run.
type rolloutCollector struct {
	status func() rollout.Status
	desc   *prometheus.Desc
}

func newRolloutCollector(status func() rollout.Status) *rolloutCollector {
	return &rolloutCollector{status: status, desc: prometheus.NewDesc("chestnutbay_zone_vms",
		"VMs of an availability zone by the configuration and settings that they run. Unknown ones have not reported.",
		[]string{"zone", "configuration", "settings"}, nil)}
}

// Describe implements prometheus.Collector.
func (c *rolloutCollector) Describe(ch chan<- *prometheus.Desc) { ch <- c.desc }

// Collect implements prometheus.Collector.
func (c *rolloutCollector) Collect(ch chan<- prometheus.Metric) {
	for _, z := range c.status().Zones {
		if z.Unknown > 0 {
			ch <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(z.Unknown), z.Name, "unknown", "unknown")
		}
		for _, g := range z.Groups {
			ch <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(g.VMs), z.Name, strconv.FormatInt(g.Version, 10), g.Settings)
		}
	}
}
