package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/placement"
)

// Guards against a typical service time that slow machines inflate where servers do not report load, so that hedges would be
// sent too late. Here, 35 of 100 requests take four times as long.
func TestTypicalTimeOfServersWithoutLoadReports(t *testing.T) {
	s := placement.ServiceTime{Assumed: 300 * time.Millisecond}
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		work := 80*time.Millisecond + time.Duration(rnd.Int64N(int64(20*time.Millisecond)))
		if rnd.Float64() < 0.35 {
			work *= 4
		}
		s.Record(time.Unix(1000, 0), work, false)
	}
	if typical := s.Value(); typical < 75*time.Millisecond || typical > 115*time.Millisecond {
		t.Errorf("the typical service time is %s", typical)
	}
}

// Guards against one slow answer after a start that sets the estimate on its own.
func TestFirstSampleDoesNotSetServiceTime(t *testing.T) {
	for _, loadReported := range []bool{true, false} {
		s := placement.ServiceTime{Assumed: 200 * time.Millisecond}
		s.Record(time.Unix(1000, 0), 800*time.Millisecond, loadReported)
		if s.Value() != 500*time.Millisecond {
			t.Errorf("load reported %v: the service time is %s, want the mean of the assumption and the sample", loadReported, s.Value())
		}
		for range 300 {
			s.Record(time.Unix(1000, 0), 800*time.Millisecond, loadReported)
		}
		if s.Value() < 780*time.Millisecond {
			t.Errorf("load reported %v: the service time is %s after 300 answers", loadReported, s.Value())
		}
	}
}

// Guards against trials that come too often, or although the estimate causes no refusal.
func TestTrialOfServiceTimeIsDue(t *testing.T) {
	now := time.Unix(1000, 0)
	s := placement.ServiceTime{Assumed: 200 * time.Millisecond}
	if s.TrialDue(now) {
		t.Error("a trial is due before the first sample")
	}
	s.Record(now, time.Second, true)
	if s.TrialDue(now.Add(999*time.Millisecond)) || !s.TrialDue(now.Add(time.Second)) {
		t.Error("a trial is not due one second after the last sample")
	}
	s.StartTrial(now.Add(time.Second))
	if s.TrialDue(now.Add(1999 * time.Millisecond)) {
		t.Error("a trial is due too early after another one")
	}
	before := s.Value()
	if s.RecordTrial(2 * time.Second); s.Value() != before {
		t.Error("a trial that may have been delayed by load raises the estimate")
	}
	if s.RecordTrial(before / 2); s.Value() != before*3/4 {
		t.Errorf("a trial that took half of the estimated time changes it from %s to %s", before, s.Value())
	}
}
