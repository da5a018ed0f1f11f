package config

import (
	"bytes"

	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Key names a document.
type Key struct{ Kind, Name string }

// Offer is one version of a document that was seen.
type Offer struct {
	Key
	Version uint64
	// Value is the document as the object API holds it; nil for a deletion. It is not changed afterwards.
	Value   []byte
	Deleted bool
	// Content is the decoded value; nil when Invalid is set.
	Content any
	// Invalid says why the value cannot be used.
	Invalid error
}

func (o *Offer) equal(other *Offer) bool {
	return o.Deleted == other.Deleted && bytes.Equal(o.Value, other.Value)
}

// Verdict is what an offer led to.
type Verdict int

// Verdicts.
const (
	// Repeated is a version that was seen before.
	Repeated Verdict = iota
	// Older is a version below the one in force, or a copy of a document that was deleted.
	Older
	// Applied is a version that is now in force.
	Applied
	// Buried is a deletion that is now in force.
	Buried
	// Rejected is an invalid version that was set aside.
	Rejected
	// Conflicting is another content under a version that was seen before. It is not applied.
	Conflicting
)

// entry is the state of one document. It is the context of charts/document.toml.
type entry struct {
	key Key
	// current is the version in force or the tombstone; nil before the first.
	current *Offer
	// rejected is the highest version that was set aside above current.
	rejected *Offer
	conflict error
	machine  *chart.Machine[*entry]

	// offer and floor are the input of the event, verdict its result.
	offer   *Offer
	floor   uint64
	verdict Verdict
}

func bindEntry(ch *chart.Chart) (*chart.Bound[*entry], error) {
	return chart.Bind(ch, chart.Bindings[*entry]{
		Guards: map[string]func(*entry) bool{
			"older":                   (*entry).older,
			"repeated":                func(e *entry) bool { return e.seen() != nil && e.seen().equal(e.offer) },
			"conflicting":             func(e *entry) bool { return e.seen() != nil },
			"deletion":                func(e *entry) bool { return e.offer.Deleted },
			"deletion_below_rejected": func(e *entry) bool { return e.offer.Deleted && e.belowRejected() },
			"valid":                   func(e *entry) bool { return e.offer.Invalid == nil },
			"valid_below_rejected":    func(e *entry) bool { return e.offer.Invalid == nil && e.belowRejected() },
			"something_in_force":      (*entry).inForce,
		},
		Actions: map[string]func(*entry){
			"count_older":     func(e *entry) { e.verdict = Older },
			"report_conflict": (*entry).reportConflict,
			"bury":            func(e *entry) { e.replace(Buried) },
			"apply":           func(e *entry) { e.replace(Applied) },
			"set_aside":       func(e *entry) { e.rejected, e.verdict = e.offer, Rejected },
		},
	})
}

// older holds for a version below the one in force, for an invalid one below the one set aside, and for an unknown
// document whose version the object API no longer listed.
func (e *entry) older() bool {
	switch {
	case e.current == nil && e.rejected == nil:
		return e.offer.Version <= e.floor
	case e.current != nil && e.offer.Version < e.current.Version:
		return true
	}
	return e.rejected != nil && e.offer.Invalid != nil && e.offer.Version < e.rejected.Version
}

// seen returns what was seen before under the version of the offer.
func (e *entry) seen() *Offer {
	for _, known := range []*Offer{e.current, e.rejected} {
		if known != nil && known.Version == e.offer.Version {
			return known
		}
	}
	return nil
}

func (e *entry) inForce() bool { return e.current != nil && !e.current.Deleted }

func (e *entry) belowRejected() bool {
	return e.rejected != nil && e.offer.Version < e.rejected.Version
}

func (e *entry) replace(v Verdict) {
	e.current, e.verdict, e.conflict = e.offer, v, nil
	if e.rejected != nil && e.rejected.Version < e.offer.Version {
		e.rejected = nil
	}
}

func (e *entry) reportConflict() {
	e.verdict = Conflicting
	e.conflict = fault.New(fault.Conflict, "write the document again, so that it gets a new version",
		"%s/%s: version %d has two contents", e.key.Kind, e.key.Name, e.offer.Version)
}
