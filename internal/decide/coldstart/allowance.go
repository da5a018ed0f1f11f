// Package coldstart limits how many requests this instance sends to a cold backend server.
//
// A cold server can handle a limited number of requests per second from all instances together. The limit is divided among
// the instances of the server's region by rendezvous hashing, so that the shares of all instances stay within it without
// coordination. When there are more instances than requests, only the highest-ranked instances may send any.
package coldstart

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// distributedFraction is the fraction of the bound that is distributed. The rest is a margin for instances that temporarily
// see different members, and for requests that are sent in one second and arrive in the next.
const distributedFraction = 0.6

// Bound returns the number of requests per second that all instances together may send to a cold server.
func Bound(perSecond, overshoot, slack float64) float64 { return perSecond*overshoot + slack }

// Share returns the number of requests that this instance may send to a server in any second, given the names of the
// instances in the server's region. An instance outside that region has no share.
func Share(bound float64, server, self string, instances []string) int {
	total := int(bound * distributedFraction)
	if !slices.Contains(instances, self) || total < 1 {
		return 0
	}
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(server, b), weight(server, a)), cmp.Compare(a, b))
	})
	rank := slices.Index(ranked, self)
	share := total / len(ranked)
	if rank < total%len(ranked) {
		share++
	}
	return share
}

// DiscoveryTime is how long an instance may take to discover all others and to be discovered by them, once its entry has been
// read from the store: two reads of the entries until the last instance has it.
const DiscoveryTime = 4 * time.Second

// assumedInstances is the number of instances that a newly started instance assumes in its region.
const assumedInstances = 6

// StartupShare returns the share of an instance whose entry was not read from the store before DiscoveryTime: it may not have
// discovered other newly started instances yet.
func StartupShare(bound float64, share int) int {
	return min(share, max(int(bound*distributedFraction)/assumedInstances, 1))
}

func weight(server, instance string) uint64 { return xxhash.Sum64String(server + "\x00" + instance) }

// Meter limits the requests to one server in any second with a sliding window. It is owned by one task.
type Meter struct{ sent []time.Time }

// meterWindow is the length of the sliding window: one second, plus a margin for variable network delay.
const meterWindow = 1200 * time.Millisecond

// Take reports whether a request is within the share, and counts it if so.
func (m *Meter) Take(now time.Time, share int) bool {
	if !m.HasCapacity(now, share) {
		return false
	}
	m.sent = append(m.sent, now)
	return true
}

// HasCapacity reports whether a request would be within the share.
func (m *Meter) HasCapacity(now time.Time, share int) bool {
	for len(m.sent) > 0 && now.Sub(m.sent[0]) >= meterWindow {
		m.sent = m.sent[1:]
	}
	return len(m.sent) < share
}

// Record counts a request that was sent without a limit, while the server was considered warm.
func (m *Meter) Record(now time.Time) {
	m.HasCapacity(now, 0)
	m.sent = append(m.sent, now)
}
