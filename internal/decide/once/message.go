package once

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
)

// ClaimRequest is a request for the right to send a once-only request.
type ClaimRequest struct {
	Digest Digest
	Check  ContentDigest
	// Window is the minimum time for which the claim is kept.
	Window  time.Duration
	Holder  Holder
	Attempt uint64
	// Ticket is returned in the Reply.
	Ticket uint64
}

// Settlement is the outcome of a claim.
type Settlement int

// Settlements.
const (
	// Released means that the request certainly did not run.
	Released Settlement = iota + 1
	// Answered means that the request has run.
	Answered
	// Unknown means that the request may have run.
	Unknown
)

// SettleRequest reports the outcome of a claim.
type SettleRequest struct {
	Digest     Digest
	Check      ContentDigest
	Window     time.Duration
	Holder     Holder
	Attempt    uint64
	Settlement Settlement
	// Answer is cached for resends if it fits into the cache; nil if it must not be cached.
	Answer *call.Answer
	// Ticket is returned in the Confirmation.
	Ticket uint64
}

// Verdict is the decision on a ClaimRequest.
type Verdict int

// Verdicts.
const (
	// Granted means that the claim is recorded: the request may be sent once.
	Granted Verdict = iota + 1
	// InProgress means that another attempt may be running.
	InProgress
	// AlreadyAnswered means that the request has run and was answered.
	AlreadyAnswered
	// OutcomeUnknown means that the request may have run and its answer was lost.
	OutcomeUnknown
	// StoreUnavailable means that the claim is not granted, now or later. It may be recorded, so it must be released.
	StoreUnavailable
	// Refused means that the object API or the partition cannot accept the claim now; nothing was recorded.
	Refused
	// NotOwner means that another instance owns the partition; nothing was recorded.
	NotOwner
	// KeyReused means that the idempotency key belongs to a request with different content.
	KeyReused
)

// Effects are carried out by the task that owns the partition.
type (
	// Effect is one of the types below.
	Effect interface{ isEffect() }
	// ReadHead reads the head. The answer is HeadRead or StoreFailed.
	ReadHead struct{}
	// ReadSegment reads a segment. The answer is SegmentRead or StoreFailed.
	ReadSegment struct{ Number uint64 }
	// WriteHead replaces the head if it still has Version, or creates it if Version is zero. The answer is Written, or
	// StoreFailed for every error.
	WriteHead struct {
		Version uint64
		Head    *Head
	}
	// WriteSegment creates a segment. A segment that already exists counts as written, because a number is used by one
	// owner and for one content only. The answer is Written or StoreFailed.
	WriteSegment struct {
		Number  uint64
		Entries []Entry
	}
	// DeleteSegment deletes an expired segment. The answer is SegmentDeleted; a failure is not reported.
	DeleteSegment struct{ Number uint64 }
	// Reply answers a ClaimRequest.
	Reply struct {
		Ticket  uint64
		Verdict Verdict
		Answer  *call.Answer
	}
	// Confirmation answers a SettleRequest. If Recorded is false, the request must be sent again.
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
	// HeadRead holds the head. Head is nil if the object does not exist.
	HeadRead struct {
		Version uint64
		Head    *Head
	}
	// SegmentRead holds a segment. Missing is true if the object does not exist.
	SegmentRead struct {
		Number  uint64
		Entries []Entry
		Missing bool
	}
	// Written reports a write that took effect.
	Written struct{ Version uint64 }
	// StoreFailed reports a read that failed, or a write that failed or may have failed.
	StoreFailed struct{}
	// SegmentDeleted reports that an expired segment no longer exists.
	SegmentDeleted struct{ Number uint64 }
)

func (HeadRead) isStoreAnswer()       {}
func (SegmentRead) isStoreAnswer()    {}
func (Written) isStoreAnswer()        {}
func (StoreFailed) isStoreAnswer()    {}
func (SegmentDeleted) isStoreAnswer() {}
