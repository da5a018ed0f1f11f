package once

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
)

// Claim asks for the right to send a request once.
type Claim struct {
	Digest Digest
	Check  Check
	// Window is how long the claim is kept.
	Window  time.Duration
	Holder  Holder
	Attempt uint64
	// Ticket is repeated in the Reply.
	Ticket uint64
}

// Settlement is how a claim ended.
type Settlement int

// Settlements.
const (
	// Released means that the request surely never ran.
	Released Settlement = iota + 1
	// Answered means that the request has run.
	Answered
	// Unknown means that the request may have run.
	Unknown
)

// Settle tells how a claim ended.
type Settle struct {
	Digest     Digest
	Check      Check
	Window     time.Duration
	Holder     Holder
	Attempt    uint64
	Settlement Settlement
	// Answer is kept for resends when there is room; nil when it must not be kept.
	Answer *call.Answer
	// Ticket is repeated in the Confirmation.
	Ticket uint64
}

// Verdict is what a Claim is told.
type Verdict int

// Verdicts.
const (
	// Granted means that the claim is recorded: the request may be sent once.
	Granted Verdict = iota + 1
	// InProgress means that another attempt may be running.
	InProgress
	// WasAnswered means that the request has run.
	WasAnswered
	// OutcomeUnknown means that the request may have run and its answer was lost.
	OutcomeUnknown
	// StoreUnavailable means that the claim was not granted and never will be; it may be recorded and must be released.
	StoreUnavailable
	// Refused means that the object API or the partition cannot take the claim now; nothing was recorded.
	Refused
	// NotOwner means that another instance owns the partition; nothing was recorded.
	NotOwner
	// KeyReused means that the key belongs to another request.
	KeyReused
)

// Effects are drained by the task that owns the partition.
type (
	// Effect is one of the types below.
	Effect interface{ isEffect() }
	// ReadHead asks for HeadRead, or StoreFailed.
	ReadHead struct{}
	// ReadSegment asks for SegmentRead, or StoreFailed.
	ReadSegment struct{ Number uint64 }
	// WriteHead asks for a conditional update, or for the creation of the head when Version is zero. The answer is
	// Written, or StoreFailed for every error.
	WriteHead struct {
		Version uint64
		Head    *Head
	}
	// WriteSegment asks for the creation of a segment. A segment that exists already counts as written: its number is
	// used by one owner for one content only. The answer is Written or StoreFailed.
	WriteSegment struct {
		Number  uint64
		Entries []Entry
	}
	// DeleteSegment asks for the removal of an expired segment. The answer is SegmentDeleted, or nothing.
	DeleteSegment struct{ Number uint64 }
	// Reply answers a Claim.
	Reply struct {
		Ticket  uint64
		Verdict Verdict
		Answer  *call.Answer
	}
	// Confirmation answers a Settle. When it is not recorded, it must be sent again.
	Confirmation struct {
		Ticket   uint64
		Recorded bool
	}
)

func (ReadHead) isEffect()      {}
func (ReadSegment) isEffect()   {}
func (WriteHead) isEffect()     {}
func (WriteSegment) isEffect()  {}
func (DeleteSegment) isEffect() {}
func (Reply) isEffect()         {}
func (Confirmation) isEffect()  {}

// Answers of the object API.
type (
	// StoreAnswer is one of the types below.
	StoreAnswer interface{ isStoreAnswer() }
	// HeadRead holds the head; Head is nil when it does not exist.
	HeadRead struct {
		Version uint64
		Head    *Head
	}
	// SegmentRead holds a segment. Missing is true when it does not exist.
	SegmentRead struct {
		Number  uint64
		Entries []Entry
		Missing bool
	}
	// Written reports a write that took effect.
	Written struct{ Version uint64 }
	// StoreFailed reports a read that failed, or a write that failed or may have failed.
	StoreFailed struct{}
	// SegmentDeleted reports that an expired segment is no longer there.
	SegmentDeleted struct{ Number uint64 }
)

func (HeadRead) isStoreAnswer()       {}
func (SegmentRead) isStoreAnswer()    {}
func (Written) isStoreAnswer()        {}
func (StoreFailed) isStoreAnswer()    {}
func (SegmentDeleted) isStoreAnswer() {}
