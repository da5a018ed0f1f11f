package chart

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Resume returns a machine in a recorded state without running any actions. Owners of many machines store only the
// index of the state and resume a machine for each event.
func (b *Bound[C]) Resume(state int, enteredAt time.Time, c C) (*Machine[C], error) {
	if state < 0 || state >= len(b.states) || b.chart.states[state].composite {
		return nil, fault.New(fault.Invalid, "record the state with Index", "%s: there is no state with index %d", b.chart.file, state)
	}
	return &Machine[C]{bound: b, context: c, current: state, enteredAt: enteredAt}, nil
}

// Index returns the index of the current state, for Resume. An index is valid only for the chart file that it came from.
func (m *Machine[C]) Index() int { return m.current }

// Index returns the index of a state, or false when the chart has no state of that name.
func (ch *Chart) Index(state string) (int, bool) {
	i, ok := ch.stateIndex[state]
	return i, ok
}
