package evidence

import "math"

// Profile sets how much evidence a finding needs.
type Profile struct {
	// Threshold is the log-likelihood ratio at which an instance counts as
	// failing.
	Threshold float64
	// PathThreshold is the log-likelihood ratio at which the network path from one
	// VM to an instance counts as broken. Each failure in a row adds 2.303.
	PathThreshold float64
}

// Profiles that a service may choose.
var (
	// Fast reports an instance as failing after about 4 failures in a row. By Wald's
	// bound a healthy instance is suspected at most once in 10,000 outcomes.
	Fast = Profile{Threshold: math.Log(1e4), PathThreshold: 6.9}
	// Careful reports an instance as failing after about 7 failures in a row. By
	// Wald's bound a healthy instance is suspected at most once in 10,000,000
	// outcomes.
	Careful = Profile{Threshold: math.Log(1e7), PathThreshold: 11.5}
)

// Rates of bad outcomes that the cumulative-sum test distinguishes.
const (
	// priorRate is the rate that is assumed for the peers at first. It is averaged
	// with their outcomes as if it had been measured over priorWeight outcomes.
	priorRate   = 0.02
	priorWeight = 50
	// windowWeight is the weight of the peers' long-term rate, as a number of
	// outcomes, when it is averaged with the peers' outcomes since the instance's
	// first bad outcome. It is small so that an overload of the whole service shows
	// within a few outcomes.
	windowWeight = 10
	// minRate and maxRate bound rates so that their logarithms stay finite.
	minRate = 0.01
	maxRate = 0.95
	// minDifference is the smallest difference between the rates of an instance and
	// its peers that counts.
	minDifference = 0.1
	// minFailingRate is the lowest rate that counts as failing.
	minFailingRate = 0.2
)

func clampRate(p float64) float64 {
	return min(max(p, minRate), maxRate)
}

// failingRate returns the rate of bad outcomes that is assumed for a failing instance
// when its peers have the rate p0.
func failingRate(p0 float64) float64 {
	return max(minFailingRate, min(4*p0, p0+(1-p0)/2))
}

// likelihoodRatios returns the log-likelihood ratios of "the instance is failing" to
// "it has its peers' rate p0" for a bad and for a good outcome.
func likelihoodRatios(p0 float64) (bad, good float64) {
	p0 = clampRate(p0)
	p1 := failingRate(p0)
	return math.Log(p1 / p0), math.Log((1 - p1) / (1 - p0))
}
