package once

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
)

// Peers remembers when holders were last seen alive. An instance that leaves is no longer in the view while it still
// finishes its requests, so a holder counts as gone only after Grace, or once a later process has its name.
type Peers struct {
	// Grace is the longest time in which a leaving instance finishes its requests.
	Grace time.Duration
	seen  map[Holder]time.Time
}

// NewPeers returns an empty memory.
func NewPeers(grace time.Duration) *Peers {
	return &Peers{Grace: grace, seen: map[Holder]time.Time{}}
}

// Gone reports whether the holder is known to be gone. A holder that was never seen alive counts as seen when it is
// first asked about.
func (p *Peers) Gone(now time.Time, view *member.View, h Holder) bool {
	live, ok := view.Find(h.Instance)
	if ok && live.Incarnation == h.Incarnation {
		p.seen[h] = now
		return false
	}
	if ok && live.Incarnation > h.Incarnation {
		return true
	}
	last, known := p.seen[h]
	if !known {
		p.seen[h] = now
		return false
	}
	return now.Sub(last) >= p.Grace
}
