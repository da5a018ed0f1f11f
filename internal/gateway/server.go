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
	// freshNear and freshFar are how old a report may be for a placement: a fraction of the 300 ms for which the speed
	// of a server lasts, and for far servers more than the round trip that a newer one takes.
	freshNear = 25 * time.Millisecond
	freshFar  = 120 * time.Millisecond
	// overdueKept is how long a server that tells no load counts as slow after a copy was overdue: half of the 300 ms for
	// which the speed of a machine lasts. overdueSlowdown is how slow it then counts.
	overdueKept     = 150 * time.Millisecond
	overdueSlowdown = 4
	// noLoadCheck bounds a health check that may wait for a slot: a few times the time that requests take.
	noLoadCheck = time.Second
	// fullKept is how long a server that had no room for a health check is left out: several times the wait of a placement.
	fullKept = 150 * time.Millisecond
	// silencePause is the pause between checks of a server that does not answer.
	silencePause = 150 * time.Millisecond
	// reportKept is how long a report counts at all.
	reportKept = 2 * time.Second
	// Round trips that are assumed until one was measured.
	assumedZone, assumedRegion, assumedFar = time.Millisecond, 2 * time.Millisecond, 20 * time.Millisecond
	// roundTripWeight is the weight of a new measurement of the round trip.
	roundTripWeight = 0.2
)

// server is what the director knows about one backend server. It is owned by the director.
type server struct {
	entry    *fleet.Backend
	distance placement.Distance
	pool     *backend.Pool
	stop     context.CancelFunc

	// inFlight counts the copies of this instance on their way.
	inFlight int
	report   report
	probing  bool
	// asked is when the last check was sent.
	asked time.Time
	// overdueAt is when a copy was last found to take longer than expected.
	overdueAt time.Time
	// silent is true while the last check had no answer.
	silent bool
	// examined is how many health checks may still follow a broken connection, to find out whether the server crashed.
	examined int
	// misplaced is true when another server answers at the address.
	misplaced bool
	roundTrip time.Duration
	// quickest is the least time of a health check; zero until one was answered.
	quickest time.Duration
	// usual is the mean slowdown of the last seconds; zero until one was reported.
	usual float64
	score outlier.Score
	cold  coldstart.Meter
}

// report is what a server told about itself.
type report struct {
	at                      time.Time
	running, waiting, slots int
	slowdown                float64
	coldUntil               time.Time
	// sent counts the copies that this instance sent since.
	sent int
	// well is false when the health check failed.
	well bool
	// load is false when the server did not tell its load.
	load bool
	// delay is by how much the check took longer than the quickest one.
	delay time.Duration
	// full is true when the server had no room for the check.
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

// isFresh reports whether the last report is new enough for a placement.
func (s *server) isFresh(now time.Time) bool {
	limit := freshNear
	if s.distance == placement.OtherRegion {
		limit = freshFar
	}
	if !s.report.load && s.report.sent > 0 {
		return false // the slot that the check found free has been taken
	}
	return !s.report.at.IsZero() && !s.silent && now.Sub(s.report.at) <= limit
}

// isFull reports whether the server had no room for a health check a moment ago.
func (s *server) isFull(now time.Time) bool { return s.report.full && now.Sub(s.report.at) <= fullKept }

// isCold reports whether the server is cold, or may be because nothing recent is known.
func (s *server) isCold(now time.Time) bool {
	return s.report.at.IsZero() || now.Sub(s.report.at) > reportKept || now.Before(s.report.coldUntil)
}

// candidate returns the server as placement sees it.
func (s *server) candidate(now time.Time) placement.Candidate {
	c := placement.Candidate{
		Distance: s.distance, RoundTrip: s.roundTrip, Slots: s.entry.Slots, Running: s.inFlight, Slowdown: s.report.slowdown,
		Usual: s.usual, Success: s.score.Value(now), Cold: s.isCold(now), Reported: s.isFresh(now) && s.report.well,
	}
	if !s.report.load {
		c.Slowdown, c.Usual = 1, 1 // the times that were measured are all that is known
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

// delay returns by how much health checks of a server that tells no load take longer than usual.
func (s *server) delay(now time.Time) time.Duration {
	if s.probing { // the check has waited so long already
		return max(s.report.delay, now.Sub(s.asked)-s.quickest)
	}
	return s.report.delay
}

// observe takes what an answer or a health check told.
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

// usualMemory is the time after which a report weighs 37 % in the usual slowdown: several of the 300 ms for which the
// speed of a machine lasts, and a fraction of the seconds for which a server in trouble is slow.
const usualMemory = 1500 * time.Millisecond

// learnUsual takes a reported slowdown, weighed by the time since the last report.
func (s *server) learnUsual(now time.Time, slowdown float64) {
	if s.usual == 0 {
		s.usual = placement.DefaultTuning().MeanSlowdown
	}
	passed := min(now.Sub(s.report.at), usualMemory)
	weight := 1 - math.Exp(-float64(passed)/float64(usualMemory))
	s.usual += weight * (slowdown - s.usual)
}

// checked takes the outcome of a health check.
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
	if r.LoadKnown { // without it, the check may have waited for a slot
		s.roundTrip += time.Duration(roundTripWeight * float64(r.Elapsed-s.roundTrip))
		return
	}
	if s.quickest == 0 || r.Elapsed < s.quickest {
		s.quickest = r.Elapsed
	}
	s.report.delay = r.Elapsed - s.quickest
}

// checkLimit returns the time after which a health check without an answer shows that the server does not answer. That of
// a server which tells no load may wait for a slot.
func (s *server) checkLimit(usual time.Duration) time.Duration {
	if s.report.load {
		return usual
	}
	return max(usual, noLoadCheck)
}

// check asks the server for its health and load on a connection of its pool. The connection that answers is the next
// one to carry a request, so that a request is not sent on a connection that the server has forgotten.
func (s *server) check(ctx context.Context, limit time.Duration, service fleet.Service, done func(backend.Result)) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	pool := s.pool
	request := &call.Request{Method: http.MethodGet, Service: s.entry.Address, Path: service.HealthPath}
	go func() {
		defer cancel()
		r := pool.Do(ctx, request)
		if r.Answer != nil && r.Answer.Stream != nil {
			_ = r.Answer.Stream.Close() // the body of a health check is of no interest
			r = backend.Result{Fate: call.MaybeRun, Err: fault.New(fault.BadBackend, "shorten the health answer", "health answer is too long")}
		}
		done(r)
	}()
}
