package balance

import "time"

// ServerStatus describes one backend server at one instance to operators.
type ServerStatus struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
	// Allowance is how many requests this instance may have in flight at the server now.
	Allowance int `json:"allowance"`
	// Latency is the moving average of the latency, in microseconds.
	Latency int64 `json:"latency_us"`
	// Reason explains in a sentence why the server gets requests or not.
	Reason string `json:"reason"`
}

// Status returns the status of all servers, ordered by name.
func (f *Fleet) Status(now time.Time) []ServerStatus {
	list := make([]ServerStatus, 0, len(f.sortedServers))
	for _, s := range f.sortedServers {
		list = append(list, ServerStatus{
			Name: s.spec.Name, Address: s.spec.Address, Zone: s.spec.Zone, State: s.machine.State(),
			InFlight: s.inFlight, Allowance: s.allowance(now), Latency: int64(s.latency / time.Microsecond), Reason: s.reason(now),
		})
	}
	return list
}

// reasons explain the states of charts/backend.toml to operators.
var reasons = map[string]string{
	"unknown":  "nothing is known about the server yet; it gets no more requests than a cold server",
	"cold":     "the server is presumed to start cold and gets requests only up to its cold allowance",
	"warming":  "the server is warming up, and its allowance grows step by step",
	"serving":  "the server gets requests up to its concurrency limit",
	"shedding": "the server refused a request because it was overloaded; its limit is lowered",
	"draining": "the server is draining and gets no new requests",
	"ejected":  "several requests in a row failed at the server; it gets no new requests for a time",
}

func (s *server) reason(now time.Time) string {
	if !s.zone.machine.In("serving") && !s.zone.machine.In("returning") {
		return "operators have taken its availability zone out"
	}
	if s.needsColdGrant() && s.allowance(now) == 0 && !s.fleet.config.NoKeepers {
		return "the server may be cold, and the keeper of its shard has granted this instance no cold slot"
	}
	return reasons[s.machine.State()]
}
