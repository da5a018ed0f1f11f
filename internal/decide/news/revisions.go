package news

// maxExplained bounds the revisions that are remembered. When they are forgotten, the kinds count as not covered until they
// are read again.
const maxExplained = 4096

// Revisions determines up to which revision of the store each kind of objects is known. The store counts all changes with one
// revision, so an answer for one kind shows that others have changed. It is owned by one task.
type Revisions struct {
	// explained holds the revisions of which the changed object is known.
	explained map[uint64]bool
	// known holds, for each kind, the revision up to which all its changes are known.
	known map[string]uint64
}

// NewRevisions returns Revisions that know no kind.
func NewRevisions() *Revisions {
	return &Revisions{explained: map[uint64]bool{}, known: map[string]uint64{}}
}

// Explain records that the change with this revision is known and which object it concerns.
func (r *Revisions) Explain(revision uint64) {
	if len(r.explained) >= maxExplained {
		clear(r.explained)
	}
	r.explained[revision] = true
}

// Known records that all changes of a kind up to a revision are known. Zero means that the kind is not known.
func (r *Revisions) Known(kind string, revision uint64) {
	if revision > 0 {
		r.known[kind] = max(r.known[kind], revision)
	}
}

// Forget withdraws what is known of a kind.
func (r *Revisions) Forget(kind string) { delete(r.known, kind) }

// Covers reports whether all changes of a kind up to a revision of the store are known: the kind has been read there, or each
// revision since is a known change.
func (r *Revisions) Covers(kind string, revision uint64) bool {
	known, ok := r.known[kind]
	for ; ok && known < revision && r.explained[known+1]; known++ {
		r.known[kind] = known + 1
	}
	return ok && known >= revision
}
