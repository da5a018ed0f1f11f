package gateway

import (
	"context"
	"math"
	"net/http"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/coldstart"
	"fuchsiahub.example/fuchsiahub/internal/decide/outlier"
	"fuchsiahub.example/fuchsiahub/internal/decide/placement"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

const (
	// freshNear is the maximum age of a load report on which a placement may be based: a fraction of the 300 ms for which
	// the speed of a server stays the same.
	freshNear = 25 * time.Millisecond
	// freshFar is the same for servers of other regions; it exceeds the round trip that a newer report takes.
	freshFar = 120 * time.Millisecond
	// overdueKept is how long a server that does not report load counts as slow after a copy was overdue: half of the 300 ms
	// for which the speed of a machine stays the same.
	overdueKept = 150 * time.Millisecond
	// overdueSlowdown is the slowdown assumed for that time.
	overdueSlowdown = 4
	// noLoadCheck is the minimum timeout of a health check that may have to wait for a slot: a few times the typical
	// service time.
	noLoadCheck = time.Second
	// fullKept is how long a server that rejected a health check for lack of capacity gets no requests: several times the
	// wait of a placement.
	fullKept = 150 * time.Millisecond
	// silencePause is the minimum time between two checks of an unresponsive server.
	silencePause = 150 * time.Millisecond
	// reportKept is the age above which a report is ignored.
	reportKept = 2 * time.Second
	// Round trips assumed until one has been measured: within a zone, within a region and between regions.
	assumedZone, assumedRegion, assumedFar = time.Millisecond, 2 * time.Millisecond, 20 * time.Millisecond
	// roundTripWeight is the weight of a new sample in the moving average of the round trip.
	roundTripWeight = 0.2
)

// server is the director's state of one backend server.
type server struct {
	entry    *fleet.Backend
	distance placement.Distance
	pool     *backend.Pool
	stop     context.CancelFunc

	// inFlight is the number of copies that this instance has in flight on the server.
	inFlight int
	// report is the latest load report.
	report report
	// probing is true while a health check is in flight.
	probing bool
	// asked is when the last health check was sent.
	asked time.Time
	// overdueAt is when a copy last exceeded its expected time.
	overdueAt time.Time
	// silent is true if the last health check got no answer.
	silent bool
	// examined is the number of health checks that may still be sent after a broken connection to determine whether the
	// server crashed.
	examined int
	// misplaced is true when another server answers at the address of this one.
	misplaced bool
	// roundTrip is the moving average of the round trip.
	roundTrip time.Duration
	// quickest is the shortest time of a health check; zero until one was answered.
	quickest time.Duration
	// usual is the mean slowdown of the last seconds; zero until one was reported.
	usual float64
	// score is the success rate of recent copies.
	score outlier.Score
	// cold counts the requests sent to the server while it is cold.
	cold coldstart.Meter
}

// report is the load that a server reported, in an answer or a health check.
type report struct {
	at                      time.Time
	running, waiting, slots int
	// slowdown is the service time relative to an unloaded server.
	slowdown  float64
	coldUntil time.Time
	// sent counts the copies that this instance has sent since the report.
	sent int
	// well is false if the last health check was answered with an error status.
	well bool
	// load is false if the server does not report load.
	load bool
	// delay is how much longer the last check took than the quickest one.
	delay time.Duration
	// full is true if the server rejected the last check for lack of capacity.
	full bool
}

func distance(self, other fleet.Place) placement.Distance {
	switch {
	case self.Zone == other.Zone:
		return placement.SameZone
	case self.Region == other.Region:
		return placement.SameRegion
	}
	return placement.OtherRegion
}

func assumedRoundTrip(d placement.Distance) time.Duration {
	return [...]time.Duration{placement.SameZone: assumedZone, placement.SameRegion: assumedRegion, placement.OtherRegion: assumedFar}[d]
}

// isFresh reports whether the last report is recent enough to base a placement on it.
func (s *server) isFresh(now time.Time) bool {
	limit := freshNear
	if s.distance == placement.OtherRegion {
		limit = freshFar
	}
	if !s.report.load && s.report.sent > 0 {
		return false // the slot that the check found free is taken
	}
	return !s.report.at.IsZero() && !s.silent && now.Sub(s.report.at) <= limit
}

// isFull reports whether the server recently rejected a health check for lack of capacity.
func (s *server) isFull(now time.Time) bool { return s.report.full && now.Sub(s.report.at) <= fullKept }

// isCold reports whether the server is cold. A server without a recent report counts as cold.
func (s *server) isCold(now time.Time) bool {
	return s.report.at.IsZero() || now.Sub(s.report.at) > reportKept || now.Before(s.report.coldUntil)
}

// candidate returns the state of the server in the form that the placement decision takes.
func (s *server) candidate(now time.Time) placement.Candidate {
	c := placement.Candidate{
		Distance: s.distance, RoundTrip: s.roundTrip, Slots: s.entry.Slots, Running: s.inFlight, Slowdown: s.report.slowdown,
		Usual: s.usual, Success: s.score.Value(now), Cold: s.isCold(now), Reported: s.isFresh(now) && s.report.well,
	}
	if !s.report.load {
		c.Slowdown, c.Usual = 1, 1 // only measured times are available
		if now.Sub(s.overdueAt) < overdueKept {
			c.Slowdown = overdueSlowdown
		}
		c.Delay = s.delay(now)
	}
	if s.report.load && now.Sub(s.report.at) <= reportKept {
		c.Running = max(s.report.running+s.report.sent, s.inFlight)
		c.Waiting = s.report.waiting
		if s.report.slots > 0 {
			c.Slots = s.report.slots
		}
	}
	return c
}

// delay returns how much longer than the quickest one the latest health check took or has taken so far. It is used for
// servers that do not report load.
func (s *server) delay(now time.Time) time.Duration {
	if s.probing { // the check in flight has already waited this long
		return max(s.report.delay, now.Sub(s.asked)-s.quickest)
	}
	return s.report.delay
}

// observe updates the load from an answer or a health check.
func (s *server) observe(now time.Time, r backend.Result) {
	if !r.LoadKnown {
		return
	}
	s.learnUsual(now, r.Slowdown)
	s.report = report{
		at: now, running: r.Running, waiting: r.Waiting, slots: r.Slots, slowdown: r.Slowdown, load: true,
		well: s.report.well, full: s.report.full, coldUntil: s.report.coldUntil,
	}
}

// usualMemory is the time constant of the typical slowdown: after this time the weight of a report has fallen to 37 %. It is
// several times the 300 ms for which the speed of a machine stays the same, and a fraction of the seconds for which
// a server in trouble is slow.
const usualMemory = 1500 * time.Millisecond

// learnUsual adds a reported slowdown to the average, weighted by the time since the last report.
func (s *server) learnUsual(now time.Time, slowdown float64) {
	if s.usual == 0 {
		s.usual = placement.DefaultTuning().MeanSlowdown
	}
	passed := min(now.Sub(s.report.at), usualMemory)
	weight := 1 - math.Exp(-float64(passed)/float64(usualMemory))
	s.usual += weight * (slowdown - s.usual)
}

// checked updates the state from the result of a health check.
func (s *server) checked(now time.Time, r backend.Result) {
	s.probing = false
	s.silent = r.Answer == nil
	if s.silent {
		return
	}
	s.misplaced = r.Identity != "" && r.Identity != s.entry.ID
	s.report.well = r.Answer.Status < http.StatusMultipleChoices
	s.report.full = r.Fate == call.DeclaredNotRun
	s.report.load = r.LoadKnown
	s.observe(now, r)
	s.report.at, s.report.sent = now, 0
	s.report.coldUntil = now.Add(r.ColdFor)
	if r.ColdFor <= 0 {
		s.report.coldUntil = time.Time{}
	}
	if r.LoadKnown { // otherwise the time of the check may include a wait for a slot
		s.roundTrip += time.Duration(roundTripWeight * float64(r.Elapsed-s.roundTrip))
		return
	}
	if s.quickest == 0 || r.Elapsed < s.quickest {
		s.quickest = r.Elapsed
	}
	s.report.delay = r.Elapsed - s.quickest
}

// checkLimit returns the timeout of a health check. It is longer for a server that does not report load, because there the
// check may have to wait for a slot.
func (s *server) checkLimit(usual time.Duration) time.Duration {
	if s.report.load {
		return usual
	}
	return max(usual, noLoadCheck)
}

// check sends a health check, which also returns the load, on a connection of the pool. The connection that answered is
// the next one to carry a request, so that no request is sent on a connection that the server has already closed.
func (s *server) check(ctx context.Context, limit time.Duration, service fleet.Service, done func(backend.Result)) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	pool := s.pool
	request := &call.Request{Method: http.MethodGet, Service: s.entry.Address, Path: service.HealthPath}
	go func() {
		defer cancel()
		r := pool.Do(ctx, request)
		if r.Answer != nil && r.Answer.Stream != nil {
			_ = r.Answer.Stream.Close() // the body of a health check is not needed
			r = backend.Result{Fate: call.MaybeRun, Err: fault.New(fault.BadBackend, "shorten the health answer", "health answer is too long")}
		}
		done(r)
	}()
}
