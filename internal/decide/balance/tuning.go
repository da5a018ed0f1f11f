package balance

import "time"

// Order is the rule that ranks servers with room.
type Order int

// Orders that a fleet can use. internal/lab compares them.
const (
	// ByDelay takes the server with the least expected delay: distance, latency and own requests in flight.
	ByDelay Order = iota
	// ByReport draws two servers and takes the one whose reported load is lower.
	ByReport
	// ByReportedDelay is ByDelay with the load that servers report in their answers.
	ByReportedDelay
)

// Tuning holds the choices that internal/lab compares.
type Tuning struct {
	Order Order
	// Reserve is how many idle leased slots are kept in the own zone.
	Reserve int
	// Overflow lets a request use a warm server beyond its lease, up to the fallback share and Overflow slots more.
	// Zero keeps strictly to the leases; the share alone is Overflow 1.
	Overflow int
	// RegionShare divides the slots by the live instances of the region instead of all, because requests seldom leave
	// their region.
	RegionShare bool
	// AskInterval is the least time between two demands of one shard while requests wait or the reserve is short,
	// ReturnInterval the least time between two that only give slots back.
	AskInterval, ReturnInterval time.Duration
	// FarInterval is the least time between two demands of a shard in another region.
	FarInterval time.Duration
	// Patient makes a request wait for a server near the best one instead of taking a much slower one.
	Patient bool
	// Late presumes a server cold after several late answers in a row.
	Late bool
	// Adapt lowers the limit of a server whose latency rises.
	Adapt bool
}

// DefaultTuning returns the tuning that docs/measurements.md arrives at.
func DefaultTuning() Tuning {
	return Tuning{Order: ByDelay, Reserve: 1, Overflow: 1, RegionShare: true, Patient: true, Adapt: true,
		AskInterval: 100 * time.Millisecond, ReturnInterval: 100 * time.Millisecond, FarInterval: 500 * time.Millisecond}
}

const (
	// zoneHop is the cost of a round trip to another zone of the region.
	zoneHop = 2 * time.Millisecond
	// regionHop is the cost of a round trip to another region: two hops of 8 ms.
	regionHop = 16 * time.Millisecond
	// unknownLatency stands for the latency of a service that has not answered yet.
	unknownLatency = 10 * time.Millisecond
	// forgetLatency is the half-life of what is known about a server's latency while it gets no work.
	forgetLatency = 2 * time.Second
	// reportLife is how long a reported load counts. Reports are stale on arrival.
	reportLife = 100 * time.Millisecond
	// renewInterval is how often a lease is renewed when nothing else is to be said. It is a quarter of the term.
	renewInterval = 500 * time.Millisecond
	// farWait is the wait from which the keepers of other regions are asked: a round trip between regions.
	farWait = regionHop
	// trickleInterval is how often a server that is not warm yet is preferred, so that it warms up under light load.
	trickleInterval = 200 * time.Millisecond
)
