package placement

import "time"

const (
	// noLoadGrace is how long a placement waits for further answers after the first one. It covers the differences of the
	// round-trip times within a region.
	noLoadGrace = 3 * time.Millisecond
	// noLoadWaitDivisor bounds the wait for the first answer to 1/noLoadWaitDivisor of the time until the latency target.
	noLoadWaitDivisor = 4
)

// CheckRound is the state of the health checks of one placement.
type CheckRound struct {
	// Waited is the time since the health checks were sent.
	Waited time.Duration
	// Outstanding is the number of unanswered checks, and FreshReports the number of servers with a recent report.
	Outstanding, FreshReports int
	// NoLoad is true when the servers do not report load. Their health checks wait for a slot like any request, so the
	// first answer comes from the first server with a free slot, and waiting for all answers would mean waiting for the
	// busiest server.
	NoLoad bool
}

// Remaining returns how much longer to wait for reports before a server is chosen. The limit bounds the total wait where
// servers report load.
func (c CheckRound) Remaining(limit time.Duration, r Request) time.Duration {
	switch {
	case c.Outstanding == 0:
		return 0
	case c.NoLoad && c.FreshReports > 0:
		limit = noLoadGrace
	case c.NoLoad:
		limit = max(limit, r.TimeToTarget/noLoadWaitDivisor)
	}
	return max(limit-c.Waited, 0)
}
