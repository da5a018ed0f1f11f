package keeper

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
)

const (
	// riseFactor and riseFloor say when latency has risen suddenly. Load alone stretches answers of a server with
	// bounded slots by less than this factor, and below the floor a cold start cannot be told from noise.
	riseFactor = 4
	riseFloor  = 10 * time.Millisecond
	// riseSamples is how many answers a report needs to show a rise: one slow answer is no doubt.
	riseSamples = 3
	// latencyWeight is the share of a new report in the usual latency, as 1/latencyWeight.
	latencyWeight = 8
	// readyProbes in a row end a drain of the same incarnation: health endpoints can be out of date.
	readyProbes = 5
)

// Server is one backend server of a shard as documents describe it.
type Server struct {
	Name, Address string
	// Slots is how many requests it runs at a time, Cold how many of them in a cold start.
	Slots, Cold int
}

// server is what the keeper knows about one backend server. It is the context of charts/lease.toml.
type server struct {
	spec    Server
	machine *chart.Machine[*server]
	// trusted is true when the previous keeper handed the server over as warm and nothing has raised a doubt since.
	trusted bool
	ramp    int
	// good is true when answers came in time in the current warm-up step.
	good bool

	incarnation, former string
	latency             time.Duration
	down                bool
	readyInRow          int
	running, slots      int

	accounts map[session.Identity]account
}

// Bind connects charts/lease.toml with this package.
func Bind(ch *chart.Chart) (*Chart, error) {
	return chart.Bind(ch, chart.Bindings[*server]{
		Guards: map[string]func(*server) bool{
			"trusted":       func(s *server) bool { return s.trusted },
			"step_idle":     func(s *server) bool { return !s.good },
			"ramp_complete": func(s *server) bool { return s.ramp >= s.spec.Slots },
		},
		Actions: map[string]func(*server){
			"distrust":   func(s *server) { s.trusted = false },
			"clear_ramp": func(s *server) { s.ramp, s.good = s.spec.Cold, false },
			"grow_ramp":  func(s *server) { s.ramp, s.good = min(2*s.ramp, s.spec.Slots), false },
		},
	})
}

// Chart is charts/lease.toml bound to this package.
type Chart = chart.Bound[*server]

func newServer(bound *Chart, now time.Time, spec Server) *server {
	s := &server{spec: spec, accounts: map[session.Identity]account{}}
	s.machine = bound.New(now, s)
	return s
}

func (s *server) fire(now time.Time, event string) {
	s.machine.Tick(now)
	if err := s.machine.Fire(now, event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// allowance is how many requests of all instances together the server may get now.
func (s *server) allowance() int {
	switch {
	case s.machine.In("open"):
		return s.spec.Slots
	case s.machine.In("warming"):
		return min(s.ramp, s.spec.Slots)
	case s.machine.In("cold"):
		return min(s.spec.Cold, s.spec.Slots)
	}
	return 0
}

// state is what lease holders are told.
func (s *server) state() balance.ReportedState {
	switch {
	case s.machine.In("draining"):
		return balance.Draining
	case s.down:
		return balance.Down
	case s.machine.In("open"):
		return balance.Ready
	}
	return balance.Cold
}

// identify takes the incarnation that the server gave and reports false for news of an earlier run of it.
func (s *server) identify(now time.Time, incarnation string) bool {
	switch {
	case incarnation == "" || incarnation == s.incarnation:
		return true
	case incarnation == s.former:
		return false
	}
	if s.incarnation != "" {
		s.restarted(now)
	}
	s.former, s.incarnation = s.incarnation, incarnation
	return true
}

func (s *server) restarted(now time.Time) {
	s.latency = 0
	s.fire(now, "ready")
	s.fire(now, "presume_cold")
}

// report takes what an instance saw on answers.
func (s *server) report(now time.Time, r balance.Report) {
	if !s.identify(now, r.Incarnation) {
		return
	}
	s.load(r.Running, r.Slots)
	switch {
	case r.State == balance.Draining:
		s.drain(now)
	case r.State == balance.Down || r.State == balance.Cold || s.slower(r):
		s.fire(now, "presume_cold")
	case r.Bad > 0:
		s.fire(now, "answers_bad")
	case r.Good > 0:
		s.answered(now, r)
	}
}

func (s *server) load(running, slots int) {
	if slots > 0 {
		s.running, s.slots = running, slots
	}
}

func (s *server) drain(now time.Time) {
	s.readyInRow = 0
	s.fire(now, "drain")
}

// slower reports whether latency has risen suddenly above what is usual for the warm server.
func (s *server) slower(r balance.Report) bool {
	return s.latency > 0 && r.Good >= riseSamples && r.Latency > riseFloor && r.Latency > riseFactor*s.latency
}

func (s *server) answered(now time.Time, r balance.Report) {
	s.fire(now, "answers_good")
	s.good = true
	if !s.machine.In("open") {
		return
	}
	if s.latency == 0 {
		s.latency = r.Latency
		return
	}
	s.latency += (r.Latency - s.latency) / latencyWeight
}

// Probe is the result of probing one server.
type Probe struct {
	Server string
	// Refused is true when the connection was refused or reset. A probe without any answer is no doubt: health
	// endpoints are slow on busy machines.
	Refused bool
	// Answered is true when the server answered.
	Answered bool
	// State and Incarnation are what the server said about itself; Said is false when it gave no state.
	State       balance.ReportedState
	Said        bool
	Incarnation string
	// Running and Slots are the load that it reported; Slots is zero when it reported none.
	Running, Slots int
}

func (s *server) probed(now time.Time, p Probe) {
	if p.Refused {
		s.down = true
		s.fire(now, "presume_cold")
	}
	if !p.Answered || !s.identify(now, p.Incarnation) {
		return
	}
	s.down = false
	s.load(p.Running, p.Slots)
	switch {
	case !p.Said:
	case p.State == balance.Draining:
		s.drain(now)
	case p.State == balance.Cold:
		s.saidReady(now)
		s.fire(now, "presume_cold")
	case p.State == balance.Ready:
		s.saidReady(now)
	}
}

// saidReady ends a drain after enough probes in a row.
func (s *server) saidReady(now time.Time) {
	if s.readyInRow++; s.readyInRow >= readyProbes {
		s.fire(now, "ready")
	}
}
