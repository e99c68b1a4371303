package allowance

import (
	"math"
	"slices"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
)

// bucket is a token bucket. The zero value has no rate and no capacity, so it
// stays empty until resize.
type bucket struct {
	rate       float64 // tokens per second
	capacity   float64
	tokens     float64
	refilledAt clock.Mark
}

// refill adds the tokens earned in the monotonic time since the last refill.
func (b *bucket) refill(source clock.Source) {
	if !b.refilledAt.IsZero() {
		b.tokens += b.rate * source.Monotonic(b.refilledAt).Seconds()
	}
	// The clock is read again after the measurement above. The time between
	// the two readings is lost, but never counted twice.
	b.refilledAt = clock.Now()
	b.tokens = min(b.tokens, b.capacity)
}

// resize changes rate and capacity of a bucket that has just been refilled, and
// returns the tokens that no longer fit.
func (b *bucket) resize(rate, capacity float64) float64 {
	b.rate = max(rate, 0)
	b.capacity = max(capacity, 0)
	before := b.tokens
	b.tokens = min(before, b.capacity)
	return before - b.tokens
}

// take removes at most n whole tokens and returns how many it removed.
func (b *bucket) take(n int) int {
	taken := min(n, int(b.tokens))
	b.tokens -= float64(taken)
	return taken
}

// Lending limits. An owner issues grants only from the lendable part of a
// contract, so that the next owner can use the rest at once. The rest grows with
// the contract: two owners that use different versions of it stay within the
// larger one.
const (
	lendableShare = 7.0 / 8
	// neverLentRate and neverLentBurst are never lent. An account within them has
	// no lendable part: its grants would be too small for any node.
	neverLentRate  = 10.0
	neverLentBurst = 8.0
)

func lendableRate(rate float64) float64   { return lendableShare * max(rate-neverLentRate, 0) }
func lendableBurst(burst float64) float64 { return lendableShare * max(burst-neverLentBurst, 0) }

// shrinkFactor returns the factor, at most 1, by which a grant shrinks when
// the lendable part of its contract changes from the part under which it was
// issued to the current one.
func shrinkFactor(issued, current float64) float64 {
	if issued <= current {
		return 1
	}
	return current / issued
}

// waterLevel returns the level at which the sum of min(want, level) equals total.
// It is infinite when the sum of all wants is less than total.
func waterLevel(wants []float64, total float64) float64 {
	sorted := slices.Clone(wants)
	slices.Sort(sorted)
	for i, want := range sorted {
		level := total / float64(len(sorted)-i)
		if want >= level {
			return level
		}
		total -= want
	}
	return math.Inf(1)
}
