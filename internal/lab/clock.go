package lab

import (
	"container/heap"
	"time"
)

// clock is an event queue in virtual time. Events at the same time run in the order in which they were scheduled.
type clock struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

// event is a function that is scheduled for a point in virtual time.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

// startTime is the start of virtual time.
var startTime = time.Unix(1_000_000, 0)

func newClock() *clock { return &clock{now: startTime} }

// after schedules f to run after a delay.
func (c *clock) after(delay time.Duration, f func()) { c.at(c.now.Add(delay), f) }

// at schedules f to run at a point in virtual time.
func (c *clock) at(at time.Time, f func()) {
	c.seq++
	heap.Push(&c.events, event{at: at, seq: c.seq, run: f})
}

// run runs the events that are due within the given time after startTime.
func (c *clock) run(end time.Duration) {
	last := startTime.Add(end)
	for len(c.events) > 0 && !c.events[0].at.After(last) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

// eventHeap implements heap.Interface, ordered by time and sequence number.
type eventHeap []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
