package logic

const (
	firstBucket     = 100 // upper bound of the first bucket, ms
	bucketCount     = 8
	histogramWeight = 200 // counts are halved when their sum exceeds this, so that old durations lose weight
)

// histogram counts durations in buckets, each twice as wide as the one before. The last has no upper bound.
type histogram struct {
	counts [bucketCount]float64
	total  float64
}

// add counts a duration in milliseconds.
func (h *histogram) add(duration float64) {
	bucket := 0
	for top := float64(firstBucket); duration > top && bucket < len(h.counts)-1; top *= 2 {
		bucket++
	}
	h.counts[bucket]++
	h.total++
	if h.total > histogramWeight {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
}

// quantile is the upper bound of the bucket in which the given fraction of all durations is reached.
func (h *histogram) quantile(fraction float64) float64 {
	seen, top := 0.0, float64(firstBucket)
	for i := range h.counts {
		if seen += h.counts[i]; seen >= fraction*h.total {
			break
		}
		top *= 2
	}
	return top
}
