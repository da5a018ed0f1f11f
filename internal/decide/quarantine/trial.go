package quarantine

import (
	"maps"
	"time"
)

const (
	// TrialDelay is the time from the second crash to the first trial. It is a few times what a new request takes to reach
	// the backend servers of a service, so a request that crashes each of them does little harm.
	TrialDelay = 5 * time.Second
	// trialBackoff is the factor by which each further trial of a fingerprint is delayed.
	trialBackoff = 3
	// trialMemory is the time for which trials are counted, which is longer than a strike counts.
	trialMemory = 20 * time.Minute
	// maxTrials bounds the number of trials of one fingerprint.
	maxTrials = 6
)

// Trial is the admission of one request whose fingerprint is condemned. Its answer withdraws the strikes; another crash
// confirms them. Trials of a fingerprint are numbered from 1, so that instances can agree on who runs the next one.
type Trial struct {
	Fingerprint Fingerprint
	Number      int
	At          time.Time
}

// trialLog holds the last trial of each fingerprint.
type trialLog struct{ last map[Fingerprint]Trial }

func newTrialLog() *trialLog { return &trialLog{last: map[Fingerprint]Trial{}} }

func (l *trialLog) count(f Fingerprint) int { return l.last[f].Number }

func (l *trialLog) forget(f Fingerprint) { delete(l.last, f) }

// record keeps the trial with the highest number. It ignores new fingerprints when it is full.
func (l *trialLog) record(t Trial) {
	old, known := l.last[t.Fingerprint]
	if t.Number > old.Number && (known || len(l.last) < MaxMarks) {
		l.last[t.Fingerprint] = t
	}
}

func (l *trialLog) expire(now time.Time) {
	maps.DeleteFunc(l.last, func(_ Fingerprint, t Trial) bool { return now.Sub(t.At) > trialMemory })
}

// trialDue returns when the next trial of a condemned fingerprint may start, and false if there is none.
func (q *Quarantine) trialDue(f Fingerprint, m *mark) (time.Time, bool) {
	last := q.trials.last[f]
	if !m.machine.In("barred") || last.Number >= maxTrials {
		return time.Time{}, false
	}
	delay := TrialDelay
	for range last.Number {
		delay *= trialBackoff
	}
	return later(last.At, m.lastStruckAt).Add(delay), true
}

// NextTrial returns the trial that is due for a fingerprint, or false if none is. The instance must claim it before it
// calls StartTrial.
func (q *Quarantine) NextTrial(now time.Time, f Fingerprint) (Trial, bool) {
	if q.TreatmentOf(now, f) != RunTrial {
		return Trial{}, false
	}
	return Trial{Fingerprint: f, Number: q.trials.count(f) + 1, At: now}, true
}

// StartTrial records a trial that this instance or another one runs.
func (q *Quarantine) StartTrial(now time.Time, t Trial) {
	t.At = earlier(now, t.At)
	q.trials.record(t)
	if m, ok := q.marks[t.Fingerprint]; ok && q.trials.last[t.Fingerprint] == t {
		fire(t.At, m, "trial_started")
		m.machine.Tick(now)
	}
}

// EndTrial records the end of a trial without an answer.
func (q *Quarantine) EndTrial(now time.Time, f Fingerprint) {
	if m, ok := q.marks[f]; ok {
		fire(now, m, "trial_ended")
	}
}
