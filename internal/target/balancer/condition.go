package balancer

import (
	"math"
	"time"
)

// Assumptions about gray failures. An instance changes between a sound and a gray
// condition without telling; in the gray one it fails most requests while its health
// report is good.
const (
	// grayShare is the part of the time that an instance is gray.
	grayShare = 0.12
	// graySpell is how long a gray condition lasts on average. Users see spells of a
	// few seconds.
	graySpell = 6 * time.Second
	// grayFailures is the part of the requests that fail in the gray condition.
	grayFailures = 0.75
	// soundFailures is the part of the requests that fail in the sound condition.
	soundFailures = 0.015
	// soundTimeouts is the part of the requests that a sound instance does not answer
	// in time. It is larger, since some requests take longer than their timeout
	// wherever they run.
	soundTimeouts = 0.06
)

// relaxation is the time in which the weight of old evidence falls to 1/e.
var relaxation = time.Duration(float64(graySpell) * (1 - grayShare))

// condition estimates whether an instance is gray, from the ends of requests of all
// VMs: a hidden Markov model with two states. The zero value knows nothing.
type condition struct {
	at   time.Time
	gray float64 // probability at that time
}

// probability returns the probability that the instance is gray now. Without
// evidence it returns to the share of gray time.
func (c *condition) probability(now time.Time) float64 {
	if c.at.IsZero() {
		return grayShare
	}
	fade := math.Exp(-now.Sub(c.at).Seconds() / relaxation.Seconds())
	return grayShare + (c.gray-grayShare)*fade
}

// observe takes in the end of one request.
func (c *condition) observe(now time.Time, v verdict) {
	p := c.probability(now)
	gray, sound := 1-grayFailures, 1-soundFailures
	switch v {
	case failed:
		gray, sound = grayFailures, soundFailures
	case late:
		gray, sound = grayFailures, soundTimeouts
	default:
	}
	c.gray = p * gray / (p*gray + (1-p)*sound)
	c.at = now
}

// failure returns the probability that a request fails now.
func (c *condition) failure(now time.Time) float64 {
	p := c.probability(now)
	return p*grayFailures + (1-p)*soundFailures
}
