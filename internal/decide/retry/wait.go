package retry

import (
	"math"
	"time"
)

const (
	// firstBucket is the upper bound of the first bucket of the histogram.
	firstBucket = 100 * time.Microsecond
	// bucketGrowth is the ratio of the bounds of adjacent buckets. A percentile is overestimated by at most this factor.
	bucketGrowth = 1.1
	// buckets covers latencies up to about 6 minutes.
	buckets = 160
	// halveAfter is the number of answers after which all counts are halved, so that old answers lose weight.
	halveAfter = 2048
	// minAnswers is the least number of answers that gives a meaningful percentile.
	minAnswers = 100
)

// LatencyHistogram is a histogram of recent answer latencies. Its percentile is the time after which a hedge is sent.
type LatencyHistogram struct {
	counts [buckets]uint32
	total  uint32
}

var logGrowth = math.Log(bucketGrowth)

// Add counts the latency of one answer.
func (h *LatencyHistogram) Add(latency time.Duration) {
	i := 0
	if latency > firstBucket {
		i = min(buckets-1, int(math.Log(float64(latency)/float64(firstBucket))/logGrowth)+1)
	}
	h.counts[i]++
	if h.total++; h.total >= halveAfter {
		h.halve()
	}
}

// halve halves all counts.
func (h *LatencyHistogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// Percentile returns the latency that the given share of recent answers did not exceed, and false while there are too few
// answers.
func (h *LatencyHistogram) Percentile(share float64) (time.Duration, bool) {
	if h.total < minAnswers {
		return 0, false
	}
	rank := uint32(math.Ceil(share * float64(h.total)))
	var seen uint32
	for i, n := range h.counts {
		if seen += n; seen >= rank {
			return time.Duration(float64(firstBucket) * math.Pow(bucketGrowth, float64(i))), true
		}
	}
	return 0, false
}
