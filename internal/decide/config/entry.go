package config

import (
	"bytes"

	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Key identifies a document.
type Key struct{ Kind, Name string }

// Offer is a version of a document read from the object API or received from a peer.
type Offer struct {
	Key
	Version uint64
	// Value is the encoded document as stored in the object API; nil for a deletion. It must not be modified later.
	Value   []byte
	Deleted bool
	// Content is the decoded value; nil if Invalid is set.
	Content any
	// Invalid is the reason why the value cannot be used; nil if it is valid.
	Invalid error
}

func (o *Offer) equal(other *Offer) bool {
	return o.Deleted == other.Deleted && bytes.Equal(o.Value, other.Value)
}

// Verdict is the result of an offer.
type Verdict int

// Verdicts.
const (
	// Repeated means that the same version with the same content was seen before.
	Repeated Verdict = iota
	// Older means that a later version is in force or rejected, or that the document has been deleted since.
	Older
	// Applied means that the version is now in force.
	Applied
	// Deleted means that the deletion is now in force.
	Deleted
	// Rejected means that the version is invalid and was not applied.
	Rejected
	// Conflicting means that the version was seen before with different content. The offer was not applied.
	Conflicting
)

// entry is the state of one document and the context of charts/document.toml.
type entry struct {
	key Key
	// current is the version in force or the tombstone; nil if there is neither.
	current *Offer
	// rejected is the highest invalid version above current.
	rejected    *Offer
	conflictErr error
	machine     *chart.Machine[*entry]

	// offer and floor are the input of the event being handled; verdict is its result. All documents of the kind that exist
	// at the version floor are known.
	offer   *Offer
	floor   uint64
	verdict Verdict
}

func bindEntry(ch *chart.Chart) (*chart.Bound[*entry], error) {
	return chart.Bind(ch, chart.Bindings[*entry]{
		Guards: map[string]func(*entry) bool{
			"is_older":                (*entry).isOlder,
			"repeated":                func(e *entry) bool { return e.sameVersion() != nil && e.sameVersion().equal(e.offer) },
			"conflicting":             func(e *entry) bool { return e.sameVersion() != nil },
			"is_deletion":             func(e *entry) bool { return e.offer.Deleted },
			"deletion_below_rejected": func(e *entry) bool { return e.offer.Deleted && e.isBelowRejected() },
			"is_valid":                func(e *entry) bool { return e.offer.Invalid == nil },
			"valid_below_rejected":    func(e *entry) bool { return e.offer.Invalid == nil && e.isBelowRejected() },
			"has_version_in_force":    (*entry).isInForce,
		},
		Actions: map[string]func(*entry){
			"report_older":    func(e *entry) { e.verdict = Older },
			"report_conflict": (*entry).reportConflict,
			"apply_deletion":  func(e *entry) { e.replaceCurrent(Deleted) },
			"apply":           func(e *entry) { e.replaceCurrent(Applied) },
			"reject":          func(e *entry) { e.rejected, e.verdict = e.offer, Rejected },
		},
	})
}

// isOlder reports whether the offer is outdated. It is so if its version is below the one in force, if it is invalid and
// its version is below the rejected one, or if the document is unknown and a list or watch up to this version did not
// contain it.
func (e *entry) isOlder() bool {
	switch {
	case e.current == nil && e.rejected == nil:
		return e.offer.Version <= e.floor
	case e.current != nil && e.offer.Version < e.current.Version:
		return true
	}
	return e.rejected != nil && e.offer.Invalid != nil && e.offer.Version < e.rejected.Version
}

// sameVersion returns the current or rejected offer that has the same version as the offer, or nil.
func (e *entry) sameVersion() *Offer {
	for _, known := range []*Offer{e.current, e.rejected} {
		if known != nil && known.Version == e.offer.Version {
			return known
		}
	}
	return nil
}

func (e *entry) isInForce() bool { return e.current != nil && !e.current.Deleted }

func (e *entry) isBelowRejected() bool {
	return e.rejected != nil && e.offer.Version < e.rejected.Version
}

// replaceCurrent makes the offer current and drops a rejected version below it.
func (e *entry) replaceCurrent(v Verdict) {
	e.current, e.verdict, e.conflictErr = e.offer, v, nil
	if e.rejected != nil && e.rejected.Version < e.offer.Version {
		e.rejected = nil
	}
}

func (e *entry) reportConflict() {
	e.verdict = Conflicting
	e.conflictErr = fault.New(fault.Conflict, "write the document again, so that it gets a new version",
		"%s/%s: version %d has two contents", e.key.Kind, e.key.Name, e.offer.Version)
}
