package placement

import (
	"testing"
	"time"
)

// Guards against a placement that waits for the busiest server when servers do not report load and their health checks wait
// for a slot, and against a placement that does not wait for any answer.
func TestFirstAnswerIsTakenWithoutLoadReports(t *testing.T) {
	d := Demand{Objective: 400 * time.Millisecond}
	for name, c := range map[string]struct {
		poll Poll
		want time.Duration
	}{
		"all answered":                  {Poll{Fresh: 3}, 0},
		"load, one outstanding":         {Poll{Waited: 2 * time.Millisecond, Outstanding: 1, Fresh: 3}, 6 * time.Millisecond},
		"load, limit over":              {Poll{Waited: 9 * time.Millisecond, Outstanding: 1, Fresh: 3}, 0},
		"no load, first answer":         {Poll{NoLoad: true, Waited: time.Millisecond, Outstanding: 2, Fresh: 1}, 2 * time.Millisecond},
		"no load, first answer is late": {Poll{NoLoad: true, Waited: 20 * time.Millisecond, Outstanding: 2, Fresh: 1}, 0},
		"no load, no answer yet":        {Poll{NoLoad: true, Waited: 20 * time.Millisecond, Outstanding: 3}, 80 * time.Millisecond},
		"no load, no answer at all":     {Poll{NoLoad: true, Waited: 100 * time.Millisecond, Outstanding: 3}, 0},
	} {
		if got := c.poll.Remaining(8*time.Millisecond, d); got != c.want {
			t.Errorf("%s: waits for another %s, want %s", name, got, c.want)
		}
	}
}

// Guards against hedges that are sent too late to help, that use up the resend budget without benefit, or that are never
// sent although the answer is lost.
func TestHedgeAfter(t *testing.T) {
	tuning := DefaultTuning()
	d := Demand{Left: 1500 * time.Millisecond, Objective: 600 * time.Millisecond}
	reported, noLoad := tuning.HedgeAfter(d, 200*time.Millisecond, true), tuning.HedgeAfter(d, 200*time.Millisecond, false)
	if noLoad >= reported || reported+200*time.Millisecond > d.Objective {
		t.Errorf("hedges are sent after %s with load reports and after %s without", reported, noLoad)
	}
	d.Objective = 300 * time.Millisecond
	if rescue := tuning.HedgeAfter(d, 200*time.Millisecond, false); rescue < d.Left/2 || rescue > d.Left*3/4 {
		t.Errorf("a hedge that will miss the latency target is sent after %s of %s", rescue, d.Left)
	}
}
