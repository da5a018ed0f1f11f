package lab

import "time"

// Scenario describes the faults that are injected into a run.
type Scenario struct {
	Name string
	// scheduleFaults schedules the faults of a run; nil for none.
	scheduleFaults func(w *world)
	// slotsOut returns the number of slots out of service at a time, which reduces the attainable goodput.
	slotsOut func(w *world, at time.Duration) int
}

const (
	faultStart = 8 * time.Second
	faultEnd   = 16 * time.Second
	// slowFactor multiplies the service times of the slow server.
	slowFactor = 5
	// downTime is the time that a restarting server refuses connections.
	downTime = 200 * time.Millisecond
	// reachabilityDelay is the time that callers still reach the instances of a zone after it was taken out, and the
	// time after its return until they reach them again.
	reachabilityDelay = time.Second
	// takeoverTime is the time until a new keeper grants slots: session term, fencing margin and the longest lease.
	takeoverTime = 13 * time.Second
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady"},
		{Name: "slow-server", scheduleFaults: slowServer, slotsOut: oneServerOut},
		{Name: "fail-fast", scheduleFaults: failFast, slotsOut: oneServerOut},
		{Name: "cold-restart", scheduleFaults: coldRestart, slotsOut: oneServerOut},
		{Name: "zone-out-in", scheduleFaults: zoneOutIn, slotsOut: zoneSlotsOut},
		{Name: "object-api-down", scheduleFaults: objectAPIDown, slotsOut: oneServerOut},
		{Name: "keeper-lost", scheduleFaults: keeperLost},
	}
}

func oneServerOut(w *world, at time.Duration) int {
	if at < faultStart {
		return 0
	}
	return w.deployment.Slots
}

func slowServer(w *world) {
	w.after(faultStart, func() { w.servers[0].slowdown = slowFactor })
}

func failFast(w *world) {
	w.after(faultStart, func() { w.servers[0].failFast = true })
	w.after(faultEnd, func() { w.servers[0].failFast = false })
}

func coldRestart(w *world) {
	w.after(faultStart, func() { w.servers[0].restart(downTime) })
}

// zoneOutIn takes the first zone out and brings it back in.
func zoneOutIn(w *world) {
	zone := w.deployment.zones()[0]
	w.after(faultStart, func() { w.setZonesOut(zone) })
	w.after(faultStart+reachabilityDelay, func() { w.setReachable(zone, false) })
	w.after(faultEnd, func() { w.setZonesOut() })
	w.after(faultEnd+reachabilityDelay, func() { w.setReachable(zone, true) })
}

// setReachable sets whether callers reach the instances of a zone.
func (w *world) setReachable(zone string, reachable bool) {
	for _, inst := range w.instances {
		if inst.place.Zone == zone {
			w.unreachable[inst.id] = !reachable
		}
	}
}

func zoneSlotsOut(w *world, at time.Duration) int {
	if at < faultStart || at > faultEnd+zoneReturnTime {
		return 0
	}
	slots := 0
	for _, s := range w.servers {
		if s.zone == w.deployment.zones()[0] {
			slots += s.slots
		}
	}
	return slots
}

// zoneReturnTime is the time after the return of a zone in which its slots do not count as capacity. It is the default
// of $zone_return.
const zoneReturnTime = 10 * time.Second

// objectAPIDown stops the keeper of the first zone while no other can take over, and restarts a server of the third zone.
func objectAPIDown(w *world) {
	if k := w.keepers[w.deployment.zones()[0]]; k != nil {
		w.after(faultStart, func() { k.fail(runLength) })
	}
	w.after(faultStart+time.Second, func() { w.servers[2].restart(downTime) })
}

func keeperLost(w *world) {
	if k := w.keepers[w.deployment.zones()[0]]; k != nil {
		w.after(faultStart, func() { k.fail(takeoverTime) })
	}
}
