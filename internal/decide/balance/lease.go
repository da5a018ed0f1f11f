package balance

import "time"

// Leased is what the keeper of one shard granted to this instance. It replaces what was granted before.
type Leased struct {
	// Zone names the shard: the servers of this service in one availability zone.
	Zone string
	// Epoch is the keeper's epoch. News of a lower epoch than seen before is ignored.
	Epoch uint64
	// Until is when the grants end, on the clock of this instance, counted from before the request was sent.
	Until  time.Time
	Grants []SlotGrant
}

// SlotGrant is the number of slots of one server that this instance may use.
type SlotGrant struct {
	Server string
	// Incarnation is the start of the server that the grant is for; a restarted server voids it.
	Incarnation string
	Slots       int
	// Cold is true when the slots are part of the cold allowance.
	Cold bool
}

// Demand is what this instance needs of one shard.
type Demand struct {
	// Want is how many more slots it could use now.
	Want int
	Held []HeldSlots
	// Reports holds what answers said about the servers since the last Demand.
	Reports []Report
}

// HeldSlots is one lease that is kept.
type HeldSlots struct {
	Server string
	Slots  int
	Busy   int
}

// Report is what answers said about one server.
type Report struct {
	Server      string
	Incarnation string
	State       ReportedState
	Good, Bad   int
	// Latency is the mean service time of the good answers.
	Latency time.Duration
	// Running and Slots are the load that the server reported last.
	Running, Slots int
}

// ReportedState is what was seen of a server.
type ReportedState int

// States that are reported.
const (
	Ready ReportedState = iota
	Cold
	Draining
	Down
)

// Notice is a change of a server that another instance saw.
type Notice struct {
	Server      string
	Incarnation string
	State       ReportedState
}
