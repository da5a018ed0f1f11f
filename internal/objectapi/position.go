package objectapi

import "cmp"

// Position is a point in the history of a store. A store that has returned from an older copy of its content begins a new era,
// in which it gives out revisions again. So positions are compared by their eras first.
type Position struct {
	// Era is zero if the store or the peer that named the revision named no era.
	Era uint64
	// Revision counts the changes within an era. Zero is before all of them.
	Revision uint64
}

// Compare returns a negative number if p is before q, a positive one if it is after q, and else zero.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Era, q.Era); c != 0 {
		return c
	}
	return cmp.Compare(p.Revision, q.Revision)
}

// Position returns the position at which an object has its version.
func (o Object) Position() Position { return Position{Era: o.Era, Revision: o.Version} }

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// In returns the position with the given era if it has none.
func (p Position) In(era uint64) Position {
	if p.Era == 0 {
		p.Era = era
	}
	return p
}
