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
	// ExpediteGap bounds the exchanges that waiting requests cause. It is the AskInterval of package balance.
	ExpediteGap = 100 * time.Millisecond
)

// Client is the holder's side of one shard: it asks the keeper and decides what a reply allows. It is owned by one task.
type Client struct {
	key      Key
	self     session.Identity
	epoch    uint64
	sequence uint64
	asking   bool
	asked    time.Time
	next     time.Time
	// granted is true while the keeper counts slots for this instance. They are returned even when nothing is wanted.
	granted bool
}

// NewClient returns a client that holds nothing.
func NewClient(key Key, self session.Identity) *Client { return &Client{key: key, self: self} }

// Key returns the shard.
func (c *Client) Key() Key { return c.key }

// Due returns when the client wants to know the demand next, and false while an exchange is under way.
func (c *Client) Due() (time.Time, bool) { return c.next, !c.asking }

// Expedite brings the next exchange forward, because requests wait.
func (c *Client) Expedite(now time.Time) {
	if soon := later(now, c.asked.Add(ExpediteGap)); soon.Before(c.next) {
		c.next = soon
	}
}

// Postpone waits for the next regular exchange, because nobody can be asked now.
func (c *Client) Postpone(now time.Time) { c.next = now.Add(KeepEvery) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Ask returns the request for a demand, and false when there is nothing to say. The time is when it is sent. What the
// demand does not hold must not be used any more, whether or not the keeper answers.
func (c *Client) Ask(now time.Time, d balance.Demand, leaving bool) (Request, bool) {
	if leaving {
		d.Want = 0
	}
	c.next = now.Add(KeepEvery)
	if d.Want > 0 {
		c.next = now.Add(WantEvery)
	}
	if d.Want == 0 && len(d.Held) == 0 && len(d.Reports) == 0 && !c.granted {
		return Request{}, false
	}
	c.sequence++
	c.asking, c.asked = true, now
	req := Request{Holder: c.self, Sequence: c.sequence, Want: d.Want, Reports: d.Reports, Leaving: leaving}
	for _, h := range d.Held {
		req.Held = append(req.Held, Held{Server: h.Server, Slots: h.Slots, Busy: h.Busy})
	}
	return req, true
}

// Replied takes the reply to a request that was sent at the given time. It reports false for a reply that allows
// nothing: to an earlier request, of an earlier keeper, or after its term.
func (c *Client) Replied(now, sent time.Time, sequence uint64, r Reply) (balance.Leased, bool) {
	if sequence != c.sequence || !c.asking {
		return balance.Leased{}, false
	}
	c.asking, c.granted = false, len(r.Grants) > 0
	until := sent.Add(min(r.Term, Term))
	if r.Epoch < c.epoch || !now.Before(until) {
		return balance.Leased{}, false
	}
	c.epoch = r.Epoch
	return balance.Leased{Zone: c.key.Zone, Epoch: r.Epoch, Until: until, Grants: r.Grants}, true
}

// Failed gives up the reply to a request. It is ignored if it arrives later.
func (c *Client) Failed(sequence uint64) {
	if sequence == c.sequence {
		c.asking = false
	}
}
