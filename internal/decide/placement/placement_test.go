package placement

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

var demand = Demand{Work: 200 * time.Millisecond, Left: 1500 * time.Millisecond, Objective: 600 * time.Millisecond}

func idle(d Distance) Candidate {
	return Candidate{Distance: d, RoundTrip: time.Millisecond, Slots: 6, Slowdown: 1, Success: 1, Reported: true}
}

// Guards against a choice that ignores one of the things that delay an answer.
func TestChooseAvoids(t *testing.T) {
	for name, worse := range map[string]func(*Candidate){
		"slow":             func(c *Candidate) { c.Slowdown = 4 },
		"full":             func(c *Candidate) { c.Running = 6; c.Waiting = 3 },
		"nearly full":      func(c *Candidate) { c.Running = 5 },
		"slow for seconds": func(c *Candidate) { c.Slowdown, c.Usual = 12, 12 },
		"failing":          func(c *Candidate) { c.Success = 0.4 },
		"cold":             func(c *Candidate) { c.Cold = true },
		"unreported":       func(c *Candidate) { c.Reported = false },
		"far away":         func(c *Candidate) { c.RoundTrip = 50 * time.Millisecond },
	} {
		bad := idle(SameZone)
		worse(&bad)
		if choice := DefaultTuning().Choose(demand, []Candidate{bad, idle(SameRegion)}); choice.Index != 1 {
			t.Errorf("%s: the server is chosen", name)
		}
	}
}

// Guards against traffic between regions, which is billed, while near servers can meet the objective, and against an
// answer that is late although another region could give it in time.
func TestOtherRegionsOnlyWhenNearOnesAreLate(t *testing.T) {
	far := idle(OtherRegion)
	far.RoundTrip = 17 * time.Millisecond
	slow := idle(SameZone)
	slow.Slowdown = 2
	if choice := DefaultTuning().Choose(demand, []Candidate{slow, far}); choice.Index != 0 {
		t.Error("a request that a near server can answer in time goes to another region")
	}
	slow.Running, slow.Waiting = 6, 12
	if choice := DefaultTuning().Choose(demand, []Candidate{slow, far}); choice.Index != 1 {
		t.Error("a request stays near and is late")
	}
}

// Guards against an estimate that takes a server as slow for long because it is slow at the moment, or the reverse.
func TestSlownessThatLasts(t *testing.T) {
	passing, lasting := idle(SameZone), idle(SameZone)
	passing.Slowdown, passing.Usual = 4, 1.5
	lasting.Slowdown, lasting.Usual = 4, 4
	tuning := DefaultTuning()
	if short, long := tuning.Expected(demand, passing), tuning.Expected(demand, lasting); short > 450*time.Millisecond || long < 700*time.Millisecond {
		t.Errorf("200 ms of work are expected to take %s and %s", short, long)
	}
}

// Guards against a request that is sent although it cannot be answered in time.
func TestNothingIsChosenTooLate(t *testing.T) {
	full := idle(SameZone)
	full.Running, full.Waiting = 6, 60
	choice := DefaultTuning().Choose(demand, []Candidate{full})
	if choice.Index >= 0 || choice.Expected <= demand.Left {
		t.Errorf("choice is %+v", choice)
	}
}

// Guards against advice that sends urgent callers back after others, all callers in one moment, or too late to be served.
func TestRetryAfter(t *testing.T) {
	late := 2 * time.Second
	if urgent, other := RetryAfter(demand, late, 0, 0.5), RetryAfter(demand, late, 2, 0.5); urgent > other {
		t.Errorf("urgent callers come back after %s, others after %s", urgent, other)
	}
	if a, b := RetryAfter(demand, demand.Left, 1, 0), RetryAfter(demand, demand.Left, 1, 1); a == b {
		t.Errorf("all callers come back after %s", a)
	}
	if after := RetryAfter(demand, time.Hour, 5, 1); after > demand.Left/3 {
		t.Errorf("a caller with %s left comes back after %s", demand.Left, after)
	}
	if after := RetryAfter(Demand{}, 0, 0, 0); after < leastReturn {
		t.Errorf("a caller without time comes back after %s", after)
	}
}

