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
	place         balance.Place
	random        *rand.Rand
	chooser       chooser
	fleet         *balance.Fleet // nil for baseline policies
	queue         *admit.Queue[*request]
	ticket        admit.Ticket
	resendBudget  *retry.Budget
	hedgeBudget   *retry.Budget
	latencies     retry.Waits
	leaseRequests map[string]*leaseRequestState
	nextTick      time.Time // time of the next scheduled tick of the fleet
}

func newInstance(w *world, id int) (*instance, error) {
	zones := w.deployment.zones()
	zone := zones[id%len(zones)]
	e := &instance{
		w: w, id: id, place: balance.Place{Region: w.fleetDoc.RegionOf(zone), Zone: zone},
		random: rand.New(rand.NewPCG(w.seed, uint64(id)+1)), queue: admit.NewQueue[*request](w.serviceDoc.Queue),
		resendBudget: retry.NewBudget(w.serviceDoc.Retry.Budget), hedgeBudget: retry.NewBudget(w.serviceDoc.Hedge.Budget),
	}
	if w.policy.baseline != nil {
		e.chooser = w.policy.baseline(e)
		return e, nil
	}
	fleet, err := balance.NewTuned(w.charts, w.now, e.view(), w.policy.Tuning)
	if err != nil {
		return nil, err
	}
	e.fleet = fleet
	e.chooser = balanceChooser{e: e}
	if w.policy.Keepers {
		e.startLeaseChecks()
	}
	return e, nil
}

func (e *instance) view() balance.View {
	return balance.View{
		Service: e.w.serviceDoc, Servers: e.w.serviceDoc.Servers.List, Zones: e.w.fleetDoc, Self: e.place,
		NoKeepers: !e.w.policy.Keepers, Instances: e.w.deployment.Instances, Neighbours: e.w.instancesInRegion(e.place.Region),
	}
}

func (e *instance) queuePace() admit.Pace {
	return admit.Pace{Slot: e.fleet.Pace(e.w.now), Service: e.fleet.Typical()}
}

// receive handles a new request of a caller.
func (e *instance) receive(r *request) {
	r.instance = e
	e.resendBudget.Earn()
	e.hedgeBudget.Earn()
	e.w.at(r.deadline, func() { e.expire(r) })
	e.dispatch(r)
	e.afterEvent()
}

// dispatch sends a request to a server, queues it, or refuses it when no server is eligible or the queue does not accept it.
func (e *instance) dispatch(r *request) {
	if e.fleet != nil && e.queue.Len() > 0 {
		r.want.Wait = e.queue.Wait(e.waiter(r), e.queuePace())
	}
	if g, ok := e.chooser.pick(r.want); ok {
		e.send(r, g)
		return
	}
	if e.fleet == nil {
		e.refuse(r)
		return
	}
	if !e.fleet.Possible(e.w.now, r.want) {
		r.want.Avoid = nil
	}
	if !e.fleet.Possible(e.w.now, r.want) {
		e.refuse(r)
		return
	}
	evicted, err := e.queue.Add(e.w.now, e.waiter(r), e.queuePace())
	for _, w := range evicted {
		e.refuse(w.Payload)
	}
	if err != nil {
		e.refuse(r)
	}
}

// waiter returns the queue entry of a request, with a new ticket.
func (e *instance) waiter(r *request) admit.Waiter[*request] {
	e.ticket++
	r.ticket = e.ticket
	class := "home"
	if r.want.CrossRegion {
		class = "any"
	}
	if len(r.want.Avoid) > 0 {
		class = ""
	}
	return admit.Waiter[*request]{
		Ticket: r.ticket, Tenant: r.tenant, Priority: r.priority, Deadline: r.deadline, Since: e.w.now, Class: class, Payload: r,
	}
}

func (e *instance) refuse(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	e.w.counters.refused++
}

// send sends a copy of a request to the granted server and schedules the hedge.
func (e *instance) send(r *request, g balance.Grant) {
	c := &requestCopy{request: r, grant: g, sentAt: e.w.now}
	r.copies = append(r.copies, c)
	s := e.w.byName[g.Server]
	e.w.after(e.w.networkDelay(e.place.Zone, s.zone), func() { s.arrive(c) })
	if wait, ok := e.hedgeDelay(r); ok {
		e.w.after(wait, func() { e.hedge(r) })
	}
}

