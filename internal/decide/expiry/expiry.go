// Package expiry decides what is no longer in force.
//
// AbsenceTracker decides which instance entries in the platform's store are stale. The store never expires them, and the
// entries of removed instances would still count when the instances divide cold allowances and resend budgets. A wrong
// removal heals by itself: an instance whose entry is missing writes it again.
//
// Table holds values of any kind until they expire.
package expiry

import (
	"slices"
	"time"
)

const (
	// MinAbsence is how long an instance must be unreachable before its entry is removed. It is longer than a restart, a
	// network partition of a region or a repair, which last seconds to minutes.
	MinAbsence = 10 * time.Minute
	// MaxRemovedPerRound limits the entries that are removed in one round, so that a fault is noticed before all are
	// gone.
	MaxRemovedPerRound = 4
	// minReachedFraction is the fraction of the instances that must be reachable in a round. An instance that reaches
	// fewer is likely to be disconnected itself.
	minReachedFraction = 0.5
)

// AbsenceTracker records how long one instance has been unable to reach each of the others. It is owned by one task.
type AbsenceTracker struct{ missingSince map[string]time.Time }

// NewAbsenceTracker returns a tracker in which no instance is missing.
func NewAbsenceTracker() *AbsenceTracker {
	return &AbsenceTracker{missingSince: map[string]time.Time{}}
}

// RecordRound records which instances were reachable in one round and returns those whose entries are to be removed, at
// most MaxRemovedPerRound. A round that reached too few instances discards the record.
func (t *AbsenceTracker) RecordRound(now time.Time, reached map[string]bool) []string {
	reachedCount := 0
	for name, ok := range reached {
		if ok {
			reachedCount++
			delete(t.missingSince, name)
		}
	}
	if float64(reachedCount) < minReachedFraction*float64(len(reached)) {
		clear(t.missingSince)
		return nil
	}
	var expired []string
	for name, ok := range reached {
		since, known := t.missingSince[name]
		switch {
		case ok:
		case !known:
			t.missingSince[name] = now
		case now.Sub(since) >= MinAbsence:
			expired = append(expired, name)
		}
	}
	for name := range t.missingSince {
		if _, listed := reached[name]; !listed {
			delete(t.missingSince, name)
		}
	}
	slices.Sort(expired)
	return expired[:min(len(expired), MaxRemovedPerRound)]
}
