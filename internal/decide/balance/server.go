package balance

import (
	"math"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

// server is the state of one backend server at this instance. It is the context of charts/backend.toml.
type server struct {
	fleet   *Fleet
	spec    document.Server
	region  string
	zone    *zone
	shard   *shard
	slots   int
	cold    int // allowance while cold, from the service document
	ramp    int // allowance while warming
	limit   limit
	machine *chart.Machine[*server]

	inFlight    int
	latency     time.Duration // moving average
	usual       time.Duration // slower moving average
	sampledAt   time.Time
	grantedAt   time.Time
	failures    float64 // moving average of the failure rate, from 0 to 1
	badInRow    int
	lateInRow   int
	incarnation string
	// coldSince is when the server was last presumed cold. Connection failures of grants from before then are ignored.
	coldSince time.Time
	// doubted is true from the time the server is presumed cold until the keeper has been notified.
	doubted bool
	// cancelledAt is when a request was last cancelled. The server may still run it for a short time.
	cancelledAt time.Time
	lease       holding
	reported    reportedLoad
	report      Report
	news        bool
}

type reportedLoad struct {
	running, slots int
	at             time.Time
}

const (
	// latencyWeight is the weight of a new sample in the moving average, as 1/latencyWeight.
	latencyWeight = 8
	// usualWeight is the weight of a new sample in the slower moving average, as 1/usualWeight.
	usualWeight = 64
	// outlierFailures is the number of consecutive failures that make a server an outlier.
	outlierFailures = 3
	// lateFactor is the multiple of the typical latency above which an answer is slow.
	lateFactor = 4
	// lateAnswers is the number of consecutive slow answers that indicate a cold server. One or two occur in the tail
	// of the service times.
	lateAnswers = 3
	// cancelTime is how long a cancelled request still counts against the allowance of a cold server. The one-way delay
	// between regions is 8 ms.
	cancelTime = 50 * time.Millisecond
	// ejectedShare is the largest fraction of the servers that may be ejected, as 1/ejectedShare.
	ejectedShare = 3
)

func bind(ch *chart.Chart) (*chart.Bound[*server], error) {
	return chart.Bind(ch, chart.Bindings[*server]{
		Guards: map[string]func(*server) bool{
			"ramp_complete": func(s *server) bool { return s.ramp >= s.slots && !s.lease.cold },
			"outlier":       func(s *server) bool { return s.badInRow >= outlierFailures && s.fleet.mayEject() },
			"late_in_row":   func(s *server) bool { return s.lateInRow >= lateAnswers },
			"sudden_rise":   func(s *server) bool { return s.lateInRow >= lateAnswers && s.fleet.tuning.Late },
		},
		Actions: map[string]func(*server){
			"clear_ramp":  func(s *server) { s.ramp = s.cold },
			"grow_ramp":   func(s *server) { s.ramp = min(2*s.ramp, s.slots) },
			"lower_limit": func(s *server) { s.limit.halve() },
		},
		Observe: func(s *server, from, event, to string) {
			s.fleet.observe(Change{Server: s.spec.Name, Zone: s.spec.Zone, From: from, Event: event, To: to})
		},
	})
}

func newServer(f *Fleet, now time.Time) *server {
	s := &server{fleet: f, ramp: f.view.Service.Servers.ColdAllowance}
	s.machine = f.bound.New(now, s)
	return s
}

func (s *server) update(spec document.Server) {
	view := s.fleet.view
	s.spec = spec
	s.region = view.Zones.RegionOf(spec.Zone)
	s.zone = s.fleet.zones[spec.Zone]
	s.shard = s.fleet.shard(spec.Zone)
	s.slots = view.Service.SlotsOf(spec)
	s.cold = view.Service.Servers.ColdAllowance
	s.limit.bound(s.slots)
}

func (s *server) fire(now time.Time, event string) {
	if err := s.machine.Fire(now, event); err != nil {
		panic(err) // events are constants in this package, so an unknown one is a programming error
	}
}

// needsToken reports whether the server may get requests only under a cold grant.
func (s *server) needsToken() bool {
	return s.lease.cold || s.machine.In("unknown") || s.machine.In("cold")
}

// allowance returns how many requests this instance may have in flight at the server.
func (s *server) allowance(now time.Time) int {
	if s.machine.In("draining") || s.machine.In("ejected") || s.zone.share(now) == 0 {
		return 0
	}
	if s.fleet.view.NoKeepers {
		return s.bearable()
	}
	live := s.shard.live(now)
	switch {
	case s.doubted:
		return 0
	case s.needsToken() && !(live && s.lease.cold):
		return 0
	case s.needsToken():
		return s.lease.slots - s.leaving(now)
	case live:
		return min(max(s.lease.slots, s.overflow()), s.bearable())
	}
	return min(s.fleet.fallback(s), s.bearable())
}

// leaving returns 1 when a recently cancelled request may still run at the server.
func (s *server) leaving(now time.Time) int {
	if now.Sub(s.cancelledAt) < cancelTime {
		return 1
	}
	return 0
}

// overflow returns how many requests may run at a warm server without a lease.
func (s *server) overflow() int {
	if s.fleet.tuning.Overflow == 0 {
		return 0
	}
	return s.fleet.fallback(s) + s.fleet.tuning.Overflow - 1
}

// bearable returns how many requests the server can handle according to this instance's own observations.
func (s *server) bearable() int {
	switch {
	case s.machine.In("unknown") || s.machine.In("cold"):
		return s.cold
	case s.machine.In("warming"):
		return s.ramp
	}
	return s.limit.value
}

func (s *server) grant(now time.Time) Grant {
	s.inFlight++
	s.grantedAt = now
	s.fire(now, "token")
	return Grant{Server: s.spec.Name, Address: s.spec.Address, Zone: s.spec.Zone, At: now}
}

func (s *server) done(now time.Time, g Grant, r Result) {
	s.inFlight--
	if r.Cancelled {
		s.cancelledAt = now
		s.cancelled(now, now.Sub(g.At))
		return
	}
	restarted := r.Incarnation != "" && s.incarnation != "" && r.Incarnation != s.incarnation
	s.note(now, r)
	switch {
	case r.Draining:
		s.drain(now)
	case restarted:
		s.presumeCold(now, r.Incarnation)
		s.tell(Cold)
	case r.Refused || r.Failed && r.Fate != call.Answered:
		s.broken(now, g)
	case r.Shed:
		s.fire(now, "shed")
	case r.Failed:
		s.failed(now)
	case r.Fate == call.Answered:
		s.answered(now, r.Latency)
	}
}

// cancelled uses the time until the cancellation as a lower bound of the server's latency.
func (s *server) cancelled(now time.Time, waited time.Duration) {
	if waited > s.latency {
		s.sample(now, waited)
	}
}

// broken handles a connection that was refused, reset or found closed. The server may have restarted.
func (s *server) broken(now time.Time, g Grant) {
	if g.At.Before(s.coldSince) {
		return
	}
	s.fail()
	s.presumeCold(now, "")
	s.tell(Down)
}

// drain handles an answer that reports that the server is draining.
func (s *server) drain(now time.Time) {
	if s.machine.In("draining") {
		return
	}
	s.fire(now, "drain")
	s.tell(Draining)
}

// presumeCold handles evidence that the server may have restarted. With keepers, the server then gets no requests until a
// keeper grants a cold slot.
func (s *server) presumeCold(now time.Time, incarnation string) {
	s.coldSince = now
	s.doubted = !s.fleet.view.NoKeepers
	s.lease = holding{cold: s.doubted}
	s.incarnation = incarnation
	s.latency, s.lateInRow = 0, 0
	s.report = Report{} // answers of the previous incarnation say nothing about the new one
	if s.machine.In("draining") && incarnation != "" {
		s.fire(now, "restart")
		return
	}
	s.fire(now, "presume_cold")
}

func (s *server) failed(now time.Time) {
	s.fail()
	s.report.Bad++
	s.fire(now, "answer_bad")
}

func (s *server) fail() {
	s.badInRow++
	s.failures += (1 - s.failures) / latencyWeight
}

func (s *server) answered(now time.Time, latency time.Duration) {
	s.badInRow = 0
	s.failures -= s.failures / latencyWeight
	s.report.Latency = (s.report.Latency*time.Duration(s.report.Good) + latency) / time.Duration(s.report.Good+1)
	s.report.Good++
	late := latency > lateFactor*s.norm()
	s.sample(now, latency)
	if !late {
		s.lateInRow = 0
		s.fire(now, "answer_good")
		return
	}
	s.lateInRow++
	before := s.machine.State()
	s.fire(now, "answer_late")
	if before != "cold" && s.machine.In("cold") {
		s.coldSince = now
		s.doubted = !s.fleet.view.NoKeepers
		s.tell(Cold)
	}
}

// norm returns the latency that answers of this server are compared with.
func (s *server) norm() time.Duration {
	if s.usual == 0 {
		return s.fleet.typical
	}
	return s.usual
}

func (s *server) sample(now time.Time, latency time.Duration) {
	s.sampledAt = now
	s.limit.sample(now, latency, s.usual, s.fleet.tuning.Adapt)
	s.fleet.sample(latency)
	s.latency = average(s.latency, latency, latencyWeight)
	s.usual = average(s.usual, latency, usualWeight)
}

// average updates an exponential moving average; the first sample initializes it.
func average(old, sample time.Duration, weight int) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/time.Duration(weight)
}

