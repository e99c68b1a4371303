package evidence

import (
	"math"
	"time"
)

const (
	// recordHalfLife is the time in which the weight of an outcome halves.
	recordHalfLife = 10 * time.Second
	// bucketTime is the resolution of recentCounts, bucketCount how many buckets are
	// kept.
	bucketTime  = 50 * time.Millisecond
	bucketCount = 64
	// decayInterval is the least time between two decays of a record, since each
	// decay multiplies all weights of a histogram.
	decayInterval = 250 * time.Millisecond
)

// Tally counts outcomes. Where it decays, old outcomes count less than 1.
type Tally struct {
	// Total is the weight of all outcomes.
	Total float64 `json:"total"`
	// Bad is the weight of the bad outcomes.
	Bad float64 `json:"bad"`
}

func (t *Tally) add(bad bool) {
	t.Total++
	if bad {
		t.Bad++
	}
}

// addScaled adds other, multiplied by factor. Neither weight falls below 0.
func (t *Tally) addScaled(other Tally, factor float64) {
	t.Total = max(0, t.Total+factor*other.Total)
	t.Bad = max(0, t.Bad+factor*other.Bad)
}

func (t *Tally) scale(factor float64) {
	t.Total *= factor
	t.Bad *= factor
}

// decayFactor returns the factor by which a weight decreases in the elapsed time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// Record summarizes the outcomes of one or more instances on a route.
type Record struct {
	// Long counts the outcomes with a half-life of 10 s.
	Long Tally `json:"long"`
	// Recent counts the outcomes within the window given to Judge.Records, without
	// decay.
	Recent Tally `json:"recent"`
	// FirstByte holds the times to first byte of warm instances, with a half-life of
	// 10 s.
	FirstByte Histogram `json:"first_byte"`
}

func (r *Record) decay(elapsed time.Duration) {
	factor := decayFactor(elapsed, recordHalfLife)
	r.Long.scale(factor)
	r.FirstByte.scale(factor)
}

func (r *Record) addScaled(other Record, factor float64) {
	r.Long.addScaled(other.Long, factor)
	r.Recent.addScaled(other.Recent, factor)
	r.FirstByte.addScaled(other.FirstByte, factor)
}

// decayingRecord is a record whose weights decay over time.
type decayingRecord struct {
	Record
	lastDecay time.Time
}

func (r *decayingRecord) decayTo(now time.Time) {
	elapsed := now.Sub(r.lastDecay)
	if elapsed < decayInterval {
		return
	}
	if !r.lastDecay.IsZero() {
		r.decay(elapsed)
	}
	r.lastDecay = now
}

// recentCounts counts the outcomes of the last 3 s in time buckets.
type recentCounts struct {
	counts       [bucketCount]Tally
	newestBucket int64 // number of the newest bucket since the Unix epoch
}

func (r *recentCounts) advance(now time.Time) {
	n := now.UnixNano() / int64(bucketTime)
	if n-r.newestBucket >= bucketCount {
		*r = recentCounts{newestBucket: n}
	}
	for r.newestBucket < n {
		r.newestBucket++
		r.counts[r.newestBucket%bucketCount] = Tally{}
	}
}

func (r *recentCounts) add(now time.Time, bad bool) {
	r.advance(now)
	r.counts[r.newestBucket%bucketCount].add(bad)
}

// since returns the outcomes within the window that ends now. The window is rounded
// up to whole buckets.
func (r *recentCounts) since(now time.Time, window time.Duration) Tally {
	r.advance(now)
	var t Tally
	n := min(bucketCount-1, int64(window/bucketTime)+1)
	for k := r.newestBucket - n + 1; k <= r.newestBucket; k++ {
		t.addScaled(r.counts[((k%bucketCount)+bucketCount)%bucketCount], 1)
	}
	return t
}
