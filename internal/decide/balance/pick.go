package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Pick chooses a server with room, and false when none has.
func (f *Fleet) Pick(now time.Time, rnd *rand.Rand, want Want) (Grant, bool) {
	var best *server
	var bestRank rank
	start := 0
	if len(f.order) > 0 {
		start = rnd.IntN(len(f.order))
	}
	for i := range f.order {
		s := f.order[(start+i)%len(f.order)]
		if !f.usable(s, want) {
			continue
		}
		if r := f.rank(s); best == nil || r.less(bestRank) {
			best, bestRank = s, r
		}
	}
	if best == nil {
		return Grant{}, false
	}
	return best.grant(now), true
}

// Possible reports whether any server could serve the request once it has room.
func (f *Fleet) Possible(want Want) bool {
	return slices.ContainsFunc(f.order, func(s *server) bool { return f.reachable(s, want) && s.allowance() > 0 })
}

func (f *Fleet) reachable(s *server, want Want) bool {
	if want.Regions != nil && !slices.Contains(want.Regions, s.region) {
		return false
	}
	return want.CrossRegion || s.region == f.view.Self.Region
}

func (f *Fleet) usable(s *server, want Want) bool {
	return f.reachable(s, want) && s.inFlight < s.allowance() && !slices.Contains(want.Avoid, s.spec.Name)
}

// rank orders servers: nearer ones first, then those with the least expected delay.
type rank struct {
	distance int
	delay    time.Duration
}

func (r rank) less(other rank) bool {
	if r.distance != other.distance {
		return r.distance < other.distance
	}
	return r.delay < other.delay
}

func (f *Fleet) rank(s *server) rank {
	return rank{distance: f.distance(s), delay: time.Duration(s.inFlight+1) * max(s.latency, time.Millisecond) / time.Duration(s.slots)}
}

func (f *Fleet) distance(s *server) int {
	switch {
	case s.spec.Zone == f.view.Self.Zone:
		return 0
	case s.region == f.view.Self.Region:
		return 1
	}
	return 2
}
