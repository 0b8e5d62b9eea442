package logic

const (
	firstBucketBound  = 100 // upper bound of the first bucket, ms
	bucketCount       = 8
	maxHistogramCount = 200 // counts are halved when their total exceeds this, so that old durations lose weight
)

// histogram counts durations in buckets, each twice as wide as the one before. The last has no upper bound.
type histogram struct {
	counts [bucketCount]float64
	total  float64
}

// add counts a duration in milliseconds.
func (h *histogram) add(duration float64) {
	bucket := 0
	for bound := float64(firstBucketBound); duration > bound && bucket < len(h.counts)-1; bound *= 2 {
		bucket++
	}
	h.counts[bucket]++
	h.total++
	if h.total > maxHistogramCount {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
}

// quantile returns the upper bound of the bucket in which the given fraction of all durations is reached.
func (h *histogram) quantile(fraction float64) float64 {
	seen, bound := 0.0, float64(firstBucketBound)
	for i := range h.counts {
		if seen += h.counts[i]; seen >= fraction*h.total {
			break
		}
		bound *= 2
	}
	return bound
}
