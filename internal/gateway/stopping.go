package gateway

import "time"

const (
	// stopReserve is the part of the time until the end of the process that is kept for writing answers.
	stopReserve = 150 * time.Millisecond
	// stopSafety is how many times the expected time of a request must be left when it is sent to a backend server while the
	// instance stops. A request that the end of the process cuts off is lost to its caller, and a refused one can run at
	// another instance.
	stopSafety = 2
)

// plannedStop tells the tasks of requests that the instance stops, and when.
type plannedStop struct {
	// leaving is closed when caller connections should end after their next answer.
	leaving chan struct{}
	// ends is when the process ends at the latest. It is written before leaving is closed and read after that.
	ends time.Time
}

// begin announces the stop.
func (s *plannedStop) begin(ends time.Time) {
	s.ends = ends
	close(s.leaving)
}

// limit returns when a request that has not been answered is cut off, and false if no stop has begun.
func (s *plannedStop) limit() (time.Time, bool) {
	if !isClosed(s.leaving) {
		return time.Time{}, false
	}
	return s.ends.Add(-stopReserve), true
}

// sendLimit returns the deadline by which a request must be expected to end to be sent to a backend server now.
func (s *plannedStop) sendLimit(now, deadline time.Time) time.Time {
	limit, stopping := s.limit()
	if !stopping {
		return deadline
	}
	return earliest(deadline, now.Add(limit.Sub(now)/stopSafety))
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
