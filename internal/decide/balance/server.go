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
	fleet         *Fleet
	spec          document.Server
	region        string
	zone          *zone
	shard         *shard
	slots         int
	coldAllowance int // allowance while cold, from the service document
	rampAllowance int // allowance while warming
	limit         limit
	machine       *chart.Machine[*server]

	inFlight               int
	latency                time.Duration // moving average
	typicalLatency         time.Duration // slower moving average
	sampledAt              time.Time
	grantedAt              time.Time
	failureRate            float64 // moving average of the failure rate, from 0 to 1
	consecutiveFailures    int
	consecutiveSlowAnswers int
	incarnation            string
	// coldSince is when the server was last presumed cold. Connection failures of grants from before then are ignored.
	coldSince time.Time
	// coldUnreported is true from the time the server is presumed cold until the keeper has been notified.
	coldUnreported bool
	// cancelledAt is when a request was last cancelled. The server may still run it for a short time.
	cancelledAt   time.Time
	lease         serverLease
	lastLoad      reportedLoad
	pendingReport Report
	hasReport     bool
}

type reportedLoad struct {
	running, slots int
	at             time.Time
}

const (
	// A new sample has the weight 1/latencyWeight in the moving averages of latency and failure rate.
	latencyWeight = 8
	// A new sample has the weight 1/typicalWeight in the slower moving averages, which give the typical latency.
	typicalWeight = 64
	// outlierFailures is the number of consecutive failures that make a server an outlier.
	outlierFailures = 3
	// slowFactor is the multiple of the typical latency above which an answer is slow.
	slowFactor = 4
	// coldSlowAnswers is the number of consecutive slow answers that indicate a cold server. One or two occur in the tail
	// of the service times.
	coldSlowAnswers = 3
	// cancelGrace is how long a cancelled request still counts against the allowance of a cold server. The one-way delay
	// between regions is 8 ms.
	cancelGrace = 50 * time.Millisecond
	// At most 1/maxEjectedShare of the servers may be ejected.
	maxEjectedShare = 3
)

func bindBackend(ch *chart.Chart) (*chart.Bound[*server], error) {
	return chart.Bind(ch, chart.Bindings[*server]{
		Guards: map[string]func(*server) bool{
			"ramp_complete":    func(s *server) bool { return s.rampAllowance >= s.slots && !s.lease.cold },
			"outlier":          func(s *server) bool { return s.consecutiveFailures >= outlierFailures && s.fleet.mayEject() },
			"consecutive_slow": func(s *server) bool { return s.consecutiveSlowAnswers >= coldSlowAnswers },
			"latency_jump": func(s *server) bool {
				return s.consecutiveSlowAnswers >= coldSlowAnswers && s.fleet.tuning.DetectLatencyJump
			},
		},
		Actions: map[string]func(*server){
			"clear_ramp":  func(s *server) { s.rampAllowance = s.coldAllowance },
			"grow_ramp":   func(s *server) { s.rampAllowance = min(2*s.rampAllowance, s.slots) },
			"lower_limit": func(s *server) { s.limit.halve() },
		},
		Observe: func(s *server, from, event, to string) {
			s.fleet.recordChange(Change{Server: s.spec.Name, Zone: s.spec.Zone, From: from, Event: event, To: to})
		},
	})
}

func newServer(f *Fleet, now time.Time) *server {
	s := &server{fleet: f, rampAllowance: f.config.Service.Servers.ColdAllowance}
	s.machine = f.backendChart.New(now, s)
	return s
}

func (s *server) update(spec document.Server) {
	config := s.fleet.config
	s.spec = spec
	s.region = config.Zones.RegionOf(spec.Zone)
	s.zone = s.fleet.zones[spec.Zone]
	s.shard = s.fleet.shard(spec.Zone)
	s.slots = config.Service.SlotsOf(spec)
	s.coldAllowance = config.Service.Servers.ColdAllowance
	s.limit.setMaximum(s.slots)
}

