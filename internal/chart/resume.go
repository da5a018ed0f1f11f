package chart

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Resume returns a machine in a state that was recorded earlier. It runs no actions. Owners of many machines keep only
// the state's index and resume the machine for one event.
func (b *Bound[C]) Resume(state int, entered time.Time, c C) (*Machine[C], error) {
	if state < 0 || state >= len(b.states) || b.chart.states[state].composite {
		return nil, fault.New(fault.Invalid, "record the state with Index", "%s: there is no state with index %d", b.chart.file, state)
	}
	return &Machine[C]{bound: b, context: c, current: state, entered: entered}, nil
}

// Index returns the number of the current state for Resume. It is stable for one chart file only.
func (m *Machine[C]) Index() int { return m.current }

// Index returns the number of a state, and false when the chart has none of that name.
func (ch *Chart) Index(state string) (int, bool) {
	i, ok := ch.byName[state]
	return i, ok
}
