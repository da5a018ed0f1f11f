package admit

import (
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Ticket identifies a waiting request at one instance.
type Ticket uint64

// Waiter is one waiting request. The payload of type W is what the owner needs to answer it.
type Waiter[W any] struct {
	Ticket     Ticket
	Tenant     string
	Priority   document.Priority
	Deadline   time.Time
	EnqueuedAt time.Time
	// Class groups requests that can use the same servers. When none of them has capacity for one request, Next skips
	// the others of its class. Requests without a class are never skipped.
	Class   string
	Payload W
}

// Pace is the rate at which the instance can serve waiting requests.
type Pace struct {
	// SlotInterval is the expected time between two slots that become free.
	SlotInterval time.Duration
	// ServiceTime is the time that a server takes to answer one request.
	ServiceTime time.Duration
}

// Queue holds the waiting requests of one service. It is owned by one task.
type Queue[W any] struct {
	limits  document.Queue
	tenants []*tenant[W]
	length  int
	// virtualTime is the virtual time of the round-robin: the highest turn that was served.
	virtualTime uint64
}

// tenant holds the waiting requests of one tenant, ordered by priority and then by deadline.
type tenant[W any] struct {
	name    string
	waiters []Waiter[W]
	// nextTurn orders the tenants: the lowest is served next. It grows by one with each request that is served.
	nextTurn uint64
}

// NewQueue returns an empty queue.
func NewQueue[W any](limits document.Queue) *Queue[W] { return &Queue[W]{limits: limits} }

// SetLimits replaces the limits. Requests that already wait stay in the queue.
func (q *Queue[W]) SetLimits(limits document.Queue) { q.limits = limits }

// Len returns the number of waiting requests.
func (q *Queue[W]) Len() int { return q.length }

// Add queues a request or refuses it. A request is refused when it is expected to miss its deadline, when its tenant has
// reached its limit, or when the queue is full. A full queue evicts a request of lower priority, or one of a tenant with
// more waiting requests, instead of refusing; the evicted request is returned.
func (q *Queue[W]) Add(now time.Time, w Waiter[W], pace Pace) (evicted []Waiter[W], err error) {
	wait := q.estimateWait(w, pace)
	if late := now.Add(wait + pace.ServiceTime); late.After(w.Deadline) {
		return nil, refuse(fault.DeadlineExceeded, "allow more time or send the request again later", wait,
			"the request would wait about %v and miss its deadline", wait.Round(time.Millisecond))
	}
	t := q.tenant(w.Tenant)
	if len(t.waiters) >= q.limits.PerTenant {
		return nil, refuse(fault.Overloaded, "send fewer requests at a time", wait,
			"%d requests of this tenant wait already", len(t.waiters))
	}
	if q.length >= q.limits.Length {
		evictFrom, ok := q.evictionCandidate(w, len(t.waiters))
		if !ok {
			q.dropIdleTenants()
			return nil, refuse(fault.Overloaded, "send the request again later", wait, "%d requests wait already", q.length)
		}
		evicted = append(evicted, q.removeAt(evictFrom, len(evictFrom.waiters)-1))
	}
	q.insert(w)
	return evicted, nil
}

func refuse(kind fault.Kind, remedy string, wait time.Duration, format string, args ...any) error {
	return fault.New(kind, remedy, format, args...).MarkNotRun(wait)
}

// EstimatedWait returns the estimated wait of a request.
func (q *Queue[W]) EstimatedWait(w Waiter[W], pace Pace) time.Duration {
	if q.length == 0 {
		return pace.SlotInterval
	}
	return q.estimateWait(w, pace)
}

func (q *Queue[W]) estimateWait(w Waiter[W], pace Pace) time.Duration {
	return time.Duration(q.countAhead(w)+1) * pace.SlotInterval
}

// countAhead counts the requests that are served before w. Because of the round-robin, the requests of another tenant with
// the same priority are ahead only up to one more than those of w's own tenant.
func (q *Queue[W]) countAhead(w Waiter[W]) int {
	own := 0
	for _, t := range q.tenants {
		if t.name == w.Tenant {
			own, _ = slices.BinarySearchFunc(t.waiters, w, compareWaiters[W])
		}
	}
	total := own
	for _, t := range q.tenants {
		if t.name == w.Tenant {
			continue
		}
		higher, same := t.countFromPriority(w.Priority)
		total += higher + min(same, own+1)
	}
	return total
}

// countFromPriority counts separately the requests above the given priority and those of the same priority.
func (t *tenant[W]) countFromPriority(p document.Priority) (higher, same int) {
	for _, w := range t.waiters {
		switch {
		case w.Priority > p:
			higher++
		case w.Priority == p:
			same++
		}
	}
	return higher, same
}

// evictionCandidate returns the tenant whose last request is evicted for w. It is the tenant whose last request has the
// lowest priority and, among those, the tenant with the most requests. It returns false when that request must stay
// because its priority is higher than that of w, or because the priorities are equal and its tenant would be left with
// fewer requests than the tenant of w then has.
func (q *Queue[W]) evictionCandidate(w Waiter[W], ownLength int) (*tenant[W], bool) {
	var worst *tenant[W]
	for _, t := range q.tenants {
		if len(t.waiters) > 0 && (worst == nil || evictedBefore(t, worst)) {
			worst = t
		}
	}
	if worst == nil {
		return nil, false
	}
	last := worst.waiters[len(worst.waiters)-1]
	if last.Priority != w.Priority {
		return worst, last.Priority < w.Priority
	}
	return worst, worst.name != w.Tenant && len(worst.waiters) > ownLength+1
}

// evictedBefore reports whether the last request of tenant a is evicted rather than that of tenant b.
func evictedBefore[W any](a, b *tenant[W]) bool {
	lastA, lastB := a.waiters[len(a.waiters)-1], b.waiters[len(b.waiters)-1]
	if lastA.Priority != lastB.Priority {
		return lastA.Priority < lastB.Priority
	}
	return len(a.waiters) > len(b.waiters)
}

// tenant returns the entry of a tenant and creates it if needed. A new entry starts at the next turn, so that a tenant
// gains no credit while it has no requests and many new tenants cannot starve one that waits.
func (q *Queue[W]) tenant(name string) *tenant[W] {
	for _, t := range q.tenants {
		if t.name == name {
			return t
		}
	}
	t := &tenant[W]{name: name, nextTurn: q.virtualTime + 1}
	q.tenants = append(q.tenants, t)
	return t
}

func (q *Queue[W]) insert(w Waiter[W]) {
	t := q.tenant(w.Tenant)
	i, _ := slices.BinarySearchFunc(t.waiters, w, compareWaiters[W])
	t.waiters = slices.Insert(t.waiters, i, w)
	q.length++
}

// compareWaiters orders requests by descending priority, then by deadline, then by ticket.
func compareWaiters[W any](a, b Waiter[W]) int {
	if a.Priority != b.Priority {
		return int(b.Priority) - int(a.Priority)
	}
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return int(int64(a.Ticket) - int64(b.Ticket))
}

// Next removes and returns the first request that the filter accepts. The order is by priority, then round-robin over the
// tenants, then by deadline.
func (q *Queue[W]) Next(accept func(Waiter[W]) bool) (Waiter[W], bool) {
	var triedClasses []string
	positions := make([]int, len(q.tenants))
	for {
		best := q.firstTenant(positions)
		if best < 0 {
			return Waiter[W]{}, false
		}
		t := q.tenants[best]
		w := t.waiters[positions[best]]
		if !slices.Contains(triedClasses, w.Class) && accept(w) {
			q.dequeue(t, positions[best])
			return w, true
		}
		if w.Class != "" && !slices.Contains(triedClasses, w.Class) {
			triedClasses = append(triedClasses, w.Class)
		}
		positions[best]++
	}
}

// firstTenant returns the index of the tenant whose next request is served first, or -1 when no request is left. Positions
// holds, for each tenant, the index of its next request.
func (q *Queue[W]) firstTenant(positions []int) int {
	best := -1
	for i, t := range q.tenants {
		if positions[i] < len(t.waiters) && (best < 0 || servedBefore(t, positions[i], q.tenants[best], positions[best])) {
			best = i
		}
	}
	return best
}

// servedBefore reports whether request i of tenant a is served before request j of tenant b.
func servedBefore[W any](a *tenant[W], i int, b *tenant[W], j int) bool {
	wa, wb := a.waiters[i], b.waiters[j]
	if wa.Priority != wb.Priority {
		return wa.Priority > wb.Priority
	}
	if a.nextTurn != b.nextTurn {
		return a.nextTurn < b.nextTurn
	}
	return compareWaiters(wa, wb) < 0
}

func (q *Queue[W]) dequeue(t *tenant[W], i int) {
	q.virtualTime = max(q.virtualTime, t.nextTurn)
	t.nextTurn++
	q.removeAt(t, i)
	q.dropIdleTenants()
}

func (q *Queue[W]) removeAt(t *tenant[W], i int) Waiter[W] {
	w := t.waiters[i]
	t.waiters = slices.Delete(t.waiters, i, i+1)
	q.length--
	return w
}

// dropIdleTenants deletes tenants that have no waiting requests and no later turn than a new entry, so that the number of
// entries is bounded by the length of the queue.
func (q *Queue[W]) dropIdleTenants() {
	q.tenants = slices.DeleteFunc(q.tenants,
		func(t *tenant[W]) bool { return len(t.waiters) == 0 && t.nextTurn <= q.virtualTime+1 })
}

// Remove removes a request whose caller has disconnected. It returns false when the request is not in the queue.
func (q *Queue[W]) Remove(ticket Ticket) (Waiter[W], bool) {
	for _, t := range q.tenants {
		i := slices.IndexFunc(t.waiters, func(w Waiter[W]) bool { return w.Ticket == ticket })
		if i >= 0 {
			w := q.removeAt(t, i)
			q.dropIdleTenants()
			return w, true
		}
	}
	return Waiter[W]{}, false
}

// Expire removes and returns the requests that would miss their deadline even if they were sent now. A request that would
// be answered exactly at its deadline is removed too, so that Expire at the time that NextExpiry returned always removes
// one.
func (q *Queue[W]) Expire(now time.Time, pace Pace) []Waiter[W] {
	var late []Waiter[W]
	for _, t := range q.tenants {
		for i := len(t.waiters) - 1; i >= 0; i-- {
			if !now.Add(pace.ServiceTime).Before(t.waiters[i].Deadline) {
				late = append(late, q.removeAt(t, i))
			}
		}
	}
	if len(late) > 0 {
		q.dropIdleTenants()
	}
	return late
}

// NextExpiry returns the time at which Expire removes the next request, and false when the queue is empty.
func (q *Queue[W]) NextExpiry(pace Pace) (time.Time, bool) {
	var first time.Time
	for _, t := range q.tenants {
		for _, w := range t.waiters {
			if first.IsZero() || w.Deadline.Before(first) {
				first = w.Deadline
			}
		}
	}
	return first.Add(-pace.ServiceTime), !first.IsZero()
}
