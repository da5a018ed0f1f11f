package lab

import (
	"math/rand/v2"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/admit"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/retry"
)

// instance simulates one instance: it makes the decisions of a service task in virtual time.
type instance struct {
	w             *world
	id            int
	place         balance.Location
	random        *rand.Rand
	chooser       chooser
	fleet         *balance.Fleet // nil for baseline policies
	queue         *admit.Queue[*request]
	ticket        admit.Ticket
	resendBudget  *retry.Budget
	hedgeBudget   *retry.Budget
	latencies     retry.LatencyHistogram
	leaseRequests map[string]*leaseRequestState
	nextTick      time.Time // time of the next scheduled tick of the fleet
}

func newInstance(w *world, id int) (*instance, error) {
	zones := w.deployment.zones()
	zone := zones[id%len(zones)]
	inst := &instance{
		w: w, id: id, place: balance.Location{Region: w.fleetDoc.RegionOf(zone), Zone: zone},
		random: rand.New(rand.NewPCG(w.seed, uint64(id)+1)), queue: admit.NewQueue[*request](w.serviceDoc.Queue),
		resendBudget: retry.NewBudget(w.serviceDoc.Retry.Budget), hedgeBudget: retry.NewBudget(w.serviceDoc.Hedge.Budget),
	}
	if w.policy.newChooser != nil {
		inst.chooser = w.policy.newChooser(inst)
		return inst, nil
	}
	fleet, err := balance.NewTuned(w.charts, w.now, inst.view(), w.policy.Tuning)
	if err != nil {
		return nil, err
	}
	inst.fleet = fleet
	inst.chooser = fleetChooser{inst: inst}
	if w.policy.Keepers {
		inst.startLeaseChecks()
	}
	return inst, nil
}

func (inst *instance) view() balance.FleetConfig {
	return balance.FleetConfig{
		Service: inst.w.serviceDoc, Servers: inst.w.serviceDoc.Servers.List, Zones: inst.w.fleetDoc, Self: inst.place,
		NoKeepers: !inst.w.policy.Keepers, Instances: inst.w.deployment.Instances, RegionInstances: inst.w.instancesInRegion(inst.place.Region),
	}
}

func (inst *instance) queuePace() admit.Pace {
	return admit.Pace{SlotInterval: inst.fleet.SlotInterval(inst.w.now), ServiceTime: inst.fleet.TypicalLatency()}
}

// receive handles a new request of a caller.
func (inst *instance) receive(r *request) {
	r.instance = inst
	inst.resendBudget.AddRequest()
	inst.hedgeBudget.AddRequest()
	inst.w.at(r.deadline, func() { inst.expire(r) })
	inst.dispatch(r)
	inst.afterEvent()
}

// dispatch sends a request to a server, queues it, or refuses it when no server is eligible or the queue does not accept it.
func (inst *instance) dispatch(r *request) {
	if inst.fleet != nil && inst.queue.Len() > 0 {
		r.want.ExpectedWait = inst.queue.EstimatedWait(inst.waiter(r), inst.queuePace())
	}
	if g, ok := inst.chooser.pick(r.want); ok {
		inst.send(r, g)
		return
	}
	if inst.fleet == nil {
		inst.refuse(r)
		return
	}
	if !inst.fleet.CanServe(inst.w.now, r.want) {
		r.want.Avoid = nil
	}
	if !inst.fleet.CanServe(inst.w.now, r.want) {
		inst.refuse(r)
		return
	}
	evicted, err := inst.queue.Add(inst.w.now, inst.waiter(r), inst.queuePace())
	for _, w := range evicted {
		inst.refuse(w.Payload)
	}
	if err != nil {
		inst.refuse(r)
	}
}

// waiter returns the queue entry of a request, with a new ticket.
func (inst *instance) waiter(r *request) admit.Waiter[*request] {
	inst.ticket++
	r.ticket = inst.ticket
	// Requests that may use the same servers have the same class. One that avoids servers has none.
	class := "home"
	if r.want.CrossRegion {
		class = "any"
	}
	if len(r.want.Avoid) > 0 {
		class = ""
	}
	return admit.Waiter[*request]{
		Ticket: r.ticket, Tenant: r.tenant, Priority: r.priority, Deadline: r.deadline, EnqueuedAt: inst.w.now, Class: class, Payload: r,
	}
}

func (inst *instance) refuse(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	inst.w.counters.refused++
}

// send sends a copy of a request to the granted server and schedules the hedge.
func (inst *instance) send(r *request, g balance.Grant) {
	c := &requestCopy{request: r, grant: g, sentAt: inst.w.now}
	r.copies = append(r.copies, c)
	s := inst.w.byName[g.Server]
	inst.w.after(inst.w.networkDelay(inst.place.Zone, s.zone), func() { s.arrive(c) })
	if wait, ok := inst.hedgeDelay(r); ok {
		inst.w.after(wait, func() { inst.hedge(r) })
	}
}

