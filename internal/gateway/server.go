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
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

const (
	// freshAge is the maximum age of a load report on which a placement may be based: a fraction of the 300 ms for which
	// the speed of a server stays the same.
	freshAge = 25 * time.Millisecond
	// freshAgeOtherRegion is the same for servers of other regions; it exceeds the round trip that a newer report takes.
	freshAgeOtherRegion = 120 * time.Millisecond
	// overduePenaltyTime is how long a server that does not report load counts as slow after a copy was overdue: half of
	// the 300 ms for which the speed of a machine stays the same.
	overduePenaltyTime = 150 * time.Millisecond
	// overdueSlowdown is the slowdown assumed for that time.
	overdueSlowdown = 4
	// noLoadCheckTimeout is the minimum timeout of a health check that may have to wait for a slot: a few times the typical
	// service time.
	noLoadCheckTimeout = time.Second
	// fullHold is how long a server that rejected a health check for lack of capacity gets no requests: several
	// times the wait of a placement.
	fullHold = 150 * time.Millisecond
	// recheckInterval is the minimum time between two checks of a doubtful server.
	recheckInterval = 150 * time.Millisecond
	// maxReportAge is the age above which a report is ignored.
	maxReportAge = 2 * time.Second
	// Round trips assumed until one has been measured: within a zone, within a region and between regions.
	assumedRTTZone, assumedRTTRegion, assumedRTTOtherRegion = time.Millisecond, 2 * time.Millisecond, 20 * time.Millisecond
	// roundTripWeight is the weight of a new sample in the moving average of the round trip.
	roundTripWeight = 0.2
)

// server is the director's state of one backend server.
type server struct {
	// barred is true while requests may not wait for a connection, since the server or its zone is leaving.
	barred   bool
	entry    *fleet.Backend
	distance placement.Distance
	pool     *backend.Pool
	stop     context.CancelFunc

	// inFlight is the number of copies that this instance has in flight on the server.
	inFlight int
	// report is the latest load report.
	report report
	// checkInFlight is true while a health check is in flight.
	checkInFlight bool
	// checkSentAt is when the last health check was sent.
	checkSentAt time.Time
	// overdueAt is when a copy last exceeded its expected time.
	overdueAt time.Time
	// sentSinceCheck counts the requests that were sent after the last answered health check was sent, sentDuringCheck those
	// sent after the one in flight. Only health checks show that a server has become cold.
	sentSinceCheck, sentDuringCheck int
	// unresponsive is true if the last health check got no answer.
	unresponsive bool
	// crashChecksLeft is the number of health checks that may still be sent after a broken connection to determine whether
	// the server crashed.
	crashChecksLeft int
	// wrongIdentity is true when another server answers at the address of this one.
	wrongIdentity bool
	// roundTrip is the moving average of the round trip.
	roundTrip time.Duration
	// minCheckTime is the shortest time of a health check; zero until one was answered.
	minCheckTime time.Duration
	// typicalSlowdown is the mean slowdown of the last seconds; zero until one was reported.
	typicalSlowdown float64
	// score is the success rate of recent copies.
	score outlier.Score
	// share is this instance's share of the requests to the server while it is cold.
	share coldShare
	// coldMeter counts the requests sent to the server while it is cold.
	coldMeter coldstart.Meter
}

// coldShare is a share of the requests to a cold server, which holds for a snapshot and a bound.
type coldShare struct {
	snapshot *Snapshot
	bound    float64
	value    int
}

// report is the load that a server reported, in an answer or a health check.
type report struct {
	at                      time.Time
	running, waiting, slots int
	// slowdown is the service time relative to an unloaded server.
	slowdown  float64
	coldUntil time.Time
	// sentSince counts the copies that this instance has sent since the report.
	sentSince int
	// healthy is false if the last health check was answered with an error status.
	healthy bool
	// reportsLoad is false if the server does not report load.
	reportsLoad bool
	// checkDelay is how much longer the last check took than the quickest one.
	checkDelay time.Duration
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
	return [...]time.Duration{placement.SameZone: assumedRTTZone, placement.SameRegion: assumedRTTRegion,
		placement.OtherRegion: assumedRTTOtherRegion}[d]
}

// isFresh reports whether the last report is recent enough to base a placement on it.
func (s *server) isFresh(now time.Time) bool {
	limit := freshAge
	if s.distance == placement.OtherRegion {
		limit = freshAgeOtherRegion
	}
	if !s.report.reportsLoad && s.report.sentSince > 0 {
		return false // the slot that the check found free is taken
	}
	return !s.report.at.IsZero() && !s.isDoubtful() && now.Sub(s.report.at) <= limit
}

// isDoubtful reports whether the last health check got no answer, or that of another server. Requests are not sent to such a
// server until a check succeeds.
func (s *server) isDoubtful() bool { return s.unresponsive || s.wrongIdentity }

// noteSent counts a request that is sent to the server.
func (s *server) noteSent(now time.Time) {
	s.inFlight++
	s.report.sentSince++
	s.sentSinceCheck++
	s.sentDuringCheck++
	s.coldMeter.Record(now)
}

// isFull reports whether the server recently rejected a health check for lack of capacity.
func (s *server) isFull(now time.Time) bool { return s.report.full && now.Sub(s.report.at) <= fullHold }

