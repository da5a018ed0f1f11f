package keeper

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
)

const (
	// surgeFactor and surgeFloor define a latency surge. Load alone slows a server with bounded slots by less than this
	// factor, and below the floor a cold start cannot be distinguished from noise.
	surgeFactor = 4
	surgeFloor  = 10 * time.Millisecond
	// surgeMinAnswers is the least number of answers in a report that shows a surge. A single slow answer proves nothing.
	surgeMinAnswers = 3
	// A new report has the weight 1/latencyWeight in the moving average of latency.
	latencyWeight = 8
	// readyProbesToEndDrain is how many consecutive ready probes end a drain of the same incarnation, because a health
	// endpoint can be out of date.
	readyProbesToEndDrain = 5
)

// Server describes one backend server of a shard, as the documents state it.
type Server struct {
	Name, Address string
	// Slots is how many requests the server runs at a time. ColdAllowance is its cold allowance: how many it runs during a
	// cold start.
	Slots, ColdAllowance int
}

// server is the keeper's state of one backend server. It is the context of charts/lease.toml.
type server struct {
	spec    Server
	machine *chart.Machine[*server]
	// handedOver is true when the previous keeper handed the server over as warm and nothing has contradicted that since.
	handedOver bool
	// rampSlots is how many slots the warm-up allows.
	rampSlots int
	// goodStep is true when good answers were reported in the current warm-up step.
	goodStep bool

	incarnation, previousIncarnation string
	// typicalLatency is a moving average of the latency while the server is warm, and zero before the first report.
	typicalLatency time.Duration
	// unreachable is true when the last probe was refused.
	unreachable bool
	// consecutiveReady counts the probes since the last report of draining in which the server was ready or cold.
	consecutiveReady int
	// reportedRunning and reportedSlots are the load that the server reported last.
	reportedRunning, reportedSlots int

	// accounts bounds the use of the server by each instance.
	accounts map[session.Identity]account
}

// Bind connects charts/lease.toml with this package.
func Bind(ch *chart.Chart) (*Chart, error) {
	return chart.Bind(ch, chart.Bindings[*server]{
		Guards: map[string]func(*server) bool{
			"handed_over":     func(s *server) bool { return s.handedOver },
			"no_good_answers": func(s *server) bool { return !s.goodStep },
			"ramp_complete":   func(s *server) bool { return s.rampSlots >= s.spec.Slots },
		},
		Actions: map[string]func(*server){
			"discard_handover": func(s *server) { s.handedOver = false },
			"clear_ramp":       func(s *server) { s.rampSlots, s.goodStep = s.spec.ColdAllowance, false },
			"grow_ramp":        func(s *server) { s.rampSlots, s.goodStep = min(2*s.rampSlots, s.spec.Slots), false },
		},
	})
}

// Chart is charts/lease.toml bound to this package.
type Chart = chart.Bound[*server]

func newServer(leaseChart *Chart, now time.Time, spec Server) *server {
	s := &server{spec: spec, accounts: map[session.Identity]account{}}
	s.machine = leaseChart.New(now, s)
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
	case s.machine.In("warm"):
		return s.spec.Slots
	case s.machine.In("warming"):
		return min(s.rampSlots, s.spec.Slots)
	case s.machine.In("cold"):
		return min(s.spec.ColdAllowance, s.spec.Slots)
	}
	return 0
}

// reportedState returns the server state that replies report to lease holders.
func (s *server) reportedState() balance.ReportedState {
	switch {
	case s.machine.In("draining"):
		return balance.Draining
	case s.unreachable:
		return balance.Down
	case s.machine.In("warm"):
		return balance.Ready
	}
	return balance.Cold
}

// observeIncarnation records the incarnation of the server and returns false for reports of its previous incarnation. A
// new incarnation counts as a restart.
func (s *server) observeIncarnation(now time.Time, incarnation string) bool {
	switch {
	case incarnation == "" || incarnation == s.incarnation:
		return true
	case incarnation == s.previousIncarnation:
		return false
	}
	if s.incarnation != "" {
		s.presumeRestart(now)
	}
	s.previousIncarnation, s.incarnation = s.incarnation, incarnation
	return true
}

// presumeRestart presumes the server cold because it was restarted or replaced.
func (s *server) presumeRestart(now time.Time) {
	s.typicalLatency = 0
	s.fire(now, "ready")
	s.fire(now, "presume_cold")
}

// handleReport records what an instance observed on the answers of the server.
func (s *server) handleReport(now time.Time, r balance.Report) {
	if !s.observeIncarnation(now, r.Incarnation) {
		return
	}
	s.recordLoad(r.Running, r.Slots)
	switch {
	case r.State == balance.Draining:
		s.drain(now)
	case r.State == balance.Down || r.State == balance.Cold || s.latencySurged(r):
		s.fire(now, "presume_cold")
	case r.Bad > 0:
		s.fire(now, "bad_answers")
	case r.Good > 0:
		s.recordGoodAnswers(now, r)
	}
}

func (s *server) recordLoad(running, slots int) {
	if slots > 0 {
		s.reportedRunning, s.reportedSlots = running, slots
	}
}

func (s *server) drain(now time.Time) {
	s.consecutiveReady = 0
	s.fire(now, "drain")
}

// latencySurged reports whether latency has surged above the typical latency of the warm server.
func (s *server) latencySurged(r balance.Report) bool {
	return s.typicalLatency > 0 && r.Good >= surgeMinAnswers && r.Latency > surgeFloor &&
		r.Latency > surgeFactor*s.typicalLatency
}

func (s *server) recordGoodAnswers(now time.Time, r balance.Report) {
	s.fire(now, "good_answers")
	s.goodStep = true
	if !s.machine.In("warm") {
		return
	}
	if s.typicalLatency == 0 {
		s.typicalLatency = r.Latency
		return
	}
	s.typicalLatency += (r.Latency - s.typicalLatency) / latencyWeight
}

// ProbeResult is the result of probing one server.
type ProbeResult struct {
	Server string
	// Refused is true when the connection was refused or reset. A timeout is no sign of a restart, because health
	// endpoints are slow on busy machines.
	Refused bool
	// Answered is true when the server answered.
	Answered bool
	// State and Incarnation are what the server reported about itself. HasState is false when it reported no state.
	State       balance.ReportedState
	HasState    bool
	Incarnation string
	// Running and Slots are the load that the server reported. Slots is zero when it reported no load.
	Running, Slots int
}

func (s *server) handleProbe(now time.Time, p ProbeResult) {
	if p.Refused {
		s.unreachable = true
		s.fire(now, "presume_cold")
	}
	if !p.Answered || !s.observeIncarnation(now, p.Incarnation) {
		return
	}
	s.unreachable = false
	s.recordLoad(p.Running, p.Slots)
	switch {
	case !p.HasState:
	case p.State == balance.Draining:
		s.drain(now)
	case p.State == balance.Cold:
		s.countReadyProbe(now)
		s.fire(now, "presume_cold")
	case p.State == balance.Ready:
		s.countReadyProbe(now)
	}
}

// countReadyProbe counts a probe in which the server was not draining, and ends a drain after enough consecutive ones.
func (s *server) countReadyProbe(now time.Time) {
	if s.consecutiveReady++; s.consecutiveReady >= readyProbesToEndDrain {
		s.fire(now, "ready")
	}
}
