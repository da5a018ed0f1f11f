package era

import (
	"math"
	"testing"
	"time"
)

// Guards against an answer that began before a return and counts as another one, against an era that cannot be right, and against
// an instance that drops all answers since it believes a wrong era.
func TestTracker(t *testing.T) {
	start := time.Unix(1000, 0)
	var tracker Tracker
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for i, step := range []struct {
		now, began float64
		era        uint64
		want       Verdict
	}{
		{0, 0, 0, Unchanged}, // no era is named
		{1, 1, 5, First},
		{2, 2, 5, Unchanged},
		{3, 3, math.MaxUint64, Implausible},
		{3, 3, 5 + maxRise + 1, Implausible},
		{4, 4, 6, Risen},
		{5, 3.9, 5, Late},
		{5, 4.1, 5, Late}, // a first contradiction
		{6, 6, 6, Unchanged},
		{7, 7, 9, Risen}, // two returns were missed
	} {
		if got := tracker.Answer(at(step.now), at(step.began), step.era); got != step.want {
			t.Errorf("step %d, era %d: verdict %d, want %d", i, step.era, got, step.want)
		}
	}
	for i := range maxLowerAnswers {
		want := Late
		if i == maxLowerAnswers-1 {
			want = Fallen
		}
		if got := tracker.Answer(at(10+float64(i)), at(10+float64(i)), 7); got != want {
			t.Errorf("lower answer %d: verdict %d, want %d", i, got, want)
		}
	}
	if tracker.Known() != 7 {
		t.Errorf("era %d is known, want 7", tracker.Known())
	}
	if tracker.Hint(at(30), 6) != Late || tracker.Hint(at(30), 8) != Risen || tracker.Known() != 8 {
		t.Errorf("era %d is known after the hints of peers", tracker.Known())
	}
}

// Guards against answers in quick succession, all late, that make an instance go back to an earlier era.
func TestManyLateAnswersAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	var tracker Tracker
	tracker.Answer(start, start, 2)
	for i := range 10 * maxLowerAnswers {
		now := start.Add(time.Duration(i+1) * time.Millisecond)
		if got := tracker.Answer(now, now, 1); got != Late {
			t.Fatalf("answer %d: verdict %d", i, got)
		}
	}
}

// Guards against writes of a whole fleet at the same time after a return.
func TestWritesAreSpread(t *testing.T) {
	for rank := range 110 {
		if d := WriteDelay(rank, 0); d > StrikeHold || rank > 0 && rank < 10 && d < WriteDelay(rank-1, 0)+rankDelay {
			t.Errorf("rank %d writes after %s", rank, d)
		}
	}
	if d := RegistrationDelay(); d <= 0 || d > 3*time.Second {
		t.Errorf("registration after %s", d)
	}
}