func (s *server) fire(now time.Time, event string) {
	if err := s.machine.Fire(now, event); err != nil {
		panic(err) // events are constants in this package, so an unknown one is a programming error
	}
}

// needsColdGrant reports whether the server may get requests only under a cold grant.
func (s *server) needsColdGrant() bool {
	return s.lease.cold || s.machine.In("unknown") || s.machine.In("cold")
}

// allowance returns how many requests this instance may have in flight at the server.
func (s *server) allowance(now time.Time) int {
	if s.machine.In("draining") || s.machine.In("ejected") || s.zone.share(now) == 0 {
		return 0
	}
	if s.fleet.config.NoKeepers {
		return s.localAllowance()
	}
	leaseValid := s.shard.leaseValid(now)
	switch {
	case s.coldUnreported:
		return 0
	case s.needsColdGrant() && !(leaseValid && s.lease.cold):
		return 0
	case s.needsColdGrant():
		return s.lease.slots - s.cancelledInFlight(now)
	case leaseValid:
		return min(max(s.lease.slots, s.overflowAllowance()), s.localAllowance())
	}
	return min(s.fleet.fallbackShare(s), s.localAllowance())
}

// cancelledInFlight returns 1 when a recently cancelled request may still run at the server.
func (s *server) cancelledInFlight(now time.Time) int {
	if now.Sub(s.cancelledAt) < cancelGrace {
		return 1
	}
	return 0
}

// overflowAllowance returns how many requests may run at a warm server without a lease.
func (s *server) overflowAllowance() int {
	if s.fleet.tuning.Overflow == 0 {
		return 0
	}
	return s.fleet.fallbackShare(s) + s.fleet.tuning.Overflow - 1
}

// localAllowance returns how many requests the server can handle according to this instance's own observations.
func (s *server) localAllowance() int {
	switch {
	case s.machine.In("unknown") || s.machine.In("cold"):
		return s.coldAllowance
	case s.machine.In("warming"):
		return s.rampAllowance
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
		s.recordCancelled(now, now.Sub(g.At))
		return
	}
	restarted := r.Incarnation != "" && s.incarnation != "" && r.Incarnation != s.incarnation
	s.recordAnswer(now, r)
	switch {
	case r.Draining:
		s.drain(now)
	case restarted:
		s.presumeCold(now, r.Incarnation)
		s.recordObservation(Cold)
	case r.ConnectionRefused || r.Failed && r.Fate != call.Answered:
		s.connectionFailed(now, g)
	case r.Shed:
		s.fire(now, "shed")
	case r.Failed:
		s.answerFailed(now)
	case r.Fate == call.Answered:
		s.answerSucceeded(now, r.Latency)
	}
}

// recordCancelled uses the time until the cancellation as a lower bound of the server's latency.
func (s *server) recordCancelled(now time.Time, waited time.Duration) {
	if waited > s.latency {
		s.observeLatency(now, waited)
	}
}

// connectionFailed handles a connection that was refused, reset or found closed. The server may have restarted.
func (s *server) connectionFailed(now time.Time, g Grant) {
	if g.At.Before(s.coldSince) {
		return
	}
	s.countFailure()
	s.presumeCold(now, "")
	s.recordObservation(Down)
}

// drain handles an answer that reports that the server is draining.
func (s *server) drain(now time.Time) {
	if s.machine.In("draining") {
		return
	}
	s.fire(now, "drain")
	s.recordObservation(Draining)
}

// presumeCold handles evidence that the server may have restarted. With keepers, the server then gets no requests until
// the keeper has been notified and has sent a new grant.
func (s *server) presumeCold(now time.Time, incarnation string) {
	s.coldSince = now
	s.coldUnreported = !s.fleet.config.NoKeepers
	s.lease = serverLease{cold: s.coldUnreported}
	s.incarnation = incarnation
	s.latency, s.consecutiveSlowAnswers = 0, 0
	s.pendingReport = Report{} // answers of the previous incarnation say nothing about the new one
	if s.machine.In("draining") && incarnation != "" {
		s.fire(now, "restart")
		return
	}
	s.fire(now, "presume_cold")
}

