package placement

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

var request = Request{ServiceTime: 200 * time.Millisecond, TimeToDeadline: 1500 * time.Millisecond, TimeToTarget: 600 * time.Millisecond}

func idleCandidate(d Distance) Candidate {
	return Candidate{Distance: d, RoundTrip: time.Millisecond, Slots: 6, Slowdown: 1, SuccessRate: 1, Reported: true}
}

// Guards against a choice that ignores one of the factors that delay an answer.
func TestChooseAvoids(t *testing.T) {
	for name, worse := range map[string]func(*Candidate){
		"slow":              func(c *Candidate) { c.Slowdown = 4 },
		"full":              func(c *Candidate) { c.Running = 6; c.Waiting = 3 },
		"nearly full":       func(c *Candidate) { c.Running = 5 },
		"persistently slow": func(c *Candidate) { c.Slowdown, c.TypicalSlowdown = 12, 12 },
		"failing":           func(c *Candidate) { c.SuccessRate = 0.4 },
		"cold":              func(c *Candidate) { c.Cold = true },
		"unreported":        func(c *Candidate) { c.Reported = false },
		"far away":          func(c *Candidate) { c.RoundTrip = 50 * time.Millisecond },
	} {
		worseServer := idleCandidate(SameZone)
		worse(&worseServer)
		if choice := DefaultTuning().Choose(request, []Candidate{worseServer, idleCandidate(SameRegion)}); choice.Index != 1 {
			t.Errorf("%s: the worse server is chosen", name)
		}
	}
}

// Guards against traffic between regions, which is billed, while near servers can meet the latency target, and against a
// missed target that another region could have met.
func TestOtherRegionsOnlyWhenNearServersMissTarget(t *testing.T) {
	far := idleCandidate(OtherRegion)
	far.RoundTrip = 17 * time.Millisecond
	slow := idleCandidate(SameZone)
	slow.Slowdown = 2
	if choice := DefaultTuning().Choose(request, []Candidate{slow, far}); choice.Index != 0 {
		t.Error("a request that a near server can answer in time is sent to another region")
	}
	slow.Running, slow.Waiting = 6, 12
	if choice := DefaultTuning().Choose(request, []Candidate{slow, far}); choice.Index != 1 {
		t.Error("a request is sent to a near server that will miss the latency target")
	}
}

// Guards against an estimate that treats a short slowdown like a persistent one, or the reverse.
func TestShortAndPersistentSlowdown(t *testing.T) {
	temporary, persistent := idleCandidate(SameZone), idleCandidate(SameZone)
	temporary.Slowdown, temporary.TypicalSlowdown = 4, 1.5
	persistent.Slowdown, persistent.TypicalSlowdown = 4, 4
	tuning := DefaultTuning()
	if short, long := tuning.Expected(request, temporary), tuning.Expected(request, persistent); short > 450*time.Millisecond ||
		long < 700*time.Millisecond {
		t.Errorf("200 ms of work are expected to take %s with a short slowdown and %s with a persistent one", short, long)
	}
}

// Guards against a request that is sent although no server can answer it before its deadline.
func TestServerThatWouldMissDeadlineIsNotChosen(t *testing.T) {
	full := idleCandidate(SameZone)
	full.Running, full.Waiting = 6, 60
	choice := DefaultTuning().Choose(request, []Candidate{full})
	if choice.Index >= 0 || choice.Expected <= request.TimeToDeadline {
		t.Errorf("choice is %+v", choice)
	}
}

// Guards against a Retry-After that makes urgent callers retry after others, all callers retry at the same moment, or
// callers retry too late to be served.
func TestRetryAfter(t *testing.T) {
	late := 2 * time.Second
	if urgent, other := RetryAfter(request, late, 0, 0.5), RetryAfter(request, late, 2, 0.5); urgent > other {
		t.Errorf("urgent callers retry after %s, others after %s", urgent, other)
	}
	if a, b := RetryAfter(request, request.TimeToDeadline, 1, 0), RetryAfter(request, request.TimeToDeadline, 1, 1); a == b {
		t.Errorf("all callers retry after %s", a)
	}
	if after := RetryAfter(request, time.Hour, 5, 1); after > request.TimeToDeadline/3 {
		t.Errorf("a caller with %s left retries after %s", request.TimeToDeadline, after)
	}
	if after := RetryAfter(Request{}, 0, 0, 0); after < minRetryAfter {
		t.Errorf("a caller with no time left retries after %s", after)
	}
}

// Guards against a change that loses the advantage of Choose over selecting the server with the fewest requests in flight
// from this instance. Both rules get the same simulated arrivals, on servers with few slots whose machines run at a quarter
// of their speed for about 300 ms at a time.
func TestLoadReportsServeMoreInTime(t *testing.T) {
	for _, load := range []float64{0.3, 0.5, 0.7} {
		fewest, reported := simulate(load, fewestInFlight, 0), simulate(load, byLoadReport, 0)
		t.Logf("load %.1f: share in time %.3f with fewest requests in flight, %.3f with load reports", load, fewest, reported)
		if reported < fewest+0.05 {
			t.Errorf("load %.1f: share in time %.3f with load reports, %.3f without", load, reported, fewest)
		}
	}
}

