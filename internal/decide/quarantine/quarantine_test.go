package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
)

var (
	startTime   = time.Unix(1000, 0)
	s1          = quarantine.Server{Service: "intake", Name: "intake-1"}
	s2          = quarantine.Server{Service: "intake", Name: "intake-2"}
	fingerprint = quarantine.Fingerprint{1}
)

// Guards against a fingerprint that is refused too early, too late or for too long.
func TestTreatment(t *testing.T) {
	lost := func(s quarantine.Server, incarnation string) quarantine.BrokenConnection {
		return quarantine.BrokenConnection{Server: s, Incarnation: incarnation, Fingerprint: fingerprint}
	}
	strike := func(s quarantine.Server, incarnation string, at time.Time) quarantine.Strike {
		return quarantine.Strike{Fingerprint: fingerprint, Crash: quarantine.Crash{Server: s, Incarnation: incarnation, At: at}}
	}
	tests := []struct {
		name string
		do   func(q *quarantine.Quarantine, now time.Time)
		wait time.Duration
		want quarantine.Treatment
	}{
		{"connection broke", func(q *quarantine.Quarantine, now time.Time) { q.ConnectionBroke(now, lost(s1, "a")) }, 0, quarantine.RunAlone},
		{"server still accepts", func(q *quarantine.Quarantine, now time.Time) {
			q.ConnectionBroke(now, lost(s1, "a"))
			q.ConnectionAccepted(now, s1)
		}, 0, quarantine.RunNormally},
		{"one crash", func(q *quarantine.Quarantine, now time.Time) {
			q.ConnectionBroke(now, lost(s1, "a"))
			q.ConnectionRefused(now, s1)
		}, 0, quarantine.RunAlone},
		{"one crash proved by a new incarnation", func(q *quarantine.Quarantine, now time.Time) {
			q.IncarnationReported(now, s1, "a")
			q.ConnectionBroke(now, lost(s1, "a"))
			q.ConnectionAccepted(now, s1)
			q.IncarnationReported(now, s1, "b")
		}, 0, quarantine.RunAlone},
		{"crash detected too late after the broken connection", func(q *quarantine.Quarantine, now time.Time) {
			q.ConnectionBroke(now, lost(s1, "a"))
			q.ConnectionAccepted(now, s1)
			q.ConnectionRefused(now.Add(time.Minute), s1)
		}, time.Minute, quarantine.RunNormally},
		{"second connection broke", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now))
			q.ConnectionBroke(now, lost(s2, "a"))
		}, 0, quarantine.Refuse},
		{"second server did not crash", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now))
			q.ConnectionBroke(now, lost(s2, "a"))
			q.ConnectionAccepted(now, s2)
		}, 0, quarantine.RunAlone},
		{"same crash reported by two instances", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now))
			q.Strike(now, strike(s1, "a", now.Add(time.Minute)))
			q.Strike(now, strike(s1, "", now.Add(time.Second)))
		}, 0, quarantine.RunAlone},
		{"two crashes of one server", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now))
			q.Strike(now, strike(s1, "b", now))
		}, 0, quarantine.Refuse},
		{"two crashes of one server without incarnations", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "", now))
			q.Strike(now, strike(s1, "", now.Add(time.Minute)))
		}, 0, quarantine.Refuse},
		{"answer after two crashes", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now))
			q.Strike(now, strike(s2, "a", now))
			q.Clear(now, fingerprint)
		}, 0, quarantine.RunNormally},
		{"condemned for nine minutes", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now))
			q.Strike(now, strike(s2, "a", now))
		}, 9 * time.Minute, quarantine.RunTrial},
		{"condemned just before the first trial", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now))
			q.Strike(now, strike(s2, "a", now))
		}, quarantine.TrialDelay - time.Millisecond, quarantine.Refuse},
		{"condemned by crashes that were recorded before this instance started", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now.Add(-time.Minute)))
			q.Strike(now, strike(s2, "a", now.Add(-quarantine.TrialDelay)))
		}, 0, quarantine.RunTrial},
		{"condemned by a crash that was recorded with a clock that is ahead", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now))
			q.Strike(now, strike(s2, "a", now.Add(time.Hour)))
		}, quarantine.TrialDelay, quarantine.RunTrial},
		{"trial runs", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now.Add(-time.Minute)))
			q.Strike(now, strike(s2, "a", now.Add(-time.Minute)))
			q.StartTrial(now, quarantine.Trial{Fingerprint: fingerprint, Number: 1, At: now})
		}, quarantine.TrialDelay, quarantine.Refuse},
		{"trial was claimed before its strikes were read", func(q *quarantine.Quarantine, now time.Time) {
			q.StartTrial(now, quarantine.Trial{Fingerprint: fingerprint, Number: 1, At: now})
			q.Strike(now, strike(s1, "a", now.Add(-time.Minute)))
			q.Strike(now, strike(s2, "a", now.Add(-time.Minute)))
		}, quarantine.TrialDelay, quarantine.Refuse},
		{"trial ended without an answer", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now.Add(-time.Minute)))
			q.Strike(now, strike(s2, "a", now.Add(-time.Minute)))
			q.StartTrial(now, quarantine.Trial{Fingerprint: fingerprint, Number: 1, At: now})
			q.EndTrial(now, fingerprint)
		}, 3 * quarantine.TrialDelay, quarantine.RunTrial},
		{"trial was answered", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now.Add(-time.Minute)))
			q.Strike(now, strike(s2, "a", now.Add(-time.Minute)))
			q.StartTrial(now, quarantine.Trial{Fingerprint: fingerprint, Number: 1, At: now})
			q.Clear(now, fingerprint)
		}, 0, quarantine.RunNormally},
		{"both strikes withdrawn", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now))
			q.Strike(now, strike(s2, "a", now))
			q.Withdraw(now, strike(s1, "a", now))
			q.Withdraw(now, strike(s2, "a", now))
		}, 0, quarantine.RunNormally},
		{"one strike withdrawn", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now))
			q.Strike(now, strike(s2, "a", now))
			q.Withdraw(now, strike(s1, "a", now))
		}, 0, quarantine.RunAlone},
		{"equal request answered shortly before the crashes", func(q *quarantine.Quarantine, now time.Time) {
			q.Clear(now.Add(-quarantine.AnswerMemory/2), fingerprint)
			q.Strike(now, strike(s1, "a", now))
			q.Strike(now, strike(s2, "a", now))
		}, 0, quarantine.RunNormally},
		{"equal request answered long before the crashes", func(q *quarantine.Quarantine, now time.Time) {
			q.Clear(now.Add(-quarantine.AnswerMemory), fingerprint)
			q.Strike(now, strike(s1, "a", now))
			q.Strike(now, strike(s2, "a", now))
		}, 0, quarantine.Refuse},
		{"condemned for ten minutes", func(q *quarantine.Quarantine, now time.Time) {
			q.Strike(now, strike(s1, "a", now))
			q.Strike(now, strike(s2, "a", now))
		}, 10 * time.Minute, quarantine.RunNormally},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ch, err := charts.Load("quarantine", nil)
			if err != nil {
				t.Fatal(err)
			}
			q, err := quarantine.New(ch, 30*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			test.do(q, startTime)
			q.Tick(startTime.Add(test.wait))
			if got := q.Snapshot(startTime.Add(test.wait)).Marks[fingerprint]; got != test.want {
				t.Errorf("treatment %d, want %d", got, test.want)
			}
		})
	}
}

