package backend

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
)

// maxKeys is the maximum number of idempotency keys whose runs are counted.
const maxKeys = 1 << 20

// state is owned by the server's task. It is the context of charts/standin.toml.
type state struct {
	options  Options
	machine  *chart.Machine[*state]
	rnd      *rand.Rand
	switches Switches
	report   Report
	runs     map[string]int
	// life is the number of the incarnation. Messages of requests of earlier incarnations are ignored.
	life        int
	incarnation string
	warmth      int
	waiting     []begin
}

var bindings = chart.Bindings[*state]{
	Guards: map[string]func(*state) bool{
		"starts_warm": func(s *state) bool { return s.options.ColdAllowance == 0 },
		"warmed":      func(s *state) bool { return s.warmth+1 >= s.options.WarmUp },
	},
	Actions: map[string]func(*state){
		"reset_warmth": func(s *state) { s.warmth = 0 },
		"add_warmth":   func(s *state) { s.warmth++ },
	},
}

// outcome is the treatment of a request.
type outcome int

const (
	run outcome = iota
	shed
	failed
	overloaded
)

// verdict is the reply to begin.
type verdict struct {
	outcome  outcome
	time     time.Duration
	truncate bool
	self     self
}

// self is the status that the server reports in the headers of its answers and in health checks.
type self struct {
	load, state, incarnation string
}

func (s *state) fire(event string) {
	if err := s.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

func (s *state) begin() {
	s.life++
	s.incarnation = s.options.Name + "-" + strconv.Itoa(s.life) + "-" + strconv.FormatUint(s.rnd.Uint64(), 16)
}

func (s *state) crash() {
	s.fire("crash")
	s.report.Crashes++
	s.report.Running = 0
	s.switches.Draining = false
	s.waiting = nil // their goroutines end because the connections are closed
}

func (s *state) crashesOn(m begin) bool {
	return s.switches.CrashOn != "" && m.life == s.life && s.machine.In("up") && bytes.Contains(m.body, []byte(s.switches.CrashOn))
}

func (s *state) admit(m begin) {
	switch {
	case m.life != s.life || !s.machine.In("up"):
		return // the goroutine ends because the connection is closed
	case s.switches.Fail:
		m.reply <- verdict{outcome: failed, self: s.self()}
	case s.switches.Shed:
		s.shed(m)
	case s.machine.In("cold") && s.report.Running >= s.options.ColdAllowance:
		s.report.ColdOverloads++
		s.fire("overload")
		m.reply <- verdict{outcome: overloaded, self: s.self()}
	case s.report.Running < s.options.Slots:
		s.start(m)
	case len(s.waiting) < s.options.Queue:
		s.waiting = append(s.waiting, m)
	default:
		s.shed(m)
	}
}

func (s *state) shed(m begin) {
	s.report.Shed++
	m.reply <- verdict{outcome: shed, self: s.self()}
}

func (s *state) start(m begin) {
	s.report.Started++
	s.report.Running++
	s.report.MostRunning = max(s.report.MostRunning, s.report.Running)
	if s.machine.In("cold") {
		s.report.MostCold = max(s.report.MostCold, s.report.Running)
	}
	if s.machine.In("draining") {
		s.report.StartedDraining++
	}
	if _, known := s.runs[m.key]; m.key != "" && (known || len(s.runs) < maxKeys) {
		s.runs[m.key]++
	}
	m.reply <- verdict{outcome: run, time: s.options.serviceTime(s.rnd, s.switches.Slowness), truncate: s.switches.Truncate, self: s.self()}
}

func (s *state) end(m end) {
	if m.life == s.life && s.machine.In("up") {
		s.report.Running--
		s.report.Finished++
		s.fire("served")
		s.startWaiting()
	}
	m.reply <- s.self()
}

func (s *state) startWaiting() {
	for len(s.waiting) > 0 && s.report.Running < s.options.Slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.start(next)
	}
}

// abandon removes a waiting request whose caller has disconnected or whose deadline has passed. If the request was granted
// a slot meanwhile, abandon frees the slot.
func (s *state) abandon(m abandon) {
	s.waiting = slices.DeleteFunc(s.waiting, func(b begin) bool { return b.reply == m.waiter })
	select {
	case v := <-m.waiter:
		if v.outcome == run {
			s.end(end{life: m.life, reply: make(chan self, 1)})
		}
	default:
	}
}

func (s *state) connOpened() bool {
	s.report.Connections++
	if s.options.Connections > 0 && s.report.Connections > s.options.Connections {
		s.report.ConnectionsClosed++
		return false
	}
	s.report.MostConnections = max(s.report.MostConnections, s.report.Connections)
	return true
}

func (s *state) set(next Switches) {
	if next.Draining != s.switches.Draining {
		s.fire(map[bool]string{true: "drain", false: "resume"}[next.Draining])
	}
	s.switches = next
}

func (s *state) self() self {
	load := s.switches.ReportedLoad
	if load == "" {
		load = strconv.Itoa(s.report.Running+len(s.waiting)) + "/" + strconv.Itoa(s.options.Slots)
	}
	return self{load: load, state: s.machine.State(), incarnation: s.incarnation}
}

func (s *state) snapshot() Report {
	r := s.report
	r.State, r.Incarnation, r.Waiting, r.Runs = s.machine.State(), s.incarnation, len(s.waiting), maps.Clone(s.runs)
	return r
}