// hedgeDelay returns the delay after which the request is hedged, if it may be hedged.
func (e *instance) hedgeDelay(r *request) (time.Duration, bool) {
	if !e.w.policy.Hedge || !r.idempotent || r.resends > 0 || len(r.copies) > 1 {
		return 0, false
	}
	return e.latencies.Percentile(e.w.serviceDoc.Hedge.Percentile)
}

// hedge sends a second copy of a request to another server, within the hedge budget.
func (e *instance) hedge(r *request) {
	if r.finished || len(r.copies) != 1 || !e.hedgeBudget.Spend() {
		return
	}
	want := r.want
	want.Avoid = append([]string{r.copies[0].grant.Server}, want.Avoid...)
	g, ok := e.chooser.pick(want)
	if !ok {
		e.hedgeBudget.Refund()
		return
	}
	e.w.counters.hedges++
	e.send(r, g)
}

// handleResult handles the result of a copy.
func (e *instance) handleResult(c *requestCopy, result balance.Result) {
	if c.cancelled {
		return
	}
	r := c.request
	result.Latency = e.w.now.Sub(c.sentAt)
	e.chooser.done(c.grant, result)
	r.removeCopy(c)
	switch {
	case r.finished:
	case result.Fate == call.Answered && !result.Failed:
		e.latencies.Add(result.Latency)
		e.succeed(r)
	case result.Fate == call.Answered:
		e.fail(r)
	case len(r.copies) == 0:
		e.resend(r, c, result.Fate)
	}
	e.afterEvent()
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

func (e *instance) succeed(r *request) {
	r.finished = true
	e.cancel(r)
	e.w.counters.countAnswered(e.w, r)
}

func (e *instance) fail(r *request) {
	r.finished = true
	e.cancel(r)
	e.w.counters.failed++
}

// resend sends a request again, within the resend budget, if it has not run or is idempotent. Otherwise the request fails.
func (e *instance) resend(r *request, c *requestCopy, fate call.Fate) {
	allowed := fate.SurelyNotRun() || r.idempotent
	if !allowed || r.resends >= e.w.serviceDoc.Retry.Attempts || !e.resendBudget.Spend() {
		e.fail(r)
		return
	}
	r.resends++
	r.want.Avoid = append(r.want.Avoid, c.grant.Server)
	e.dispatch(r)
}

// cancel cancels the copies in flight.
func (e *instance) cancel(r *request) {
	for _, c := range r.copies {
		c.cancelled = true
		e.chooser.done(c.grant, balance.Result{Fate: call.MaybeRun, Failed: true, Cancelled: true})
		s := e.w.byName[c.grant.Server]
		e.w.after(e.w.networkDelay(e.place.Zone, s.zone), func() { s.leave(c) })
	}
	r.copies = nil
}

// expire ends a request at its deadline.
func (e *instance) expire(r *request) {
	if r.finished {
		return
	}
	if _, waited := e.queue.Remove(r.ticket); waited {
		e.refuse(r)
		return
	}
	r.finished = true
	e.cancel(r)
	e.w.counters.countExpired(e.w, r)
	e.afterEvent()
}

// afterEvent runs after every event: it serves queued requests, exchanges lease messages and schedules the next tick.
func (e *instance) afterEvent() {
	if e.fleet == nil {
		return
	}
	e.serveQueue()
	e.fleet.Backlog(e.queue.Len())
	if e.w.policy.Keepers {
		e.exchangeLeaseMessages()
	}
	e.scheduleTick()
}

// serveQueue refuses expired queued requests and sends the others while servers have free capacity.
func (e *instance) serveQueue() {
	if e.queue.Len() == 0 {
		return
	}
	for _, w := range e.queue.Expire(e.w.now, e.queuePace()) {
		e.refuse(w.Payload)
	}
	for {
		if _, ok := e.queue.Next(e.sendQueued); !ok {
			return
		}
	}
}

// sendQueued sends a queued request if a server is available.
func (e *instance) sendQueued(w admit.Waiter[*request]) bool {
	r := w.Payload
	r.want.Wait = e.w.now.Sub(w.Since) + e.fleet.Pace(e.w.now)
	g, ok := e.chooser.pick(r.want)
	if ok {
		e.send(r, g)
	}
	return ok
}

// scheduleTick schedules the next tick of the fleet, unless an earlier one is scheduled.
func (e *instance) scheduleTick() {
	due, ok := e.fleet.Deadline(e.w.now)
	if !ok || !e.nextTick.IsZero() && !due.Before(e.nextTick) && e.nextTick.After(e.w.now) {
		return
	}
	e.nextTick = due
	e.w.at(due, func() {
		e.fleet.Tick(e.w.now)
		e.afterEvent()
	})
}
