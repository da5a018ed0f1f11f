package backend

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/chart"
)

// maxKeys is the maximum number of idempotency keys whose runs are counted.
const maxKeys = 1 << 20

// state is owned by the server's task. It is the context of charts/standin.toml.
type state struct {
	options  Options
	machine  *chart.Machine[*state]
	rnd      *rand.Rand
	switches Switches
	report   Report
	runs     map[string]int
	// incarnationNumber is the number of the current incarnation. Messages of requests of earlier incarnations are ignored.
	incarnationNumber int
	incarnation       string
	coldAnswers       int
	waiting           []slotRequest
}

var bindings = chart.Bindings[*state]{
	Guards: map[string]func(*state) bool{
		"starts_warm":      func(s *state) bool { return s.options.ColdAllowance == 0 },
		"warm_up_complete": func(s *state) bool { return s.coldAnswers+1 >= s.options.WarmUp },
	},
	Actions: map[string]func(*state){
		"reset_warm_up": func(s *state) { s.coldAnswers = 0 },
		"count_warm_up": func(s *state) { s.coldAnswers++ },
	},
}

// outcome is the decision of the server about a request.
type outcome int

const (
	run outcome = iota
	shed
	failed
	overloaded
)

// slotReply is the reply to a slotRequest.
type slotReply struct {
	outcome     outcome
	serviceTime time.Duration
	truncate    bool
	status      serverStatus
}

// serverStatus is the status that the server reports in the headers of its answers and in health checks.
type serverStatus struct {
	load, state, incarnation string
}

func (s *state) fire(event string) {
	if err := s.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

func (s *state) newIncarnation() {
	s.incarnationNumber++
	s.incarnation = s.options.Name + "-" + strconv.Itoa(s.incarnationNumber) + "-" + strconv.FormatUint(s.rnd.Uint64(), 16)
}

func (s *state) crash() {
	s.fire("crash")
	s.report.Crashes++
	s.report.Running = 0
	s.switches.Draining = false
	s.waiting = nil // their goroutines end because the connections are closed
}

func (s *state) crashesOn(m slotRequest) bool {
	return s.switches.CrashOn != "" && m.incarnation == s.incarnationNumber && s.machine.In("up") && bytes.Contains(m.body, []byte(s.switches.CrashOn))
}

func (s *state) admit(m slotRequest) {
	switch {
	case m.incarnation != s.incarnationNumber || !s.machine.In("up"):
		return // the goroutine ends because the connection is closed
	case s.switches.Fail:
		m.reply <- slotReply{outcome: failed, status: s.status()}
	case s.switches.Shed:
		s.shedRequest(m)
	case s.machine.In("cold") && s.report.Running >= s.options.ColdAllowance:
		s.report.ColdOverloads++
		s.fire("overload")
		m.reply <- slotReply{outcome: overloaded, status: s.status()}
	case s.report.Running < s.options.Slots:
		s.startRequest(m)
	case len(s.waiting) < s.options.Queue:
		s.waiting = append(s.waiting, m)
	default:
		s.shedRequest(m)
	}
}

func (s *state) shedRequest(m slotRequest) {
	s.report.Shed++
	m.reply <- slotReply{outcome: shed, status: s.status()}
}

func (s *state) startRequest(m slotRequest) {
	s.report.Started++
	s.report.Running++
	s.report.MaxRunning = max(s.report.MaxRunning, s.report.Running)
	if s.machine.In("cold") {
		s.report.MaxCold = max(s.report.MaxCold, s.report.Running)
	}
	if s.machine.In("draining") {
		s.report.StartedDraining++
	}
	if _, known := s.runs[m.key]; m.key != "" && (known || len(s.runs) < maxKeys) {
		s.runs[m.key]++
	}
	m.reply <- slotReply{outcome: run, serviceTime: s.options.serviceTime(s.rnd, s.switches.Slowness), truncate: s.switches.Truncate, status: s.status()}
}

func (s *state) endRequest(m endRequest) {
	if m.incarnation == s.incarnationNumber && s.machine.In("up") {
		s.report.Running--
		s.report.Finished++
		s.fire("request_end")
		s.startWaiting()
	}
	m.reply <- s.status()
}

func (s *state) startWaiting() {
	for len(s.waiting) > 0 && s.report.Running < s.options.Slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.startRequest(next)
	}
}

// abandonRequest removes a waiting request whose caller has disconnected or whose deadline has passed. If the request was
// granted a slot meanwhile, abandonRequest frees the slot.
func (s *state) abandonRequest(m abandonRequest) {
	s.waiting = slices.DeleteFunc(s.waiting, func(queued slotRequest) bool { return queued.reply == m.waiter })
	select {
	case reply := <-m.waiter:
		if reply.outcome == run {
			s.endRequest(endRequest{incarnation: m.incarnation, reply: make(chan serverStatus, 1)})
		}
	default:
	}
}

func (s *state) openConnection() bool {
	s.report.Connections++
	if s.options.Connections > 0 && s.report.Connections > s.options.Connections {
		s.report.ConnectionsClosed++
		return false
	}
	s.report.MaxConnections = max(s.report.MaxConnections, s.report.Connections)
	return true
}

func (s *state) setSwitches(next Switches) {
	if next.Draining != s.switches.Draining {
		s.fire(map[bool]string{true: "drain", false: "resume"}[next.Draining])
	}
	s.switches = next
}

func (s *state) status() serverStatus {
	load := s.switches.ReportedLoad
	if load == "" {
		load = strconv.Itoa(s.report.Running+len(s.waiting)) + "/" + strconv.Itoa(s.options.Slots)
	}
	return serverStatus{load: load, state: s.machine.State(), incarnation: s.incarnation}
}

func (s *state) snapshot() Report {
	r := s.report
	r.State, r.Incarnation, r.Waiting, r.Runs = s.machine.State(), s.incarnation, len(s.waiting), maps.Clone(s.runs)
	return r
}
