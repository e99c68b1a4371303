package allowance

import (
	"time"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
)

// Bucket is a token bucket for tests, with a clock that Wait advances.
type Bucket struct {
	b      bucket
	passed time.Duration
}

// Wait advances the bucket's clock.
func (b *Bucket) Wait(d time.Duration) { b.passed += d }

func (b *Bucket) refill() {
	b.b.refill(b)
	b.passed = 0
}

// Elapsed implements clock.Source.
func (b *Bucket) Elapsed(clock.Mark) time.Duration { return b.passed }

// Monotonic implements clock.Source.
func (b *Bucket) Monotonic(clock.Mark) time.Duration { return b.passed }

// Resize refills the bucket, changes its rate and capacity, and returns the
// tokens that no longer fit.
func (b *Bucket) Resize(rate, capacity float64) float64 {
	b.refill()
	return b.b.resize(rate, capacity)
}

// Take refills the bucket, removes at most n tokens and returns how many.
func (b *Bucket) Take(n int) int {
	b.refill()
	return b.b.take(n)
}

// Tokens returns the tokens after the last refill.
func (b *Bucket) Tokens() float64 { return b.b.tokens }

// Functions whose arithmetic is tested directly.
var (
	WaterLevel    = waterLevel
	LendableRate  = lendableRate
	LendableBurst = lendableBurst
	RoundDown     = roundDown
)