// expected returns the expected latency of one request without queueing. An old estimate above the typical latency of the
// service decays towards it, so that a server that was slow is tried again.
func (s *server) expected(now time.Time) time.Duration {
	typical := s.fleet.typical
	if s.latency == 0 {
		return typical
	}
	age := now.Sub(s.sampledAt)
	if age < forgetLatency/16 || s.latency <= typical {
		return s.latency
	}
	weight := math.Exp2(-float64(age) / float64(forgetLatency))
	return typical + time.Duration(weight*float64(s.latency-typical))
}

// note records the incarnation and load that an answer reports.
func (s *server) note(now time.Time, r Result) {
	if r.Incarnation != "" {
		s.incarnation = r.Incarnation
	}
	s.news = true
	if r.Slots > 0 {
		s.reported = reportedLoad{running: r.Running, slots: r.Slots, at: now}
		s.report.Running, s.report.Slots = r.Running, r.Slots
	}
}

// tell records an observed state for the next report to the keeper and as a notice to send immediately.
func (s *server) tell(seen ReportedState) {
	s.report.State = seen
	s.news = true
	s.fleet.notices = append(s.fleet.notices, Notice{Server: s.spec.Name, Incarnation: s.incarnation, State: seen})
}

// takeReport returns and clears the report since the previous one, and false when there is nothing to report.
func (s *server) takeReport() (Report, bool) {
	r := s.report
	r.Server = s.spec.Name
	r.Incarnation = s.incarnation
	seen := s.news
	s.report = Report{}
	s.news = false
	return r, seen
}
