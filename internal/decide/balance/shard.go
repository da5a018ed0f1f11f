package balance

import (
	"slices"
	"time"
)

// shard is what the keeper of one zone granted.
type shard struct {
	epoch uint64
	until time.Time
	// askedAt is when the keeper was last asked.
	askedAt time.Time
}

func (sh *shard) live(now time.Time) bool { return sh.until.After(now) }

// holding is the lease of one server.
type holding struct {
	slots       int
	cold        bool
	incarnation string
}

// Lease brings a grant of a keeper into force. It replaces the earlier grant of the shard; one of a lower epoch is
// ignored.
func (f *Fleet) Lease(now time.Time, l Leased) {
	sh := f.shard(l.Zone)
	if l.Epoch < sh.epoch {
		return
	}
	sh.epoch = l.Epoch
	sh.until = l.Until
	for _, s := range f.order {
		if s.spec.Zone != l.Zone {
			continue
		}
		i := slices.IndexFunc(l.Grants, func(g SlotGrant) bool { return g.Server == s.spec.Name })
		if i < 0 {
			s.lease = holding{cold: s.lease.cold}
			continue
		}
		s.hold(now, l.Grants[i])
	}
}

// hold takes the keeper's word about one server. A grant that was on its way when the server was presumed cold is
// void: the keeper has not heard of it.
func (s *server) hold(now time.Time, g SlotGrant) {
	if s.doubted {
		s.lease = holding{cold: true}
		return
	}
	if g.Incarnation != "" && g.Incarnation != s.incarnation {
		if s.incarnation != "" {
			s.fire(now, "restart")
		}
		s.incarnation = g.Incarnation
	}
	s.lease = holding{slots: g.Slots, cold: g.Cold, incarnation: g.Incarnation}
	switch {
	case !g.Cold:
		s.fire(now, "warmed")
	case s.machine.In("unknown"):
		s.fire(now, "token")
	case s.machine.In("serving") || s.machine.In("shedding"):
		s.fire(now, "presume_cold")
	}
}

// Demand returns what this instance needs of a shard and what answers said since the last Demand. Idle slots above
// the reserve are given up before the keeper hears of it, so the keeper may grant them to others at once.
func (f *Fleet) Demand(now time.Time, zone string) Demand {
	var d Demand
	f.shard(zone).askedAt = now
	idle := f.reserve(zone)
	for _, s := range f.byCost(now, zone) {
		busy := s.inFlight + s.leaving(now)
		kept := 0
		if !s.lease.cold {
			kept = min(max(0, s.lease.slots-busy), idle)
		}
		idle -= kept
		s.lease.slots = min(s.lease.slots, busy+kept)
		if s.lease.slots > 0 || busy > 0 {
			d.Held = append(d.Held, HeldSlots{Server: s.spec.Name, Slots: s.lease.slots, Busy: busy})
		}
		if r, ok := s.takeReport(); ok {
			d.Reports = append(d.Reports, r)
		}
		s.doubted = false
	}
	d.Want = f.backlog + idle
	return d
}

// reserve is how many idle slots of a zone are kept for requests that have not arrived.
func (f *Fleet) reserve(zone string) int {
	if zone != f.view.Self.Zone {
		return 0
	}
	return f.tuning.Reserve
}

// Due reports whether the keeper of a zone is to be asked now.
func (f *Fleet) Due(now time.Time, zone string) bool {
	if f.view.NoKeepers {
		return false
	}
	since := now.Sub(f.shard(zone).askedAt)
	spare := f.idle(now, zone) - f.reserve(zone)
	far := f.view.Zones.RegionOf(zone) != f.view.Self.Region
	switch {
	case far && since < f.tuning.FarInterval:
		return false
	case spare > 0 && since >= f.tuning.ReturnInterval:
		return true
	case far:
		return time.Duration(f.backlog)*f.Pace(now) > farWait
	case f.backlog > 0 || spare < 0:
		return since >= f.tuning.AskInterval
	}
	return since >= renewInterval
}

// Asks reports whether a keeper is to be asked or notices are to be sent now.
func (f *Fleet) Asks(now time.Time) bool {
	if len(f.notices) > 0 {
		return true
	}
	for zone := range f.zones {
		if f.Due(now, zone) {
			return true
		}
	}
	return false
}

// DueZones returns the zones whose keepers are to be asked now, in the order of their names.
func (f *Fleet) DueZones(now time.Time) []string {
	var due []string
	for zone := range f.zones {
		if f.Due(now, zone) {
			due = append(due, zone)
		}
	}
	slices.Sort(due)
	return due
}

func (f *Fleet) idle(now time.Time, zone string) int {
	if !f.shard(zone).live(now) {
		return 0
	}
	idle := 0
	for _, s := range f.order {
		if s.spec.Zone == zone && !s.lease.cold {
			idle += max(0, s.lease.slots-s.inFlight)
		}
	}
	return idle
}

func (f *Fleet) byCost(now time.Time, zone string) []*server {
	var list []*server
	for _, s := range f.order {
		if s.spec.Zone == zone {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *server) int { return int(a.expected(now) - b.expected(now)) })
	return list
}

// Backlog tells how many requests wait at this instance. Demand asks for as many slots.
func (f *Fleet) Backlog(waiting int) { f.backlog = waiting }

// SetInstances tells how many instances are live, in all and in the own region. The shares depend on it.
func (f *Fleet) SetInstances(live, neighbours int) {
	f.view.Instances = max(1, live)
	f.view.Neighbours = max(1, neighbours)
}

// Notice takes in what another instance saw of a server.
func (f *Fleet) Notice(now time.Time, n Notice) {
	s, ok := f.servers[n.Server]
	if !ok {
		return
	}
	another := n.Incarnation != "" && n.Incarnation != s.incarnation
	switch {
	case n.State == Draining && !another:
		s.fire(now, "drain")
	case n.State == Ready && another && s.machine.In("draining"):
		s.incarnation = n.Incarnation
		s.fire(now, "restart")
	case n.State == Cold && (another || n.Incarnation == ""), n.State == Down:
		s.presumeCold(now, n.Incarnation)
	}
}

// Notices returns what this instance saw of servers since the last call. The keeper of the server's shard and the
// peers are to hear of it at once.
func (f *Fleet) Notices() []Notice {
	list := f.notices
	f.notices = nil
	return list
}

// ZoneOf returns the availability zone of a server, or "" when the server is not known.
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
