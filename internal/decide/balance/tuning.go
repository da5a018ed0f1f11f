package balance

import "time"

// Order is the rule that ranks servers with free capacity.
type Order int

// Orders that a fleet can use. internal/lab compares them.
const (
	// ByDelay takes the server with the least expected delay: distance, latency and this instance's requests in flight.
	ByDelay Order = iota
	// ByReport samples two servers at random and takes the one with the lower reported load.
	ByReport
	// ByReportedDelay is ByDelay with the load that servers report in their answers instead of the requests in flight.
	ByReportedDelay
)

// Tuning holds the parameters that internal/lab compares.
type Tuning struct {
	Order Order
	// Reserve is the number of idle leased slots that are kept in the own zone.
	Reserve int
	// Overflow lets requests use a warm server beyond its lease, up to the fallback share plus Overflow-1 slots. Zero
	// enforces the leases strictly.
	Overflow int
	// RegionShare divides the slots among the live instances of the region instead of all instances, because requests
	// seldom leave their region.
	RegionShare bool
	// LeaseRequestInterval is the minimum time between two lease requests to one shard while requests are queued or the
	// reserve is short. ReturnInterval is the minimum time between two lease requests that only return slots.
	LeaseRequestInterval, ReturnInterval time.Duration
	// OtherRegionInterval is the minimum time between two lease requests to a shard in another region.
	OtherRegionInterval time.Duration
	// WaitForFaster makes a request wait for a server that is nearly as fast as the best one instead of using a much slower
	// one.
	WaitForFaster bool
	// DetectLatencyJump presumes a warm server cold after several consecutive slow answers.
	DetectLatencyJump bool
	// AdaptLimit lowers the concurrency limit of a server whose latency rises.
	AdaptLimit bool
}

// DefaultTuning returns the parameters that docs/measurements.md recommends.
func DefaultTuning() Tuning {
	return Tuning{Order: ByDelay, Reserve: 1, Overflow: 1, RegionShare: true, WaitForFaster: true, AdaptLimit: true,
		LeaseRequestInterval: 100 * time.Millisecond, ReturnInterval: 100 * time.Millisecond, OtherRegionInterval: 500 * time.Millisecond}
}

const (
	// zoneRoundTrip is the round-trip time to another zone of the region.
	zoneRoundTrip = 2 * time.Millisecond
	// regionRoundTrip is the round-trip time to another region: 8 ms each way.
	regionRoundTrip = 16 * time.Millisecond
	// initialLatency is the assumed latency of a service that has not answered yet.
	initialLatency = 10 * time.Millisecond
	// latencyHalfLife is the half-life of a server's latency estimate while it gets no requests.
	latencyHalfLife = 2 * time.Second
	// reportedLoadTTL is how long a reported load is used. Reports are already stale on arrival.
	reportedLoadTTL = 100 * time.Millisecond
	// renewInterval is how often a lease is renewed without other need. It is a quarter of the lease term.
	renewInterval = 500 * time.Millisecond
	// remoteWait is the expected queueing time above which slots in other regions are requested: the round-trip time
	// between regions.
	remoteWait = regionRoundTrip
	// warmUpInterval is how often a server that is not warm is preferred, so that it warms up under light load.
	warmUpInterval = 200 * time.Millisecond
)
