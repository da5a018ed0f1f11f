// Package era decides in which era the platform's store is, and for how long what is known is held against the copy from which the
// store has returned.
//
// A store that returns from an older copy has lost what it acknowledged since. Its operators, backend servers and instances
// write that again, each in its own time, and until then the copy is no evidence against what is known.
package era

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRise is the largest rise of the era that is believed, far above the number of returns that an instance can miss.
	maxRise = 1000
	// maxLowerAnswers is the number of successive answers with a lower era after which the known one counts as wrong.
	maxLowerAnswers = 8
	// minLowerTime is the minimum time from the first to the last of them.
	minLowerTime = 2 * time.Second
)

// Verdict states what a reported era means.
type Verdict int

// Verdicts.
const (
	// Unchanged means that the era is the known one.
	Unchanged Verdict = iota
	// First means that it is the first era that is known.
	First
	// Risen means that the store has returned from an older copy.
	Risen
	// Late means that the answer is from before the return.
	Late
	// Implausible means that the era cannot be right.
	Implausible
	// Fallen means that the known era was wrong, and this one takes its place.
	Fallen
)

// Tracker knows the era of the store. It is owned by one task.
type Tracker struct {
	known uint64
	since time.Time
	// lower is the number of successive answers with a lower era, firstLower the time of the first.
	lower      int
	firstLower time.Time
}

// Known returns the era; zero while none is known.
func (t *Tracker) Known() uint64 { return t.known }

// Answer handles the era in an answer of the store to a call that began at a time.
func (t *Tracker) Answer(now, began time.Time, era uint64) Verdict {
	if era >= t.known {
		t.lower = 0
		return t.Hint(now, era)
	}
	if began.Before(t.since) {
		return Late
	}
	// The store answers in the order of its eras, so a call that began after the known one was learned contradicts it.
	if t.lower == 0 {
		t.firstLower = now
	}
	if t.lower++; t.lower < maxLowerAnswers || now.Sub(t.firstLower) < minLowerTime {
		return Late
	}
	t.set(now, era)
	return Fallen
}

// Hint handles the era that a peer knows. A peer with a lower one has not heard of the return yet.
func (t *Tracker) Hint(now time.Time, era uint64) Verdict {
	switch {
	case era == t.known:
		return Unchanged
	case era < t.known:
		return Late
	case t.known == 0:
		t.set(now, era)
		return First
	case era-t.known > maxRise:
		return Implausible
	}
	t.set(now, era)
	return Risen
}

func (t *Tracker) set(now time.Time, era uint64) { t.known, t.since, t.lower = era, now, 0 }

const (
	// RemovalMemory is how long a removal is remembered, since the copy may hold the object again: several times the age of a
	// copy, which is some seconds.
	RemovalMemory = time.Minute
	// Hold is how long an object is held in force, or is ignored, against the copy. It covers the time in which operators and
	// backend servers write again.
	Hold = 15 * time.Second
	// StrikeHold is the same for strikes and claims of trials, which instances write again one after the other.
	StrikeHold = time.Minute
	// rankDelay is the time between the writes of instances of successive ranks, writeInterval that between two writes of one.
	rankDelay     = 2 * time.Second
	writeInterval = 200 * time.Millisecond
	// maxWriteDelay bounds the delay of the first write of an instance.
	maxWriteDelay = StrikeHold / 2
)

// WriteDelay returns when an instance writes the object with the given index again. Instances of a higher rank follow, and find it
// written.
func WriteDelay(rank, index int) time.Duration {
	return min(time.Duration(rank)*rankDelay, maxWriteDelay) + time.Duration(index+1)*writeInterval
}

// RegistrationDelay returns when an instance registers again, spread over all instances.
func RegistrationDelay() time.Duration { return writeInterval + rand.N(rankDelay) }
