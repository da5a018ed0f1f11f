package expiry

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// reachability returns a round over the given number of instances in which all but the missing ones were reached.
func reachability(count int, missing ...string) map[string]bool {
	reached := map[string]bool{}
	for i := range count {
		name := fmt.Sprint("edge-", i)
		reached[name] = !slices.Contains(missing, name)
	}
	return reached
}

// Guards against entries of removed instances that are never removed, and against the removal of entries of instances that
// are unreachable only for short times.
func TestEntriesOfMissingInstancesAreRemoved(t *testing.T) {
	tracker, now := NewAbsenceTracker(), time.Unix(1000, 0)
	for round := range 30 {
		missing := []string{"edge-1"}
		if round%5 < 3 {
			missing = append(missing, "edge-2") // restarts repeatedly
		}
		gone := tracker.RecordRound(now, reachability(6, missing...))
		if due := now.Sub(time.Unix(1000, 0)) >= MinAbsence; due != slices.Contains(gone, "edge-1") || slices.Contains(gone, "edge-2") {
			t.Fatalf("after %s the entries of %v are removed", now.Sub(time.Unix(1000, 0)), gone)
		}
		now = now.Add(time.Minute)
	}
}

// Guards against a disconnected instance that removes the entries of all others.
func TestDisconnectedInstanceRemovesNothing(t *testing.T) {
	tracker, now := NewAbsenceTracker(), time.Unix(1000, 0)
	for range 60 {
		if gone := tracker.RecordRound(now, reachability(6, "edge-0", "edge-1", "edge-2", "edge-3")); len(gone) > 0 {
			t.Fatalf("the entries of %v are removed", gone)
		}
		now = now.Add(time.Minute)
	}
	if gone := tracker.RecordRound(now, reachability(6, "edge-0")); len(gone) > 0 {
		t.Errorf("the entries of %v are removed as soon as the instance is connected again", gone)
	}
}

// Guards against a fault that removes all entries in one round.
func TestRemovalsPerRoundAreLimited(t *testing.T) {
	tracker, now := NewAbsenceTracker(), time.Unix(1000, 0)
	reached := reachability(40, "edge-1", "edge-2", "edge-3", "edge-4", "edge-5", "edge-6", "edge-7")
	tracker.RecordRound(now, reached)
	if gone := tracker.RecordRound(now.Add(MinAbsence), reached); len(gone) != MaxRemovedPerRound {
		t.Errorf("%d entries removed in one round, want %d", len(gone), MaxRemovedPerRound)
	}
}
