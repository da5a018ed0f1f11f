package keeper

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
)

const (
	// riseFactor and riseFloor define a latency surge. Load alone slows a server with bounded slots by less than this
	// factor, and below the floor a cold start cannot be distinguished from noise.
	riseFactor = 4
	riseFloor  = 10 * time.Millisecond
	// riseSamples is the least number of answers in a report that shows a surge. A single slow answer proves nothing.
	riseSamples = 3
	// latencyWeight sets the weight of a new report in the moving average of latency, which is 1/latencyWeight.
	latencyWeight = 8
	// readyProbes is how many consecutive ready probes end a drain of the same incarnation, because a health endpoint
	// can be out of date.
	readyProbes = 5
)

// Server describes one backend server of a shard, as the documents state it.
type Server struct {
	Name, Address string
	// Slots is how many requests the server runs at a time. Cold is its cold allowance: how many it runs during a cold
	// start.
	Slots, Cold int
}

// server is the keeper's state of one backend server. It is the context of charts/lease.toml.
type server struct {
	spec    Server
	machine *chart.Machine[*server]
	// trusted is true when the previous keeper handed the server over as warm and nothing has contradicted that since.
	trusted bool
	// ramp is how many slots the warm-up allows.
	ramp int
	// good is true when answers came in time in the current warm-up step.
	good bool

	incarnation, former string
	// latency is a moving average of the latency while the server is warm, and zero before the first report.
	latency time.Duration
	// down is true when the last probe was refused.
	down bool
	// readyInRow counts consecutive probes in which a draining server reported itself ready or cold.
	readyInRow int
	// running and slots are the load that the server reported last.
	running, slots int

	// accounts bounds the use of the server by each instance.
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
		panic(err) // events are constants of this package, so an undeclared event is a programming error
	}
}

// allowance returns how many slots of the server may be granted now, in total over all instances.
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

// state returns the server state that replies report to lease holders.
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

// identify records the incarnation of the server and returns false for reports of its previous incarnation. A new
// incarnation counts as a restart.
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

// restarted presumes the server cold because it was restarted or replaced.
func (s *server) restarted(now time.Time) {
	s.latency = 0
	s.fire(now, "ready")
	s.fire(now, "presume_cold")
}

// report handles what an instance observed on the answers of the server.
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

// slower reports whether latency has surged above the typical latency of the warm server.
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
	// Refused is true when the connection was refused or reset. A timeout is no sign of a restart, because health
	// endpoints are slow on busy machines.
	Refused bool
	// Answered is true when the server answered.
	Answered bool
	// State and Incarnation are what the server reported about itself. Said is false when it reported no state.
	State       balance.ReportedState
	Said        bool
	Incarnation string
	// Running and Slots are the load that the server reported. Slots is zero when it reported no load.
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

// saidReady counts a probe in which the server was not draining, and ends a drain after enough consecutive ones.
func (s *server) saidReady(now time.Time) {
	if s.readyInRow++; s.readyInRow >= readyProbes {
		s.fire(now, "ready")
	}
}
