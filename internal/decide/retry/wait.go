package retry

import (
	"math"
	"time"
)

const (
	// firstBucket is the upper bound of the first bucket of latencies.
	firstBucket = 100 * time.Microsecond
	// bucketGrowth is the ratio of neighbouring bounds; a percentile is at most that much too long.
	bucketGrowth = 1.1
	// buckets covers latencies up to about 5 minutes.
	buckets = 160
	// window is how many answers are counted before the counts are halved, so that old answers fade.
	window = 2048
	// fewest answers make a percentile meaningful.
	fewest = 100
)

// Waits keeps the recent latencies of answers, to say after which wait an answer is unusually late.
type Waits struct {
	counts [buckets]uint32
	total  uint32
}

var logGrowth = math.Log(bucketGrowth)

// Add counts the latency of one answer.
func (w *Waits) Add(latency time.Duration) {
	i := 0
	if latency > firstBucket {
		i = min(buckets-1, int(math.Log(float64(latency)/float64(firstBucket))/logGrowth)+1)
	}
	w.counts[i]++
	if w.total++; w.total >= window {
		w.fade()
	}
}

func (w *Waits) fade() {
	w.total = 0
	for i := range w.counts {
		w.counts[i] /= 2
		w.total += w.counts[i]
	}
}

// Percentile returns the latency below which the share of recent answers came, and false while too few are known.
func (w *Waits) Percentile(share float64) (time.Duration, bool) {
	if w.total < fewest {
		return 0, false
	}
	need := uint32(math.Ceil(share * float64(w.total)))
	var seen uint32
	for i, n := range w.counts {
		if seen += n; seen >= need {
			return time.Duration(float64(firstBucket) * math.Pow(bucketGrowth, float64(i))), true
		}
	}
	return 0, false
}
