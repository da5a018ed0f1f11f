package claimobject

import (
	"encoding/binary"

	"fuchsiahub.example/fuchsiahub/internal/decide/once"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// ReadHead decodes the value of a partition's head.
func ReadHead(value []byte) (*once.Head, error) {
	r := &reader{remaining: value}
	r.format()
	h := &once.Head{Owner: r.holder(), Sequence: r.number(), Clock: r.number()}
	h.Segments = r.segments()
	h.Entries = r.entries()
	return h, r.end()
}

// ReadSegment decodes the value of a sealed segment.
func ReadSegment(value []byte) ([]once.Entry, error) {
	r := &reader{remaining: value}
	r.format()
	entries := r.entries()
	return entries, r.end()
}

// Minimum encoded sizes. Counts are checked against them before memory is allocated.
const (
	minSegmentBytes = 2
	minHolderBytes  = 2
	minEntryBytes   = 28
)

// reader decodes a value. After the first error, recorded in malformed, every method returns zero values.
type reader struct {
	remaining []byte
	malformed bool
}

func (r *reader) end() error {
	if r.malformed || len(r.remaining) > 0 {
		return fault.New(fault.Invalid, "check what else writes objects of kind claims", "claims object is malformed")
	}
	return nil
}

func (r *reader) format() {
	if b := r.bytes(1); len(b) == 1 && b[0] != Format {
		r.malformed = true
	}
}

func (r *reader) bytes(n int) []byte {
	if r.malformed || n < 0 || n > len(r.remaining) {
		r.malformed = true
		return nil
	}
	b := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return b
}

func (r *reader) number() uint64 {
	if r.malformed {
		return 0
	}
	n, size := binary.Uvarint(r.remaining)
	if size <= 0 {
		r.malformed = true
		return 0
	}
	r.remaining = r.remaining[size:]
	return n
}

// signedDelta reads a signed number as the difference to add to an unsigned one.
func (r *reader) signedDelta() uint64 {
	if r.malformed {
		return 0
	}
	n, size := binary.Varint(r.remaining)
	if size <= 0 {
		r.malformed = true
		return 0
	}
	r.remaining = r.remaining[size:]
	return uint64(n)
}

func (r *reader) segments() []once.SegmentRef {
	var list []once.SegmentRef
	var last once.SegmentRef
	for n := r.count(minSegmentBytes); n > 0; n-- {
		last = once.SegmentRef{Number: last.Number + r.number(), Expires: last.Expires + r.signedDelta()}
		list = append(list, last)
	}
	return list
}

// count reads the number of items that follow, each of which takes at least the given number of bytes.
func (r *reader) count(minItemBytes int) int {
	n := r.number()
	if n > uint64(len(r.remaining)/minItemBytes) {
		r.malformed = true
		return 0
	}
	return int(n)
}

func (r *reader) holder() once.Holder {
	length := r.count(1)
	return once.Holder{Instance: string(r.bytes(length)), Incarnation: r.number()}
}

func (r *reader) entries() []once.Entry {
	var holders []once.Holder
	for n := r.count(minHolderBytes); n > 0; n-- {
		holders = append(holders, r.holder())
	}
	base := r.number()
	list := make([]once.Entry, r.count(minEntryBytes))
	for i := range list {
		r.entry(&list[i], holders, base)
	}
	return list
}

func (r *reader) entry(e *once.Entry, holders []once.Holder, base uint64) {
	copy(e.Digest[:], r.bytes(len(e.Digest)))
	copy(e.Check[:], r.bytes(len(e.Check)))
	if b := r.bytes(1); len(b) == 1 {
		e.State = once.StoredState(b[0])
	}
	holder := r.number()
	e.Attempt = r.number()
	e.Expires = base + r.number()
	if holder >= uint64(len(holders)) {
		r.malformed = true
		return
	}
	e.Holder = holders[holder]
}
