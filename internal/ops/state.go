package ops

import "fuchsiahub.example/fuchsiahub/internal/node"

// State is the answer to GET /state on the operations address of an instance. Times are given as ages, because the clocks
// of machines differ.
type State struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	// Incarnation is different after each start of the process.
	Incarnation uint64 `json:"incarnation"`
	// State is the name of a state in charts/instance.toml.
	State string `json:"state"`
	Ready bool   `json:"ready"`
	// Reason explains why the instance is not ready; empty if it is ready.
	Reason    string               `json:"reason,omitempty"`
	Documents []Document           `json:"documents"`
	Rejected  []RejectedDocument   `json:"rejected"`
	Services  []node.ServiceStatus `json:"services"`
	Members   []Member             `json:"members"`
	Keepers   []Keeper             `json:"keepers"`
	Counters  map[string]int64     `json:"counters"`
}

// Document is a document that is in force at the instance.
type Document struct {
	// Kind is the kind of the object, such as "services".
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// RejectedDocument is a document version that the instance has received but not put into force.
type RejectedDocument struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	// InForce is the version that stays in force; zero if there is none.
	InForce uint64 `json:"in_force"`
	// Message describes the problem and its remedy.
	Message string `json:"message"`
}

// Member is an instance of the fleet as this instance sees it.
type Member struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	// State is the name of a state in charts/peer.toml.
	State string `json:"state"`
	// HeartbeatAgeMs is the time since the last heartbeat, in milliseconds.
	HeartbeatAgeMs int64 `json:"heartbeat_age_ms"`
}

// Keeper is the holder of a shard of leases as this instance sees it.
type Keeper struct {
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Instance string `json:"instance"`
	// Epoch increases with each change of the keeper.
	Epoch uint64 `json:"epoch"`
	// Leased is the number of slots that the keeper has leased out; zero if another instance is the keeper.
	Leased int `json:"leased"`
}
