package ops

import "fuchsiahub.example/fuchsiahub/internal/node"

// State is what GET /state gives on the operations address of an instance. Instants are given as ages, because clocks
// of machines differ.
type State struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	// Incarnation differs for each start of the process.
	Incarnation uint64 `json:"incarnation"`
	// State is the state of charts/instance.toml.
	State string `json:"state"`
	Ready bool   `json:"ready"`
	// Reason says why the instance is not ready; empty when it is.
	Reason    string               `json:"reason,omitempty"`
	Documents []Document           `json:"documents"`
	Rejected  []RejectedDocument   `json:"rejected"`
	Services  []node.ServiceStatus `json:"services"`
	Members   []Member             `json:"members"`
	Keepers   []Keeper             `json:"keepers"`
	Counters  map[string]int64     `json:"counters"`
}

// Document is a document in force at the instance.
type Document struct {
	// Kind is the kind of the object, such as "services".
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// RejectedDocument is a document that the instance has seen and not brought into force.
type RejectedDocument struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	// InForce is the version that stays in force; zero when there is none.
	InForce uint64 `json:"in_force"`
	// Message says what is wrong, with the remedy.
	Message string `json:"message"`
}

// Member is an instance of the fleet as this instance sees it.
type Member struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	// State is the state of charts/peer.toml.
	State string `json:"state"`
	// HeartbeatAgeMs is how long ago the last heartbeat came, in milliseconds.
	HeartbeatAgeMs int64 `json:"heartbeat_age_ms"`
}

// Keeper is the owner of a shard as this instance sees it.
type Keeper struct {
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Instance string `json:"instance"`
	// Epoch rises with each change of the owner.
	Epoch uint64 `json:"epoch"`
	// Leased is how many slots the keeper has leased out; zero when another instance is the keeper.
	Leased int `json:"leased"`
}
