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
	check   Check
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
	check   Check
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
			"store_down":        func(s *claimEvent) bool { return s.p.machine.In("disconnected") },
			"different_request": func(s *claimEvent) bool { return s.rec.check != s.check },
			"same_attempt":      func(s *claimEvent) bool { return s.sameHolder() && s.rec.attempt == s.attempt },
			"attempt_released":  func(s *claimEvent) bool { return s.sameHolder() && s.attempt <= s.rec.attempt },
			"holder_gone":       func(s *claimEvent) bool { return s.p.peers.Gone(s.now, s.view, s.p.holders[s.rec.holder]) },
		},
		Actions: map[string]func(*claimEvent){
			"record_claim":      (*claimEvent).recordClaim,
			"record_settlement": (*claimEvent).updateRecord,
			"mark_changed":      (*claimEvent).markChanged,
			"cache_answer":      func(s *claimEvent) { s.p.answers.add(s.digest, s.answer) },
			"evict_answer":      func(s *claimEvent) { s.p.answers.remove(s.digest) },
			"reply_granted":     func(s *claimEvent) { s.reply(Granted) },
			"reply_in_progress": func(s *claimEvent) { s.reply(InProgress) },
			"reply_answered":    func(s *claimEvent) { s.reply(WasAnswered) },
			"reply_unknown":     func(s *claimEvent) { s.reply(OutcomeUnknown) },
			"reply_unavailable": func(s *claimEvent) { s.reply(StoreUnavailable) },
			"reply_refused":     func(s *claimEvent) { s.reply(Refused) },
			"reply_key_reused":  func(s *claimEvent) { s.reply(KeyReused) },
		},
	})
}

func (s *claimEvent) sameHolder() bool { return s.p.holders[s.rec.holder] == s.holder }

func (s *claimEvent) reply(v Verdict) {
	var answer *call.Answer
	if v == WasAnswered {
		answer = s.p.answers.byDigest[s.digest]
	}
	s.p.reply(s.ticket, v, answer)
}

// recordClaim adds the claim to the next commit.
func (s *claimEvent) recordClaim() {
	s.updateRecord()
	s.p.nextClaims = append(s.p.nextClaims, pendingClaim{digest: s.digest, ticket: s.ticket})
}

// updateRecord sets the fields of the claim from the message and schedules its expiry.
func (s *claimEvent) updateRecord() {
	s.rec.check = s.check
	s.rec.attempt = s.attempt
	s.rec.holder = s.p.internHolder(s.holder)
	s.rec.expires = s.p.expiry(s.now, s.window)
	s.p.scheduleExpiry(s.digest, s.rec.expires)
	s.markChanged()
}

// markChanged includes the claim in the next commit.
func (s *claimEvent) markChanged() {
	s.p.hasChanges = true
	if !s.rec.inHead {
		s.rec.inHead = true
		s.p.headDigests = append(s.p.headDigests, s.digest)
	}
}

// fireClaimEvent raises an event for one claim and stores the resulting state.
func (p *Partition) fireClaimEvent(event string, s claimEvent) {
	rec, known := p.records[s.digest]
	if !known {
		rec.state = p.states.free
	}
	s.p, s.rec = p, &rec
	m, err := p.claimChart.Resume(int(rec.state), s.now, &s)
	if err != nil {
		panic(err) // the index comes from the same chart, so a failure is a programming error
	}
	if err := m.Fire(s.now, event); err != nil {
		panic(err) // the events are constants of this package, so a failure is a programming error
	}
	rec.state = uint8(m.Index())
	if rec.state == p.states.free || rec.state == p.states.gone {
		delete(p.records, s.digest)
		return
	}
	p.records[s.digest] = rec
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
		i, _ := ch.Index(name) // the error is ignored: a chart without the state fails to bind or never reaches it
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
