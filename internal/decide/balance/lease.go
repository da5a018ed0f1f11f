package balance

import "time"

// ShardLease is the set of grants from the keeper of one shard to this instance. It replaces the previous set.
type ShardLease struct {
	// Zone names the shard: the servers of this service in one availability zone.
	Zone string
	// Epoch is the keeper's epoch. A lease with a lower epoch than the last applied one is ignored.
	Epoch uint64
	// ExpiresAt is when the grants expire, on the clock of this instance. The term counts from before the lease request was
	// sent, so the grants expire here before they expire at the keeper.
	ExpiresAt time.Time
	Grants    []SlotGrant
}

// SlotGrant is the number of slots of one server that this instance may use.
type SlotGrant struct {
	Server string
	// Incarnation identifies the server start that the grant applies to; a restart voids the grant.
	Incarnation string
	Slots       int
	// Cold is true when the slots are part of the cold allowance.
	Cold bool
}

// Demand is the content of a lease request to the keeper of one shard.
type Demand struct {
	// Want is the number of additional slots that this instance could use now.
	Want int
	Held []HeldSlots
	// Reports summarizes the answers of the servers since the last Demand.
	Reports []Report
}

// HeldSlots is the number of slots of one server that this instance keeps, and how many of them are busy.
type HeldSlots struct {
	Server string
	Slots  int
	Busy   int
}

// Report summarizes the answers of one server since the previous report.
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

// ReportedState is a server state that an instance observed.
type ReportedState int

// Observed states in reports and notices.
const (
	Ready ReportedState = iota
	Cold
	Draining
	Down
)

// Notice is a state change of a server that one instance observed and sends to the others.
type Notice struct {
	Server      string
	Incarnation string
	State       ReportedState
}
