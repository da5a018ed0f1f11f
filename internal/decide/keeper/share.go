package keeper

import (
	"cmp"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/session"
)

// holder is what the keeper knows about one instance that leases slots.
type holder struct {
	id       session.Identity
	sequence uint64
	// demand is how many slots the instance could use, until seen is too old.
	demand int
	seen   time.Time
	// turn is when the instance last began to use a slot that cannot be divided among all that want it.
	turn time.Time
}

// turnTerm is how long an indivisible slot stays with one instance while others wait: one lease term, so that the slot
// is used several times before it moves.
const turnTerm = Term

func (h *holder) inTurn(now time.Time) bool { return now.Sub(h.turn) < turnTerm }

// share returns how many of the slots the holder gets: all that it wants while there are enough, else an equal part of
// what those who want less leave over. Slots that remain go in turns.
func (s *Shard) share(now time.Time, capacity int, h *holder) int {
	if h.demand <= 0 {
		return 0
	}
	asking := s.asking(now)
	for i, other := range asking {
		part := capacity / (len(asking) - i)
		if other.demand <= part {
			capacity -= other.demand
			if other == h {
				return h.demand
			}
			continue
		}
		return part + turns(now, asking[i:], capacity-part*(len(asking)-i), h)
	}
	return 0
}

// asking returns the holders with demand, the least demand first.
func (s *Shard) asking(now time.Time) []*holder {
	var list []*holder
	for id, h := range s.holders {
		if now.Sub(h.seen) >= GracePeriod {
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

// turns returns 1 when the holder gets one of the remaining slots.
func turns(now time.Time, waiting []*holder, remaining int, h *holder) int {
	order := slices.Clone(waiting)
	slices.SortStableFunc(order, func(a, b *holder) int {
		if a.inTurn(now) != b.inTurn(now) {
			if a.inTurn(now) {
				return -1
			}
			return 1
		}
		return a.turn.Compare(b.turn)
	})
	if !slices.Contains(order[:remaining], h) {
		return 0
	}
	if !h.inTurn(now) {
		h.turn = now
	}
	return 1
}