// Guards against a request that crashes each server and is let through again and again, and against one that is refused for
// good although nobody sends it any more.
func TestTrialsOfRequestThatCrashesServersAreBounded(t *testing.T) {
	ch, err := charts.Load("quarantine", nil)
	if err != nil {
		t.Fatal(err)
	}
	q, err := quarantine.New(ch, 30*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	crashes := 0
	crash := func(now time.Time) {
		crashes++
		c := quarantine.Crash{Server: s1, Incarnation: fmt.Sprint(crashes), At: now}
		q.Strike(now, quarantine.Strike{Fingerprint: fingerprint, Crash: c})
	}
	crash(startTime)
	crash(startTime)
	afterThird := 0
	for second := range 24 * 60 * 60 {
		now := startTime.Add(time.Duration(second) * time.Second)
		q.Tick(now)
		if trial, due := q.NextTrial(now, fingerprint); due {
			q.StartTrial(now, trial)
			crash(now)
			if crashes > 3 && second <= 100 {
				afterThird++
			}
		}
	}
	if crashes > 8 || afterThird > 3 {
		t.Errorf("%d servers crashed, %d in the first 100 s after the third", crashes, afterThird)
	}
	if got := q.TreatmentOf(startTime.Add(24*time.Hour), fingerprint); got != quarantine.RunNormally {
		t.Errorf("after a day the treatment is %d", got)
	}
}

// Guards against marks that grow without bound or never expire.
func TestMarksAreBounded(t *testing.T) {
	ch, err := charts.Load("quarantine", nil)
	if err != nil {
		t.Fatal(err)
	}
	q, err := quarantine.New(ch, 30*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for n := range quarantine.MaxMarks + 10 {
		q.ConnectionBroke(startTime, quarantine.BrokenConnection{Server: s1, Fingerprint: quarantine.Fingerprint{byte(n), byte(n >> 8)}})
	}
	if marks := len(q.Snapshot(startTime).Marks); marks != quarantine.MaxMarks || q.UnmarkedCount != 10 {
		t.Errorf("%d marks, %d fingerprints not marked", marks, q.UnmarkedCount)
	}
	q.Tick(startTime.Add(time.Hour))
	q.Tick(startTime.Add(2 * time.Hour))
	if _, due := q.Deadline(); due {
		t.Error("a timeout is still set after two hours")
	}
}
