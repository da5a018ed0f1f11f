package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiahub.example/fuchsiahub/internal/chart"
)

// maxTombstones is the number of tombstones above which those covered by the last list are dropped.
const maxTombstones = 1024

// Set holds all documents of one instance. It is owned by one task.
type Set struct {
	bound   *chart.Bound[*entry]
	entries map[Key]*entry
	// floorVersions holds, by kind, the version up to which every existing document is known; zero before the first list.
	floorVersions  map[string]uint64
	hashSum        uint64
	tombstoneCount int
}

// New returns an empty set that runs charts/document.toml for each document.
func New(ch *chart.Chart) (*Set, error) {
	bound, err := bindEntry(ch)
	if err != nil {
		return nil, err
	}
	return &Set{bound: bound, entries: map[Key]*entry{}, floorVersions: map[string]uint64{}}, nil
}

// Offer handles a version of a document and returns the result.
func (s *Set) Offer(now time.Time, o Offer) Verdict {
	e := s.entries[o.Key]
	if e == nil {
		e = &entry{key: o.Key}
		e.machine = s.bound.New(now, e)
	}
	before := e.current
	e.offer, e.floor, e.verdict = &o, s.floorVersions[o.Kind], Repeated
	if err := e.machine.Fire(now, "offer"); err != nil {
		panic(err) // the event is a constant of this package, so a failure is a programming error
	}
	if e.current != nil || e.rejected != nil {
		s.entries[o.Key] = e
	}
	s.updateCounts(before, e.current)
	return e.verdict
}

// updateCounts updates the digest and the number of tombstones after a change of one document.
func (s *Set) updateCounts(before, after *Offer) {
	if before == after {
		return
	}
	s.hashSum += offerHash(after) - offerHash(before)
	s.tombstoneCount += countTombstone(after) - countTombstone(before)
}

// countTombstone returns 1 for a deletion and 0 otherwise.
func countTombstone(o *Offer) int {
	if o != nil && o.Deleted {
		return 1
	}
	return 0
}

// offerHash returns what a document adds to the digest. It is zero for a deletion, so that an instance that never saw the
// deleted document has the same digest.
func offerHash(o *Offer) uint64 {
	if o == nil || o.Deleted {
		return 0
	}
	return xxhash.Sum64String(o.Kind + "\x00" + o.Name + "\x00" + strconv.FormatUint(o.Version, 10))
}

// ApplyList handles the end of a list of the given version, after all its documents were offered: documents that the
// list does not contain are deleted. A document above the version of the list was written after the list and stays.
// ApplyList returns the number of deleted documents.
func (s *Set) ApplyList(now time.Time, kind string, version uint64, names map[string]bool) int {
	deletions := 0
	for key, e := range s.entries {
		if key.Kind != kind || names[key.Name] || e.highestVersion() >= version || countTombstone(e.current) > 0 {
			continue
		}
		if s.Offer(now, Offer{Key: key, Version: version, Deleted: true}) == Deleted {
			deletions++
		}
	}
	s.floorVersions[kind] = max(s.floorVersions[kind], version)
	s.dropTombstones()
	return deletions
}

func (e *entry) highestVersion() uint64 {
	var v uint64
	for _, known := range []*Offer{e.current, e.rejected} {
		if known != nil {
			v = max(v, known.Version)
		}
	}
	return v
}

// WatchProgressed records the progress of a watch that continues a list: all changes up to the version have been offered.
func (s *Set) WatchProgressed(kind string, version uint64) {
	if s.floorVersions[kind] > 0 {
		s.floorVersions[kind] = max(s.floorVersions[kind], version)
	}
}

// dropTombstones drops the tombstones at or below the floor of their kind if there are more than maxTombstones.
func (s *Set) dropTombstones() {
	if s.tombstoneCount <= maxTombstones {
		return
	}
	for key, e := range s.entries {
		if countTombstone(e.current) > 0 && e.highestVersion() <= s.floorVersions[key.Kind] {
			delete(s.entries, key)
			s.tombstoneCount--
		}
	}
}

// Digest returns a hash of the kinds, names and versions of all documents in force. It is never zero.
func (s *Set) Digest() uint64 {
	if s.hashSum+1 == 0 {
		return 1
	}
	return s.hashSum + 1
}

// InForce calls visit for each document of the kind that is in force.
func (s *Set) InForce(kind string, visit func(*Offer)) {
	for key, e := range s.entries {
		if key.Kind == kind && e.isInForce() {
			visit(e.current)
		}
	}
}

// DocumentVersion is the version of a document.
type DocumentVersion struct {
	Key
	Version uint64
}

// Versions returns the versions of the documents in force and of the deletions, for comparison by a peer.
func (s *Set) Versions() []DocumentVersion {
	var list []DocumentVersion
	for key, e := range s.entries {
		if e.current != nil {
			list = append(list, DocumentVersion{Key: key, Version: e.current.Version})
		}
	}
	slices.SortFunc(list, func(a, b DocumentVersion) int { return compareKeys(a.Key, b.Key) })
	return list
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Newer returns the documents and deletions that a peer with the given versions lacks, ordered by kind and name, up to the
// size limit. It returns at least one document if any is newer.
func (s *Set) Newer(have []DocumentVersion, limitBytes int) []Offer {
	known := make(map[Key]uint64, len(have))
	var list []Offer
	for _, v := range have {
		known[v.Key] = v.Version
		if floor := s.floorVersions[v.Kind]; s.entries[v.Key] == nil && v.Version < floor {
			list = append(list, Offer{Key: v.Key, Version: floor, Deleted: true})
		}
	}
	for key, e := range s.entries {
		version, has := known[key]
		if e.current != nil && e.current.Version > version && (has || !e.current.Deleted) {
			list = append(list, *e.current)
		}
	}
	slices.SortFunc(list, func(a, b Offer) int { return compareKeys(a.Key, b.Key) })
	return truncateToSize(list, limitBytes)
}

// truncateToSize returns the longest prefix of the list within the size limit, but at least one offer.
func truncateToSize(list []Offer, limitBytes int) []Offer {
	size := 0
	for i, o := range list {
		size += len(o.Value) + len(o.Kind) + len(o.Name) + 32
		if i > 0 && size > limitBytes {
			return list[:i]
		}
	}
	return list
}

// Status is the state of one document at one instance, as reported to operators.
type Status struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// State is a state of charts/document.toml.
	State string `json:"state"`
	// Version is the version in force; zero if there is none.
	Version uint64 `json:"version"`
	// Rejected is the highest invalid version above it; zero if there is none.
	Rejected uint64 `json:"rejected,omitempty"`
	// Reason says why a version was rejected or not applied.
	Reason string `json:"reason,omitempty"`
}

// Status returns the state of all documents, ordered by kind and name, without deleted ones.
func (s *Set) Status() []Status {
	var list []Status
	for key, e := range s.entries {
		if e.machine.In("deleted") {
			continue
		}
		list = append(list, e.status(key))
	}
	slices.SortFunc(list, func(a, b Status) int {
		return compareKeys(Key{a.Kind, a.Name}, Key{b.Kind, b.Name})
	})
	return list
}

func (e *entry) status(key Key) Status {
	st := Status{Kind: key.Kind, Name: key.Name, State: e.machine.State()}
	if e.isInForce() {
		st.Version = e.current.Version
	}
	if e.rejected != nil {
		st.Rejected = e.rejected.Version
		st.Reason = fmt.Sprint(e.rejected.Invalid)
	}
	if e.conflictErr != nil {
		st.Reason = e.conflictErr.Error()
	}
	return st
}
