package keeper

import (
	"cmp"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/session"
)

// holder is the keeper's record of one instance that leases slots.
type holder struct {
	id       session.Identity
	sequence uint64
	// demand is how many slots the instance could use. It lapses when lastSeen is older than GracePeriod.
	demand   int
	lastSeen time.Time
	// turnStart is when the instance last began its turn with a slot that cannot be divided among all instances
	// with demand.
	turnStart time.Time
}

// turnDuration is how long an indivisible slot stays with one instance while others wait. In one lease term the slot serves
// several requests before it moves.
const turnDuration = LeaseTerm

func (h *holder) inTurn(now time.Time) bool { return now.Sub(h.turnStart) < turnDuration }

// fairShare returns the max-min fair share of the capacity for one holder: its whole demand while capacity suffices, else
// an equal part of the capacity that holders with less demand leave over. The remainder of the division rotates among
// the holders.
func (s *Shard) fairShare(now time.Time, capacity int, h *holder) int {
	if h.demand <= 0 {
		return 0
	}
	withDemand := s.holdersWithDemand(now)
	for i, other := range withDemand {
		equalPart := capacity / (len(withDemand) - i)
		if other.demand <= equalPart {
			capacity -= other.demand
			if other == h {
				return h.demand
			}
			continue
		}
		return equalPart + remainderSlot(now, withDemand[i:], capacity-equalPart*(len(withDemand)-i), h)
	}
	return 0
}

// holdersWithDemand returns the holders with demand, in ascending order of demand.
func (s *Shard) holdersWithDemand(now time.Time) []*holder {
	var list []*holder
	for id, h := range s.holders {
		if now.Sub(h.lastSeen) >= GracePeriod {
			delete(s.holders, id)
			continue
		}
		if h.demand > 0 {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *holder) int {
		return cmp.Or(cmp.Compare(a.demand, b.demand), cmp.Compare(a.id.Instance, b.id.Instance), cmp.Compare(a.id.Incarnation, b.id.Incarnation))
	})
	return list
}

// remainderSlot returns 1 when the holder gets one of the remaining slots, else 0. Holders in their turn come first, then
// those whose last turn is longest ago.
func remainderSlot(now time.Time, waiting []*holder, remaining int, h *holder) int {
	order := slices.Clone(waiting)
	slices.SortStableFunc(order, func(a, b *holder) int {
		if a.inTurn(now) != b.inTurn(now) {
			if a.inTurn(now) {
				return -1
			}
			return 1
		}
		return a.turnStart.Compare(b.turnStart)
	})
	if !slices.Contains(order[:remaining], h) {
		return 0
	}
	if !h.inTurn(now) {
		h.turnStart = now
	}
	return 1
}