// Guards against a change that loses the advantage of early hedges for servers that do not report load, so that a slow
// machine is not visible. The same simulated arrivals are hedged after the delay for servers that report load and after the
// shorter delay for servers that do not.
func TestEarlyHedgesServeMoreInTime(t *testing.T) {
	tuning := DefaultTuning()
	for _, load := range []float64{0.2, 0.35} {
		// The mean service time over fast and slow machines is 1.75 times the work; the quantile that is used as the
		// expected time is the work itself.
		late := simulate(load, firstFreeSlot, tuning.HedgeAfter(request, request.ServiceTime*7/4, true))
		early := simulate(load, firstFreeSlot, tuning.HedgeAfter(request, request.ServiceTime, false))
		t.Logf("load %.2f: share in time %.3f with late hedges, %.3f with early ones", load, late, early)
		if early < late+0.02 {
			t.Errorf("load %.2f: share in time %.3f with early hedges, %.3f with late ones", load, early, late)
		}
	}
}

type simServer struct {
	running int
	queue   []*simRequest
	slow    bool
}

type simRequest struct {
	instance int
	arrived  time.Duration
	work     time.Duration
	// on lists the servers that run a copy. The first copy that completes answers the request and cancels the others.
	on       []int
	answered bool
}

type simEvent struct {
	at  time.Duration
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fewestInFlight selects the server with the fewest requests in flight from one instance, which own counts by server.
func fewestInFlight(_ []simServer, own []int) int {
	best := 0
	for i := range own {
		if own[i] < own[best] {
			best = i
		}
	}
	return best
}

// byLoadReport selects a server with Choose from exact load reports.
func byLoadReport(servers []simServer, _ []int) int {
	candidates := make([]Candidate, len(servers))
	for i, s := range servers {
		candidates[i] = idleCandidate(SameZone)
		candidates[i].Running, candidates[i].Waiting = s.running, len(s.queue)
		if s.slow {
			candidates[i].Slowdown = 4
		}
	}
	return max(DefaultTuning().Choose(request, candidates).Index, 0)
}

// firstFreeSlot selects the server with the fewest requests without regard to its speed, as taking the first answer to a
// health check does.
func firstFreeSlot(servers []simServer, own []int) int {
	best := 0
	for i, s := range servers {
		if own[i]+s.running+len(s.queue) < own[best]+servers[best].running+len(servers[best].queue) {
			best = i
		}
	}
	return best
}

// hedgeBudget is the share of the requests that may be hedged, as the platform allows.
const hedgeBudget = 0.2

// simulate runs a load, given as a fraction of all slots, and returns the share of requests that are answered within the
// latency target. Requests are hedged after the given delay; zero disables hedging.
func simulate(load float64, choose func([]simServer, []int) int, hedge time.Duration) float64 {
	const servers, slots, instances, length = 5, 6, 5, 60 * time.Second
	rnd := rand.New(rand.NewPCG(7, 11))
	var events simEvents
	state := make([]simServer, servers)
	own := make([][]int, instances)
	for i := range own {
		own[i] = make([]int, servers)
	}
	var now time.Duration
	at := func(when time.Duration, what func()) { heap.Push(&events, simEvent{at: when, run: what}) }
	inTime, total, hedges := 0, 0, 0
	var start func(s int, r *simRequest)
	finish := func(s int, r *simRequest) {
		state[s].running--
		own[r.instance][s]--
		for len(state[s].queue) > 0 {
			next := state[s].queue[0]
			state[s].queue = state[s].queue[1:]
			if !next.answered {
				start(s, next)
				return
			}
			own[next.instance][s]--
		}
	}
	start = func(s int, r *simRequest) {
		state[s].running++
		r.on = append(r.on, s)
		work := r.work
		if state[s].slow {
			work *= 4
		}
		at(now+work, func() {
			if r.answered {
				return // this copy was cancelled
			}
			r.answered = true
			if now-r.arrived <= request.TimeToTarget {
				inTime++
			}
			for _, other := range r.on {
				finish(other, r)
			}
		})
	}
	var changeSpeed func(s int)
	changeSpeed = func(s int) {
		state[s].slow = rnd.Float64() < 0.25
		at(now+time.Duration(rnd.ExpFloat64()*float64(300*time.Millisecond)), func() { changeSpeed(s) })
	}
	for s := range state {
		changeSpeed(s)
	}
	gap := float64(request.ServiceTime) / (load * servers * slots)
	var arrive func()
	arrive = func() {
		i := rnd.IntN(instances)
		r := &simRequest{instance: i, arrived: now, work: time.Duration(float64(request.ServiceTime) * (0.7 + 0.6*rnd.Float64()))}
		total++
		send := func() {
			s := choose(state, own[i])
			own[i][s]++
			if state[s].running < slots {
				start(s, r)
			} else {
				state[s].queue = append(state[s].queue, r)
			}
		}
		send()
		if hedge > 0 {
			at(now+hedge, func() {
				if !r.answered && float64(hedges) < hedgeBudget*float64(total) {
					hedges++
					send()
				}
			})
		}
		at(now+time.Duration(rnd.ExpFloat64()*gap), arrive)
	}
	arrive()
	for now < length {
		e := heap.Pop(&events).(simEvent)
		now = e.at
		e.run()
	}
	return float64(inTime) / float64(total)
}
