package placement

import "time"

const (
	// leastReturn is the shortest retry delay; a caller that retries sooner finds the same queues.
	leastReturn = 50 * time.Millisecond
	// mostReturn is the longest retry delay; longer delays waste time in which the caller could be served.
	mostReturn = 2 * time.Second
	// returnPart bounds the retry delay to 1/returnPart of the time until the caller's deadline.
	returnPart = 3
)

// RetryAfter returns the delay after which a refused caller should retry: the time until the server with the shortest queue
// is expected to have free capacity, with jitter so that callers refused together do not retry together. Requests of higher
// priority retry first. Draw is uniform in [0, 1).
func RetryAfter(d Demand, shortest time.Duration, priority int, draw float64) time.Duration {
	over := max(shortest-d.Left, 0) + d.Work/2
	over += time.Duration(float64(over) * (draw/2 + float64(priority)/4))
	return min(max(over, leastReturn), mostReturn, max(d.Left/returnPart, leastReturn))
}
