package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Instance is one instance of the fleet.
type Instance struct {
	Name string
	// Incarnation differs for each start of the process.
	Incarnation  uint64
	Region, Zone string
	PeerAddress  string
}

// View is an immutable snapshot of the instances that are taken as alive, this one included.
type View struct {
	Self Instance
	// Live lists instances that serve, in the order of their names.
	Live []Instance
	// Listed names the instances that the platform's list holds as live; nil when it could not be read.
	Listed map[string]bool
	// Members lists every known instance, this one included, in the order of their names: also those that start,
	// drain, are dead or have left.
	Members []Status
}

// Status is what is known of one instance.
type Status struct {
	Instance
	// State is what the instance said of itself last; zero when it was never heard of.
	State State
	// Condition is the state of charts/peer.toml; "self" for this instance.
	Condition string
	Config    Version
	// Heard is when the last heartbeat left the instance.
	Heard time.Time
}

// Address returns the peer address of a known instance.
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

// In returns the live instances of the regions; no regions stand for all.
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

// Rendezvous returns the candidate with the highest hash for the key. All instances with the same candidates choose
// the same one, and a change of one candidate moves only the keys that it wins or loses.
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
