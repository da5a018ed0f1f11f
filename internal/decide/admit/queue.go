package admit

import (
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Ticket identifies a waiting request at one instance.
type Ticket uint64

// Waiter is one waiting request. W is what the owner needs to answer it.
type Waiter[W any] struct {
	Ticket   Ticket
	Tenant   string
	Priority document.Priority
	Deadline time.Time
	Since    time.Time
	// Class groups requests that can use the same servers: when one finds no room, the others of its class are not
	// tried. Requests without a class are always tried.
	Class   string
	Payload W
}

// Pace is how fast the instance can serve what waits.
type Pace struct {
	// Slot is the expected time between two slots that become free.
	Slot time.Duration
	// Service is the time that a server takes for one request.
	Service time.Duration
}

// Queue holds waiting requests. It is owned by one task.
type Queue[W any] struct {
	limits  document.Queue
	tenants []*tenant[W]
	length  int
	// clock is the turn of the tenant that was served last.
	clock uint64
}

// tenant holds the waiting requests of one tenant, by priority and then by deadline.
type tenant[W any] struct {
	name    string
	waiters []Waiter[W]
	// turn orders tenants: it grows with each request that is served.
	turn uint64
}

// NewQueue returns an empty queue.
func NewQueue[W any](limits document.Queue) *Queue[W] { return &Queue[W]{limits: limits} }

// SetLimits brings new limits into force. Requests that wait already stay.
func (q *Queue[W]) SetLimits(limits document.Queue) { q.limits = limits }

// Len returns the number of waiting requests.
func (q *Queue[W]) Len() int { return q.length }

// Add puts a request in its place or refuses it. It is refused when it could not be answered before its deadline, or
// when the tenant's part of the queue or the whole queue is full. A full queue gives up a request of lower priority or
// of the tenant that fills it; that request is returned as evicted.
func (q *Queue[W]) Add(now time.Time, w Waiter[W], pace Pace) (evicted []Waiter[W], err error) {
	wait := q.wait(w, pace)
	if late := now.Add(wait + pace.Service); late.After(w.Deadline) {
		return nil, refuse(fault.DeadlineExceeded, "allow more time or send the request again later", wait,
			"the request would wait about %v and miss its deadline", wait.Round(time.Millisecond))
	}
	t := q.tenant(w.Tenant)
	if len(t.waiters) >= q.limits.PerTenant {
		return nil, refuse(fault.Overloaded, "send fewer requests at a time", wait, "%d requests of this tenant wait already", len(t.waiters))
	}
	if q.length >= q.limits.Length {
		victim, ok := q.victim(w, len(t.waiters))
		if !ok {
			q.tidy()
			return nil, refuse(fault.Overloaded, "send the request again later", wait, "%d requests wait already", q.length)
		}
		evicted = append(evicted, q.take(victim, len(victim.waiters)-1))
	}
	q.insert(w)
	return evicted, nil
}

func refuse(kind fault.Kind, remedy string, wait time.Duration, format string, args ...any) error {
	return fault.New(kind, remedy, format, args...).Refused(wait)
}

// Wait returns how long a request would wait.
func (q *Queue[W]) Wait(w Waiter[W], pace Pace) time.Duration {
	if q.length == 0 {
		return pace.Slot
	}
	return q.wait(w, pace)
}

func (q *Queue[W]) wait(w Waiter[W], pace Pace) time.Duration {
	return time.Duration(q.ahead(w)+1) * pace.Slot
}

// ahead counts the requests that are served before w. Tenants take turns, so another tenant is ahead with at most one
// request more than the own tenant.
func (q *Queue[W]) ahead(w Waiter[W]) int {
	own := 0
	for _, t := range q.tenants {
		if t.name == w.Tenant {
			own, _ = slices.BinarySearchFunc(t.waiters, w, before[W])
		}
	}
	total := own
	for _, t := range q.tenants {
		if t.name == w.Tenant {
			continue
		}
		higher, same := t.atLeast(w.Priority)
		total += higher + min(same, own+1)
	}
	return total
}

// atLeast counts the requests above a priority and those of the priority.
func (t *tenant[W]) atLeast(p document.Priority) (higher, same int) {
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

// victim returns the tenant that gives up its last request for w: the one with the lowest priority there, and among
// those the one with the most requests, if w stands above it.
func (q *Queue[W]) victim(w Waiter[W], own int) (*tenant[W], bool) {
	var worst *tenant[W]
	for _, t := range q.tenants {
		if len(t.waiters) > 0 && (worst == nil || worse(t, worst)) {
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
	return worst, worst.name != w.Tenant && len(worst.waiters) > own+1
}

func worse[W any](a, b *tenant[W]) bool {
	lastA, lastB := a.waiters[len(a.waiters)-1], b.waiters[len(b.waiters)-1]
	if lastA.Priority != lastB.Priority {
		return lastA.Priority < lastB.Priority
	}
	return len(a.waiters) > len(b.waiters)
}

// tenant returns the entry of a tenant. A tenant that comes back starts at the next turn: it saves up nothing, and many
// new tenants do not keep one that waits from its turn.
func (q *Queue[W]) tenant(name string) *tenant[W] {
	for _, t := range q.tenants {
		if t.name == name {
			return t
		}
	}
	t := &tenant[W]{name: name, turn: q.clock + 1}
	q.tenants = append(q.tenants, t)
	return t
}

func (q *Queue[W]) insert(w Waiter[W]) {
	t := q.tenant(w.Tenant)
	i, _ := slices.BinarySearchFunc(t.waiters, w, before[W])
	t.waiters = slices.Insert(t.waiters, i, w)
	q.length++
}

func before[W any](a, b Waiter[W]) int {
	if a.Priority != b.Priority {
		return int(b.Priority) - int(a.Priority)
	}
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return int(int64(a.Ticket) - int64(b.Ticket))
}

// Next removes and returns the first request, in order, that the filter accepts. The order is by priority; among
// requests of one priority tenants take turns, and a tenant's requests go by deadline.
func (q *Queue[W]) Next(accept func(Waiter[W]) bool) (Waiter[W], bool) {
	var tried []string
	next := make([]int, len(q.tenants))
	for {
		at := q.first(next)
		if at < 0 {
			return Waiter[W]{}, false
		}
		t := q.tenants[at]
		w := t.waiters[next[at]]
		if !slices.Contains(tried, w.Class) && accept(w) {
			q.serve(t, next[at])
			return w, true
		}
		if w.Class != "" && !slices.Contains(tried, w.Class) {
			tried = append(tried, w.Class)
		}
		next[at]++
	}
}

// first returns the tenant whose next request comes first, or -1.
func (q *Queue[W]) first(next []int) int {
	best := -1
	for i, t := range q.tenants {
		if next[i] < len(t.waiters) && (best < 0 || sooner(t, next[i], q.tenants[best], next[best])) {
			best = i
		}
	}
	return best
}

func sooner[W any](a *tenant[W], i int, b *tenant[W], j int) bool {
	wa, wb := a.waiters[i], b.waiters[j]
	if wa.Priority != wb.Priority {
		return wa.Priority > wb.Priority
	}
	if a.turn != b.turn {
		return a.turn < b.turn
	}
	return before(wa, wb) < 0
}

func (q *Queue[W]) serve(t *tenant[W], i int) {
	q.clock = max(q.clock, t.turn)
	t.turn++
	q.take(t, i)
	q.tidy()
}

func (q *Queue[W]) take(t *tenant[W], i int) Waiter[W] {
	w := t.waiters[i]
	t.waiters = slices.Delete(t.waiters, i, i+1)
	q.length--
	return w
}

// tidy forgets tenants that wait for nothing, so that the number of tenants is bounded by the queue.
func (q *Queue[W]) tidy() {
	q.tenants = slices.DeleteFunc(q.tenants, func(t *tenant[W]) bool { return len(t.waiters) == 0 && t.turn <= q.clock+1 })
}

// Remove takes out a request whose caller has gone, and reports whether it waited.
func (q *Queue[W]) Remove(ticket Ticket) (Waiter[W], bool) {
	for _, t := range q.tenants {
		i := slices.IndexFunc(t.waiters, func(w Waiter[W]) bool { return w.Ticket == ticket })
		if i >= 0 {
			w := q.take(t, i)
			q.tidy()
			return w, true
		}
	}
	return Waiter[W]{}, false
}

// Expire removes and returns the requests that could not be answered before their deadline even if they were sent
// now. One that could be answered only at its deadline is removed too, so that nothing is left at the time that
// Deadline gave.
func (q *Queue[W]) Expire(now time.Time, pace Pace) []Waiter[W] {
	var late []Waiter[W]
	for _, t := range q.tenants {
		for i := len(t.waiters) - 1; i >= 0; i-- {
			if !now.Add(pace.Service).Before(t.waiters[i].Deadline) {
				late = append(late, q.take(t, i))
			}
		}
	}
	if len(late) > 0 {
		q.tidy()
	}
	return late
}

// Deadline returns when Expire has something to remove next, and false when nothing waits.
func (q *Queue[W]) Deadline(pace Pace) (time.Time, bool) {
	var first time.Time
	for _, t := range q.tenants {
		for _, w := range t.waiters {
			if first.IsZero() || w.Deadline.Before(first) {
				first = w.Deadline
			}
		}
	}
	return first.Add(-pace.Service), !first.IsZero()
}
