package lab

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

// holder is the state of the lease requests of an instance to the keeper of one zone.
type holder struct {
	asking  bool
	askedAt time.Time
}

const (
	// leaseTerm is the default of $lease_term.
	leaseTerm = 2 * time.Second
	// beatInterval is the interval at which an instance checks whether lease requests are due.
	beatInterval = 10 * time.Millisecond
	// askTimeout is the time after which an unanswered lease request is repeated.
	askTimeout = 100 * time.Millisecond
	// messageBytes is the assumed size of a message with framing and without servers, entryBytes that of each server.
	messageBytes, entryBytes = 80, 16
)

// startHolding starts the periodic lease checks. Their phases differ, so that the instances do not send at the same time.
func (e *entry) startHolding() {
	e.shards = map[string]*holder{}
	for _, z := range e.w.d.zones() {
		e.shards[z] = &holder{}
	}
	offset := time.Duration(e.id) * beatInterval / time.Duration(e.w.d.Instances)
	e.w.after(offset, e.beat)
}

// beat returns idle slots and renews leases at each interval.
func (e *entry) beat() {
	e.settle()
	e.w.after(beatInterval, e.beat)
}

// talk sends pending notices and the lease requests that are due.
func (e *entry) talk() {
	for _, n := range e.fleet.Notices() {
		e.tell(n)
	}
	for _, z := range e.w.d.zones() {
		if e.mustAsk(z) {
			e.ask(z)
		}
	}
}

// mustAsk reports whether a lease request to the keeper of a zone is due and none is in flight.
func (e *entry) mustAsk(zone string) bool {
	h := e.shards[zone]
	if h.asking && e.w.now.Sub(h.askedAt) < askTimeout {
		return false
	}
	return e.fleet.Due(e.w.now, zone)
}

// ask sends a lease request to the keeper of a zone.
func (e *entry) ask(zone string) {
	h := e.shards[zone]
	h.asking = true
	h.askedAt = e.w.now
	sent := e.w.now
	var d balance.Demand
	e.w.control(func() { d = e.fleet.Demand(e.w.now, zone) })
	e.w.counted.bytes += messageBytes + entryBytes*(len(d.Held)+2*len(d.Reports))
	k := e.w.keepers[zone]
	e.w.after(e.w.hop(e.place.Zone, zone), func() { k.demand(e, d, sent) })
}

// leased applies a lease from a keeper.
func (e *entry) leased(l balance.Leased) {
	e.shards[l.Zone].asking = false
	e.w.control(func() { e.fleet.Lease(e.w.now, l) })
	e.settle()
}

// tell sends a notice to the keeper and to all instances: those of other regions may use the server without a lease, within
// their share of it.
func (e *entry) tell(n balance.Notice) {
	zone := e.fleet.ZoneOf(n.Server)
	e.w.counted.bytes += messageBytes
	k := e.w.keepers[zone]
	e.w.after(e.w.hop(e.place.Zone, zone), func() { k.notice(n) })
	for _, other := range e.w.entries {
		if other == e || e.w.policy.RegionNotices && other.place.Region != e.place.Region {
			continue
		}
		e.w.counted.bytes += messageBytes
		e.w.after(e.w.hop(e.place.Zone, other.place.Zone), func() { other.heard(n) })
	}
}

// heard applies a notice from another instance or a keeper.
func (e *entry) heard(n balance.Notice) {
	e.fleet.Notice(e.w.now, n)
	e.settle()
}
