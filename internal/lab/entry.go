package lab

import (
	"math/rand/v2"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/admit"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/retry"
)

// entry simulates one instance: it makes the decisions of a service task in virtual time.
type entry struct {
	w      *world
	id     int
	place  balance.Place
	rnd    *rand.Rand
	choose chooser
	fleet  *balance.Fleet // nil for baseline policies
	queue  *admit.Queue[*request]
	ticket admit.Ticket
	lost   *retry.Budget
	hedges *retry.Budget
	waits  retry.Waits
	shards map[string]*holder
	ticks  time.Time // time of the next scheduled tick of the fleet
}

func newEntry(w *world, id int) (*entry, error) {
	zones := w.d.zones()
	zone := zones[id%len(zones)]
	e := &entry{
		w: w, id: id, place: balance.Place{Region: w.fleetDoc.RegionOf(zone), Zone: zone},
		rnd: rand.New(rand.NewPCG(w.seed, uint64(id)+1)), queue: admit.NewQueue[*request](w.doc.Queue),
		lost: retry.NewBudget(w.doc.Retry.Budget), hedges: retry.NewBudget(w.doc.Hedge.Budget),
	}
	if w.policy.simple != nil {
		e.choose = w.policy.simple(e)
		return e, nil
	}
	fleet, err := balance.NewTuned(w.charts, w.now, e.view(), w.policy.Tuning)
	if err != nil {
		return nil, err
	}
	e.fleet = fleet
	e.choose = fleetChooser{e: e}
	if w.policy.Keepers {
		e.startHolding()
	}
	return e, nil
}

func (e *entry) view() balance.View {
	return balance.View{
		Service: e.w.doc, Servers: e.w.doc.Servers.List, Zones: e.w.fleetDoc, Self: e.place,
		NoKeepers: !e.w.policy.Keepers, Instances: e.w.d.Instances, Neighbours: e.w.neighbours(e.place.Region),
	}
}

func (e *entry) pace() admit.Pace {
	return admit.Pace{Slot: e.fleet.Pace(e.w.now), Service: e.fleet.Typical()}
}

// arrive handles a new request of a caller.
func (e *entry) arrive(r *request) {
	r.entry = e
	e.lost.Earn()
	e.hedges.Earn()
	e.w.at(r.deadline, func() { e.expire(r) })
	e.seek(r)
	e.settle()
}

