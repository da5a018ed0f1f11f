package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Pick selects a server with free capacity for a request. It returns false when no server has any, or when waiting for a
// faster server is expected to cost less than using the best one with free capacity.
func (f *Fleet) Pick(now time.Time, rnd *rand.Rand, want Want) (Grant, bool) {
	if len(f.order) == 0 {
		return Grant{}, false
	}
	if f.tuning.Order == ByReport {
		return f.pickReported(now, rnd, want)
	}
	chance := rnd.Float64()
	start := rnd.IntN(len(f.order))
	var best *server
	var least time.Duration
	for i := range f.order {
		s := f.order[(start+i)%len(f.order)]
		if !f.usable(now, s, want, chance) {
			continue
		}
		if s.trickles(now) {
			return s.grant(now), true
		}
		if cost := f.cost(now, s); best == nil || cost < least {
			best, least = s, cost
		}
	}
	if best == nil || !f.worth(now, best, want) {
		return Grant{}, false
	}
	return best.grant(now), true
}

// pickReported samples two servers with free capacity at random and takes the one with the lower load.
func (f *Fleet) pickReported(now time.Time, rnd *rand.Rand, want Want) (Grant, bool) {
	chance := rnd.Float64()
	var drawn [2]*server
	seen := 0
	for _, s := range f.order {
		if !f.usable(now, s, want, chance) || f.distance(s) == farRegion {
			continue
		}
		seen++
		if seen <= len(drawn) {
			drawn[seen-1] = s
		} else if i := rnd.IntN(seen); i < len(drawn) {
			drawn[i] = s
		}
	}
	switch {
	case seen == 0:
		return Grant{}, false
	case seen > 1 && drawn[1].load(now) < drawn[0].load(now):
		return drawn[1].grant(now), true
	}
	return drawn[0].grant(now), true
}

// Possible reports whether any server could serve the request once it has free capacity.
func (f *Fleet) Possible(now time.Time, want Want) bool {
	return slices.ContainsFunc(f.order, func(s *server) bool { return f.reachable(s, want) && s.hopeful(now) })
}

// hopeful reports whether the server may accept requests soon. With keepers, a lease can arrive at any moment.
func (s *server) hopeful(now time.Time) bool {
	if s.fleet.view.NoKeepers {
		return s.allowance(now) > 0
	}
	return !s.machine.In("draining") && !s.machine.In("ejected") && s.zone.share(now) > 0
}

func (f *Fleet) reachable(s *server, want Want) bool {
	if want.Regions != nil && !slices.Contains(want.Regions, s.region) {
		return false
	}
	return want.CrossRegion || s.region == f.view.Self.Region
}

func (f *Fleet) usable(now time.Time, s *server, want Want, chance float64) bool {
	return f.reachable(s, want) && s.inFlight < s.allowance(now) && chance < s.zone.share(now) &&
		!slices.Contains(want.Avoid, s.spec.Name)
}

// trickles reports whether a server that is not warm should get a request now to warm it up.
func (s *server) trickles(now time.Time) bool {
	return (s.needsToken() || s.machine.In("warming")) && s.inFlight == 0 && now.Sub(s.grantedAt) >= trickleInterval &&
		s.fleet.distance(s) != farRegion
}

// cost returns the expected time of a request at a server from its distance, latency, requests in flight and failures.
func (f *Fleet) cost(now time.Time, s *server) time.Duration {
	delay := float64(s.expected(now))
	delay *= 1 + s.crowding(now)
	delay *= 1 + failureCost*s.failures
	return f.hop(s) + time.Duration(delay)
}

// failureCost is the cost of a failed request in multiples of its latency, because a retry follows the failure.
const failureCost = 4

// crowding returns the expected wait at the server in service times. A leased slot is reserved for this instance, so a
// request within the lease hardly waits.
func (s *server) crowding(now time.Time) float64 {
	switch {
	case s.fleet.tuning.Order == ByReportedDelay:
		return s.load(now)
	case !s.fleet.view.NoKeepers && s.shard.live(now) && s.inFlight < s.lease.slots:
		return float64(s.inFlight) / float64(4*s.slots)
	}
	return float64(s.inFlight)
}

// load returns the fraction of the slots in use: the larger of the server's last report and the requests in flight here.
func (s *server) load(now time.Time) float64 {
	busy := s.inFlight
	if now.Sub(s.reported.at) < reportLife {
		busy = max(busy, s.reported.running)
	}
	return float64(busy) / float64(s.slots)
}

// worth reports whether using a server with free capacity is better than waiting. Its extra time over the fastest
// reachable server must not exceed the expected wait. Inside the region the time of the fastest server is added to the
// wait, because the wait is only an estimate.
func (f *Fleet) worth(now time.Time, s *server, want Want) bool {
	far := f.distance(s) == farRegion
	if !f.tuning.Patient && !far {
		return true
	}
	best := s.expected(now) + f.hop(s)
	for _, other := range f.order {
		if f.reachable(other, want) && other.hopeful(now) && !other.needsToken() {
			best = min(best, other.expected(now)+f.hop(other))
		}
	}
	patience := want.Wait
	if !far {
		patience += best
	}
	return s.expected(now)+f.hop(s)-best <= patience
}

const (
	ownZone = iota
	ownRegion
	farRegion
)

func (f *Fleet) distance(s *server) int {
	switch {
	case s.spec.Zone == f.view.Self.Zone:
		return ownZone
	case s.region == f.view.Self.Region:
		return ownRegion
	}
	return farRegion
}

func (f *Fleet) hop(s *server) time.Duration {
	return [...]time.Duration{ownZone: 0, ownRegion: zoneHop, farRegion: regionHop}[f.distance(s)]
}
