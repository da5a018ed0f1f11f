package placement

import (
	"testing"
	"time"
)

// Guards against a placement that waits for the busiest server when servers do not report load and their health checks wait
// for a slot, and against a placement that does not wait for any answer.
func TestFirstAnswerIsTakenWithoutLoadReports(t *testing.T) {
	r := Request{TimeToTarget: 400 * time.Millisecond}
	for name, c := range map[string]struct {
		round CheckRound
		want  time.Duration
	}{
		"all answered":                  {CheckRound{FreshReports: 3}, 0},
		"load, one outstanding":         {CheckRound{Waited: 2 * time.Millisecond, Outstanding: 1, FreshReports: 3}, 6 * time.Millisecond},
		"load, limit over":              {CheckRound{Waited: 9 * time.Millisecond, Outstanding: 1, FreshReports: 3}, 0},
		"no load, first answer":         {CheckRound{NoLoad: true, Waited: time.Millisecond, Outstanding: 2, FreshReports: 1}, 2 * time.Millisecond},
		"no load, first answer is late": {CheckRound{NoLoad: true, Waited: 20 * time.Millisecond, Outstanding: 2, FreshReports: 1}, 0},
		"no load, no answer yet":        {CheckRound{NoLoad: true, Waited: 20 * time.Millisecond, Outstanding: 3}, 80 * time.Millisecond},
		"no load, no answer at all":     {CheckRound{NoLoad: true, Waited: 100 * time.Millisecond, Outstanding: 3}, 0},
	} {
		if got := c.round.Remaining(8*time.Millisecond, r); got != c.want {
			t.Errorf("%s: waits for another %s, want %s", name, got, c.want)
		}
	}
}

// Guards against hedges that are sent too late to help, that use up the resend budget without benefit, or that are never
// sent although the answer is lost.
func TestHedgeAfter(t *testing.T) {
	tuning := DefaultTuning()
	r := Request{TimeToDeadline: 1500 * time.Millisecond, TimeToTarget: 600 * time.Millisecond}
	reported, noLoad := tuning.HedgeAfter(r, 200*time.Millisecond, true), tuning.HedgeAfter(r, 200*time.Millisecond, false)
	if noLoad >= reported || reported+200*time.Millisecond > r.TimeToTarget {
		t.Errorf("hedges are sent after %s with load reports and after %s without", reported, noLoad)
	}
	r.TimeToTarget = 300 * time.Millisecond
	if rescue := tuning.HedgeAfter(r, 200*time.Millisecond, false); rescue < r.TimeToDeadline/2 || rescue > r.TimeToDeadline*3/4 {
		t.Errorf("a hedge that will miss the latency target is sent after %s of %s", rescue, r.TimeToDeadline)
	}
}
