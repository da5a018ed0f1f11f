package quarantine

import (
	"maps"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
)

// MaxMarks bounds the marked fingerprints of one instance.
const MaxMarks = 4096

// SameCrash is the time within which two crashes of one server without incarnations count as one.
const SameCrash = 10 * time.Second

// Server identifies a backend server.
type Server struct{ Service, Name string }

// Crash is the death of one process of a server. Incarnation is empty when the server reports none.
type Crash struct {
	Server      Server
	Incarnation string
	At          time.Time
}

// same reports whether two instances may have seen the same death.
func (c Crash) same(other Crash) bool {
	if c.Server != other.Server {
		return false
	}
	if c.Incarnation != "" && other.Incarnation != "" {
		return c.Incarnation == other.Incarnation
	}
	return c.At.Sub(other.At).Abs() < SameCrash
}

// Strike says that a request with the fingerprint was running on a server that crashed.
type Strike struct {
	Fingerprint Fingerprint
	Crash       Crash
	// Regions are the only regions that may learn of the strike; nil stands for all.
	Regions []string
}

// Loss is a connection that broke while a request was running on it.
type Loss struct {
	Server      Server
	Incarnation string
	Fingerprint Fingerprint
	Regions     []string
}

// Treatment is what requests with a fingerprint get.
type Treatment int

// Treatments.
const (
	// Free requests are run like all others.
	Free Treatment = iota
	// Alone requests run on a server only when no other Alone request runs there.
	Alone
	// Refuse requests are refused as not run.
	Refuse
)

// Snapshot is an immutable copy of what requests need to know.
type Snapshot struct {
	Marks map[Fingerprint]Treatment
	// Incarnations holds what each server last reported.
	Incarnations map[Server]string
}

// Quarantine is the state of one instance. It is owned by one task.
type Quarantine struct {
	bound        *chart.Bound[*mark]
	marks        map[Fingerprint]*mark
	losses       map[Server][]loss
	crashed      map[Server]Crash
	incarnations map[Server]string
	confirm      time.Duration
	// Dropped counts fingerprints that were not marked because the bound was reached.
	Dropped int
}

// mark is one fingerprint. It is the context of charts/quarantine.toml.
type mark struct {
	machine *chart.Machine[*mark]
	strikes []Crash
	// strike is the one that the current event is about.
	strike Crash
}

type loss struct {
	Loss
	at time.Time
}

// New binds charts/quarantine.toml. Confirm is the time within which a broken connection may turn out to be a crash.
func New(ch *chart.Chart, confirm time.Duration) (*Quarantine, error) {
	bound, err := chart.Bind(ch, chart.Bindings[*mark]{
		Guards: map[string]func(*mark) bool{
			"other_crash": func(m *mark) bool { return !slices.ContainsFunc(m.strikes, m.strike.same) },
		},
		Actions: map[string]func(*mark){
			"add_strike": func(m *mark) { m.strikes = append(m.strikes, m.strike) },
		},
	})
	if err != nil {
		return nil, err
	}
	return &Quarantine{
		bound: bound, marks: map[Fingerprint]*mark{}, losses: map[Server][]loss{}, crashed: map[Server]Crash{},
		incarnations: map[Server]string{}, confirm: confirm,
	}, nil
}

// Lost marks a request whose connection broke. When the crash of the server is known already, it returns the strike.
func (q *Quarantine) Lost(now time.Time, l Loss) []Strike {
	m := q.mark(now, l.Fingerprint)
	if m == nil {
		return nil
	}
	fire(now, m, "lost")
	crash := Crash{Server: l.Server, Incarnation: l.Incarnation, At: now}
	if known, ok := q.crashed[l.Server]; ok && now.Sub(known.At) < SameCrash && known.same(crash) {
		return q.strikeAll(now, known, []loss{{Loss: l, at: now}})
	}
	q.losses[l.Server] = append(q.losses[l.Server], loss{Loss: l, at: now})
	return nil
}

// Refused tells that a server refused a connection: it has crashed if connections to it broke before.
func (q *Quarantine) Refused(now time.Time, s Server) []Strike { return q.crash(now, s) }

// Accepted tells that a server accepted a connection after others broke. Only a new incarnation shows a crash then.
func (q *Quarantine) Accepted(now time.Time, s Server) {
	for _, l := range q.losses[s] {
		if m, ok := q.marks[l.Fingerprint]; ok {
			fire(now, m, "doubted")
		}
	}
}

