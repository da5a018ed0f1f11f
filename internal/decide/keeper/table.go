package keeper

import (
	"maps"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
)

// Key names a shard.
type Key struct{ Service, Zone string }

// String returns the key as rendezvous hashing and logs use it.
func (k Key) String() string { return k.Service + "@" + k.Zone }

// Owner is a session that owns a shard.
type Owner struct {
	session.Identity
	// Generation is that of the session under which the shard was taken.
	Generation uint64
}

// Entry says who keeps one shard.
type Entry struct {
	Owner
	// Epoch grows each time the shard is taken.
	Epoch uint64
	// Released is true when the owner gave the shard up and grants nothing more.
	Released bool
	// Warm is what a graceful owner handed over; empty for others.
	Warm []Warm
}

// Warm is one server that the previous keeper knew to be warm.
type Warm struct{ Server, Incarnation string }

// Table is the value of the object keepers/<zone>: the owners of the zone's shards by service. A Table that was read
// is not changed; Take and Release return new ones.
type Table struct {
	Zone string
	// Version is zero when the object does not exist.
	Version uint64
	Entries map[string]Entry
}

// free reports whether the entry's owner can never have authority over the shard again.
func (e Entry) free(self Owner, sessions map[string]session.Record) bool {
	switch {
	case e.Epoch == 0 || e.Released:
		return true
	case e.Instance == self.Instance:
		return e.Generation < self.Generation
	}
	seen, ok := sessions[e.Instance]
	return ok && seen.Ended(e.Generation)
}

// Claims returns the services whose shards the owner should take: free ones for which it is the rendezvous winner, and
// those that name it although it does not know it, because the answer to its write was lost.
func (t Table) Claims(self Owner, owned map[string]uint64, services []string, live []member.Instance, sessions map[string]session.Record) []string {
	var claims []string
	for _, service := range services {
		e := t.Entries[service]
		if e.Owner == self && !e.Released {
			if owned[service] != e.Epoch {
				claims = append(claims, service)
			}
			continue
		}
		if !e.free(self, sessions) {
			continue
		}
		winner, ok := member.Rendezvous(Key{service, t.Zone}.String(), live)
		if ok && winner.Name == self.Instance {
			claims = append(claims, service)
		}
	}
	return claims
}

// Take returns the table after the owner has taken the services, each with a new epoch.
func (t Table) Take(self Owner, services []string) Table {
	next := t.copy()
	for _, service := range services {
		next.Entries[service] = Entry{Owner: self, Epoch: t.Entries[service].Epoch + 1}
	}
	return next
}

// Release returns the table after the owner has given up its shards with what it knows about their servers, by
// service. Shards of others stay as they are.
func (t Table) Release(self Owner, warm map[string][]Warm) Table {
	next := t.copy()
	for service, servers := range warm {
		if e := next.Entries[service]; e.Owner == self {
			e.Released, e.Warm = true, servers
			next.Entries[service] = e
		}
	}
	return next
}

// Holds reports whether the owner still has one of the services.
func (t Table) Holds(self Owner, services map[string][]Warm) bool {
	for service := range services {
		if e := t.Entries[service]; e.Owner == self && !e.Released {
			return true
		}
	}
	return false
}

func (t Table) copy() Table {
	entries := make(map[string]Entry, len(t.Entries)+1)
	maps.Copy(entries, t.Entries)
	return Table{Zone: t.Zone, Version: t.Version, Entries: entries}
}
