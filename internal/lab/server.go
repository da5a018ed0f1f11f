package lab

import (
	"fmt"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

const (
	// coldFactor multiplies the service times of a cold server.
	coldFactor = 4
	// warmUpAnswers is the number of answers after which a cold server is warm.
	warmUpAnswers = 10
	// failFastTime is the time in which a failing server returns an error.
	failFastTime = 200 * time.Microsecond
)

// backendServer simulates a backend server: it runs as many requests as it has slots and queues the others.
type backendServer struct {
	w          *world
	name       string
	zone       string
	slots      int
	slowdown   float64
	up         bool
	failFast   bool
	startCount int
	answers    int // since the last restart
	running    []*requestCopy
	queue      []*requestCopy
}

func (s *backendServer) incarnation() string { return fmt.Sprint(s.startCount) }

func (s *backendServer) cold() bool { return s.startCount > 1 && s.answers < warmUpAnswers }

// arrive handles a copy of a request: it refuses, fails, runs or queues it.
func (s *backendServer) arrive(c *requestCopy) {
	if c.cancelled {
		return
	}
	s.w.counters.countLateWork(s.w, s.zone)
	switch {
	case !s.up:
		s.w.reply(s, c, balance.Result{Fate: call.NotSent, ConnectionRefused: true, Failed: true})
		return
	case s.failFast:
		s.w.after(failFastTime, func() {
			s.w.reply(s, c, balance.Result{Fate: call.Answered, Failed: true, Latency: failFastTime, Incarnation: s.incarnation()})
		})
		return
	}
	if len(s.running) < s.slots {
		s.start(c)
	} else {
		s.queue = append(s.queue, c)
	}
	s.w.counters.longestQueue = max(s.w.counters.longestQueue, len(s.queue))
	if s.cold() {
		s.w.counters.overGrant = max(s.w.counters.overGrant, len(s.running)+len(s.queue)-s.w.serviceDoc.Servers.ColdAllowance)
	}
}

// start runs a request for its service time.
func (s *backendServer) start(c *requestCopy) {
	s.running = append(s.running, c)
	factor := s.slowdown
	if s.cold() {
		factor *= coldFactor
	}
	starts := s.startCount
	s.w.after(time.Duration(factor*float64(c.request.serviceTime)), func() {
		if starts == s.startCount && !c.cancelled {
			s.finish(c)
		}
	})
}

// finish answers a request and reports the load of the server with the answer.
func (s *backendServer) finish(c *requestCopy) {
	s.answers++
	load := len(s.running) + len(s.queue)
	s.remove(c)
	s.w.reply(s, c, balance.Result{
		Fate: call.Answered, Running: load - 1, Slots: s.slots, Incarnation: s.incarnation(),
	})
}

// remove removes a request from the server and starts the next queued one.
func (s *backendServer) remove(c *requestCopy) {
	if i := slices.Index(s.queue, c); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		return
	}
	i := slices.Index(s.running, c)
	if i < 0 {
		return
	}
	s.running = slices.Delete(s.running, i, i+1)
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.start(next)
	}
}

// restart breaks all connections, refuses new ones for a while and then continues as a cold server.
func (s *backendServer) restart(down time.Duration) {
	lost := append(slices.Clone(s.running), s.queue...)
	s.running, s.queue = nil, nil
	s.up = false
	s.startCount++
	s.answers = 0
	for _, c := range lost {
		s.w.reply(s, c, balance.Result{Fate: call.MaybeRun, Failed: true})
	}
	s.w.after(down, func() { s.up = true })
}
