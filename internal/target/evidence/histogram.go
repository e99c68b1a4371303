package evidence

import (
	"math"
	"time"
)

// Bounds of a histogram's buckets. The upper bound of the first bucket is
// histogramLow; the upper bound of each further bucket is histogramGrowth times the
// previous bound.
const (
	histogramBuckets = 64
	histogramLow     = 100 * time.Microsecond
	histogramGrowth  = 1.25
)

// Histogram counts durations in buckets of exponentially growing width. The zero value
// is empty.
type Histogram struct {
	// Counts holds the weight of the durations in each bucket; nil means that there
	// are none.
	Counts []float32 `json:"counts,omitempty"`
	// Total is the sum of the weights.
	Total float64 `json:"total,omitempty"`
}

func bucketOf(d time.Duration) int {
	if d <= histogramLow {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(histogramLow)) / math.Log(histogramGrowth)))
	return min(i, histogramBuckets-1)
}

func bucketBound(i int) time.Duration {
	return time.Duration(float64(histogramLow) * math.Pow(histogramGrowth, float64(i)))
}

func (h *Histogram) add(d time.Duration) {
	if h.Counts == nil {
		h.Counts = make([]float32, histogramBuckets)
	}
	h.Counts[bucketOf(d)]++
	h.Total++
}

func (h *Histogram) scale(factor float64) {
	for i := range h.Counts {
		h.Counts[i] *= float32(factor)
	}
	h.Total *= factor
}

// addScaled adds the weights of other, multiplied by factor. A factor of -1 subtracts
// them. No weight falls below 0.
func (h *Histogram) addScaled(other Histogram, factor float64) {
	if len(other.Counts) != histogramBuckets {
		return
	}
	if h.Counts == nil {
		h.Counts = make([]float32, histogramBuckets)
	}
	h.Total = 0
	for i := range h.Counts {
		h.Counts[i] = max(0, h.Counts[i]+float32(factor)*other.Counts[i])
		h.Total += float64(h.Counts[i])
	}
}

// Quantile returns the upper bound of the bucket that contains the q-quantile (q from
// 0 to 1), or 0 when the histogram is empty.
func (h *Histogram) Quantile(q float64) time.Duration {
	if h.Total <= 0 {
		return 0
	}
	sum := 0.0
	for i, c := range h.Counts {
		sum += float64(c)
		if sum >= q*h.Total {
			return bucketBound(i)
		}
	}
	return bucketBound(histogramBuckets - 1)
}
