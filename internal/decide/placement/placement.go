// Package placement decides which backend server a request is sent to, and when a request is refused because no
// server can finish it in time.
//
// It answers the load of few slots on machines that others share: a server's speed changes several times a second, so
// the decision rests on load reports that are milliseconds old, and on what this instance has sent since.
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
	// RoundTrip is the time of a message there and back.
	RoundTrip time.Duration
	// Slots, Running and Waiting are from the server's report, with what this instance has sent since added.
	Slots, Running, Waiting int
	// Slowdown is how long work takes at the moment, 1 being usual.
	Slowdown float64
	// Usual is the slowdown of this server over the last seconds; zero when it is not known.
	Usual float64
	// Success is the share of recent requests that got an answer, from 0 to 1.
	Success float64
	// Cold servers are slower.
	Cold bool
	// Reported is false when the server has not reported its load recently.
	Reported bool
	// Delay is by how much the last health check of a server that tells no load took longer than its quickest one: it
	// waited for a slot, or the machine is slow.
	Delay time.Duration
}

// Demand is what a request needs.
type Demand struct {
	// Work is the time that such requests usually take on a server with room.
	Work time.Duration
	// Left is the time until the request is given up.
	Left time.Duration
	// Objective is the time left until the answer loses most of its worth; zero when it has passed.
	Objective time.Duration
	// Yields is true when the service has more urgent requests than this one.
	Yields bool
}

// limit is the expected time from which a request is refused. A request that yields is refused once it would be late by
// more than a part of its objective: the slot that it would hold then goes to a more urgent one.
func (t Tuning) limit(d Demand) time.Duration {
	if !d.Yields {
		return d.Left
	}
	return min(d.Left, time.Duration(t.YieldStretch*float64(d.Objective)))
}

// Tuning holds the model of a server.
type Tuning struct {
	// Residual is how long a server's speed lasts after a report.
	Residual time.Duration
	// MeanSlowdown is the slowdown over time of a server of which it is not known.
	MeanSlowdown float64
	// Knee is the share of busy slots above which work slows down by KneeFactor.
	Knee       float64
	KneeFactor float64
	// ColdFactor is how much longer work takes on a cold server.
	ColdFactor float64
	// LeastSuccess bounds how much failures add to the expected time.
	LeastSuccess float64
	// FarGain is how much sooner an answer must be expected from another region, whose traffic is billed by volume.
	FarGain time.Duration
	// YieldStretch is how many times its objective a request may be expected to take that yields to more urgent ones.
	YieldStretch float64
	// UnreportedPenalty is added to servers that have not reported.
	UnreportedPenalty time.Duration
	// Hedge and NoLoadHedge are how many times the expected time passes before a second copy is sent. The second is for
	// servers that tell no load: what is expected there is the time on an unhurried machine, and an answer that is not
	// back by then comes from one that is several times slower.
	Hedge, NoLoadHedge float64
	// RescuePart is the part of the time that is left after which a second copy is sent though it will be late.
	RescuePart float64
	// DelayWeight is how much longer a request is expected to take for the delay of a health check, and MostDelay bounds
	// that: the work of a check is a small part of that of a request, so a slow machine delays it by little.
	DelayWeight float64
	MostDelay   time.Duration
}

// DefaultTuning returns the model that the measurements in docs/measurements.md were made with.
func DefaultTuning() Tuning {
	return Tuning{
		Residual: 150 * time.Millisecond, MeanSlowdown: 1.8, Knee: 0.8, KneeFactor: 1.7, ColdFactor: 2, LeastSuccess: 0.2,
		YieldStretch: 1.2, FarGain: 100 * time.Millisecond, UnreportedPenalty: 200 * time.Millisecond,
		Hedge: 1.7, NoLoadHedge: 1.25, RescuePart: 0.5, DelayWeight: 5, MostDelay: 300 * time.Millisecond,
	}
}

// Expected returns the time until the answer of a server is expected.
func (t Tuning) Expected(d Demand, c Candidate) time.Duration {
	work := float64(d.Work)
	busy := float64(c.Running+c.Waiting+1) / float64(max(c.Slots, 1))
	if busy > t.Knee {
		work *= t.KneeFactor
	}
	if c.Cold {
		work *= t.ColdFactor
	}
	if queued := c.Running + c.Waiting + 1 - c.Slots; queued > 0 {
		// The requests before this one leave one after the other, Slots of them in the time of one.
		work += work * float64(queued) / float64(max(c.Slots, 1))
	}
	work = t.stretch(work, c.Slowdown, c.Usual)
	work /= max(c.Success, t.LeastSuccess)
	expected := time.Duration(work) + c.RoundTrip + min(time.Duration(t.DelayWeight*float64(c.Delay)), t.MostDelay)
	if !c.Reported {
		expected += t.UnreportedPenalty
	}
	return expected
}

// HedgeAfter returns the time after which a second copy of an idempotent request is worth its price. Reported is true
// when the servers tell their load. A second copy that would be late as well is sent only to save the answer.
func (t Tuning) HedgeAfter(d Demand, expected time.Duration, reported bool) time.Duration {
	stretch := t.Hedge
	if !reported {
		stretch = t.NoLoadHedge
	}
	after := time.Duration(stretch * float64(expected))
	if after+expected <= d.Objective {
		return after
	}
	return max(after, time.Duration(t.RescuePart*float64(d.Left)))
}

// stretch returns how long work takes when the present slowdown lasts for the residual time and the usual one follows.
func (t Tuning) stretch(work, slowdown, usual float64) float64 {
	if usual <= 0 {
		usual = t.MeanSlowdown
	}
	if slowdown <= 0 {
		slowdown = usual
	}
	residual := float64(t.Residual)
	done := residual / slowdown
	if work <= done {
		return work * slowdown
	}
	return residual + (work-done)*usual
}

// Choice is the outcome of Choose.
type Choice struct {
	// Index of the chosen candidate, or -1 when there is none.
	Index int
	// Expected is the expected time of the chosen candidate, or the shortest one when none is in time.
	Expected time.Duration
}

// Choose returns the candidate whose answer is expected first. A server of another region is chosen only when the
// nearer ones would miss the objective and it gains enough. No candidate is chosen when none is expected in time.
func (t Tuning) Choose(d Demand, candidates []Candidate) Choice {
	near, far := Choice{Index: -1}, Choice{Index: -1}
	for i, c := range candidates {
		best := &near
		if c.Distance == OtherRegion {
			best = &far
		}
		if e := t.Expected(d, c); best.Index < 0 || e < best.Expected {
			*best = Choice{Index: i, Expected: e}
		}
	}
	choice := near
	if near.Index < 0 || (near.Expected > d.Objective && far.Index >= 0 && far.Expected+t.FarGain < near.Expected) {
		choice = far
	}
	if choice.Index >= 0 && choice.Expected > t.limit(d) {
		choice.Index = -1
	}
	return choice
}