func (s *server) answerFailed(now time.Time) {
	s.countFailure()
	s.pendingReport.Bad++
	s.fire(now, "answer_bad")
}

func (s *server) countFailure() {
	s.consecutiveFailures++
	s.failureRate += (1 - s.failureRate) / latencyWeight
}

func (s *server) answerSucceeded(now time.Time, latency time.Duration) {
	s.consecutiveFailures = 0
	s.failureRate -= s.failureRate / latencyWeight
	s.pendingReport.Latency = (s.pendingReport.Latency*time.Duration(s.pendingReport.Good) + latency) /
		time.Duration(s.pendingReport.Good+1)
	s.pendingReport.Good++
	slow := latency > slowFactor*s.baselineLatency()
	s.observeLatency(now, latency)
	if !slow {
		s.consecutiveSlowAnswers = 0
		s.fire(now, "answer_good")
		return
	}
	s.consecutiveSlowAnswers++
	before := s.machine.State()
	s.fire(now, "answer_late")
	if before != "cold" && s.machine.In("cold") {
		s.coldSince = now
		s.coldUnreported = !s.fleet.config.NoKeepers
		s.recordObservation(Cold)
	}
}

// baselineLatency returns the latency that answers of this server are compared with.
func (s *server) baselineLatency() time.Duration {
	if s.typicalLatency == 0 {
		return s.fleet.typicalLatency
	}
	return s.typicalLatency
}

func (s *server) observeLatency(now time.Time, latency time.Duration) {
	s.sampledAt = now
	s.limit.adjust(now, latency, s.typicalLatency, s.fleet.tuning.AdaptLimit)
	s.fleet.observeLatency(latency)
	s.latency = average(s.latency, latency, latencyWeight)
	s.typicalLatency = average(s.typicalLatency, latency, typicalWeight)
}

// average updates an exponential moving average; the first sample initializes it.
func average(old, sample time.Duration, weight int) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/time.Duration(weight)
}

// expectedLatency returns the expected latency of one request without queueing. An old estimate above the typical latency
// of the service decays towards it, so that a server that was slow is tried again.
func (s *server) expectedLatency(now time.Time) time.Duration {
	typical := s.fleet.typicalLatency
	if s.latency == 0 {
		return typical
	}
	age := now.Sub(s.sampledAt)
	if age < latencyHalfLife/16 || s.latency <= typical {
		return s.latency
	}
	weight := math.Exp2(-float64(age) / float64(latencyHalfLife))
	return typical + time.Duration(weight*float64(s.latency-typical))
}

// recordAnswer records the incarnation and load that an answer reports.
func (s *server) recordAnswer(now time.Time, r Result) {
	if r.Incarnation != "" {
		s.incarnation = r.Incarnation
	}
	s.hasReport = true
	if r.Slots > 0 {
		s.lastLoad = reportedLoad{running: r.Running, slots: r.Slots, at: now}
		s.pendingReport.Running, s.pendingReport.Slots = r.Running, r.Slots
	}
}

// recordObservation records an observed state for the next report to the keeper and as a notice to send immediately.
func (s *server) recordObservation(state ReportedState) {
	s.pendingReport.State = state
	s.hasReport = true
	s.fleet.notices = append(s.fleet.notices, Notice{Server: s.spec.Name, Incarnation: s.incarnation, State: state})
}

// takeReport returns and clears the report since the previous one, and false when there is nothing to report.
func (s *server) takeReport() (Report, bool) {
	r := s.pendingReport
	r.Server = s.spec.Name
	r.Incarnation = s.incarnation
	ok := s.hasReport
	s.pendingReport = Report{}
	s.hasReport = false
	return r, ok
}
