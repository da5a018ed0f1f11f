package placement

import "time"

const (
	// noLoadGrace is how long a placement waits for further answers after the first one: the difference between the round
	// trips of servers of one region.
	noLoadGrace = 3 * time.Millisecond
	// noLoadPart is the part of its remaining objective that a request waits at most for the first answer.
	noLoadPart = 4
)

// Poll is the state of the health checks of one placement.
type Poll struct {
	// Waited is the time since the servers were asked.
	Waited time.Duration
	// Outstanding is the number of checks without an answer, Fresh that of servers with a recent report.
	Outstanding, Fresh int
	// NoLoad is true when the servers tell no load. Their health checks wait for a slot like any request, so the first
	// answer comes from the server that had a slot first, and waiting for all would mean waiting for the busiest one.
	NoLoad bool
}

// Remaining returns how much longer to wait for reports, at most for the given limit; zero when it is time to choose.
func (p Poll) Remaining(limit time.Duration, d Demand) time.Duration {
	switch {
	case p.Outstanding == 0:
		return 0
	case p.NoLoad && p.Fresh > 0:
		limit = noLoadGrace
	case p.NoLoad:
		limit = max(limit, d.Objective/noLoadPart)
	}
	return max(limit-p.Waited, 0)
}
