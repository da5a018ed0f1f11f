package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

var (
	start    = time.Unix(1000, 0)
	fastPace = Pace{SlotInterval: time.Millisecond, ServiceTime: 10 * time.Millisecond}
)

func waiter(ticket Ticket, tenant string, p document.Priority, in time.Duration) Waiter[int] {
	return Waiter[int]{Ticket: ticket, Tenant: tenant, Priority: p, Deadline: start.Add(in), EnqueuedAt: start}
}

func acceptAll(Waiter[int]) bool { return true }

// Guards against a surge of one tenant that delays or evicts the requests of other tenants.
func TestSurgeOfOneTenantDelaysOnlyThatTenant(t *testing.T) {
	q := NewQueue[int](document.Queue{Length: 10, PerTenant: 10})
	for i := range 10 {
		if _, err := q.Add(start, waiter(Ticket(i), "surge", document.Normal, time.Second), fastPace); err != nil {
			t.Fatal(err)
		}
	}
	evicted, err := q.Add(start, waiter(100, "calm", document.Normal, 2*time.Second), fastPace)
	if err != nil || len(evicted) != 1 || evicted[0].Tenant != "surge" {
		t.Fatalf("full queue: evicted %v, error %v", evicted, err)
	}
	for i := range 2 {
		if w, _ := q.Next(acceptAll); w.Tenant == "calm" {
			return
		} else if i == 1 {
			t.Error("the calm tenant waits for more than one request of the surging tenant")
		}
	}
}

// Guards against a refusal that comes only after the deadline, and against a refusal without the estimated wait as
// Retry-After.
func TestRequestThatWouldMissItsDeadlineIsRefusedAtOnce(t *testing.T) {
	q := NewQueue[int](document.Queue{Length: 100, PerTenant: 100})
	for i := range 50 {
		if _, err := q.Add(start, waiter(Ticket(i), "a", document.Normal, time.Second), fastPace); err != nil {
			t.Fatal(err)
		}
	}
	_, err := q.Add(start, waiter(100, "a", document.Low, 30*time.Millisecond), fastPace)
	refusal := fault.As(err)
	if refusal.Kind != fault.DeadlineExceeded || !refusal.NotRun || refusal.RetryAfter != 51*time.Millisecond {
		t.Errorf("refusal %+v, want deadline-exceeded, not run, retry after 51 ms", refusal)
	}
	if late := q.Expire(start.Add(time.Second), fastPace); len(late) != 50 || q.Len() != 0 {
		t.Errorf("%d of 50 late requests expired, %d still wait", len(late), q.Len())
	}
}

// Guards against requests that are served out of order, lost or served twice. The model is the set of waiting requests.
func TestQueueKeepsEveryRequestAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int](document.Queue{Length: 8, PerTenant: 5})
		waiting := map[Ticket]Waiter[int]{}
		for ticket := range Ticket(rapid.IntRange(1, 60).Draw(t, "steps")) {
			if rapid.IntRange(0, 2).Draw(t, "step") > 0 {
				w := waiter(ticket, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"),
					document.Priority(rapid.IntRange(-1, 1).Draw(t, "priority")), time.Duration(rapid.IntRange(50, 999).Draw(t, "deadline"))*time.Millisecond)
				evicted, err := q.Add(start, w, fastPace)
				for _, e := range evicted {
					delete(waiting, e.Ticket)
				}
				if err == nil {
					waiting[ticket] = w
				}
			} else if w, ok := q.Next(acceptAll); ok {
				checkFirst(t, waiting, w)
				delete(waiting, w.Ticket)
			}
			if q.Len() != len(waiting) || q.Len() > 8 {
				t.Fatalf("queue holds %d requests, model %d", q.Len(), len(waiting))
			}
		}
	})
}

// checkFirst checks that no waiting request should have been served before w.
func checkFirst(t *rapid.T, waiting map[Ticket]Waiter[int], w Waiter[int]) {
	if _, ok := waiting[w.Ticket]; !ok {
		t.Fatalf("request %d was not waiting", w.Ticket)
	}
	for _, other := range waiting {
		if other.Priority > w.Priority {
			t.Fatalf("priority %d served before priority %d", w.Priority, other.Priority)
		}
		if other.Tenant == w.Tenant && other.Priority == w.Priority && other.Deadline.Before(w.Deadline) {
			t.Fatalf("tenant %s: later deadline served first", w.Tenant)
		}
	}
}