// Started tells which incarnation a server reports. A change shows that the earlier one is gone.
func (q *Quarantine) Started(now time.Time, s Server, incarnation string) []Strike {
	before := q.incarnations[s]
	q.incarnations[s] = incarnation
	if before == "" || before == incarnation {
		return nil
	}
	return q.crash(now, s)
}

// crash gives a strike to all requests that were running on the server.
func (q *Quarantine) crash(now time.Time, s Server) []Strike {
	lost := q.losses[s]
	delete(q.losses, s)
	lost = slices.DeleteFunc(lost, func(l loss) bool { return now.Sub(l.at) > q.confirm })
	if len(lost) == 0 {
		return nil
	}
	last := lost[len(lost)-1]
	c := Crash{Server: s, Incarnation: last.Incarnation, At: last.at}
	q.crashed[s] = c
	return q.strikeAll(now, c, lost)
}

func (q *Quarantine) strikeAll(now time.Time, c Crash, lost []loss) []Strike {
	var strikes []Strike
	for _, l := range lost {
		s := Strike{Fingerprint: l.Fingerprint, Crash: c, Regions: l.Regions}
		if _, ok := q.marks[l.Fingerprint]; ok {
			q.Strike(now, s)
			strikes = append(strikes, s)
		}
	}
	return strikes
}

// Strike adds a strike that this instance or a peer has found.
func (q *Quarantine) Strike(now time.Time, s Strike) {
	if m := q.mark(now, s.Fingerprint); m != nil {
		m.strike = s.Crash
		fire(now, m, "strike")
	}
}

// Clear forgets a fingerprint whose request was answered, and reports whether it had strikes that peers may know of.
func (q *Quarantine) Clear(now time.Time, f Fingerprint) bool {
	m, ok := q.marks[f]
	if !ok {
		return false
	}
	fire(now, m, "cleared")
	delete(q.marks, f)
	return len(m.strikes) > 0
}

// Tick forgets what has expired.
func (q *Quarantine) Tick(now time.Time) {
	for f, m := range q.marks {
		m.machine.Tick(now)
		if m.machine.Final() {
			delete(q.marks, f)
		}
	}
	for s, lost := range q.losses {
		lost = slices.DeleteFunc(lost, func(l loss) bool { return now.Sub(l.at) > q.confirm })
		if q.losses[s] = lost; len(lost) == 0 {
			delete(q.losses, s)
		}
	}
	maps.DeleteFunc(q.crashed, func(_ Server, c Crash) bool { return now.Sub(c.At) > SameCrash })
}

// Deadline returns when Tick is due, and false when nothing is marked.
func (q *Quarantine) Deadline() (time.Time, bool) {
	var first time.Time
	for _, m := range q.marks {
		if due, ok := m.machine.Deadline(); ok && (first.IsZero() || due.Before(first)) {
			first = due
		}
	}
	for _, lost := range q.losses {
		if due := lost[0].at.Add(q.confirm + time.Millisecond); first.IsZero() || due.Before(first) {
			first = due
		}
	}
	return first, !first.IsZero()
}

// Snapshot returns a copy for requests.
func (q *Quarantine) Snapshot() *Snapshot {
	s := &Snapshot{Marks: make(map[Fingerprint]Treatment, len(q.marks)), Incarnations: maps.Clone(q.incarnations)}
	for f := range q.marks {
		s.Marks[f] = q.TreatmentOf(f)
	}
	return s
}

// TreatmentOf returns what requests with a fingerprint get.
func (q *Quarantine) TreatmentOf(f Fingerprint) Treatment {
	m, marked := q.marks[f]
	switch {
	case !marked:
		return Free
	case m.machine.In("refused"):
		return Refuse
	case m.machine.In("alone"):
		return Alone
	}
	return Free
}

// mark returns the mark of a fingerprint, and nil when there is no room for another one.
func (q *Quarantine) mark(now time.Time, f Fingerprint) *mark {
	if m, ok := q.marks[f]; ok {
		m.machine.Tick(now)
		if !m.machine.Final() {
			return m
		}
	}
	if _, ok := q.marks[f]; !ok && len(q.marks) >= MaxMarks {
		q.Dropped++
		return nil
	}
	m := &mark{}
	m.machine = q.bound.New(now, m)
	q.marks[f] = m
	return m
}

func fire(now time.Time, m *mark, event string) {
	if err := m.machine.Fire(now, event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}
