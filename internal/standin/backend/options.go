package backend

import (
	"math"
	"math/rand/v2"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Options say what a server is like. They hold for its whole life.
type Options struct {
	// Name stands in the header Standin-Name of each answer.
	Name string
	// Slots is how many requests run at a time. Required.
	Slots int
	// Queue is how many requests wait for a slot; more are shed. Zero means that none wait.
	Queue int
	// Connections is the most open connections; more are closed at once. Zero means no limit.
	Connections int
	// ConnectCost is how long the server is busy with accepting one connection. Zero means no cost.
	ConnectCost time.Duration
	// Median is the median of the service time. Zero means that requests take no time.
	Median time.Duration
	// Spread is the standard deviation of the logarithm of the service time, which is log-normal. Zero means that each
	// request takes Median.
	Spread float64
	// Seed is the seed of the service times.
	Seed uint64
	// ColdAllowance is how many requests a cold server bears at a time. One more makes that request fail and starts
	// the warm-up again. Zero means that the server starts warm.
	ColdAllowance int
	// WarmUp is how many requests a cold server answers before it is ready.
	WarmUp int
	// DownTime is how long the server refuses connections after a crash. Zero means 1s.
	DownTime time.Duration
}

const defaultDownTime = time.Second

func (o Options) checked() (Options, error) {
	if o.Slots < 1 {
		return o, fault.New(fault.Invalid, "give at least 1 slot", "%d slots are not enough for stand-in %q", o.Slots, o.Name)
	}
	if o.DownTime == 0 {
		o.DownTime = defaultDownTime
	}
	return o, nil
}

// Switches change what a server does while it runs.
type Switches struct {
	// Draining makes the server say that it is leaving.
	Draining bool `json:"draining"`
	// Shed refuses all requests as not run.
	Shed bool `json:"shed"`
	// Fail answers all requests with status 500 at once.
	Fail bool `json:"fail"`
	// Truncate cuts all answers before their end.
	Truncate bool `json:"truncate"`
	// Slowness multiplies service times. Zero means 1.
	Slowness float64 `json:"slowness"`
	// CrashOn crashes the server when a request with this text in its body begins. Empty means never.
	CrashOn string `json:"crash_on"`
	// ReportedLoad replaces the reported load, such as "0/6" for one that is out of date. Empty means the true load.
	ReportedLoad string `json:"reported_load"`
}

// Report is what a server counted over all its incarnations.
type Report struct {
	State       string `json:"state"`
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// MostRunning and MostCold are the most requests that ran at a time, over all and while the server was cold.
	MostRunning int `json:"most_running"`
	MostCold    int `json:"most_cold"`
	Started     int `json:"started"`
	Finished    int `json:"finished"`
	Shed        int `json:"shed"`
	// ColdOverloads counts requests that failed because the server was cold.
	ColdOverloads int `json:"cold_overloads"`
	Crashes       int `json:"crashes"`
	// StartedDraining counts requests that began while the server was draining.
	StartedDraining int `json:"started_draining"`
	Connections     int `json:"connections"`
	MostConnections int `json:"most_connections"`
	// ConnectionsClosed counts connections above the limit.
	ConnectionsClosed int `json:"connections_closed"`
	Probes            int `json:"probes"`
	// Runs counts how often a request with each idempotency key began to run.
	Runs map[string]int `json:"runs"`
}

// serviceTime draws the time that one request takes.
func (o Options) serviceTime(rnd *rand.Rand, slowness float64) time.Duration {
	if slowness == 0 {
		slowness = 1
	}
	return time.Duration(float64(o.Median) * slowness * math.Exp(o.Spread*rnd.NormFloat64()))
}
