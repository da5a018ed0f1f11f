// Package placement selects the backend server for a request, and refuses a request that no server is expected to finish
// in time.
//
// It is designed for servers with few slots on shared machines, whose speed changes several times a second. A decision
// therefore uses load reports that are only milliseconds old, plus the requests that this instance has sent since.
package placement

import (
	"time"
)

// Distance is how far a backend server is from this instance.
type Distance int

// Distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is a backend server that may run the request.
type Candidate struct {
	Distance Distance
	// RoundTrip is the network round-trip time to the server.
	RoundTrip time.Duration
	// Slots, Running and Waiting are the load that the server reported, plus the requests that this instance has sent
	// since.
	Slots, Running, Waiting int
	// Slowdown is the current service time divided by that on an idle machine.
	Slowdown float64
	// TypicalSlowdown is the average slowdown of this server over the last seconds; zero when unknown.
	TypicalSlowdown float64
	// SuccessRate is the expected share of requests that get an answer, from 0 to 1.
	SuccessRate float64
	// Cold is true for a server that has just started, which is slower.
	Cold bool
	// Reported is false when the server has not reported its load recently.
	Reported bool
	// CheckDelay is how much longer the last health check took than the fastest one, for a server that does not report
	// load. It indicates that the check waited for a slot or that the machine is slow.
	CheckDelay time.Duration
}

// Request describes the expected service time and the time limits of a request.
type Request struct {
	// ServiceTime is the typical service time of such requests on a server with a free slot.
	ServiceTime time.Duration
	// TimeToDeadline is the time until the deadline of the request.
	TimeToDeadline time.Duration
	// TimeToTarget is the time until the latency target of the request; zero when it has passed.
	TimeToTarget time.Duration
	// LowPriority is true when the service also has requests of higher priority.
	LowPriority bool
}

// maxExpected returns the expected time above which a request is refused. A request of lower priority is refused when it
// would miss its latency target by more than LowPriorityStretch allows, which keeps the slot free for a more urgent request.
func (t Tuning) maxExpected(r Request) time.Duration {
	if !r.LowPriority {
		return r.TimeToDeadline
	}
	return min(r.TimeToDeadline, time.Duration(t.LowPriorityStretch*float64(r.TimeToTarget)))
}

// Tuning holds the model of a server.
type Tuning struct {
	// SlowdownDuration is how long the current speed of a server is expected to last after a report.
	SlowdownDuration time.Duration
	// MeanSlowdown is the assumed long-term slowdown of a server whose slowdown is unknown.
	MeanSlowdown float64
	// SaturationShare is the share of busy slots above which the service time grows by SaturationFactor.
	SaturationShare  float64
	SaturationFactor float64
	// ColdFactor is the factor by which the service time is longer on a cold server.
	ColdFactor float64
	// MinSuccess is the lower bound of the success rate in the estimate; it limits how much failures add to the
	// expected time.
	MinSuccess float64
	// OtherRegionGain is how much sooner an answer must be expected from another region to use it. Traffic between
	// regions is billed by volume.
	OtherRegionGain time.Duration
	// LowPriorityStretch is the maximum expected time of a request of lower priority, in multiples of the time until its
	// latency target.
	LowPriorityStretch float64
	// UnreportedPenalty is added to the expected time of servers without a recent load report.
	UnreportedPenalty time.Duration
	// HedgeFactor and NoLoadHedgeFactor are the delay before a hedge is sent, in multiples of the expected time.
	// NoLoadHedgeFactor applies to servers that do not report load: their expected time assumes a machine that is not
	// slowed down, so an answer that is overdue comes from one that is several times slower.
	HedgeFactor, NoLoadHedgeFactor float64
	// RescueFraction is the fraction of the time until the deadline after which a hedge is sent even though it will miss
	// the latency target.
	RescueFraction float64
	// CheckDelayWeight is the factor by which the delay of a health check adds to the expected time, and MaxCheckDelay is
	// the maximum that it adds. The factor is above 1 because a check takes a small part of the work of a request, so a slow
	// machine delays it by little.
	CheckDelayWeight float64
	MaxCheckDelay    time.Duration
}

