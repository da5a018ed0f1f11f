package once

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
)

// Peers tracks when holders were last seen alive. A leaving instance disappears from the membership view while it still
// finishes its requests, so a holder counts as gone only after Grace, or once a newer incarnation is alive.
type Peers struct {
	// Grace is the maximum time that a leaving instance takes to finish its requests.
	Grace    time.Duration
	lastSeen map[Holder]time.Time
}

// NewPeers returns a tracker without observations.
func NewPeers(grace time.Duration) *Peers {
	return &Peers{Grace: grace, lastSeen: map[Holder]time.Time{}}
}

// Gone reports whether the holder is known to be gone. A holder that was never seen alive counts as last seen at the
// first call for it.
func (p *Peers) Gone(now time.Time, view *member.View, h Holder) bool {
	live, ok := view.Find(h.Instance)
	if ok && live.Incarnation == h.Incarnation {
		p.lastSeen[h] = now
		return false
	}
	if ok && live.Incarnation > h.Incarnation {
		return true
	}
	last, known := p.lastSeen[h]
	if !known {
		p.lastSeen[h] = now
		return false
	}
	return now.Sub(last) >= p.Grace
}
