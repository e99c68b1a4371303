package retry

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSamples is the number of samples, each a time to the first byte, that are kept
	// per route.
	maxSamples = 128
	// minSamples is the number of samples that a meaningful percentile needs.
	minSamples = 64
	// refreshInterval is the number of new samples after which the percentile is
	// computed again.
	refreshInterval = 16
	// MinHedgeDelay is the least delay before a second attempt. It keeps small
	// variations of fast targets from causing second attempts.
	MinHedgeDelay = 2 * time.Millisecond
)

// Latency keeps a route's recent times to the first byte. The zero value is
// ready to use. It is safe for concurrent use.
type Latency struct {
	mu    sync.Mutex
	ring  [maxSamples]time.Duration
	count int
	p95   time.Duration
}

// Observe adds the time to the first byte of one response.
func (l *Latency) Observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.count%maxSamples] = d
	l.count++
	if l.count >= minSamples && l.count%refreshInterval == 0 {
		l.p95 = l.percentile()
	}
}

// HedgeDelay returns the time after which a second attempt should be sent: the 95th
// percentile, at least MinHedgeDelay. It returns false while there are too few samples.
func (l *Latency) HedgeDelay() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.p95 == 0 {
		return 0, false
	}
	return max(l.p95, MinHedgeDelay), true
}

// percentile returns the 95th percentile of the samples.
func (l *Latency) percentile() time.Duration {
	sorted := l.ring
	known := sorted[:min(l.count, maxSamples)]
	slices.Sort(known)
	return known[len(known)*95/100]
}