// DefaultTuning returns the parameters that were used for the measurements in docs/measurements.md.
func DefaultTuning() Tuning {
	return Tuning{
		SlowdownDuration: 150 * time.Millisecond, MeanSlowdown: 1.8, SaturationShare: 0.8, SaturationFactor: 1.7,
		ColdFactor: 2, MinSuccess: 0.2,
		LowPriorityStretch: 1.2, OtherRegionGain: 100 * time.Millisecond, UnreportedPenalty: 200 * time.Millisecond,
		HedgeFactor: 1.7, NoLoadHedgeFactor: 1.25, RescueFraction: 0.5, CheckDelayWeight: 5,
		MaxCheckDelay: 300 * time.Millisecond,
	}
}

// Expected returns the expected time until the answer of a server.
func (t Tuning) Expected(r Request, c Candidate) time.Duration {
	work := float64(r.ServiceTime)
	busy := float64(c.Running+c.Waiting+1) / float64(max(c.Slots, 1))
	if busy > t.SaturationShare {
		work *= t.SaturationFactor
	}
	if c.Cold {
		work *= t.ColdFactor
	}
	if queued := c.Running + c.Waiting + 1 - c.Slots; queued > 0 {
		// The queued requests complete at a rate of Slots per service time.
		work += work * float64(queued) / float64(max(c.Slots, 1))
	}
	work = t.serviceTime(work, c.Slowdown, c.TypicalSlowdown)
	work /= max(c.SuccessRate, t.MinSuccess)
	expected := time.Duration(work) + c.RoundTrip + min(time.Duration(t.CheckDelayWeight*float64(c.CheckDelay)), t.MaxCheckDelay)
	if !c.Reported {
		expected += t.UnreportedPenalty
	}
	return expected
}

// HedgeAfter returns the delay after which an idempotent request is hedged. Reported is true when the servers report
// their load. A hedge that would also miss the latency target is sent only to get an answer before the deadline.
func (t Tuning) HedgeAfter(r Request, expected time.Duration, reported bool) time.Duration {
	factor := t.HedgeFactor
	if !reported {
		factor = t.NoLoadHedgeFactor
	}
	after := time.Duration(factor * float64(expected))
	if after+expected <= r.TimeToTarget {
		return after
	}
	return max(after, time.Duration(t.RescueFraction*float64(r.TimeToDeadline)))
}

// serviceTime returns the duration of work when the current slowdown lasts for SlowdownDuration and the typical one
// follows.
func (t Tuning) serviceTime(work, slowdown, typical float64) float64 {
	if typical <= 0 {
		typical = t.MeanSlowdown
	}
	if slowdown <= 0 {
		slowdown = typical
	}
	slowPeriod := float64(t.SlowdownDuration)
	workDone := slowPeriod / slowdown
	if work <= workDone {
		return work * slowdown
	}
	return slowPeriod + (work-workDone)*typical
}

// Choice is the result of Choose.
type Choice struct {
	// Index is the index of the chosen candidate, or -1 when none is chosen.
	Index int
	// Expected is the expected time of the chosen candidate, or of the fastest one when none is in time.
	Expected time.Duration
}

// Choose returns the candidate with the shortest expected time. A server in another region is chosen only when the nearer
// ones would miss the latency target and it is faster by at least OtherRegionGain. No candidate is chosen when none is
// expected to answer in time.
func (t Tuning) Choose(r Request, candidates []Candidate) Choice {
	near, remote := Choice{Index: -1}, Choice{Index: -1}
	for i, c := range candidates {
		best := &near
		if c.Distance == OtherRegion {
			best = &remote
		}
		if e := t.Expected(r, c); best.Index < 0 || e < best.Expected {
			*best = Choice{Index: i, Expected: e}
		}
	}
	choice := near
	if near.Index < 0 ||
		(near.Expected > r.TimeToTarget && remote.Index >= 0 && remote.Expected+t.OtherRegionGain < near.Expected) {
		choice = remote
	}
	if choice.Index >= 0 && choice.Expected > t.maxExpected(r) {
		choice.Index = -1
	}
	return choice
}
