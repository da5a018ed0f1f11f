package expiry

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func present(count int, missing ...string) map[string]bool {
	reached := map[string]bool{}
	for i := range count {
		name := fmt.Sprint("edge-", i)
		reached[name] = !slices.Contains(missing, name)
	}
	return reached
}

// Guards against entries of removed instances that stay for ever, and against the loss of those that were away for a while.
func TestEntriesOfMissingInstancesGo(t *testing.T) {
	c, now := NewCensus(), time.Unix(1000, 0)
	for round := range 30 {
		missing := []string{"edge-1"}
		if round%5 < 3 {
			missing = append(missing, "edge-2") // restarts now and then
		}
		gone := c.Round(now, present(6, missing...))
		if due := now.Sub(time.Unix(1000, 0)) >= Term; due != slices.Contains(gone, "edge-1") || slices.Contains(gone, "edge-2") {
			t.Fatalf("after %s the entries of %v go", now.Sub(time.Unix(1000, 0)), gone)
		}
		now = now.Add(time.Minute)
	}
}

// Guards against an instance that is cut off itself and removes the entries of all others.
func TestInstanceThatIsCutOffRemovesNothing(t *testing.T) {
	c, now := NewCensus(), time.Unix(1000, 0)
	for range 60 {
		if gone := c.Round(now, present(6, "edge-0", "edge-1", "edge-2", "edge-3")); len(gone) > 0 {
			t.Fatalf("the entries of %v go", gone)
		}
		now = now.Add(time.Minute)
	}
	if gone := c.Round(now, present(6, "edge-0")); len(gone) > 0 {
		t.Errorf("the entries of %v go at once when the cut ends", gone)
	}
}

// Guards against a mistake that removes all entries in one round.
func TestRoundsAreBounded(t *testing.T) {
	c, now := NewCensus(), time.Unix(1000, 0)
	reached := present(40, "edge-1", "edge-2", "edge-3", "edge-4", "edge-5", "edge-6", "edge-7")
	c.Round(now, reached)
	if gone := c.Round(now.Add(Term), reached); len(gone) != MostRemoved {
		t.Errorf("%d entries go in one round, want %d", len(gone), MostRemoved)
	}
}
