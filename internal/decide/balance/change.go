package balance

// Change is a state transition of a backend server or an availability zone, for the log and the audit trail.
type Change struct {
	// Server is empty for a transition of a zone.
	Server string
	Zone   string
	// From and To are states of charts/backend.toml or charts/zone.toml, and Event is the event that caused the
	// transition.
	From, Event, To string
}

// maxChanges bounds the buffer of changes between two calls of TakeChanges; further changes are only counted.
const maxChanges = 256

func (f *Fleet) recordChange(c Change) {
	if len(f.changes) >= maxChanges {
		f.droppedChanges++
		return
	}
	f.changes = append(f.changes, c)
}

// TakeChanges returns and clears the buffered changes, and the number of changes that were dropped because the buffer was
// full.
func (f *Fleet) TakeChanges() (changes []Change, dropped int) {
	changes, dropped = f.changes, f.droppedChanges
	f.changes, f.droppedChanges = nil, 0
	return changes, dropped
}
