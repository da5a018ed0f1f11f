package retry

// burst is the most tokens that a budget saves up. A short fault can then be bridged after a calm time.
const burst = 10

// Budget is a token bucket that requests fill.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a full budget for the given share of requests, from 0 to 1. A share of zero allows nothing.
func NewBudget(share float64) *Budget {
	b := &Budget{}
	b.SetShare(share)
	b.tokens = burst
	return b
}

// SetShare changes the share of requests.
func (b *Budget) SetShare(share float64) { b.share = share }

// Earn counts one request of a caller.
func (b *Budget) Earn() { b.tokens = min(burst, b.tokens+b.share) }

// Spend takes a token for one more copy of a request and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.share <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund gives back a token whose copy was not sent.
func (b *Budget) Refund() { b.tokens = min(burst, b.tokens+1) }
