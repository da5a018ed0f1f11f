package balance

import "time"

// ServerStatus is what operators see of one backend server at one instance.
type ServerStatus struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
	// Allowance is how many requests this instance may have in flight at the server now.
	Allowance int `json:"allowance"`
	// Latency is the moving average of answers, in microseconds.
	Latency int64 `json:"latency_us"`
	// Reason says in a sentence why the server gets or does not get work.
	Reason string `json:"reason"`
}

// Status returns what operators see of the servers, in the order of their names.
func (f *Fleet) Status(now time.Time) []ServerStatus {
	list := make([]ServerStatus, 0, len(f.order))
	for _, s := range f.order {
		list = append(list, ServerStatus{
			Name: s.spec.Name, Address: s.spec.Address, Zone: s.spec.Zone, State: s.machine.State(),
			InFlight: s.inFlight, Allowance: s.allowance(now), Latency: int64(s.latency / time.Microsecond), Reason: s.reason(now),
		})
	}
	return list
}

// reasons explain the states of charts/backend.toml to operators.
var reasons = map[string]string{
	"unknown":  "nothing is known about the server yet; it gets no more than a cold one",
	"cold":     "the server is presumed to start cold and gets only its cold allowance",
	"warming":  "the server answers in time and its allowance grows step by step",
	"serving":  "the server gets work up to its limit",
	"shedding": "the server refused work for overload; its limit is lowered",
	"draining": "the server is leaving and gets no new work",
	"ejected":  "the server failed several times in a row and gets no new work for a time",
}

func (s *server) reason(now time.Time) string {
	if !s.zone.machine.In("serving") && !s.zone.machine.In("returning") {
		return "operators have taken its availability zone out"
	}
	if s.needsToken() && s.allowance(now) == 0 && !s.fleet.view.NoKeepers {
		return "the server may be cold and the keeper of its shard has granted no cold slot to this instance"
	}
	return reasons[s.machine.State()]
}
