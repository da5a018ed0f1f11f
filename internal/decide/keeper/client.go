package keeper

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
)

const (
	// RenewInterval is the interval at which held slots are renewed. One exchange may be lost within the term.
	RenewInterval = LeaseTerm / 2
	// DemandInterval is the interval between requests while the instance could use more slots.
	DemandInterval = 250 * time.Millisecond
	// MinExchangeInterval is the least time between two exchanges that waiting requests cause. It equals the minimum time
	// between two lease requests in the default tuning of package balance.
	MinExchangeInterval = 100 * time.Millisecond
)

// Client is the holder's side of one shard. It builds the requests to the keeper and decides which slots a reply allows.
// It is owned by one task.
type Client struct {
	key          Key
	self         session.Identity
	epoch        uint64
	sequence     uint64
	inFlight     bool
	lastSent     time.Time
	nextExchange time.Time
	// hasGrants is true while the keeper counts slots for this instance. They must be returned even when the instance
	// needs none.
	hasGrants bool
}

// NewClient returns a client without slots.
func NewClient(key Key, self session.Identity) *Client { return &Client{key: key, self: self} }

// Key returns the shard.
func (c *Client) Key() Key { return c.key }

// NextExchange returns the time of the next exchange, and false while one is in flight.
func (c *Client) NextExchange() (time.Time, bool) { return c.nextExchange, !c.inFlight }

// Expedite moves the next exchange forward because requests are waiting.
func (c *Client) Expedite(now time.Time) {
	if soon := later(now, c.lastSent.Add(MinExchangeInterval)); soon.Before(c.nextExchange) {
		c.nextExchange = soon
	}
}

// Postpone moves the next exchange to the regular renewal time because no keeper can be reached now.
func (c *Client) Postpone(now time.Time) { c.nextExchange = now.Add(RenewInterval) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// NextRequest returns the request for a demand, to be sent at the given time. It returns false when no exchange is
// needed. Slots that are not among the held slots of the demand must not be used any more, whether or not the keeper
// answers.
func (c *Client) NextRequest(now time.Time, d balance.Demand, leaving bool) (Request, bool) {
	if leaving {
		d.Want = 0
	}
	c.nextExchange = now.Add(RenewInterval)
	if d.Want > 0 {
		c.nextExchange = now.Add(DemandInterval)
	}
	if d.Want == 0 && len(d.Held) == 0 && len(d.Reports) == 0 && !c.hasGrants {
		return Request{}, false
	}
	c.sequence++
	c.inFlight, c.lastSent = true, now
	req := Request{Holder: c.self, Sequence: c.sequence, Want: d.Want, Reports: d.Reports, Leaving: leaving}
	for _, h := range d.Held {
		req.Held = append(req.Held, HeldSlots{Server: h.Server, Slots: h.Slots, Busy: h.Busy})
	}
	return req, true
}

// HandleReply handles the reply to a request that was sent at the given time. It returns false for a reply that must
// not be used: the reply to an earlier request, from an earlier keeper, or after its term.
func (c *Client) HandleReply(now, sent time.Time, sequence uint64, r Reply) (balance.ShardLease, bool) {
	if sequence != c.sequence || !c.inFlight {
		return balance.ShardLease{}, false
	}
	c.inFlight, c.hasGrants = false, len(r.Grants) > 0
	expiresAt := sent.Add(min(r.Term, LeaseTerm))
	if r.Epoch < c.epoch || !now.Before(expiresAt) {
		return balance.ShardLease{}, false
	}
	c.epoch = r.Epoch
	return balance.ShardLease{Zone: c.key.Zone, Epoch: r.Epoch, ExpiresAt: expiresAt, Grants: r.Grants}, true
}

// HandleFailure marks a request as failed. A reply that arrives later is ignored.
func (c *Client) HandleFailure(sequence uint64) {
	if sequence == c.sequence {
		c.inFlight = false
	}
}
