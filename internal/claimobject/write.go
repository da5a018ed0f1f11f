package claimobject

import (
	"encoding/binary"

	"fuchsiahub.example/fuchsiahub/internal/decide/once"
)

// Format is the first byte of every object.
const Format = 1

// Head encodes a partition's head.
func Head(h *once.Head) []byte {
	w := &writer{}
	w.buf = append(w.buf, Format)
	w.holder(h.Owner)
	w.number(h.Sequence)
	w.number(h.Clock)
	w.number(uint64(len(h.Segments)))
	w.segments(h.Segments)
	w.entries(h.Entries)
	return w.buf
}

// Segment encodes the entries of a sealed segment.
func Segment(entries []once.Entry) []byte {
	w := &writer{}
	w.buf = append(w.buf, Format)
	w.entries(entries)
	return w.buf
}

type writer struct{ buf []byte }

func (w *writer) number(n uint64) { w.buf = binary.AppendUvarint(w.buf, n) }

func (w *writer) holder(h once.Holder) {
	w.number(uint64(len(h.Instance)))
	w.buf = append(w.buf, h.Instance...)
	w.number(h.Incarnation)
}

// segments writes the differences between successive segments. They are small, because numbers increase and expiry times
// are close together.
func (w *writer) segments(list []once.SegmentRef) {
	var last once.SegmentRef
	for _, s := range list {
		w.number(s.Number - last.Number)
		w.buf = binary.AppendVarint(w.buf, int64(s.Expires-last.Expires))
		last = s
	}
}

// entries writes each holder once and refers to it by index. Expiry is written as the difference to the earliest one.
func (w *writer) entries(list []once.Entry) {
	holders, indexOf := distinctHolders(list)
	w.number(uint64(len(holders)))
	for _, h := range holders {
		w.holder(h)
	}
	base := earliestExpiry(list)
	w.number(base)
	w.number(uint64(len(list)))
	w.buf = append(make([]byte, 0, len(w.buf)+len(list)*entryEstimateBytes), w.buf...)
	for i := range list {
		e := &list[i]
		w.buf = append(w.buf, e.Digest[:]...)
		w.buf = append(w.buf, e.Check[:]...)
		w.buf = append(w.buf, byte(e.State))
		w.number(uint64(indexOf[e.Holder]))
		w.number(e.Attempt)
		w.number(e.Expires - base)
	}
}

// entryEstimateBytes is the estimated size of an encoded entry, for which the buffer is allocated in advance.
const entryEstimateBytes = 34

func distinctHolders(list []once.Entry) ([]once.Holder, map[once.Holder]int) {
	var holders []once.Holder
	indexOf := map[once.Holder]int{}
	for i := range list {
		if _, known := indexOf[list[i].Holder]; !known {
			indexOf[list[i].Holder] = len(holders)
			holders = append(holders, list[i].Holder)
		}
	}
	return holders, indexOf
}

func earliestExpiry(list []once.Entry) uint64 {
	if len(list) == 0 {
		return 0
	}
	base := list[0].Expires
	for i := range list {
		base = min(base, list[i].Expires)
	}
	return base
}
