package burn

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxServices bounds the number of values of the label "service" in each shard.
	maxServices = 1024
	// otherServices is the label value under which further services are counted.
	otherServices = "(other)"
)

// verdictCounts counts requests by service and verdict.
type verdictCounts struct {
	byService map[string]map[Verdict]uint64
}

func (v *verdictCounts) add(service string, verdict Verdict) {
	counts := v.byService[service]
	if counts == nil {
		counts = v.open(service)
	}
	counts[verdict]++
}

// open creates the counts of a new service and returns them. If there are counts for
// maxServices services already, it returns those of otherServices instead.
func (v *verdictCounts) open(service string) map[Verdict]uint64 {
	if v.byService == nil {
		v.byService = make(map[string]map[Verdict]uint64)
	}
	if len(v.byService) >= maxServices {
		service = otherServices
	}
	if v.byService[service] == nil {
		v.byService[service] = make(map[Verdict]uint64)
	}
	return v.byService[service]
}

// durationBounds are the upper bounds of the buckets of the duration histogram. They
// cover short lookups as well as 20-minute uploads.
var durationBounds = [...]time.Duration{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 5 * time.Second, 30 * time.Second, 5 * time.Minute, 20 * time.Minute,
}

// histogram counts durations by the lowest bound that they do not exceed. The last count
// is that of durations above all bounds.
type histogram struct {
	counts [len(durationBounds) + 1]uint64
	sum    time.Duration
}

func (h *histogram) add(d time.Duration) {
	h.sum += d
	for i, bound := range durationBounds {
		if d <= bound {
			h.counts[i]++
			return
		}
	}
	h.counts[len(durationBounds)]++
}

// Collector exports counters as Prometheus metrics. No label holds a client account, so
// the number of time series does not grow with the number of accounts.
type Collector struct {
	counters  *Counters
	contracts Contracts

	requests *prometheus.Desc
	duration *prometheus.Desc
	pairs    *prometheus.Desc
	alerting *prometheus.Desc
}

// NewCollector returns a collector of a node's counters. The metric of accounts with
// alerts considers only this node's requests; the exact alerts are in the report over
// all nodes.
func NewCollector(c *Counters, contracts Contracts) *Collector {
	return &Collector{
		counters:  c,
		contracts: contracts,
		requests: prometheus.NewDesc("chestnutbay_requests_total",
			"Finished requests by service and verdict.", []string{"service", "verdict"}, nil),
		duration: prometheus.NewDesc("chestnutbay_request_duration_seconds",
			"Whole time of finished requests.", nil, nil),
		pairs: prometheus.NewDesc("chestnutbay_burn_counters",
			"Pairs of client account and route that are counted.", nil, nil),
		alerting: prometheus.NewDesc("chestnutbay_accounts_alerting",
			"Client accounts whose error budget burns too fast, by this node's requests.", []string{"alert", "severity"}, nil),
	}
}

// Describe sends the descriptions of all metrics. It implements prometheus.Collector.
func (c *Collector) Describe(ch chan<- *prometheus.Desc) {
	ch <- c.requests
	ch <- c.duration
	ch <- c.pairs
	ch <- c.alerting
}

// Collect sends the current values of all metrics. It implements prometheus.Collector.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	m := c.counters.metrics()
	for service, counts := range m.verdicts.byService {
		for verdict, n := range counts {
			ch <- prometheus.MustNewConstMetric(c.requests, prometheus.CounterValue, float64(n), service, string(verdict))
		}
	}
	ch <- m.durations.metric(c.duration)
	ch <- prometheus.MustNewConstMetric(c.pairs, prometheus.GaugeValue, float64(m.pairs))
	for alert, n := range c.counters.countAlerts(c.contracts, unitOf(time.Now())) {
		ch <- prometheus.MustNewConstMetric(c.alerting, prometheus.GaugeValue, float64(n), alert.Name, string(alert.Severity))
	}
}

// countAlerts returns the number of accounts for each alert, including alerts without
// accounts.
func (c *Counters) countAlerts(contracts Contracts, now uint32) map[Alert]int {
	counts := make(map[Alert]int, len(rules))
	for _, r := range rules {
		counts[Alert{Name: r.name, Severity: r.severity}] = 0
	}
	for i := range c.shards {
		for account, sums := range c.shards[i].failingAccounts(now) {
			for _, alert := range alertsFor(usages(sums, objectiveOf(account, contracts))) {
				counts[Alert{Name: alert.Name, Severity: alert.Severity}]++
			}
		}
	}
	return counts
}

// failingAccounts returns the sums of each account that has failures. All counters of an
// account are in one shard.
func (sh *shard) failingAccounts(now uint32) map[string][windowCount]Sum {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	totals := make(map[string][windowCount]Sum)
	for p, s := range sh.series {
		if s.hasFailures() {
			totals[p.Account] = [windowCount]Sum{}
		}
	}
	for p, s := range sh.series {
		total, ok := totals[p.Account]
		if !ok {
			continue
		}
		for w, sum := range s.sums(now) {
			total[w].add(sum)
		}
		totals[p.Account] = total
	}
	return totals
}

// metrics holds the sums of the metrics of all shards.
type metrics struct {
	verdicts  verdictCounts
	durations histogram
	pairs     int
}

// metrics returns the sums over all shards.
func (c *Counters) metrics() metrics {
	m := metrics{verdicts: verdictCounts{byService: make(map[string]map[Verdict]uint64)}}
	for i := range c.shards {
		sh := &c.shards[i]
		sh.mu.Lock()
		m.add(sh)
		sh.mu.Unlock()
	}
	return m
}

func (m *metrics) add(sh *shard) {
	m.pairs += len(sh.series)
	m.durations.sum += sh.durations.sum
	for i, n := range sh.durations.counts {
		m.durations.counts[i] += n
	}
	for service, counts := range sh.verdicts.byService {
		sum := m.verdicts.byService[service]
		if sum == nil {
			sum = m.verdicts.open(service)
		}
		for verdict, n := range counts {
			sum[verdict] += n
		}
	}
}

func (h *histogram) metric(d *prometheus.Desc) prometheus.Metric {
	buckets := make(map[float64]uint64, len(durationBounds))
	var count uint64
	for i, bound := range durationBounds {
		count += h.counts[i]
		buckets[bound.Seconds()] = count
	}
	count += h.counts[len(durationBounds)]
	return prometheus.MustNewConstHistogram(d, count, h.sum.Seconds(), buckets)
}
