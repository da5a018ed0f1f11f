package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a retry storm: over any sequence of requests and resends, resends stay within the share of the requests
// plus the burst.
func TestBudgetBoundsResends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := NewBudget(share)
		requests, resends := 0, 0
		for range rapid.IntRange(0, 2000).Draw(t, "steps") {
			b.AddRequest()
			requests++
			for b.Spend() {
				resends++
			}
		}
		if limit := share*float64(requests) + burst + 1e-6; float64(resends) > limit {
			t.Fatalf("%d resends for %d requests, limit %.1f", resends, requests, limit)
		}
		if share == 0 && resends > 0 {
			t.Fatal("a share of zero allowed a resend")
		}
	})
}

// Guards against hedges that are sent too early or never: the percentile is within one bucket of the exact one and
// follows recent answers.
func TestPercentileFollowsRecentLatencies(t *testing.T) {
	var h LatencyHistogram
	if _, ok := h.Percentile(0.95); ok {
		t.Fatal("got a percentile without answers")
	}
	for i := range 1000 {
		h.Add(time.Duration(i+1) * time.Millisecond)
	}
	got, ok := h.Percentile(0.95)
	if !ok || got < 950*time.Millisecond || got > 1100*time.Millisecond {
		t.Errorf("95th percentile of 1..1000 ms: %v, %v; want about 950 ms", got, ok)
	}
	for range 20 * halveAfter {
		h.Add(time.Millisecond)
	}
	if got, _ := h.Percentile(0.95); got > 1100*time.Microsecond {
		t.Errorf("old latencies do not fade: %v", got)
	}
}
