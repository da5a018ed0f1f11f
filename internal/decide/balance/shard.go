package balance

import (
	"slices"
	"time"
)

// shard holds the lease state of the servers in one availability zone.
type shard struct {
	epoch     uint64
	expiresAt time.Time
	// requestedAt is when the last lease request was built for the keeper.
	requestedAt time.Time
}

func (sh *shard) leaseValid(now time.Time) bool { return sh.expiresAt.After(now) }

// serverLease is this instance's lease on one server.
type serverLease struct {
	slots       int
	cold        bool
	incarnation string
}

// ApplyLease applies the grants of a keeper. They replace the previous grants of the shard; a lease with a lower epoch is
// ignored.
func (f *Fleet) ApplyLease(now time.Time, l ShardLease) {
	sh := f.shard(l.Zone)
	if l.Epoch < sh.epoch {
		return
	}
	sh.epoch = l.Epoch
	sh.expiresAt = l.ExpiresAt
	for _, s := range f.sortedServers {
		if s.spec.Zone != l.Zone {
			continue
		}
		i := slices.IndexFunc(l.Grants, func(g SlotGrant) bool { return g.Server == s.spec.Name })
		if i < 0 {
			s.lease = serverLease{cold: s.lease.cold}
			continue
		}
		s.applyGrant(now, l.Grants[i])
	}
}

// applyGrant applies the keeper's grant for one server. A grant that was in flight when the server was presumed cold is
// void, because the keeper did not know of the restart.
func (s *server) applyGrant(now time.Time, g SlotGrant) {
	if s.coldUnreported {
		s.lease = serverLease{cold: true}
		return
	}
	if g.Incarnation != "" && g.Incarnation != s.incarnation {
		if s.incarnation != "" {
			s.fire(now, "restart")
		}
		s.incarnation = g.Incarnation
	}
	s.lease = serverLease{slots: g.Slots, cold: g.Cold, incarnation: g.Incarnation}
	switch {
	case !g.Cold:
		s.fire(now, "warmed")
	case s.machine.In("unknown"):
		s.fire(now, "token")
	case s.machine.In("serving") || s.machine.In("shedding"):
		s.fire(now, "presume_cold")
	}
}

// Demand returns the slots that this instance needs from a shard and the reports since the last Demand. It releases idle
// slots above the reserve before the keeper is notified, so that the keeper can grant them to others immediately.
func (f *Fleet) Demand(now time.Time, zone string) Demand {
	var d Demand
	f.shard(zone).requestedAt = now
	remainingReserve := f.reserve(zone)
	for _, s := range f.sortedByLatency(now, zone) {
		busy := s.inFlight + s.cancelledInFlight(now)
		kept := 0
		if !s.lease.cold {
			kept = min(max(0, s.lease.slots-busy), remainingReserve)
		}
		remainingReserve -= kept
		s.lease.slots = min(s.lease.slots, busy+kept)
		if s.lease.slots > 0 || busy > 0 {
			d.Held = append(d.Held, HeldSlots{Server: s.spec.Name, Slots: s.lease.slots, Busy: busy})
		}
		if r, ok := s.takeReport(); ok {
			d.Reports = append(d.Reports, r)
		}
		s.coldUnreported = false
	}
	d.Want = f.backlog + remainingReserve
	return d
}

// reserve returns how many idle slots of a zone are kept for future requests.
func (f *Fleet) reserve(zone string) int {
	if zone != f.config.Self.Zone {
		return 0
	}
	return f.tuning.Reserve
}

// LeaseRequestDue reports whether a lease request to the keeper of a zone is due.
func (f *Fleet) LeaseRequestDue(now time.Time, zone string) bool {
	if f.config.NoKeepers {
		return false
	}
	since := now.Sub(f.shard(zone).requestedAt)
	surplus := f.idleSlots(now, zone) - f.reserve(zone)
	remote := f.config.Zones.RegionOf(zone) != f.config.Self.Region
	switch {
	case remote && since < f.tuning.OtherRegionInterval:
		return false
	case surplus > 0 && since >= f.tuning.ReturnInterval:
		return true
	case remote:
		return time.Duration(f.backlog)*f.SlotInterval(now) > remoteWait
	case f.backlog > 0 || surplus < 0:
		return since >= f.tuning.LeaseRequestInterval
	}
	return since >= renewInterval
}

// HasMessagesDue reports whether a lease request is due or notices are waiting to be sent.
func (f *Fleet) HasMessagesDue(now time.Time) bool {
	if len(f.notices) > 0 {
		return true
	}
	for zone := range f.zones {
		if f.LeaseRequestDue(now, zone) {
			return true
		}
	}
	return false
}

// DueZones returns the zones for which a lease request to the keeper is due, ordered by name.
func (f *Fleet) DueZones(now time.Time) []string {
	var due []string
	for zone := range f.zones {
		if f.LeaseRequestDue(now, zone) {
			due = append(due, zone)
		}
	}
	slices.Sort(due)
	return due
}

func (f *Fleet) idleSlots(now time.Time, zone string) int {
	if !f.shard(zone).leaseValid(now) {
		return 0
	}
	idle := 0
	for _, s := range f.sortedServers {
		if s.spec.Zone == zone && !s.lease.cold {
			idle += max(0, s.lease.slots-s.inFlight)
		}
	}
	return idle
}

func (f *Fleet) sortedByLatency(now time.Time, zone string) []*server {
	var list []*server
	for _, s := range f.sortedServers {
		if s.spec.Zone == zone {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *server) int { return int(a.expectedLatency(now) - b.expectedLatency(now)) })
	return list
}

// SetBacklog sets the number of requests that are queued at this instance. Demand asks for that many slots.
func (f *Fleet) SetBacklog(waiting int) { f.backlog = waiting }

// SetInstances sets the number of live instances, in total and in the own region. The fallback shares depend on it.
func (f *Fleet) SetInstances(live, regionInstances int) {
	f.config.Instances = max(1, live)
	f.config.RegionInstances = max(1, regionInstances)
}

// ApplyNotice applies an observation of a server by another instance.
func (f *Fleet) ApplyNotice(now time.Time, n Notice) {
	s, ok := f.servers[n.Server]
	if !ok {
		return
	}
	restarted := n.Incarnation != "" && n.Incarnation != s.incarnation
	switch {
	case n.State == Draining && !restarted:
		s.fire(now, "drain")
	case n.State == Ready && restarted && s.machine.In("draining"):
		s.incarnation = n.Incarnation
		s.fire(now, "restart")
	case n.State == Cold && (restarted || n.Incarnation == ""), n.State == Down:
		s.presumeCold(now, n.Incarnation)
	}
}

// TakeNotices returns and clears the observations since the last call. The caller sends them to the keeper of the
// server's shard and to the peers immediately.
func (f *Fleet) TakeNotices() []Notice {
	list := f.notices
	f.notices = nil
	return list
}

// ZoneOf returns the availability zone of a server, or "" when the server is unknown.
func (f *Fleet) ZoneOf(server string) string {
	if s, ok := f.servers[server]; ok {
		return s.spec.Zone
	}
	return ""
}

func (f *Fleet) shard(zone string) *shard {
	sh, ok := f.shards[zone]
	if !ok {
		sh = &shard{}
		f.shards[zone] = sh
	}
	return sh
}