// isCold reports whether the server is cold. A server without a recent report counts as cold.
func (s *server) isCold(now time.Time) bool {
	return s.report.at.IsZero() || now.Sub(s.report.at) > maxReportAge || now.Before(s.report.coldUntil)
}

// candidate returns the state of the server in the form that the placement decision takes.
func (s *server) candidate(now time.Time) placement.Candidate {
	c := placement.Candidate{
		Distance: s.distance, RoundTrip: s.roundTrip, Slots: s.entry.Slots, Running: s.inFlight, Slowdown: s.report.slowdown,
		TypicalSlowdown: s.typicalSlowdown, SuccessRate: s.score.Value(now), Cold: s.isCold(now),
		Reported: s.isFresh(now) && s.report.healthy,
	}
	if !s.report.reportsLoad {
		c.Slowdown, c.TypicalSlowdown = 1, 1 // only measured times are available
		if now.Sub(s.overdueAt) < overduePenaltyTime {
			c.Slowdown = overdueSlowdown
		}
		c.CheckDelay = s.currentCheckDelay(now)
	}
	if s.report.reportsLoad && now.Sub(s.report.at) <= maxReportAge {
		c.Running = max(s.report.running+s.report.sentSince, s.inFlight)
		c.Waiting = s.report.waiting
		if s.report.slots > 0 {
			c.Slots = s.report.slots
		}
	}
	return c
}

// currentCheckDelay returns the difference between the latest health check and the quickest one. A check in flight counts
// with its time so far if that is longer. It is used for servers that do not report load.
func (s *server) currentCheckDelay(now time.Time) time.Duration {
	if s.checkInFlight { // the check in flight has already waited this long
		return max(s.report.checkDelay, now.Sub(s.checkSentAt)-s.minCheckTime)
	}
	return s.report.checkDelay
}

// updateLoad updates the load from an answer or a health check.
func (s *server) updateLoad(now time.Time, r backend.Result) {
	if !r.LoadKnown {
		return
	}
	s.updateTypicalSlowdown(now, r.Slowdown)
	s.report = report{
		at: now, running: r.Running, waiting: r.Waiting, slots: r.Slots, slowdown: r.Slowdown, reportsLoad: true,
		healthy: s.report.healthy, full: s.report.full, coldUntil: s.report.coldUntil,
	}
}

// slowdownTimeConstant is the time constant of the typical slowdown: after this time the weight of a report has fallen to
// 37 %. It is several times the 300 ms for which the speed of a machine stays the same, and a fraction of the seconds for
// which a server in trouble is slow.
const slowdownTimeConstant = 1500 * time.Millisecond

// updateTypicalSlowdown adds a reported slowdown to the average, weighted by the time since the last report.
func (s *server) updateTypicalSlowdown(now time.Time, slowdown float64) {
	if s.typicalSlowdown == 0 {
		s.typicalSlowdown = placement.DefaultTuning().MeanSlowdown
	}
	passed := min(now.Sub(s.report.at), slowdownTimeConstant)
	weight := 1 - math.Exp(-float64(passed)/float64(slowdownTimeConstant))
	s.typicalSlowdown += weight * (slowdown - s.typicalSlowdown)
}

// applyCheck updates the state from the result of a health check.
func (s *server) applyCheck(now time.Time, r backend.Result) {
	s.checkInFlight = false
	s.unresponsive = r.Answer == nil
	if s.unresponsive {
		return
	}
	s.sentSinceCheck = s.sentDuringCheck
	s.wrongIdentity = r.ServerID != "" && r.ServerID != s.entry.ID
	s.report.healthy = r.Answer.Status < http.StatusMultipleChoices
	s.report.full = r.Fate == call.DeclaredNotRun
	s.report.reportsLoad = r.LoadKnown
	s.updateLoad(now, r)
	s.report.at, s.report.sentSince = now, 0
	s.report.coldUntil = now.Add(r.ColdFor)
	if r.ColdFor <= 0 {
		s.report.coldUntil = time.Time{}
	}
	if r.Late {
		return
	}
	if r.LoadKnown { // otherwise the time of the check may include a wait for a slot
		s.roundTrip += time.Duration(roundTripWeight * float64(r.Elapsed-s.roundTrip))
		return
	}
	if s.minCheckTime == 0 || r.Elapsed < s.minCheckTime {
		s.minCheckTime = r.Elapsed
	}
	s.report.checkDelay = r.Elapsed - s.minCheckTime
}

// checkTimeout returns the timeout of a health check. It is longer for a server that does not report load, because there the
// check may have to wait for a slot.
func (s *server) checkTimeout(timeout time.Duration) time.Duration {
	if s.report.reportsLoad {
		return timeout
	}
	return max(timeout, noLoadCheckTimeout)
}

// sendCheck sends a health check, which also returns the load, on a connection of the pool. The connection that answered is
// the next one to carry a request, so that no request is sent on a connection that the server has already closed.
func (s *server) sendCheck(ctx context.Context, timeout time.Duration, service fleet.Service, done func(backend.Result)) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	pool := s.pool
	request := &call.Request{Method: http.MethodGet, Service: s.entry.Address, Path: service.HealthPath}
	go func() {
		defer cancel()
		done(pool.Check(ctx, request))
	}()
}
