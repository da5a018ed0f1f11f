package resend

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against resends of the whole fleet above the limit in any window, however requests are spread over the
// instances.
func TestFleetResendsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
		instances := rapid.IntRange(1, 20).Draw(t, "instances")
		budgets := make([]*Budget, instances)
		for i := range budgets {
			budgets[i] = NewBudget(limits)
		}
		now := time.Unix(1000, 0)
		type sample struct {
			at       time.Time
			requests int
			resends  int
		}
		var samples []sample
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			m := sample{at: now}
			for range rapid.IntRange(0, 4).Draw(t, "requests") {
				b.CountRequest(now)
				m.requests++
			}
			for range rapid.IntRange(0, 6).Draw(t, "wanted") {
				if b.Take(now, instances) {
					m.resends++
				}
			}
			samples = append(samples, m)
		}
		for _, end := range samples {
			requests, resends := 0, 0
			for _, m := range samples {
				if m.at.After(end.at.Add(-limits.Window)) && !m.at.After(end.at) {
					requests += m.requests
					resends += m.resends
				}
			}
			if allowed := limits.Ratio*float64(requests) + limits.Slack; float64(resends) > allowed {
				t.Fatalf("%d resends for %d requests in a window, limit %.1f", resends, requests, allowed)
			}
		}
	})
}

// Guards against a budget that never allows a resend when requests are few.
func TestSlackAllowsResends(t *testing.T) {
	b := NewBudget(Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second})
	taken := 0
	for b.Take(time.Unix(1000, 0), 15) {
		taken++
	}
	if taken != 3 {
		t.Errorf("one of 15 instances may resend %d times without requests, want 3", taken)
	}
}

// Guards against a change of the limits that renews the budget.
func TestLimitsChangeKeepsResends(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	b := NewBudget(limits)
	take := func() (taken int) {
		for b.Take(now, 1) {
			taken++
		}
		return taken
	}
	if taken := take(); taken != 40 {
		t.Fatalf("%d resends, want 40", taken)
	}
	b.SetLimits(limits)
	now = now.Add(5 * time.Second)
	if taken := take(); taken != 0 {
		t.Errorf("%d resends after the same limits were set", taken)
	}
	limits.Window = 5 * time.Second
	b.SetLimits(limits)
	if taken := take(); taken != 0 {
		t.Errorf("%d resends after the window was changed", taken)
	}
	limits.Slack = 100
	b.SetLimits(limits)
	if taken := take(); taken != 40 {
		t.Errorf("%d resends after the slack was raised by 50, want 40", taken)
	}
	now = now.Add(10 * time.Second)
	if taken := take(); taken != 80 {
		t.Errorf("%d resends after the window has passed, want 80", taken)
	}
}