// The load of the users' heaviest days, small: servers with few slots whose machines are slowed to a quarter for 300 ms
// at a time. The test plays the same arrivals against the choice and against the one with the fewest requests of this
// instance, which the first forwarder used, and checks what callers get. It guards against a change that loses the gain.
func TestChoiceServesMoreInTime(t *testing.T) {
	for _, load := range []float64{0.3, 0.5, 0.7} {
		old, present := play(load, fewestOwn, 0), play(load, byReport, 0)
		t.Logf("load %.1f: in time %.3f with fewest own requests, %.3f with reports", load, old, present)
		if present < old+0.05 {
			t.Errorf("load %.1f: %.3f in time, %.3f before", load, present, old)
		}
	}
}

// The load of servers that tell no load and hide how slow their machines are. The test plays the same arrivals with
// second copies after the time that suits servers which tell their load, and after the one for those that do not, and
// checks what callers get. It guards against a change that loses the gain.
func TestEarlySecondCopiesServeMoreInTime(t *testing.T) {
	tuning := DefaultTuning()
	for _, load := range []float64{0.2, 0.35} {
		// The mean of times that hide slowness is 1.75 times the work; their quantile is the work itself.
		old := play(load, free, tuning.HedgeAfter(demand, demand.Work*7/4, true))
		present := play(load, free, tuning.HedgeAfter(demand, demand.Work, false))
		t.Logf("load %.2f: in time %.3f with late second copies, %.3f with early ones", load, old, present)
		if present < old+0.02 {
			t.Errorf("load %.2f: %.3f in time, %.3f before", load, present, old)
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
	// on are the servers that run a copy. The first copy that ends answers and cancels the others.
	on       []int
	answered bool
}

type simEvent struct {
	at   time.Duration
	what func()
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

// fewestOwn and byReport choose a server. Own counts what one of five instances has sent.
func fewestOwn(_ []simServer, own []int) int {
	best := 0
	for i := range own {
		if own[i] < own[best] {
			best = i
		}
	}
	return best
}

func byReport(servers []simServer, _ []int) int {
	candidates := make([]Candidate, len(servers))
	for i, s := range servers {
		candidates[i] = idle(SameZone)
		candidates[i].Running, candidates[i].Waiting = s.running, len(s.queue)
		if s.slow {
			candidates[i].Slowdown = 4
		}
	}
	return max(DefaultTuning().Choose(demand, candidates).Index, 0)
}

// free chooses a server with a free slot, as the first answer to a health check does, without a view of its speed.
func free(servers []simServer, own []int) int {
	best := 0
	for i, s := range servers {
		if own[i]+s.running+len(s.queue) < own[best]+servers[best].running+len(servers[best].queue) {
			best = i
		}
	}
	return best
}

// hedgeBudget is the part of the requests that may have a second copy, as the platform allows.
const hedgeBudget = 0.2

// play returns the share of requests that are answered within the objective, at a load in parts of all slots. A second
// copy is sent after the given time; none when it is zero.
func play(load float64, choose func([]simServer, []int) int, hedge time.Duration) float64 {
	const servers, slots, instances, length = 5, 6, 5, 60 * time.Second
	rnd := rand.New(rand.NewPCG(7, 11))
	var events simEvents
	state := make([]simServer, servers)
	own := make([][]int, instances)
	for i := range own {
		own[i] = make([]int, servers)
	}
	var now time.Duration
	at := func(when time.Duration, what func()) { heap.Push(&events, simEvent{at: when, what: what}) }
	inTime, all, hedges := 0, 0, 0
	var start func(s int, r *simRequest)
	leave := func(s int, r *simRequest) {
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
				return // the copy was cancelled
			}
			r.answered = true
			if now-r.arrived <= demand.Objective {
				inTime++
			}
			for _, other := range r.on {
				leave(other, r)
			}
		})
	}
	var change func(s int)
	change = func(s int) {
		state[s].slow = rnd.Float64() < 0.25
		at(now+time.Duration(rnd.ExpFloat64()*float64(300*time.Millisecond)), func() { change(s) })
	}
	for s := range state {
		change(s)
	}
	gap := float64(demand.Work) / (load * servers * slots)
	var arrive func()
	arrive = func() {
		i := rnd.IntN(instances)
		r := &simRequest{instance: i, arrived: now, work: time.Duration(float64(demand.Work) * (0.7 + 0.6*rnd.Float64()))}
		all++
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
				if !r.answered && float64(hedges) < hedgeBudget*float64(all) {
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
		e.what()
	}
	return float64(inTime) / float64(all)
}
