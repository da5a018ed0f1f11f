package quarantine

import (
	"maps"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
)

// MaxMarks is the maximum number of marked fingerprints at one instance.
const MaxMarks = 4096

// SameCrashWindow is the time within which two crashes of a server that reports no incarnation count as one.
const SameCrashWindow = 10 * time.Second

// Server identifies a backend server.
type Server struct{ Service, Name string }

// Crash is the end of one server process. Incarnation is empty if the server reports none.
type Crash struct {
	Server      Server
	Incarnation string
	At          time.Time
}

// mayBeSame reports whether two crashes, which two instances may have detected, may be the same one.
func (c Crash) mayBeSame(other Crash) bool {
	if c.Server != other.Server {
		return false
	}
	if c.Incarnation != "" && other.Incarnation != "" {
		return c.Incarnation == other.Incarnation
	}
	return c.At.Sub(other.At).Abs() < SameCrashWindow
}

// Strike records that a request with the fingerprint was running on a server that crashed.
type Strike struct {
	Fingerprint Fingerprint
	Crash       Crash
	// Regions are the only regions that the strike may be sent to; nil means all regions.
	Regions []string
}

// BrokenConnection is a connection that broke while a request was running on it.
type BrokenConnection struct {
	Server      Server
	Incarnation string
	Fingerprint Fingerprint
	Regions     []string
}

// Treatment says how requests with a fingerprint are handled.
type Treatment int

// Treatments.
const (
	// RunNormally means that the requests run without restriction.
	RunNormally Treatment = iota
	// RunAlone means that a request runs on a server only while no other request with this treatment runs there.
	RunAlone
	// Refuse means that the requests are refused without being run.
	Refuse
	// RunTrial means that the requests are refused, except one that claims the trial that is due and runs alone.
	RunTrial
)

// Snapshot is an immutable copy of the state that the handling of requests needs.
type Snapshot struct {
	Marks map[Fingerprint]Treatment
	// Incarnations holds the last reported incarnation of each server.
	Incarnations map[Server]string
}

// Quarantine holds the marked fingerprints of one instance. It is owned by one task.
type Quarantine struct {
	bound         *chart.Bound[*mark]
	marks         map[Fingerprint]*mark
	trials        *trialLog
	answers       *answerLog
	recentBreaks  map[Server][]timedBreak
	lastCrashes   map[Server]Crash
	incarnations  map[Server]string
	confirmWithin time.Duration
	// UnmarkedCount counts fingerprints that were not marked because MaxMarks was reached.
	UnmarkedCount int
}

// mark is the state of one marked fingerprint and the context of charts/quarantine.toml.
type mark struct {
	machine *chart.Machine[*mark]
	crashes []Crash
	// newCrash is the crash that the strike event being handled reports, and struckAt its time, but not after the event.
	newCrash Crash
	struckAt time.Time
	// lastStruckAt is the latest time of a counted crash.
	lastStruckAt time.Time
	// trialAnnounced is true if the newest snapshot says that a trial is due.
	trialAnnounced bool
}

type timedBreak struct {
	BrokenConnection
	at time.Time
}

// New returns a quarantine without marks. A broken connection gets a strike for a crash only if the crash is detected within
// the time confirmWithin after the connection broke.
func New(ch *chart.Chart, confirmWithin time.Duration) (*Quarantine, error) {
	bound, err := chart.Bind(ch, chart.Bindings[*mark]{
		Guards: map[string]func(*mark) bool{
			"different_crash": func(m *mark) bool { return !slices.ContainsFunc(m.crashes, m.newCrash.mayBeSame) },
			"no_crash_left":   func(m *mark) bool { return len(m.crashes) == 0 },
			"one_crash_left":  func(m *mark) bool { return len(m.crashes) == 1 },
		},
		Actions: map[string]func(*mark){
			"add_strike": func(m *mark) {
				m.crashes = append(m.crashes, m.newCrash)
				m.lastStruckAt = later(m.lastStruckAt, m.struckAt)
			},
		},
	})
	if err != nil {
		return nil, err
	}
	return &Quarantine{
		bound: bound, marks: map[Fingerprint]*mark{}, trials: newTrialLog(), answers: newAnswerLog(), recentBreaks: map[Server][]timedBreak{}, lastCrashes: map[Server]Crash{},
		incarnations: map[Server]string{}, confirmWithin: confirmWithin,
	}, nil
}

