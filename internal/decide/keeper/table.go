package keeper

import (
	"maps"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
)

// Key identifies a shard.
type Key struct{ Service, Zone string }

// String returns the key in the form that rendezvous hashing and logs use.
func (k Key) String() string { return k.Service + "@" + k.Zone }

// Owner is a session that owns a shard.
type Owner struct {
	session.Identity
	// Generation is the generation of the session under which the shard was taken.
	Generation uint64
}

// Entry records the keeper of one shard.
type Entry struct {
	Owner
	// Epoch grows each time the shard is taken.
	Epoch uint64
	// Released is true when the owner has given up the shard and grants no more slots.
	Released bool
	// WarmServers lists the warm servers that the owner handed over when it released the shard, and is empty otherwise.
	WarmServers []WarmServer
}

// WarmServer is a server that the previous keeper knew to be warm.
type WarmServer struct{ Server, Incarnation string }

// Table is the value of the object keepers/<zone>: the owners of the zone's shards by service. A Table is immutable;
// Take and Release return new ones.
type Table struct {
	Zone string
	// Version is the version of the stored object, and zero when the object does not exist.
	Version uint64
	Entries map[string]Entry
}

// unowned reports whether the shard has no owner, or an owner that can never have authority over it again.
func (e Entry) unowned(self Owner, sessions map[string]session.Record) bool {
	switch {
	case e.Epoch == 0 || e.Released:
		return true
	case e.Instance == self.Instance:
		return e.Generation < self.Generation
	}
	seen, ok := sessions[e.Instance]
	return ok && seen.Ended(e.Generation)
}

// ServicesToTake returns the services whose shards the owner should take. These are the free shards for which its
// instance is the rendezvous winner, and the shards that already name it as owner without its knowledge, because the
// answer to its write was lost.
func (t Table) ServicesToTake(self Owner, owned map[string]uint64, services []string, live []member.Instance, sessions map[string]session.Record) []string {
	var claims []string
	for _, service := range services {
		e := t.Entries[service]
		if e.Owner == self && !e.Released {
			if owned[service] != e.Epoch {
				claims = append(claims, service)
			}
			continue
		}
		if !e.unowned(self, sessions) {
			continue
		}
		winner, ok := member.Rendezvous(Key{service, t.Zone}.String(), live)
		if ok && winner.Name == self.Instance {
			claims = append(claims, service)
		}
	}
	return claims
}

// Take returns the table in which the owner has taken the shards of the services, each with a new epoch.
func (t Table) Take(self Owner, services []string) Table {
	next := t.copy()
	for _, service := range services {
		next.Entries[service] = Entry{Owner: self, Epoch: t.Entries[service].Epoch + 1}
	}
	return next
}

// Release returns the table in which the owner has given up its shards of the listed services and handed over their
// warm servers. Shards of other owners are unchanged.
func (t Table) Release(self Owner, warm map[string][]WarmServer) Table {
	next := t.copy()
	for service, servers := range warm {
		if e := next.Entries[service]; e.Owner == self {
			e.Released, e.WarmServers = true, servers
			next.Entries[service] = e
		}
	}
	return next
}

// OwnsAny reports whether the owner still keeps the shard of any of the services.
func (t Table) OwnsAny(self Owner, services map[string][]WarmServer) bool {
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
