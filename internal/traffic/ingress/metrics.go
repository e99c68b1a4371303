package ingress

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// latencyBuckets are the upper bounds of the request duration histogram, in seconds.
var latencyBuckets = []float64{.01, .025, .05, .1, .2, .4, .6, .8, 1, 1.5, 2, 3, 5, 10, 30}

// Metrics counts requests and attempts, and measures the duration of requests.
type Metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

// NewMetrics creates the metrics of a server and registers them with r. It panics if
// they are registered there already.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnutbay_requests_total", Help: "Finished requests by client account, route, status and reason.",
		}, []string{"account", "route", "status", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnutbay_attempts_total", Help: "Attempts at target instances by service and how they ended.",
		}, []string{"service", "end"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chestnutbay_request_seconds", Help: "Time from a request's head to the end of its answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
	}
	r.MustRegister(m.requests, m.attempts, m.latency)
	return m
}

func (m *Metrics) observe(x *exchange, took time.Duration) {
	account, route := "", ""
	if x.account != nil {
		account = x.account.Name()
	}
	if x.route != nil {
		route = x.route.Name()
	}
	m.requests.WithLabelValues(account, route, strconv.Itoa(x.result.status), string(x.result.reason)).Inc()
	m.latency.WithLabelValues(route).Observe(took.Seconds())
	for _, a := range x.attempts {
		end := string(a.upstream.Kind())
		if a.refused {
			end = "refused"
		}
		m.attempts.WithLabelValues(x.service, end).Inc()
	}
}