// ConnectionBroke handles a connection that broke and marks the fingerprint of its request. If the crash of the server is
// already known, it returns the strike for it.
func (q *Quarantine) ConnectionBroke(now time.Time, c BrokenConnection) []Strike {
	m := q.findOrMark(now, c.Fingerprint)
	if m == nil {
		return nil
	}
	fire(now, m, "connection_lost")
	crash := Crash{Server: c.Server, Incarnation: c.Incarnation, At: now}
	if known, ok := q.lastCrashes[c.Server]; ok && now.Sub(known.At) < SameCrashWindow && known.mayBeSame(crash) {
		return q.addStrikes(now, known, []timedBreak{{BrokenConnection: c, at: now}})
	}
	q.recentBreaks[c.Server] = append(q.recentBreaks[c.Server], timedBreak{BrokenConnection: c, at: now})
	return nil
}

// ConnectionRefused handles a connection that a server refused. If connections to the server broke before, it has
// crashed. ConnectionRefused returns the strikes for the crash.
func (q *Quarantine) ConnectionRefused(now time.Time, s Server) []Strike {
	return q.handleCrash(now, s)
}

// ConnectionAccepted handles a connection that a server accepted. If connections to it broke before, the server
// counts as running until a refused connection or a new incarnation proves that it crashed.
func (q *Quarantine) ConnectionAccepted(now time.Time, s Server) {
	for _, l := range q.recentBreaks[s] {
		if m, ok := q.marks[l.Fingerprint]; ok {
			fire(now, m, "connection_accepted")
		}
	}
}

// IncarnationReported handles the incarnation that a server reports. A change proves that the previous process
// ended. IncarnationReported returns the strikes for that crash.
func (q *Quarantine) IncarnationReported(now time.Time, s Server, incarnation string) []Strike {
	before := q.incarnations[s]
	q.incarnations[s] = incarnation
	if before == "" || before == incarnation {
		return nil
	}
	return q.handleCrash(now, s)
}

// handleCrash gives a strike to each request whose connection to the server broke recently.
func (q *Quarantine) handleCrash(now time.Time, s Server) []Strike {
	breaks := q.recentBreaks[s]
	delete(q.recentBreaks, s)
	breaks = slices.DeleteFunc(breaks, func(l timedBreak) bool { return now.Sub(l.at) > q.confirmWithin })
	if len(breaks) == 0 {
		return nil
	}
	last := breaks[len(breaks)-1]
	c := Crash{Server: s, Incarnation: last.Incarnation, At: last.at}
	q.lastCrashes[s] = c
	return q.addStrikes(now, c, breaks)
}

// addStrikes adds a strike for the crash to each marked fingerprint of the broken connections, except those whose requests
// were answered about then.
func (q *Quarantine) addStrikes(now time.Time, c Crash, breaks []timedBreak) []Strike {
	var strikes []Strike
	for _, l := range breaks {
		s := Strike{Fingerprint: l.Fingerprint, Crash: c, Regions: l.Regions}
		if _, ok := q.marks[l.Fingerprint]; ok && q.Strike(now, s) {
			strikes = append(strikes, s)
		}
	}
	return strikes
}

