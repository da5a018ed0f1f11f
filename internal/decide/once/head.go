package once

// Holder identifies the process that holds a claim or owns a partition: an instance and its incarnation.
type Holder struct {
	Instance    string
	Incarnation uint64
}

// StoredState is the state of a claim in the object API.
type StoredState uint8

// Stored states. The values are part of the object format.
const (
	StoredClaimed StoredState = iota + 1
	StoredAnswered
	StoredReleased
	StoredUnknown
)

// Entry is a claim as stored in the object API.
type Entry struct {
	Digest  Digest
	Check   ContentDigest
	State   StoredState
	Holder  Holder
	Attempt uint64
	// Expires is the time, in seconds of the partition clock, at which the claim expires.
	Expires uint64
}

// SegmentRef refers to a sealed segment: an immutable object with entries moved out of the head.
type SegmentRef struct {
	Number uint64
	// Expires is the time, in seconds of the partition clock, at which the last claim of the segment expires.
	Expires uint64
}

// Head is the root object of a partition. Every commit replaces it by a conditional update.
type Head struct {
	// Owner is the process that wrote this version.
	Owner Holder
	// Sequence counts the commits of all owners.
	Sequence uint64
	// Clock is the partition clock in milliseconds since the first write.
	Clock uint64
	// Segments lists the sealed segments, oldest first. A later entry overrides an earlier one of the same digest.
	Segments []SegmentRef
	// Entries override those of all segments.
	Entries []Entry
}
