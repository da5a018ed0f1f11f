// Package resend limits how often requests are resent to backend servers.
//
// The budget of a service holds in total over all instances: in any window, the resends stay below a ratio of the
// requests plus a fixed slack. Each instance keeps to its own share without coordination with the others: the ratio
// applied to the requests that it received itself, and an equal part of the slack.
package resend

import "time"

// Limits are the limits on the resends of one service, in total over all instances.
type Limits struct {
	// Ratio is the number of resends allowed per request.
	Ratio float64
	// Slack is the number of resends in a window that is allowed in addition, whatever the number of requests.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// buckets is the number of buckets per window. The bucket that is partly older than the window counts in full for
	// resends and not at all for requests, so that the limit holds in any window.
	buckets = 10
	// usedFraction is the fraction of the share that is used. The rest is a margin for requests that instances count in
	// different windows.
	usedFraction = 0.8
)

// Budget counts the requests and resends of one service at this instance. It is owned by one task.
type Budget struct {
	limits      Limits
	bucketStart time.Time
	requests    [buckets + 1]int
	resends     [buckets + 1]int
}

// NewBudget returns a budget with all counts at zero.
func NewBudget(limits Limits) *Budget { return &Budget{limits: limits} }

// SetLimits replaces the limits. The resends that were counted still count, in a new window as if they were made just now.
func (b *Budget) SetLimits(limits Limits) {
	if limits.Window != b.limits.Window {
		resends := sum(b.resends)
		b.requests, b.resends = [buckets + 1]int{}, [buckets + 1]int{resends}
	}
	b.limits = limits
}

// CountRequest counts a request of a caller.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[0]++
}

// Take counts a resend if this instance's share, given the number of instances, allows it, and reports whether it does.
func (b *Budget) Take(now time.Time, instances int) bool {
	b.advance(now)
	if float64(sum(b.resends)+1) > b.Allowed(instances) {
		return false
	}
	b.resends[0]++
	return true
}

// Allowed returns how many resends the share allows in the current window.
func (b *Budget) Allowed(instances int) float64 {
	return usedFraction * (b.limits.Ratio*float64(sum(b.requests)-b.requests[buckets]) +
		b.limits.Slack/float64(max(instances, 1)))
}

// Remaining returns how many more resends the share allows, as of the last CountRequest or Take.
func (b *Budget) Remaining(instances int) float64 {
	return max(b.Allowed(instances)-float64(sum(b.resends)), 0)
}

// advance shifts the counts to older buckets as time passes.
func (b *Budget) advance(now time.Time) {
	step := b.limits.Window / buckets
	if step <= 0 {
		return
	}
	if b.bucketStart.IsZero() || now.Sub(b.bucketStart) > 2*b.limits.Window {
		*b = Budget{limits: b.limits, bucketStart: now}
		return
	}
	for now.Sub(b.bucketStart) >= step {
		b.bucketStart = b.bucketStart.Add(step)
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
