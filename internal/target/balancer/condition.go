package balancer

import (
	"math"
	"time"
)

// Assumptions about gray failures. An instance switches between a healthy and a gray
// condition without reporting it; in the gray condition it fails most requests while
// it still reports itself healthy.
const (
	// grayShare is the share of the time that an instance is gray.
	grayShare = 0.12
	// grayDuration is how long a gray condition lasts on average. Users observe gray
	// failures of a few seconds.
	grayDuration = 6 * time.Second
	// grayFailureShare is the share of requests that fail in the gray condition.
	grayFailureShare = 0.75
	// healthyFailureShare is the share of requests that fail in the healthy condition.
	healthyFailureShare = 0.015
	// healthyTimeoutShare is the share of requests that a healthy instance does not
	// answer in time. It is larger than healthyFailureShare, since some requests take
	// longer than their timeout on any instance.
	healthyTimeoutShare = 0.06
)

// evidenceDecayTime is the time in which the weight of an observation falls to 1/e.
var evidenceDecayTime = time.Duration(float64(grayDuration) * (1 - grayShare))

// condition estimates whether an instance is gray from the request outcomes of all
// VMs, as a hidden Markov model with two states. The zero value has no observations.
type condition struct {
	updated time.Time // of the last observation
	gray    float64   // probability that the instance is gray at that time
}

// probability returns the probability that the instance is gray now. Without new
// observations it decays towards grayShare.
func (c *condition) probability(now time.Time) float64 {
	if c.updated.IsZero() {
		return grayShare
	}
	decay := math.Exp(-now.Sub(c.updated).Seconds() / evidenceDecayTime.Seconds())
	return grayShare + (c.gray-grayShare)*decay
}

// observe updates the estimate with the verdict on one request (Bayes' rule).
func (c *condition) observe(now time.Time, v verdict) {
	p := c.probability(now)
	gray, healthy := 1-grayFailureShare, 1-healthyFailureShare
	switch v {
	case failed:
		gray, healthy = grayFailureShare, healthyFailureShare
	case late:
		gray, healthy = grayFailureShare, healthyTimeoutShare
	default:
	}
	c.gray = p * gray / (p*gray + (1-p)*healthy)
	c.updated = now
}

// failureProbability returns the probability that a request sent now fails.
func (c *condition) failureProbability(now time.Time) float64 {
	p := c.probability(now)
	return p*grayFailureShare + (1-p)*healthyFailureShare
}
