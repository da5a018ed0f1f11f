package once

import "time"

// writeBudget is a token bucket for object writes. While it holds tokens, a write may follow the previous one immediately;
// when it is empty, the commit interval of charts/partition.toml applies.
type writeBudget struct {
	interval   time.Duration
	burst      float64
	tokens     float64
	refilledAt time.Time
}

func newWriteBudget(now time.Time, limits Limits) writeBudget {
	return writeBudget{interval: limits.CommitInterval, burst: float64(limits.WriteBurst), tokens: float64(limits.WriteBurst), refilledAt: now}
}

// spend takes a token for a write. The count may become negative, because writes after the interval take a token too.
func (b *writeBudget) spend(now time.Time) {
	b.refill(now)
	b.tokens = max(b.tokens-1, -b.burst)
}

// allows reports whether another write may follow immediately.
func (b *writeBudget) allows(now time.Time) bool {
	b.refill(now)
	return b.burst > 0 && b.tokens >= 1
}

func (b *writeBudget) refill(now time.Time) {
	if b.interval > 0 {
		b.tokens = min(b.burst, b.tokens+float64(now.Sub(b.refilledAt))/float64(b.interval))
	}
	b.refilledAt = now
}
