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

// step is the context of charts/claim.toml for one event of one claim.
type step struct {
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

type claimChart = chart.Bound[*step]

func bindClaim(ch *chart.Chart) (*claimChart, error) {
	return chart.Bind(ch, chart.Bindings[*step]{
		Guards: map[string]func(*step) bool{
			"store_down":       func(s *step) bool { return s.p.machine.In("disconnected") },
			"other_request":    func(s *step) bool { return s.rec.check != s.check },
			"own_attempt":      func(s *step) bool { return s.sameHolder() && s.rec.attempt == s.attempt },
			"attempt_released": func(s *step) bool { return s.sameHolder() && s.attempt <= s.rec.attempt },
			"holder_gone":      func(s *step) bool { return s.p.peers.Gone(s.now, s.view, s.p.holders[s.rec.holder]) },
		},
		Actions: map[string]func(*step){
			"record_claim":      (*step).recordClaim,
			"record_settlement": (*step).record,
			"change":            (*step).change,
			"keep_answer":       func(s *step) { s.p.answers.add(s.digest, s.answer) },
			"forget_answer":     func(s *step) { s.p.answers.remove(s.digest) },
			"reply_granted":     func(s *step) { s.reply(Granted) },
			"reply_in_progress": func(s *step) { s.reply(InProgress) },
			"reply_answered":    func(s *step) { s.reply(WasAnswered) },
			"reply_unknown":     func(s *step) { s.reply(OutcomeUnknown) },
			"reply_unavailable": func(s *step) { s.reply(StoreUnavailable) },
			"reply_refused":     func(s *step) { s.reply(Refused) },
			"reply_key_reused":  func(s *step) { s.reply(KeyReused) },
		},
	})
}

func (s *step) sameHolder() bool { return s.p.holders[s.rec.holder] == s.holder }

func (s *step) reply(v Verdict) {
	var answer *call.Answer
	if v == WasAnswered {
		answer = s.p.answers.kept[s.digest]
	}
	s.p.reply(s.ticket, v, answer)
}

// recordClaim adds the claim to the next commit.
func (s *step) recordClaim() {
	s.record()
	s.p.next = append(s.p.next, pending{digest: s.digest, ticket: s.ticket})
}

// record sets the fields of the claim from the message and schedules its expiry.
func (s *step) record() {
	s.rec.check = s.check
	s.rec.attempt = s.attempt
	s.rec.holder = s.p.intern(s.holder)
	s.rec.expires = s.p.expiry(s.now, s.window)
	s.p.expireLater(s.digest, s.rec.expires)
	s.change()
}

// change includes the claim in the next commit.
func (s *step) change() {
	s.p.changed = true
	if !s.rec.inHead {
		s.rec.inHead = true
		s.p.inHead = append(s.p.inHead, s.digest)
	}
}

// fire raises an event for one claim and stores the resulting state.
func (p *Partition) fire(event string, s step) {
	rec, known := p.records[s.digest]
	if !known {
		rec.state = p.states.free
	}
	s.p, s.rec = p, &rec
	m, err := p.claims.Resume(int(rec.state), s.now, &s)
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

// states holds the indices of the states in charts/claim.toml.
type states struct {
	free, gone, committing, withdrawn uint8
	// stored maps a state to the one stored in the object API; loaded maps a stored state to the one after loading.
	stored map[uint8]StoredState
	loaded map[StoredState]uint8
}

func indexStates(ch *chart.Chart) states {
	index := func(name string) uint8 {
		i, _ := ch.Index(name) // the error is ignored: a chart without the state fails to bind or never reaches it
		return uint8(i)
	}
	claimed, answered, released, unknown := index("claimed"), index("answered"), index("released"), index("unknown")
	committing, withdrawn := index("committing"), index("withdrawn")
	return states{
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
