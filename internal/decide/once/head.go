package once

// Holder is one process of an instance.
type Holder struct {
	Instance    string
	Incarnation uint64
}

// StoredState is the state of a claim in the object API.
type StoredState uint8

// Stored states. The values are part of the format of the objects.
const (
	StoredClaimed StoredState = iota + 1
	StoredAnswered
	StoredReleased
	StoredUnknown
)

// Entry is one claim in the object API.
type Entry struct {
	Digest  Digest
	Check   Check
	State   StoredState
	Holder  Holder
	Attempt uint64
	// Expires is the time, in seconds of the partition's clock, until which the claim is kept.
	Expires uint64
}

// SegmentRef names a sealed segment.
type SegmentRef struct {
	Number uint64
	// Expires is the time, in seconds of the partition's clock, at which the last of its claims expires.
	Expires uint64
}

// Head is the object that every commit of a partition replaces.
type Head struct {
	// Owner is the process that wrote the head.
	Owner Holder
	// Sequence counts the writes of the head over all owners.
	Sequence uint64
	// Clock is the time of the partition in milliseconds since its first write.
	Clock uint64
	// Segments lists the sealed segments, oldest first. A later entry replaces an earlier one of the same digest.
	Segments []SegmentRef
	// Entries are newer than those of all segments.
	Entries []Entry
}
