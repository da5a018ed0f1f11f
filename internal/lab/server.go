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
	// warmAfter is the number of answers after which a cold server is warm.
	warmAfter = 10
	// failFastTime is the time in which a failing server returns an error.
	failFastTime = 200 * time.Microsecond
)

// backendServer simulates a backend server: it runs as many requests as it has slots and queues the others.
type backendServer struct {
	w        *world
	name     string
	zone     string
	slots    int
	factor   float64
	up       bool
	failFast bool
	starts   int
	answers  int // since the last restart
	running  []*copied
	queue    []*copied
}

func (s *backendServer) incarnation() string { return fmt.Sprint(s.starts) }

func (s *backendServer) cold() bool { return s.starts > 1 && s.answers < warmAfter }

// arrive handles a copy of a request: it refuses, fails, runs or queues it.
func (s *backendServer) arrive(c *copied) {
	if c.cancelled {
		return
	}
	s.w.counted.toZone(s.w, s.zone)
	switch {
	case !s.up:
		s.w.reply(s, c, balance.Result{Fate: call.NotSent, Refused: true, Failed: true})
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
	s.w.counted.queue = max(s.w.counted.queue, len(s.queue))
	if s.cold() {
		s.w.counted.overGrant = max(s.w.counted.overGrant, len(s.running)+len(s.queue)-s.w.doc.Servers.ColdAllowance)
	}
}

// start runs a request for its service time.
func (s *backendServer) start(c *copied) {
	s.running = append(s.running, c)
	factor := s.factor
	if s.cold() {
		factor *= coldFactor
	}
	starts := s.starts
	s.w.after(time.Duration(factor*float64(c.r.service)), func() {
		if starts == s.starts && !c.cancelled {
			s.finish(c)
		}
	})
}

// finish answers a request and reports the load of the server with the answer.
func (s *backendServer) finish(c *copied) {
	s.answers++
	load := len(s.running) + len(s.queue)
	s.leave(c)
	s.w.reply(s, c, balance.Result{
		Fate: call.Answered, Running: load - 1, Slots: s.slots, Incarnation: s.incarnation(),
	})
}

// leave removes a request from the server and starts the next queued one.
func (s *backendServer) leave(c *copied) {
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
	s.starts++
	s.answers = 0
	for _, c := range lost {
		s.w.reply(s, c, balance.Result{Fate: call.MaybeRun, Failed: true})
	}
	s.w.after(down, func() { s.up = true })
}
