package placement

import "time"

const (
	// leastReturn is the shortest advice: a caller that comes back sooner meets the same queues.
	leastReturn = 50 * time.Millisecond
	// mostReturn bounds the advice; callers that wait longer lose the time in which they could be served.
	mostReturn = 2 * time.Second
	// returnPart is the part of its remaining time that a caller waits at most before it comes back.
	returnPart = 3
)

// RetryAfter returns when a refused caller should come back: when the server with the shortest queue is expected to
// have room, spread so that callers of one moment do not return in one moment. Urgent requests return first. Draw is
// uniform in [0, 1).
func RetryAfter(d Demand, shortest time.Duration, priority int, draw float64) time.Duration {
	over := max(shortest-d.Left, 0) + d.Work/2
	over += time.Duration(float64(over) * (draw/2 + float64(priority)/4))
	return min(max(over, leastReturn), mostReturn, max(d.Left/returnPart, leastReturn))
}
