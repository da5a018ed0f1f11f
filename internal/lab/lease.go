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
func (inst *instance) startLeaseChecks() {
	inst.leaseRequests = map[string]*leaseRequestState{}
	for _, z := range inst.w.deployment.zones() {
		inst.leaseRequests[z] = &leaseRequestState{}
	}
	offset := time.Duration(inst.id) * leaseCheckInterval / time.Duration(inst.w.deployment.Instances)
	inst.w.after(offset, inst.checkLeases)
}

// checkLeases returns idle slots and renews leases at each interval.
func (inst *instance) checkLeases() {
	inst.afterEvent()
	inst.w.after(leaseCheckInterval, inst.checkLeases)
}

// exchangeLeaseMessages sends pending notices and the lease requests that are due.
func (inst *instance) exchangeLeaseMessages() {
	for _, n := range inst.fleet.TakeNotices() {
		inst.sendNotice(n)
	}
	for _, z := range inst.w.deployment.zones() {
		if inst.leaseRequestDue(z) {
			inst.sendLeaseRequest(z)
		}
	}
}

// leaseRequestDue reports whether a lease request to the keeper of a zone is due and none is in flight.
func (inst *instance) leaseRequestDue(zone string) bool {
	state := inst.leaseRequests[zone]
	if state.inFlight && inst.w.now.Sub(state.sentAt) < leaseRequestTimeout {
		return false
	}
	return inst.fleet.LeaseRequestDue(inst.w.now, zone)
}

// sendLeaseRequest sends a lease request to the keeper of a zone.
func (inst *instance) sendLeaseRequest(zone string) {
	state := inst.leaseRequests[zone]
	state.inFlight = true
	state.sentAt = inst.w.now
	sent := inst.w.now
	var d balance.Demand
	inst.w.measureControl(func() { d = inst.fleet.Demand(inst.w.now, zone) })
	inst.w.counters.controlBytes += messageBytes + serverBytes*(len(d.Held)+2*len(d.Reports))
	k := inst.w.keepers[zone]
	inst.w.after(inst.w.networkDelay(inst.place.Zone, zone), func() { k.handleLeaseRequest(inst, d, sent) })
}

// receiveLease applies a lease from a keeper.
func (inst *instance) receiveLease(l balance.ShardLease) {
	inst.leaseRequests[l.Zone].inFlight = false
	inst.w.measureControl(func() { inst.fleet.ApplyLease(inst.w.now, l) })
	inst.afterEvent()
}

// sendNotice sends a notice to the keeper and to all instances: those of other regions may use the server without a lease,
// within their share of it.
func (inst *instance) sendNotice(n balance.Notice) {
	zone := inst.fleet.ZoneOf(n.Server)
	inst.w.counters.controlBytes += messageBytes
	k := inst.w.keepers[zone]
	inst.w.after(inst.w.networkDelay(inst.place.Zone, zone), func() { k.handleNotice(n) })
	for _, other := range inst.w.instances {
		if other == inst || inst.w.policy.RegionNotices && other.place.Region != inst.place.Region {
			continue
		}
		inst.w.counters.controlBytes += messageBytes
		inst.w.after(inst.w.networkDelay(inst.place.Zone, other.place.Zone), func() { other.receiveNotice(n) })
	}
}

// receiveNotice applies a notice from another instance or a keeper.
func (inst *instance) receiveNotice(n balance.Notice) {
	inst.fleet.ApplyNotice(inst.w.now, n)
	inst.afterEvent()
}
