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
	Payload  W
}

// Queue holds waiting requests in the order in which they are served. It is owned by one task.
type Queue[W any] struct {
	limits  document.Queue
	waiters []Waiter[W]
	tenants map[string]int
}

// NewQueue returns an empty queue.
func NewQueue[W any](limits document.Queue) *Queue[W] {
	return &Queue[W]{limits: limits, tenants: map[string]int{}}
}

// SetLimits brings new limits into force. Requests that wait already stay.
func (q *Queue[W]) SetLimits(limits document.Queue) { q.limits = limits }

// Len returns the number of waiting requests.
func (q *Queue[W]) Len() int { return len(q.waiters) }

// Add puts a request in its place, or refuses it when the queue or the tenant's part of it is full.
func (q *Queue[W]) Add(w Waiter[W]) error {
	if len(q.waiters) >= q.limits.Length {
		return fault.New(fault.Overloaded, "send the request again later", "%d requests wait already", len(q.waiters))
	}
	if q.tenants[w.Tenant] >= q.limits.PerTenant {
		return fault.New(fault.Overloaded, "send fewer requests at a time", "%d requests of this tenant wait already", q.tenants[w.Tenant])
	}
	i, _ := slices.BinarySearchFunc(q.waiters, w, before[W])
	q.waiters = slices.Insert(q.waiters, i, w)
	q.tenants[w.Tenant]++
	return nil
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

// Next removes and returns the first request, in order, that the filter accepts.
func (q *Queue[W]) Next(accept func(Waiter[W]) bool) (Waiter[W], bool) {
	for i, w := range q.waiters {
		if accept(w) {
			q.removeAt(i)
			return w, true
		}
	}
	return Waiter[W]{}, false
}

// Remove takes out a request whose caller has gone, and reports whether it waited.
func (q *Queue[W]) Remove(t Ticket) (Waiter[W], bool) {
	i := slices.IndexFunc(q.waiters, func(w Waiter[W]) bool { return w.Ticket == t })
	if i < 0 {
		return Waiter[W]{}, false
	}
	w := q.waiters[i]
	q.removeAt(i)
	return w, true
}

func (q *Queue[W]) removeAt(i int) {
	tenant := q.waiters[i].Tenant
	if q.tenants[tenant]--; q.tenants[tenant] == 0 {
		delete(q.tenants, tenant)
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
}
