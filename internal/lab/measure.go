package lab

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// runCounters holds the counters of a run. Latency and goodput are measured after the warm-up.
type runCounters struct {
	latency      *hdrhistogram.Histogram // in microseconds
	offered      []int                   // by second
	good         []int                   // by second of arrival
	refused      int
	failed       int
	expired      int
	hedges       int
	longestQueue int
	overGrant    int
	controlBytes int
	probes       int
	lateWork     int
	controlTime  time.Duration
}

func newRunCounters() runCounters {
	seconds := int(runLength/time.Second) + 1
	return runCounters{
		latency: hdrhistogram.New(1, (10 * requestDeadline).Microseconds(), 3), offered: make([]int, seconds), good: make([]int, seconds),
	}
}

func second(at time.Time) int { return int(at.Sub(startTime) / time.Second) }

func afterWarmUp(at time.Time) bool { return at.Sub(startTime) >= warmUp }

func (c *runCounters) countOffered(w *world) { c.offered[second(w.now)]++ }

func (c *runCounters) countAnswered(w *world, r *request) {
	c.good[second(r.arrivedAt)]++
	c.recordLatency(w, r)
}

// countExpired counts a request that missed its deadline and records the time that its caller waited.
func (c *runCounters) countExpired(w *world, r *request) {
	c.expired++
	c.recordLatency(w, r)
}

func (c *runCounters) recordLatency(w *world, r *request) {
	if afterWarmUp(r.arrivedAt) {
		_ = c.latency.RecordValue(w.now.Sub(r.arrivedAt).Microseconds()) // the deadline bounds the value
	}
}

// countLateWork counts requests that reach a zone more than 3 s after it was taken out, plus the network delay between
// regions for requests sent before.
func (c *runCounters) countLateWork(w *world, zone string) {
	since := w.now.Sub(startTime) - faultStart
	if w.fleetDoc.IsZoneOut(zone) && since > 3*time.Second+w.deployment.RegionDelay {
		c.lateWork++
	}
}

// Result holds the measurements of one run.
type Result struct {
	Deployment, Scenario, Policy string
	Load                         float64
	P50, P99, P999               time.Duration
	// Goodput is the number of answers before the deadline as a share of the attainable ones. The number of attainable
	// answers in a second is the smaller of the offered load and the capacity of the slots in service.
	Goodput float64
	// WorstSecond is the lowest goodput of any second.
	WorstSecond float64
	// Refused, Failed and Expired are shares of all requests.
	Refused, Failed, Expired float64
	// Hedged is the number of hedges as a share of all requests.
	Hedged float64
	// WorstQueue is the longest queue at a server.
	WorstQueue int
	// OverGrant is the maximum number of requests at a cold server above its allowance.
	OverGrant int
	// LateWork is the number of requests that reached a zone more than 3 s after it was taken out.
	LateWork int
	// ControlBytes is the number of bytes of control messages sent and received per instance and second, for one service.
	ControlBytes float64
	// ControlCPU is the share of a core that leases use per instance, for one service.
	ControlCPU float64
	// Probes is the number of probes per second of all keepers.
	Probes float64
}

func (c *runCounters) result(w *world) Result {
	r := Result{Deployment: w.deployment.Name, Scenario: w.scenario.Name, Policy: w.policy.Name, Load: w.load}
	r.P50 = c.quantile(50)
	r.P99 = c.quantile(99)
	r.P999 = c.quantile(99.9)
	r.Goodput, r.WorstSecond = c.goodput(w)
	total := 0
	for _, n := range c.offered {
		total += n
	}
	r.Refused = share(c.refused, total)
	r.Failed = share(c.failed, total)
	r.Expired = share(c.expired, total)
	r.Hedged = share(c.hedges, total)
	r.WorstQueue, r.OverGrant, r.LateWork = c.longestQueue, c.overGrant, c.lateWork
	instanceSeconds := float64(w.deployment.Instances) * runLength.Seconds()
	r.ControlBytes = 2 * float64(c.controlBytes) / instanceSeconds
	r.ControlCPU = c.controlTime.Seconds() / instanceSeconds
	r.Probes = float64(c.probes) / runLength.Seconds()
	return r
}

func (c *runCounters) quantile(q float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(q)) * time.Microsecond
}

func share(n, total int) float64 { return float64(n) / float64(max(1, total)) }

// goodput compares the good answers of each second with the offered load and the capacity of the slots in service. The
// last seconds are excluded, because their requests may still be in flight.
func (c *runCounters) goodput(w *world) (mean, worst float64) {
	worst = 1
	var good, attainableTotal float64
	for i := second(startTime.Add(warmUp)); i < len(c.good)-3; i++ {
		slots := w.deployment.Servers * w.deployment.Slots
		if w.scenario.slotsOut != nil {
			slots -= w.scenario.slotsOut(w, time.Duration(i)*time.Second)
		}
		attainable := min(float64(c.offered[i]), w.deployment.capacity(slots))
		good += float64(c.good[i])
		attainableTotal += attainable
		worst = min(worst, float64(c.good[i])/max(1, attainable))
	}
	return min(1, good/max(1, attainableTotal)), worst
}
