package retry

// burst is the capacity of the token bucket, in copies of requests. Saved tokens cover the retries of a short outage.
const burst = 10

// Budget is a token bucket for resends and hedges. Each request of a caller adds a fraction of a token.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a full budget. The share, from 0 to 1, is the number of tokens per request; a share of zero allows no
// copy, not even from saved tokens.
func NewBudget(share float64) *Budget {
	b := &Budget{}
	b.SetShare(share)
	b.tokens = burst
	return b
}

// SetShare changes the number of tokens per request.
func (b *Budget) SetShare(share float64) { b.share = share }

// AddRequest counts one request of a caller.
func (b *Budget) AddRequest() { b.tokens = min(burst, b.tokens+b.share) }

// Spend takes a token for one more copy of a request and reports whether one was available.
func (b *Budget) Spend() bool {
	if b.share <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns the token of a copy that was not sent.
func (b *Budget) Refund() { b.tokens = min(burst, b.tokens+1) }
