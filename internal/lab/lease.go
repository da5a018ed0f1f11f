package lab

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

// leaseRequestState is the state of the lease requests of an instance to the keeper of one zone.
type leaseRequestState struct {
	inFlight bool
	sentAt   time.Time
}

const (
	// leaseTerm is the default of $lease_term.
	leaseTerm = 2 * time.Second
	// leaseCheckInterval is the interval at which an instance checks whether lease requests are due.
	leaseCheckInterval = 10 * time.Millisecond
	// leaseRequestTimeout is the time after which an unanswered lease request is repeated.
	leaseRequestTimeout = 100 * time.Millisecond
	// messageBytes is the assumed size of a message with framing and without servers, serverBytes that of each server.
	messageBytes, serverBytes = 80, 16
)

// startLeaseChecks starts the periodic lease checks. Their phases differ, so that the instances do not send at the same
// time.
func (e *instance) startLeaseChecks() {
	e.leaseRequests = map[string]*leaseRequestState{}
	for _, z := range e.w.deployment.zones() {
		e.leaseRequests[z] = &leaseRequestState{}
	}
	offset := time.Duration(e.id) * leaseCheckInterval / time.Duration(e.w.deployment.Instances)
	e.w.after(offset, e.checkLeases)
}

// checkLeases returns idle slots and renews leases at each interval.
func (e *instance) checkLeases() {
	e.afterEvent()
	e.w.after(leaseCheckInterval, e.checkLeases)
}

// exchangeLeaseMessages sends pending notices and the lease requests that are due.
func (e *instance) exchangeLeaseMessages() {
	for _, n := range e.fleet.Notices() {
		e.sendNotice(n)
	}
	for _, z := range e.w.deployment.zones() {
		if e.leaseRequestDue(z) {
			e.sendLeaseRequest(z)
		}
	}
}

// leaseRequestDue reports whether a lease request to the keeper of a zone is due and none is in flight.
func (e *instance) leaseRequestDue(zone string) bool {
	state := e.leaseRequests[zone]
	if state.inFlight && e.w.now.Sub(state.sentAt) < leaseRequestTimeout {
		return false
	}
	return e.fleet.Due(e.w.now, zone)
}

// sendLeaseRequest sends a lease request to the keeper of a zone.
func (e *instance) sendLeaseRequest(zone string) {
	state := e.leaseRequests[zone]
	state.inFlight = true
	state.sentAt = e.w.now
	sent := e.w.now
	var d balance.Demand
	e.w.measureControl(func() { d = e.fleet.Demand(e.w.now, zone) })
	e.w.counters.controlBytes += messageBytes + serverBytes*(len(d.Held)+2*len(d.Reports))
	k := e.w.keepers[zone]
	e.w.after(e.w.networkDelay(e.place.Zone, zone), func() { k.handleDemand(e, d, sent) })
}

// receiveLease applies a lease from a keeper.
func (e *instance) receiveLease(l balance.Leased) {
	e.leaseRequests[l.Zone].inFlight = false
	e.w.measureControl(func() { e.fleet.Lease(e.w.now, l) })
	e.afterEvent()
}

// sendNotice sends a notice to the keeper and to all instances: those of other regions may use the server without a lease,
// within their share of it.
func (e *instance) sendNotice(n balance.Notice) {
	zone := e.fleet.ZoneOf(n.Server)
	e.w.counters.controlBytes += messageBytes
	k := e.w.keepers[zone]
	e.w.after(e.w.networkDelay(e.place.Zone, zone), func() { k.handleNotice(n) })
	for _, other := range e.w.instances {
		if other == e || e.w.policy.RegionNotices && other.place.Region != e.place.Region {
			continue
		}
		e.w.counters.controlBytes += messageBytes
		e.w.after(e.w.networkDelay(e.place.Zone, other.place.Zone), func() { other.receiveNotice(n) })
	}
}

// receiveNotice applies a notice from another instance or a keeper.
func (e *instance) receiveNotice(n balance.Notice) {
	e.fleet.Notice(e.w.now, n)
	e.afterEvent()
}