// seek sends a request to a server, queues it, or refuses it when no server is eligible or the queue does not accept it.
func (e *entry) seek(r *request) {
	if e.fleet != nil && e.queue.Len() > 0 {
		r.want.Wait = e.queue.Wait(e.waiter(r), e.pace())
	}
	if g, ok := e.choose.pick(r.want); ok {
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
	evicted, err := e.queue.Add(e.w.now, e.waiter(r), e.pace())
	for _, w := range evicted {
		e.refuse(w.Payload)
	}
	if err != nil {
		e.refuse(r)
	}
}

// waiter returns the queue entry of a request, with a new ticket.
func (e *entry) waiter(r *request) admit.Waiter[*request] {
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

func (e *entry) refuse(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	e.w.counted.refused++
}

// send sends a copy of a request to the granted server and schedules the hedge.
func (e *entry) send(r *request, g balance.Grant) {
	c := &copied{r: r, grant: g, sent: e.w.now}
	r.open = append(r.open, c)
	s := e.w.byName[g.Server]
	e.w.after(e.w.hop(e.place.Zone, s.zone), func() { s.arrive(c) })
	if wait, ok := e.hedgeAfter(r); ok {
		e.w.after(wait, func() { e.hedge(r) })
	}
}

// hedgeAfter returns the delay after which the request is hedged, if it may be hedged.
func (e *entry) hedgeAfter(r *request) (time.Duration, bool) {
	if !e.w.policy.Hedge || !r.idempotent || r.resends > 0 || len(r.open) > 1 {
		return 0, false
	}
	return e.waits.Percentile(e.w.doc.Hedge.Percentile)
}

// hedge sends a second copy of a request to another server, within the hedge budget.
func (e *entry) hedge(r *request) {
	if r.finished || len(r.open) != 1 || !e.hedges.Spend() {
		return
	}
	want := r.want
	want.Avoid = append([]string{r.open[0].grant.Server}, want.Avoid...)
	g, ok := e.choose.pick(want)
	if !ok {
		e.hedges.Refund()
		return
	}
	e.w.counted.hedges++
	e.send(r, g)
}

// answer handles the result of a copy.
func (e *entry) answer(c *copied, result balance.Result) {
	if c.cancelled {
		return
	}
	r := c.r
	result.Latency = e.w.now.Sub(c.sent)
	e.choose.done(c.grant, result)
	r.drop(c)
	switch {
	case r.finished:
	case result.Fate == call.Answered && !result.Failed:
		e.waits.Add(result.Latency)
		e.succeed(r)
	case result.Fate == call.Answered:
		e.fail(r)
	case len(r.open) == 0:
		e.resend(r, c, result.Fate)
	}
	e.settle()
}

// drop removes a copy from the copies in flight.
func (r *request) drop(c *copied) {
	for i := range r.open {
		if r.open[i] == c {
			r.open = append(r.open[:i], r.open[i+1:]...)
			return
		}
	}
}

func (e *entry) succeed(r *request) {
	r.finished = true
	e.cancel(r)
	e.w.counted.succeed(e.w, r)
}

func (e *entry) fail(r *request) {
	r.finished = true
	e.cancel(r)
	e.w.counted.failed++
}

// resend sends a request again, within the retry budget, if it has not run or is idempotent. Otherwise the request fails.
func (e *entry) resend(r *request, c *copied, fate call.Fate) {
	allowed := fate.SurelyNotRun() || r.idempotent
	if !allowed || r.resends >= e.w.doc.Retry.Attempts || !e.lost.Spend() {
		e.fail(r)
		return
	}
	r.resends++
	r.want.Avoid = append(r.want.Avoid, c.grant.Server)
	e.seek(r)
}

// cancel cancels the copies in flight.
func (e *entry) cancel(r *request) {
	for _, c := range r.open {
		c.cancelled = true
		e.choose.done(c.grant, balance.Result{Fate: call.MaybeRun, Failed: true, Cancelled: true})
		s := e.w.byName[c.grant.Server]
		e.w.after(e.w.hop(e.place.Zone, s.zone), func() { s.leave(c) })
	}
	r.open = nil
}

// expire ends a request at its deadline.
func (e *entry) expire(r *request) {
	if r.finished {
		return
	}
	if _, waited := e.queue.Remove(r.ticket); waited {
		e.refuse(r)
		return
	}
	r.finished = true
	e.cancel(r)
	e.w.counted.late(e.w, r)
	e.settle()
}

// settle runs after every event: it serves queued requests, exchanges lease messages and schedules the next tick.
func (e *entry) settle() {
	if e.fleet == nil {
		return
	}
	e.serveWaiting()
	e.fleet.Backlog(e.queue.Len())
	if e.w.policy.Keepers {
		e.talk()
	}
	e.armTick()
}

// serveWaiting refuses expired queued requests and sends the others while servers have free capacity.
func (e *entry) serveWaiting() {
	if e.queue.Len() == 0 {
		return
	}
	for _, w := range e.queue.Expire(e.w.now, e.pace()) {
		e.refuse(w.Payload)
	}
	for {
		if _, ok := e.queue.Next(e.sendWaiting); !ok {
			return
		}
	}
}

// sendWaiting sends a queued request if a server is available.
func (e *entry) sendWaiting(w admit.Waiter[*request]) bool {
	r := w.Payload
	r.want.Wait = e.w.now.Sub(w.Since) + e.fleet.Pace(e.w.now)
	g, ok := e.choose.pick(r.want)
	if ok {
		e.send(r, g)
	}
	return ok
}

// armTick schedules the next tick of the fleet, unless an earlier one is scheduled.
func (e *entry) armTick() {
	due, ok := e.fleet.Deadline(e.w.now)
	if !ok || !e.ticks.IsZero() && !due.Before(e.ticks) && e.ticks.After(e.w.now) {
		return
	}
	e.ticks = due
	e.w.at(due, func() {
		e.fleet.Tick(e.w.now)
		e.settle()
	})
}
