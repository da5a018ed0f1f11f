// Package expiry decides which entries of the fleet in the platform's store belong to nobody any more. The store keeps them
// for ever, and entries of instances that were removed would still count in the shares of cold servers and of resends.
//
// A wrong removal heals by itself: an instance that misses its entry writes it again.
package expiry

import (
	"slices"
	"time"
)

const (
	// Term is how long an instance must not have been reached before its entry goes: longer than a restart, a cut of a
	// region or a repair, all of which the users count in seconds to minutes.
	Term = 10 * time.Minute
	// MostRemoved bounds the entries that go in one round, so that a mistake is seen before all are gone.
	MostRemoved = 4
	// leastReached is the part of the instances that must have been reached in a round. An instance that reaches few of them
	// is cut off itself.
	leastReached = 0.5
)

// Census is what one instance knows about the presence of the others. It is owned by one task.
type Census struct{ missing map[string]time.Time }

// NewCensus returns a census in which no instance is missing.
func NewCensus() *Census { return &Census{missing: map[string]time.Time{}} }

// Round takes which instances were reached and returns those whose entries are to go, at most MostRemoved.
func (c *Census) Round(now time.Time, reached map[string]bool) []string {
	count := 0
	for name, ok := range reached {
		if ok {
			count++
			delete(c.missing, name)
		}
	}
	if float64(count) < leastReached*float64(len(reached)) {
		clear(c.missing)
		return nil
	}
	var gone []string
	for name, ok := range reached {
		since, was := c.missing[name]
		switch {
		case ok:
		case !was:
			c.missing[name] = now
		case now.Sub(since) >= Term:
			gone = append(gone, name)
		}
	}
	for name := range c.missing {
		if _, listed := reached[name]; !listed {
			delete(c.missing, name)
		}
	}
	slices.Sort(gone)
	return gone[:min(len(gone), MostRemoved)]
}
