package entry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
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

func (v *VM) metricsHandler() http.Handler {
	return promhttp.HandlerFor(v.registry, promhttp.HandlerOpts{})
}
