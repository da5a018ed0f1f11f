// Package resend decides whether a request may be sent to a backend server once more.
//
// The budget of a service holds over all instances: in any window, arrivals beyond the first of each request stay below
// a ratio of the requests plus a fixed slack. Each instance keeps to its own share without talking to the others: the
// ratio of the requests that it took itself, and its part of the slack.
package resend

import "time"

// Terms are the bounds of one service over all instances.
type Terms struct {
	// Ratio of arrivals beyond the first to requests.
	Ratio float64
	// Slack is the number of such arrivals that is always allowed in a window.
	Slack float64
	// Window is the length of any window that is counted.
	Window time.Duration
}

const (
	// buckets divides the window. The oldest bucket counts whole, so the sum never covers less than the window.
	buckets = 10
	// use is the part of the share that is used. The rest covers requests that other instances count in another window.
	use = 0.8
)

// Budget counts requests and resends of one service at this instance. It is owned by one task.
type Budget struct {
	terms    Terms
	start    time.Time
	requests [buckets + 1]int
	resends  [buckets + 1]int
}

// NewBudget returns a budget in which nothing was counted.
func NewBudget(terms Terms) *Budget { return &Budget{terms: terms} }

// Request counts a request of a caller.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[0]++
}

// Take counts a resend and reports whether it is within the share of one of the given number of instances.
func (b *Budget) Take(now time.Time, instances int) bool {
	b.advance(now)
	if float64(sum(b.resends)+1) > b.Allowed(instances) {
		return false
	}
	b.resends[0]++
	return true
}

// Allowed returns the resends that the share allows in the present window.
func (b *Budget) Allowed(instances int) float64 {
	return use * (b.terms.Ratio*float64(sum(b.requests)-b.requests[buckets]) + b.terms.Slack/float64(max(instances, 1)))
}

// Left returns the resends that the share still allows, as of the last Request or Take.
func (b *Budget) Left(instances int) float64 {
	return max(b.Allowed(instances)-float64(sum(b.resends)), 0)
}

// advance moves the counts to older buckets as time passes.
func (b *Budget) advance(now time.Time) {
	step := b.terms.Window / buckets
	if step <= 0 {
		return
	}
	if b.start.IsZero() || now.Sub(b.start) > 2*b.terms.Window {
		*b = Budget{terms: b.terms, start: now}
		return
	}
	for now.Sub(b.start) >= step {
		b.start = b.start.Add(step)
		copy(b.requests[1:], b.requests[:buckets])
		copy(b.resends[1:], b.resends[:buckets])
		b.requests[0], b.resends[0] = 0, 0
	}
}

func sum(counts [buckets + 1]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
