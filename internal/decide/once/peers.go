package once

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/member"
)

// HolderTracker tracks when holders were last seen alive. A leaving instance disappears from the membership view while
// it still finishes its requests, so a holder counts as gone only after Grace, or once a newer incarnation is alive.
type HolderTracker struct {
	// Grace is the maximum time that a leaving instance takes to finish its requests.
	Grace    time.Duration
	lastSeen map[Holder]time.Time
}

// NewHolderTracker returns a tracker without observations.
func NewHolderTracker(grace time.Duration) *HolderTracker {
	return &HolderTracker{Grace: grace, lastSeen: map[Holder]time.Time{}}
}

// Gone reports whether the holder is known to be gone. A holder that was never seen alive counts as last seen at the
// first call for it.
func (t *HolderTracker) Gone(now time.Time, view *member.View, h Holder) bool {
	live, ok := view.Find(h.Instance)
	if ok && live.Incarnation == h.Incarnation {
		t.lastSeen[h] = now
		return false
	}
	if ok && live.Incarnation > h.Incarnation {
		return true
	}
	last, known := t.lastSeen[h]
	if !known {
		t.lastSeen[h] = now
		return false
	}
	return now.Sub(last) >= t.Grace
}
