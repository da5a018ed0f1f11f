package balance

// Change is a decision about one backend server that operators want to find in the audit trail.
type Change struct {
	Server, Zone string
	// From and To are states of charts/backend.toml, Event is what led from one to the other.
	From, Event, To string
}

// maxChanges bounds the changes that wait to be taken. The owner takes them after each message.
const maxChanges = 256

// recorded are the states whose entry is worth a record. A server that was unknown becomes cold without any cause.
var recorded = map[string]bool{"ejected": true, "cold": true}

func (f *Fleet) observe(s *server, from, event, to string) {
	if recorded[to] && from != "unknown" && len(f.changes) < maxChanges {
		f.changes = append(f.changes, Change{Server: s.spec.Name, Zone: s.spec.Zone, From: from, Event: event, To: to})
	}
}

// TakeChanges returns the changes since the last call.
func (f *Fleet) TakeChanges() []Change {
	taken := f.changes
	f.changes = nil
	return taken
}
