package backend

import (
	"math"
	"math/rand/v2"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Options configure a server. They do not change while it runs.
type Options struct {
	// Name is the value of the header Standin-Name in each answer.
	Name string
	// Slots is the number of requests that run concurrently. Required.
	Slots int
	// Queue is the maximum number of requests that wait for a slot. Further requests are shed. Zero means no queue.
	Queue int
	// Connections is the maximum number of open connections. Further ones are closed at once. Zero means no limit.
	Connections int
	// ConnectCost is the time that accepting one connection takes. Zero means no cost.
	ConnectCost time.Duration
	// Median is the median of the service time. Zero means that requests take no time.
	Median time.Duration
	// Spread is the standard deviation of the logarithm of the service time, which is log-normal. Zero means that each
	// request takes Median.
	Spread float64
	// Seed is the seed of the random service times.
	Seed uint64
	// ColdAllowance is the number of concurrent requests that a cold server can handle. One request more fails and
	// restarts the warm-up. Zero means that the server starts warm.
	ColdAllowance int
	// WarmUp is the number of requests that a cold server answers before it is ready.
	WarmUp int
	// DownTime is how long the server refuses connections after a crash. Zero means 1s.
	DownTime time.Duration
}

const defaultDownTime = time.Second

func (o Options) validated() (Options, error) {
	if o.Slots < 1 {
		return o, fault.New(fault.Invalid, "give at least 1 slot", "%d slots are not enough for stand-in %q", o.Slots, o.Name)
	}
	if o.DownTime == 0 {
		o.DownTime = defaultDownTime
	}
	return o, nil
}

// Switches change the behavior of a running server.
type Switches struct {
	// Draining makes the server report that it is draining.
	Draining bool `json:"draining"`
	// Shed refuses all requests without running them.
	Shed bool `json:"shed"`
	// Fail answers all requests with status 500 at once.
	Fail bool `json:"fail"`
	// Truncate breaks off each answer after half of its body.
	Truncate bool `json:"truncate"`
	// Slowness is the factor by which service times are multiplied. Zero means 1.
	Slowness float64 `json:"slowness"`
	// CrashOn is a text. A request with this text in its body crashes the server when it arrives. Empty means never.
	CrashOn string `json:"crash_on"`
	// ReportedLoad overrides the reported load, for example with an outdated "0/6". Empty means the true load.
	ReportedLoad string `json:"reported_load"`
}

// Report holds the counters of a server over all its incarnations, and its current state.
type Report struct {
	State       string `json:"state"`
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// MaxRunning is the maximum number of requests that ran concurrently, MaxCold the same while the server was cold.
	MaxRunning int `json:"most_running"`
	MaxCold    int `json:"most_cold"`
	Started    int `json:"started"`
	Finished   int `json:"finished"`
	Shed       int `json:"shed"`
	// ColdOverloads counts requests that failed because they exceeded ColdAllowance.
	ColdOverloads int `json:"cold_overloads"`
	Crashes       int `json:"crashes"`
	// StartedDraining counts requests that began while the server was draining.
	StartedDraining int `json:"started_draining"`
	Connections     int `json:"connections"`
	MaxConnections  int `json:"most_connections"`
	// ConnectionsClosed counts the connections that were closed because they exceeded the limit.
	ConnectionsClosed int `json:"connections_closed"`
	Probes            int `json:"probes"`
	// Runs counts, by idempotency key, the requests that began to run.
	Runs map[string]int `json:"runs"`
}

// serviceTime draws the service time of one request.
func (o Options) serviceTime(rnd *rand.Rand, slowness float64) time.Duration {
	if slowness == 0 {
		slowness = 1
	}
	return time.Duration(float64(o.Median) * slowness * math.Exp(o.Spread*rnd.NormFloat64()))
}
