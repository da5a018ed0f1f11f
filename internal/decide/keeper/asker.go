package keeper

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
)

const (
	// KeepEvery renews what is held: one exchange may be lost within the term.
	KeepEvery = Term / 2
	// WantEvery is how often an instance asks while it could use more slots.
	WantEvery = 250 * time.Millisecond
	// NudgeGap bounds the exchanges that waiting requests cause.
	NudgeGap = 20 * time.Millisecond
)

// Asker is the holder's side of one shard: it asks the keeper and decides what a reply allows. It is owned by one task.
type Asker struct {
	key      Key
	self     session.Identity
	epoch    uint64
	sequence uint64
	asking   bool
	asked    time.Time
	next     time.Time
}

// NewAsker returns an asker that holds nothing.
func NewAsker(key Key, self session.Identity) *Asker { return &Asker{key: key, self: self} }

// Key returns the shard.
func (a *Asker) Key() Key { return a.key }

// Due returns when the asker wants to know the demand next, and false while an exchange is under way.
func (a *Asker) Due() (time.Time, bool) { return a.next, !a.asking }

// Nudge brings the next exchange forward, because requests wait.
func (a *Asker) Nudge(now time.Time) {
	if soon := later(now, a.asked.Add(NudgeGap)); soon.Before(a.next) {
		a.next = soon
	}
}

// Rest waits for the next regular exchange, because nobody can be asked now.
func (a *Asker) Rest(now time.Time) { a.next = now.Add(KeepEvery) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Ask returns the request for a demand, and false when there is nothing to say. The time is when it is sent. What the
// demand does not hold must not be used any more, whether or not the keeper answers.
func (a *Asker) Ask(now time.Time, d balance.Demand, leaving bool) (Request, bool) {
	a.next = now.Add(KeepEvery)
	if d.Want > 0 {
		a.next = now.Add(WantEvery)
	}
	if d.Want == 0 && len(d.Held) == 0 && len(d.Reports) == 0 && !leaving {
		return Request{}, false
	}
	a.sequence++
	a.asking, a.asked = true, now
	req := Request{Holder: a.self, Sequence: a.sequence, Want: d.Want, Reports: d.Reports, Leaving: leaving}
	for _, h := range d.Held {
		req.Held = append(req.Held, Held{Server: h.Server, Slots: h.Slots, Busy: h.Busy})
	}
	return req, true
}

// Replied takes the reply to a request that was sent at the given time. It reports false for a reply that allows
// nothing: to an earlier request, of an earlier keeper, or after its term.
func (a *Asker) Replied(now, sent time.Time, sequence uint64, r Reply) (balance.Leased, bool) {
	if sequence != a.sequence || !a.asking {
		return balance.Leased{}, false
	}
	a.asking = false
	until := sent.Add(min(r.Term, Term))
	if r.Epoch < a.epoch || !now.Before(until) {
		return balance.Leased{}, false
	}
	a.epoch = r.Epoch
	return balance.Leased{Zone: a.key.Zone, Epoch: r.Epoch, Until: until, Grants: r.Grants}, true
}

// Failed gives up the reply to a request. It is ignored if it arrives later.
func (a *Asker) Failed(sequence uint64) {
	if sequence == a.sequence {
		a.asking = false
	}
}
