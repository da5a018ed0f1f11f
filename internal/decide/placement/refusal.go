package placement

import "time"

const (
	// minRetryAfter is the shortest retry delay; a caller that retries sooner finds the same queues.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the longest retry delay; longer delays waste time in which the caller could be served.
	maxRetryAfter = 2 * time.Second
	// retryAfterDivisor bounds the retry delay to 1/retryAfterDivisor of the time until the caller's deadline.
	retryAfterDivisor = 3
)

// RetryAfter returns the delay after which a refused caller should retry: the time until the server with the shortest queue
// is expected to have free capacity, with jitter so that callers refused together do not retry together. A lower priority
// number is more urgent and gives a shorter delay. Expected is the shortest expected time of all servers. Draw is uniform
// in [0, 1).
func RetryAfter(r Request, expected time.Duration, priority int, draw float64) time.Duration {
	delay := max(expected-r.TimeToDeadline, 0) + r.ServiceTime/2
	delay += time.Duration(float64(delay) * (draw/2 + float64(priority)/4))
	return min(max(delay, minRetryAfter), maxRetryAfter, max(r.TimeToDeadline/retryAfterDivisor, minRetryAfter))
}