// Strike adds a strike that this instance or a peer has detected. It returns false, and adds nothing, if an equal request
// was answered about the time of the crash or later. The mark ages from the time of the crash, which may be recorded with
// the clock of another machine.
func (q *Quarantine) Strike(now time.Time, s Strike) bool {
	if q.answers.contradicts(s) {
		return false
	}
	if m := q.findOrMark(now, s.Fingerprint); m != nil {
		m.newCrash, m.struckAt = s.Crash, earlier(now, s.Crash.At)
		fire(m.struckAt, m, "strike")
		m.machine.Tick(now)
	}
	return true
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Withdraw takes back a strike that another instance has withdrawn or that has expired in the store.
func (q *Quarantine) Withdraw(now time.Time, s Strike) {
	m, ok := q.marks[s.Fingerprint]
	if !ok {
		return
	}
	m.crashes = slices.DeleteFunc(m.crashes, func(c Crash) bool { return c.mayBeSame(s.Crash) })
	fire(now, m, "strike_withdrawn")
	if m.machine.Final() {
		q.forget(s.Fingerprint)
	}
}

// Clear records that a request with the fingerprint was answered, and removes its mark. It returns the strikes that the
// answer disproves and the number of trials; peers and the store may know them too.
func (q *Quarantine) Clear(now time.Time, f Fingerprint) (disproved []Strike, trials int) {
	q.answers.record(now, f)
	m, ok := q.marks[f]
	if !ok {
		return nil, 0
	}
	for _, c := range m.crashes {
		disproved = append(disproved, Strike{Fingerprint: f, Crash: c})
	}
	trials = q.trials.count(f)
	fire(now, m, "request_answered")
	q.forget(f)
	return disproved, trials
}

func (q *Quarantine) forget(f Fingerprint) {
	delete(q.marks, f)
	q.trials.forget(f)
}

// Tick handles the timeouts that are due and removes expired marks, broken connections and crashes.
func (q *Quarantine) Tick(now time.Time) {
	for f, m := range q.marks {
		m.machine.Tick(now)
		if m.machine.Final() {
			q.forget(f)
		}
	}
	q.trials.expire(now)
	for s, breaks := range q.recentBreaks {
		breaks = slices.DeleteFunc(breaks, func(l timedBreak) bool { return now.Sub(l.at) > q.confirmWithin })
		if q.recentBreaks[s] = breaks; len(breaks) == 0 {
			delete(q.recentBreaks, s)
		}
	}
	maps.DeleteFunc(q.lastCrashes, func(_ Server, c Crash) bool { return now.Sub(c.At) > SameCrashWindow })
}

// Deadline returns the time of the next timeout, and false if none is set.
func (q *Quarantine) Deadline() (time.Time, bool) {
	var next time.Time
	for f, m := range q.marks {
		if due, ok := m.machine.Deadline(); ok && (next.IsZero() || due.Before(next)) {
			next = due
		}
		if due, ok := q.trialDue(f, m); ok && !m.trialAnnounced && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	for _, breaks := range q.recentBreaks {
		if due := breaks[0].at.Add(q.confirmWithin + time.Millisecond); next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next, !next.IsZero()
}

// Snapshot returns a copy of the state for the handling of requests.
func (q *Quarantine) Snapshot(now time.Time) *Snapshot {
	s := &Snapshot{Marks: make(map[Fingerprint]Treatment, len(q.marks)), Incarnations: maps.Clone(q.incarnations)}
	for f, m := range q.marks {
		s.Marks[f] = q.TreatmentOf(now, f)
		m.trialAnnounced = s.Marks[f] == RunTrial
	}
	return s
}

// TreatmentOf returns how requests with a fingerprint are handled.
func (q *Quarantine) TreatmentOf(now time.Time, f Fingerprint) Treatment {
	m, marked := q.marks[f]
	if !marked {
		return RunNormally
	}
	due, ok := q.trialDue(f, m)
	switch {
	case ok && !now.Before(due):
		return RunTrial
	case m.machine.In("refused"):
		return Refuse
	case m.machine.In("alone"):
		return RunAlone
	}
	return RunNormally
}

// findOrMark returns the mark of a fingerprint and creates it if necessary. It returns nil if MaxMarks is reached.
func (q *Quarantine) findOrMark(now time.Time, f Fingerprint) *mark {
	if m, ok := q.marks[f]; ok {
		m.machine.Tick(now)
		if !m.machine.Final() {
			return m
		}
	}
	if _, ok := q.marks[f]; !ok && len(q.marks) >= MaxMarks {
		q.UnmarkedCount++
		return nil
	}
	m := &mark{}
	m.machine = q.bound.New(now, m)
	q.marks[f] = m
	return m
}

func fire(now time.Time, m *mark, event string) {
	if err := m.machine.Fire(now, event); err != nil {
		panic(err) // the events are constants of this package, so a failure is a programming error
	}
}
