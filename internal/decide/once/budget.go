package once

import "time"

// budget is a token bucket for object writes. While it holds tokens, a write may follow the previous one immediately; when
// it is empty, the commit interval of charts/partition.toml applies.
type budget struct {
	interval time.Duration
	burst    float64
	tokens   float64
	at       time.Time
}

func newBudget(now time.Time, limits Limits) budget {
	return budget{interval: limits.CommitInterval, burst: float64(limits.Burst), tokens: float64(limits.Burst), at: now}
}

// spend takes a token for a write. The count may become negative, because writes after the interval take a token too.
func (b *budget) spend(now time.Time) {
	b.refill(now)
	b.tokens = max(b.tokens-1, -b.burst)
}

// allows reports whether another write may follow immediately.
func (b *budget) allows(now time.Time) bool {
	b.refill(now)
	return b.burst > 0 && b.tokens >= 1
}

func (b *budget) refill(now time.Time) {
	if b.interval > 0 {
		b.tokens = min(b.burst, b.tokens+float64(now.Sub(b.at))/float64(b.interval))
	}
	b.at = now
}
