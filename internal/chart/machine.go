package chart

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Machine is a running instance of a chart. It is owned by one task.
type Machine[C any] struct {
	bound     *Bound[C]
	context   C
	current   int
	enteredAt time.Time
	// firedTimeouts counts the timeouts of the current state that have fired.
	firedTimeouts int
}

// New starts a machine in the initial state and runs its entry actions.
func (b *Bound[C]) New(now time.Time, c C) *Machine[C] {
	m := &Machine[C]{bound: b, context: c, current: b.chart.initial, enteredAt: now}
	for _, do := range b.entry {
		do(c)
	}
	return m
}

// Fire handles an event. An ignored event does nothing. An event that the chart does not list is an error and leaves
// the machine unchanged. Actions must not fire events on the same machine.
func (m *Machine[C]) Fire(now time.Time, event string) error {
	index, ok := m.bound.chart.eventIndex[event]
	if !ok {
		return fault.New(fault.UnexpectedEvent, "report this as a bug", "%s: event %q is not in the chart", m.bound.chart.file, event)
	}
	m.fire(now, index)
	return nil
}

func (m *Machine[C]) fire(now time.Time, event int) {
	for _, t := range m.bound.states[m.current].transitions[event] {
		if t.guard != nil && !t.guard(m.context) {
			continue
		}
		if t.changesState {
			m.changeState(now, event, t.target)
		}
		for _, do := range t.do {
			do(m.context)
		}
		return
	}
}

func (m *Machine[C]) changeState(now time.Time, event, target int) {
	from := m.current
	m.current = target
	m.enteredAt = now
	m.firedTimeouts = 0
	if m.bound.observe != nil && from != target {
		ch := m.bound.chart
		m.bound.observe(m.context, ch.states[from].name, ch.eventNames[event], ch.states[target].name)
	}
}

// State returns the name of the current state.
func (m *Machine[C]) State() string { return m.bound.chart.states[m.current].name }

// Since returns the time at which the current state was entered.
func (m *Machine[C]) Since() time.Time { return m.enteredAt }

// In reports whether the current state is the named state or nested in it.
func (m *Machine[C]) In(name string) bool {
	states := m.bound.chart.states
	for s := m.current; s != noState; s = states[s].parent {
		if states[s].name == name {
			return true
		}
	}
	return false
}

// Final reports whether the machine has reached a final state.
func (m *Machine[C]) Final() bool { return m.bound.chart.states[m.current].final }

// Deadline returns the time of the next timeout of the current state, or false when there is none.
func (m *Machine[C]) Deadline() (time.Time, bool) {
	timeouts := m.bound.chart.states[m.current].timeouts
	if m.firedTimeouts >= len(timeouts) {
		return time.Time{}, false
	}
	return m.enteredAt.Add(timeouts[m.firedTimeouts].delay), true
}

// Tick fires the timeouts that are due.
func (m *Machine[C]) Tick(now time.Time) {
	for {
		due, ok := m.Deadline()
		if !ok || due.After(now) {
			return
		}
		timeouts := m.bound.chart.states[m.current].timeouts
		event := timeouts[m.firedTimeouts].event
		m.firedTimeouts++
		m.fire(now, event)
	}
}
