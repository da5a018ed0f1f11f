package balance

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

// server is one backend server as this instance sees it. It is the context of charts/backend.toml.
type server struct {
	spec    document.Server
	region  string
	out     bool
	slots   int
	cold    int // cold allowance of the document
	limit   int // current limit below slots, lowered when the server sheds
	ramp    int // allowance while warming
	machine *chart.Machine[*server]

	inFlight    int
	latency     time.Duration // moving average
	badInRow    int
	incarnation string
}

const (
	// latencyWeight is the share of a new sample in the moving average, as 1/latencyWeight.
	latencyWeight = 8
	// outlierFailures is how many failures in a row make a serving server an outlier.
	outlierFailures = 3
)

func bind(ch *chart.Chart) (*chart.Bound[*server], error) {
	return chart.Bind(ch, chart.Bindings[*server]{
		Guards: map[string]func(*server) bool{
			"ramp_complete": func(s *server) bool { return s.ramp >= s.slots },
			"outlier":       func(s *server) bool { return s.badInRow >= outlierFailures },
		},
		Actions: map[string]func(*server){
			"clear_ramp":  func(s *server) { s.ramp = s.cold },
			"grow_ramp":   func(s *server) { s.ramp = min(2*s.ramp, s.slots) },
			"lower_limit": func(s *server) { s.limit = max(1, s.limit/2) },
		},
	})
}

func newServer(bound *chart.Bound[*server], now time.Time, doc *document.Service) *server {
	s := &server{ramp: doc.Servers.ColdAllowance}
	s.machine = bound.New(now, s)
	return s
}

func (s *server) update(spec document.Server, view View) {
	s.spec = spec
	s.region = view.Zones.RegionOf(spec.Zone)
	s.out = view.Zones.IsOut(spec.Zone)
	s.slots = view.Service.SlotsOf(spec)
	s.cold = view.Service.Servers.ColdAllowance
	if s.limit == 0 || s.limit > s.slots {
		s.limit = s.slots
	}
}

func (s *server) fire(now time.Time, event string) {
	if err := s.machine.Fire(now, event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// allowance is how many requests this instance may have in flight at the server.
func (s *server) allowance() int {
	switch {
	case s.out || s.machine.In("draining") || s.machine.In("ejected"):
		return 0
	case s.machine.In("unknown") || s.machine.In("cold"):
		return s.cold
	case s.machine.In("warming"):
		return s.ramp
	}
	return s.limit
}

func (s *server) grant(now time.Time) Grant {
	s.inFlight++
	return Grant{Server: s.spec.Name, Address: s.spec.Address, Zone: s.spec.Zone, At: now}
}

func (s *server) done(now time.Time, r Result) {
	s.inFlight--
	s.fire(now, "token")
	restarted := r.Incarnation != "" && s.incarnation != "" && r.Incarnation != s.incarnation
	if r.Incarnation != "" {
		s.incarnation = r.Incarnation
	}
	switch {
	case r.Draining:
		s.fire(now, "drain")
	case r.Refused || restarted || r.Fate == call.MaybeRun && r.Failed:
		s.fire(now, "presume_cold")
	case r.Shed:
		s.fire(now, "shed")
	case r.Failed:
		s.badInRow++
		s.fire(now, "answer_bad")
	case r.Fate == call.Answered:
		s.badInRow = 0
		s.sample(r.Latency)
		s.fire(now, "answer_good")
	}
}

func (s *server) sample(latency time.Duration) {
	if s.latency == 0 {
		s.latency = latency
		return
	}
	s.latency += (latency - s.latency) / latencyWeight
}
