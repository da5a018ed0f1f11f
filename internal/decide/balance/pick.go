package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Pick selects a server with free capacity for a request. It returns false when no server has any, or when waiting for a
// faster server is expected to cost less than using the best one with free capacity.
func (f *Fleet) Pick(now time.Time, rnd *rand.Rand, requirements Requirements) (Grant, bool) {
	if len(f.sortedServers) == 0 {
		return Grant{}, false
	}
	if f.tuning.Order == ByReport {
		return f.pickReported(now, rnd, requirements)
	}
	chance := rnd.Float64()
	start := rnd.IntN(len(f.sortedServers))
	var best *server
	var lowestCost time.Duration
	for i := range f.sortedServers {
		s := f.sortedServers[(start+i)%len(f.sortedServers)]
		if !f.eligible(now, s, requirements, chance) {
			continue
		}
		if s.dueForWarmUp(now) {
			return s.grant(now), true
		}
		if cost := f.cost(now, s); best == nil || cost < lowestCost {
			best, lowestCost = s, cost
		}
	}
	if best == nil || !f.betterThanWaiting(now, best, requirements) {
		return Grant{}, false
	}
	return best.grant(now), true
}

// pickReported samples two servers with free capacity at random and takes the one with the lower load.
func (f *Fleet) pickReported(now time.Time, rnd *rand.Rand, requirements Requirements) (Grant, bool) {
	chance := rnd.Float64()
	var sampled [2]*server
	candidates := 0
	for _, s := range f.sortedServers {
		if !f.eligible(now, s, requirements, chance) || f.distance(s) == otherRegion {
			continue
		}
		candidates++
		if candidates <= len(sampled) {
			sampled[candidates-1] = s
		} else if i := rnd.IntN(candidates); i < len(sampled) {
			sampled[i] = s
		}
	}
	switch {
	case candidates == 0:
		return Grant{}, false
	case candidates > 1 && sampled[1].load(now) < sampled[0].load(now):
		return sampled[1].grant(now), true
	}
	return sampled[0].grant(now), true
}

// CanServe reports whether any server could serve the request once it has free capacity.
func (f *Fleet) CanServe(now time.Time, requirements Requirements) bool {
	return slices.ContainsFunc(f.sortedServers, func(s *server) bool { return f.regionAllowed(s, requirements) && s.mayServeSoon(now) })
}

// mayServeSoon reports whether the server may accept requests soon. With keepers, a lease can arrive at any moment.
func (s *server) mayServeSoon(now time.Time) bool {
	if s.fleet.config.NoKeepers {
		return s.allowance(now) > 0
	}
	return !s.machine.In("draining") && !s.machine.In("ejected") && s.zone.share(now) > 0
}

func (f *Fleet) regionAllowed(s *server, requirements Requirements) bool {
	if requirements.Regions != nil && !slices.Contains(requirements.Regions, s.region) {
		return false
	}
	return requirements.CrossRegion || s.region == f.config.Self.Region
}

func (f *Fleet) eligible(now time.Time, s *server, requirements Requirements, chance float64) bool {
	return f.regionAllowed(s, requirements) && s.inFlight < s.allowance(now) && chance < s.zone.share(now) &&
		!slices.Contains(requirements.Avoid, s.spec.Name)
}

// dueForWarmUp reports whether a server that is not warm should get a request now to warm it up.
func (s *server) dueForWarmUp(now time.Time) bool {
	return (s.needsColdGrant() || s.machine.In("warming")) && s.inFlight == 0 && now.Sub(s.grantedAt) >= warmUpInterval &&
		s.fleet.distance(s) != otherRegion
}

// cost returns the expected time of a request at a server from its distance, latency, requests in flight and failures.
func (f *Fleet) cost(now time.Time, s *server) time.Duration {
	delay := float64(s.expectedLatency(now))
	delay *= 1 + s.queueingFactor(now)
	delay *= 1 + failureCost*s.failureRate
	return f.roundTrip(s) + time.Duration(delay)
}

// failureCost is the cost of a failed request in multiples of its latency, because a retry follows the failure.
const failureCost = 4

// queueingFactor returns the expected wait at the server in service times. A leased slot is reserved for this instance, so a
// request within the lease hardly waits.
func (s *server) queueingFactor(now time.Time) float64 {
	switch {
	case s.fleet.tuning.Order == ByReportedDelay:
		return s.load(now)
	case !s.fleet.config.NoKeepers && s.shard.leaseValid(now) && s.inFlight < s.lease.slots:
		return float64(s.inFlight) / float64(4*s.slots)
	}
	return float64(s.inFlight)
}

// load returns the fraction of the slots in use: the larger of the server's last report and the requests in flight here.
func (s *server) load(now time.Time) float64 {
	busy := s.inFlight
	if now.Sub(s.lastLoad.at) < reportedLoadTTL {
		busy = max(busy, s.lastLoad.running)
	}
	return float64(busy) / float64(s.slots)
}

// betterThanWaiting reports whether using a server with free capacity is better than waiting. Its extra time over the
// fastest server that may serve the request must not exceed the expected wait. Inside the region the time of the fastest
// server is added to the wait, because the wait is only an estimate.
func (f *Fleet) betterThanWaiting(now time.Time, s *server, requirements Requirements) bool {
	remote := f.distance(s) == otherRegion
	if !f.tuning.WaitForFaster && !remote {
		return true
	}
	fastest := s.expectedLatency(now) + f.roundTrip(s)
	for _, other := range f.sortedServers {
		if f.regionAllowed(other, requirements) && other.mayServeSoon(now) && !other.needsColdGrant() {
			fastest = min(fastest, other.expectedLatency(now)+f.roundTrip(other))
		}
	}
	maxExtraTime := requirements.ExpectedWait
	if !remote {
		maxExtraTime += fastest
	}
	return s.expectedLatency(now)+f.roundTrip(s)-fastest <= maxExtraTime
}

const (
	sameZone = iota
	sameRegion
	otherRegion
)

func (f *Fleet) distance(s *server) int {
	switch {
	case s.spec.Zone == f.config.Self.Zone:
		return sameZone
	case s.region == f.config.Self.Region:
		return sameRegion
	}
	return otherRegion
}

func (f *Fleet) roundTrip(s *server) time.Duration {
	return [...]time.Duration{sameZone: 0, sameRegion: zoneRoundTrip, otherRegion: regionRoundTrip}[f.distance(s)]
}
