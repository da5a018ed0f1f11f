package admit

import (
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/document"
)

// Guards against a busy loop: the owner of the queue sets a timer to NextExpiry, and if Expire removed nothing at that
// time the timer would fire again at once.
func TestExpireRemovesRequestAtDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	pace := Pace{SlotInterval: time.Millisecond, ServiceTime: 5 * time.Millisecond}
	q := NewQueue[int](document.Queue{Length: 4, PerTenant: 4})
	if _, err := q.Add(start, Waiter[int]{Ticket: 1, Deadline: start.Add(time.Second), EnqueuedAt: start}, pace); err != nil {
		t.Fatal(err)
	}
	due, ok := q.NextExpiry(pace)
	if !ok {
		t.Fatal("no deadline while a request waits")
	}
	if late := q.Expire(due, pace); len(late) != 1 {
		t.Fatalf("%d requests removed at the deadline, want 1", len(late))
	}
}