// hedgeDelay returns the delay after which the request is hedged, if it may be hedged.
func (inst *instance) hedgeDelay(r *request) (time.Duration, bool) {
	if !inst.w.policy.Hedge || !r.idempotent || r.resends > 0 || len(r.copies) > 1 {
		return 0, false
	}
	return inst.latencies.Percentile(inst.w.serviceDoc.Hedge.Percentile)
}

// hedge sends a second copy of a request to another server, within the hedge budget.
func (inst *instance) hedge(r *request) {
	if r.finished || len(r.copies) != 1 || !inst.hedgeBudget.Spend() {
		return
	}
	want := r.want
	want.Avoid = append([]string{r.copies[0].grant.Server}, want.Avoid...)
	g, ok := inst.chooser.pick(want)
	if !ok {
		inst.hedgeBudget.Refund()
		return
	}
	inst.w.counters.hedges++
	inst.send(r, g)
}

// handleResult handles the result of a copy.
func (inst *instance) handleResult(c *requestCopy, result balance.Result) {
	if c.cancelled {
		return
	}
	r := c.request
	result.Latency = inst.w.now.Sub(c.sentAt)
	inst.chooser.done(c.grant, result)
	r.removeCopy(c)
	switch {
	case r.finished:
	case result.Fate == call.Answered && !result.Failed:
		inst.latencies.Add(result.Latency)
		inst.succeed(r)
	case result.Fate == call.Answered:
		inst.fail(r)
	case len(r.copies) == 0:
		inst.resend(r, c, result.Fate)
	}
	inst.afterEvent()
}

// removeCopy removes a copy from the copies in flight.
func (r *request) removeCopy(c *requestCopy) {
	for i := range r.copies {
		if r.copies[i] == c {
			r.copies = append(r.copies[:i], r.copies[i+1:]...)
			return
		}
	}
}

func (inst *instance) succeed(r *request) {
	r.finished = true
	inst.cancel(r)
	inst.w.counters.countAnswered(inst.w, r)
}

func (inst *instance) fail(r *request) {
	r.finished = true
	inst.cancel(r)
	inst.w.counters.failed++
}

// resend sends a request again, within the resend budget, if it has not run or is idempotent. Otherwise the request fails.
func (inst *instance) resend(r *request, c *requestCopy, fate call.Fate) {
	allowed := fate.SurelyNotRun() || r.idempotent
	if !allowed || r.resends >= inst.w.serviceDoc.Retry.Attempts || !inst.resendBudget.Spend() {
		inst.fail(r)
		return
	}
	r.resends++
	r.want.Avoid = append(r.want.Avoid, c.grant.Server)
	inst.dispatch(r)
}

// cancel cancels the copies in flight.
func (inst *instance) cancel(r *request) {
	for _, c := range r.copies {
		c.cancelled = true
		inst.chooser.done(c.grant, balance.Result{Fate: call.MaybeRun, Failed: true, Cancelled: true})
		s := inst.w.byName[c.grant.Server]
		inst.w.after(inst.w.networkDelay(inst.place.Zone, s.zone), func() { s.remove(c) })
	}
	r.copies = nil
}

// expire ends a request at its deadline.
func (inst *instance) expire(r *request) {
	if r.finished {
		return
	}
	if _, waited := inst.queue.Remove(r.ticket); waited {
		inst.refuse(r)
		return
	}
	r.finished = true
	inst.cancel(r)
	inst.w.counters.countExpired(inst.w, r)
	inst.afterEvent()
}

// afterEvent runs after every event: it serves queued requests, exchanges lease messages and schedules the next tick.
func (inst *instance) afterEvent() {
	if inst.fleet == nil {
		return
	}
	inst.serveQueue()
	inst.fleet.SetBacklog(inst.queue.Len())
	if inst.w.policy.Keepers {
		inst.exchangeLeaseMessages()
	}
	inst.scheduleTick()
}

// serveQueue refuses expired queued requests and sends the others while servers have free capacity.
func (inst *instance) serveQueue() {
	if inst.queue.Len() == 0 {
		return
	}
	for _, w := range inst.queue.Expire(inst.w.now, inst.queuePace()) {
		inst.refuse(w.Payload)
	}
	for {
		if _, ok := inst.queue.Next(inst.sendQueued); !ok {
			return
		}
	}
}

// sendQueued sends a queued request if a server is available.
func (inst *instance) sendQueued(w admit.Waiter[*request]) bool {
	r := w.Payload
	r.want.ExpectedWait = inst.w.now.Sub(w.EnqueuedAt) + inst.fleet.SlotInterval(inst.w.now)
	g, ok := inst.chooser.pick(r.want)
	if ok {
		inst.send(r, g)
	}
	return ok
}

// scheduleTick schedules the next tick of the fleet, unless an earlier one is scheduled.
func (inst *instance) scheduleTick() {
	due, ok := inst.fleet.Deadline(inst.w.now)
	if !ok || !inst.nextTick.IsZero() && !due.Before(inst.nextTick) && inst.nextTick.After(inst.w.now) {
		return
	}
	inst.nextTick = due
	inst.w.at(due, func() {
		inst.fleet.Tick(inst.w.now)
		inst.afterEvent()
	})
}
