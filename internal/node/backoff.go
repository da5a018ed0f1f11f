package node

import (
	"math/rand/v2"
	"time"
)

// backoff computes delays that double with each failure up to a limit. Half of each delay is random, so that
// instances that failed together do not retry together.
type backoff struct {
	first, limit time.Duration
	failures     int
}

func (b *backoff) reset() { b.failures = 0 }

func (b *backoff) next() time.Duration {
	const maxDoublings = 20 // keeps the shift from overflowing
	wait := min(b.first<<min(b.failures, maxDoublings), b.limit)
	b.failures++
	return wait/2 + rand.N(wait/2)
}
