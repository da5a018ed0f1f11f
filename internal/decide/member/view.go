package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Instance identifies and locates one instance of the fleet.
type Instance struct {
	Name string
	// Incarnation differs for each start of the process.
	Incarnation  uint64
	Region, Zone string
	PeerAddress  string
}

// View is an immutable snapshot of the fleet as this instance sees it.
type View struct {
	Self Instance
	// Live lists the instances that count as alive and are serving, in the order of their names. It includes this
	// instance if it is serving.
	Live []Instance
	// Listed has the names of the instances in the platform's list; nil when the list could not be read.
	Listed map[string]bool
	// Members lists every known instance in any state, including this one and those that are starting, draining, dead
	// or have left, in the order of their names.
	Members []Status
}

// Status is the local knowledge about one instance.
type Status struct {
	Instance
	// State is the state that the instance reported last; zero when no entry of it has arrived.
	State State
	// Condition is the state of charts/peer.toml; "self" for this instance.
	Condition string
	Config    ConfigVersion
	// HeartbeatAt is when the instance sent the last heartbeat that arrived here.
	HeartbeatAt time.Time
}

// Address returns the peer address of an instance and whether it is known.
func (v *View) Address(name string) (string, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, name, compareName)
	if ok {
		return v.Members[i].PeerAddress, v.Members[i].PeerAddress != ""
	}
	live, ok := v.Find(name)
	return live.PeerAddress, ok && live.PeerAddress != ""
}

func compareName(s Status, name string) int {
	switch {
	case s.Name < name:
		return -1
	case s.Name > name:
		return 1
	}
	return 0
}

// In returns the live instances in the given regions, or in all regions if none is given.
func (v *View) In(regions ...string) []Instance {
	var list []Instance
	for _, i := range v.Live {
		if len(regions) == 0 || slices.Contains(regions, i.Region) {
			list = append(list, i)
		}
	}
	return list
}

// Find returns a live instance by name.
func (v *View) Find(name string) (Instance, bool) {
	for _, i := range v.Live {
		if i.Name == name {
			return i, true
		}
	}
	return Instance{}, false
}

// Rendezvous returns the candidate with the highest hash for the key (rendezvous hashing). All instances with the same
// candidates choose the same one. Adding or removing a candidate moves only the keys that this candidate wins or loses.
func Rendezvous(key string, candidates []Instance) (Instance, bool) {
	var best Instance
	var bestScore uint64
	for i, c := range candidates {
		score := xxhash.Sum64String(key + "\x00" + c.Name)
		if i == 0 || score > bestScore || score == bestScore && c.Name < best.Name {
			best, bestScore = c, score
		}
	}
	return best, len(candidates) > 0
}
