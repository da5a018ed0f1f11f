package once

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
)

// record is a claim in the memory of the owner. It contains no pointers, so that the garbage collector does not scan the
// claims of a whole window.
type record struct {
	check   ContentDigest
	attempt uint64
	expires uint32 // seconds of the partition clock
	holder  uint32 // index into Partition.holders
	state   uint8  // index of the state in charts/claim.toml
	inHead  bool   // whether the newest entry is in the head, not in a segment
}

// claimEvent is the context of charts/claim.toml for one event of one claim.
type claimEvent struct {
	p      *Partition
	now    time.Time
	digest Digest
	rec    *record
	// The fields below are copied from the message that caused the event.
	check   ContentDigest
	window  time.Duration
	holder  Holder
	attempt uint64
	ticket  uint64
	view    *member.View
	answer  *call.Answer
}

type claimChart = chart.Bound[*claimEvent]

func bindClaim(ch *chart.Chart) (*claimChart, error) {
	return chart.Bind(ch, chart.Bindings[*claimEvent]{
		Guards: map[string]func(*claimEvent) bool{
			"store_down":        func(e *claimEvent) bool { return e.p.machine.In("disconnected") },
			"different_request": func(e *claimEvent) bool { return e.rec.check != e.check },
			"same_attempt":      func(e *claimEvent) bool { return e.sameHolder() && e.rec.attempt == e.attempt },
			"attempt_released":  func(e *claimEvent) bool { return e.sameHolder() && e.attempt <= e.rec.attempt },
			"holder_gone":       func(e *claimEvent) bool { return e.p.holderTracker.Gone(e.now, e.view, e.p.holders[e.rec.holder]) },
		},
		Actions: map[string]func(*claimEvent){
			"record_claim":      (*claimEvent).recordClaim,
			"record_settlement": (*claimEvent).updateRecord,
			"mark_changed":      (*claimEvent).markChanged,
			"cache_answer":      func(e *claimEvent) { e.p.answers.add(e.digest, e.answer) },
			"evict_answer":      func(e *claimEvent) { e.p.answers.remove(e.digest) },
			"reply_granted":     func(e *claimEvent) { e.reply(Granted) },
			"reply_in_progress": func(e *claimEvent) { e.reply(InProgress) },
			"reply_answered":    func(e *claimEvent) { e.reply(AlreadyAnswered) },
			"reply_unknown":     func(e *claimEvent) { e.reply(OutcomeUnknown) },
			"reply_unavailable": func(e *claimEvent) { e.reply(StoreUnavailable) },
			"reply_refused":     func(e *claimEvent) { e.reply(Refused) },
			"reply_key_reused":  func(e *claimEvent) { e.reply(KeyReused) },
		},
	})
}

func (e *claimEvent) sameHolder() bool { return e.p.holders[e.rec.holder] == e.holder }

func (e *claimEvent) reply(v Verdict) {
	var answer *call.Answer
	if v == AlreadyAnswered {
		answer = e.p.answers.byDigest[e.digest]
	}
	e.p.reply(e.ticket, v, answer)
}

// recordClaim adds the claim to the next commit.
func (e *claimEvent) recordClaim() {
	e.updateRecord()
	e.p.nextClaims = append(e.p.nextClaims, pendingClaim{digest: e.digest, ticket: e.ticket})
}

// updateRecord sets the fields of the claim from the message and schedules its expiry.
func (e *claimEvent) updateRecord() {
	e.rec.check = e.check
	e.rec.attempt = e.attempt
	e.rec.holder = e.p.internHolder(e.holder)
	e.rec.expires = e.p.expiry(e.now, e.window)
	e.p.scheduleExpiry(e.digest, e.rec.expires)
	e.markChanged()
}

// markChanged includes the claim in the next commit.
func (e *claimEvent) markChanged() {
	e.p.hasChanges = true
	if !e.rec.inHead {
		e.rec.inHead = true
		e.p.headDigests = append(e.p.headDigests, e.digest)
	}
}

// fireClaimEvent raises an event for one claim and stores the resulting state.
func (p *Partition) fireClaimEvent(event string, e claimEvent) {
	rec, known := p.records[e.digest]
	if !known {
		rec.state = p.states.free
	}
	e.p, e.rec = p, &rec
	m, err := p.claimChart.Resume(int(rec.state), e.now, &e)
	if err != nil {
		panic(err) // the index comes from the same chart, so a failure is a programming error
	}
	if err := m.Fire(e.now, event); err != nil {
		panic(err) // the events are constants of this package, so a failure is a programming error
	}
	rec.state = uint8(m.Index())
	if rec.state == p.states.free || rec.state == p.states.gone {
		delete(p.records, e.digest)
		return
	}
	p.records[e.digest] = rec
}

// claimStates holds the indices of the states in charts/claim.toml.
type claimStates struct {
	free, gone, committing, withdrawn uint8
	// stored maps a state to the one stored in the object API; loaded maps a stored state to the one after loading.
	stored map[uint8]StoredState
	loaded map[StoredState]uint8
}

func indexClaimStates(ch *chart.Chart) claimStates {
	index := func(name string) uint8 {
		i, _ := ch.Index(name) // a missing state needs no error: a chart without it does not load, or never enters it
		return uint8(i)
	}
	claimed, answered, released, unknown := index("claimed"), index("answered"), index("released"), index("unknown")
	committing, withdrawn := index("committing"), index("withdrawn")
	return claimStates{
		free: index("free"), gone: index("gone"), committing: committing, withdrawn: withdrawn,
		stored: map[uint8]StoredState{
			committing: StoredClaimed, claimed: StoredClaimed, answered: StoredAnswered, unknown: StoredUnknown,
			withdrawn: StoredReleased, released: StoredReleased,
		},
		loaded: map[StoredState]uint8{
			StoredClaimed: claimed, StoredAnswered: answered, StoredReleased: released, StoredUnknown: unknown,
		},
	}
}
