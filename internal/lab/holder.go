package lab

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

// holder is what an instance remembers of its talk with the keeper of one zone.
type holder struct {
	asking  bool
	askedAt time.Time
}

const (
	// leaseTerm equals the default of $lease_term.
	leaseTerm = 2 * time.Second
	// beatInterval is how often an instance looks whether keepers are to be asked.
	beatInterval = 10 * time.Millisecond
	// askTimeout is when a keeper that does not answer is asked again.
	askTimeout = 100 * time.Millisecond
	// messageBytes stands for the head of a message with its framing, entryBytes for each server in it.
	messageBytes, entryBytes = 80, 16
)

func (e *entry) startHolding() {
	e.shards = map[string]*holder{}
	for _, z := range e.w.d.zones() {
		e.shards[z] = &holder{}
	}
	offset := time.Duration(e.id) * beatInterval / time.Duration(e.w.d.Instances)
	e.w.after(offset, e.beat)
}

// beat gives back idle slots and renews leases.
func (e *entry) beat() {
	e.settle()
	e.w.after(beatInterval, e.beat)
}

// talk asks the keepers that can help and tells them what changed.
func (e *entry) talk() {
	for _, n := range e.fleet.TakeNotices() {
		e.tell(n)
	}
	for _, z := range e.w.d.zones() {
		if e.mustAsk(z) {
			e.ask(z)
		}
	}
}

func (e *entry) mustAsk(zone string) bool {
	h := e.shards[zone]
	if h.asking && e.w.now.Sub(h.askedAt) < askTimeout {
		return false
	}
	return e.fleet.LeaseRequestDue(e.w.now, zone)
}

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

// leased takes the keeper's answer.
func (e *entry) leased(l balance.ShardLease) {
	e.shards[l.Zone].asking = false
	e.w.control(func() { e.fleet.ApplyLease(e.w.now, l) })
	e.settle()
}

// tell sends a notice to the keeper and to all instances: those of other regions may use their share of the server.
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

func (e *entry) heard(n balance.Notice) {
	e.fleet.ApplyNotice(e.w.now, n)
	e.settle()
}
