package node

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

const (
	// stopReserve is the part of the time until the end of the process that is kept for answers and for the stages of the stop
	// that follow the requests.
	stopReserve = time.Second
	// stopSafety is how many times the typical latency of a service must be left when a request is sent to a backend server
	// while the instance stops. A request that the end of the process cuts off is lost to its caller, and a refused one can
	// run at another instance.
	stopSafety = 2
)

// WithStop limits the requests that are taken while the instance stops. The function returns when the process ends at the
// latest, and zero while no stop has begun.
func WithStop(stopsBy func() time.Time) Option { return func(s *Server) { s.stopsBy = stopsBy } }

// stopLimit returns when a request that has not been answered is cut off by a planned stop, and zero if none has begun.
func (s *Server) stopLimit() time.Time {
	if s.stopsBy == nil {
		return time.Time{}
	}
	by := s.stopsBy()
	if by.IsZero() {
		return by
	}
	return by.Add(-stopReserve)
}

// checkTimeToStop refuses a copy of a request that is not expected to end in the time that is left before a planned stop.
func (s *Service) checkTimeToStop(now time.Time, m acquireRequest) error {
	if m.stopLimit.IsZero() || !now.Add(stopSafety*s.fleet.TypicalLatency()).After(m.stopLimit) {
		return nil
	}
	return errNoTimeToStop()
}

func errNoTimeToStop() error {
	return fault.New(fault.Stopping, "send the request to another instance",
		"the instance stops before the request is expected to end").MarkNotRun(retryAfter)
}
