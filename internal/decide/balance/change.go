package balance

// Change is a change of state of a backend server or of an availability zone, for the log and the audit trail.
type Change struct {
	// Server is empty when the change is of a zone.
	Server string
	Zone   string
	// From and To are states of charts/backend.toml or charts/zone.toml, and Event is what moved it.
	From, Event, To string
}

// maxChanges bounds the changes that are kept until Changes takes them; more are counted only.
const maxChanges = 256

func (f *Fleet) observe(c Change) {
	if len(f.changes) >= maxChanges {
		f.changesLost++
		return
	}
	f.changes = append(f.changes, c)
}

// Changes returns the changes since the last call, and how many were lost because too many came.
func (f *Fleet) Changes() (changes []Change, lost int) {
	changes, lost = f.changes, f.changesLost
	f.changes, f.changesLost = nil, 0
	return changes, lost
}
