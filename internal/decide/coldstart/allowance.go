// Package coldstart decides how many requests a cold backend server gets from this instance.
//
// A cold server bears a number of requests a second from all instances together. The number is divided by rendezvous
// hashing among the instances of the server's region, so that the shares of any set of instances keep to it without
// messages. Where there are more instances than requests, only the first ones by hash may send any.
package coldstart

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// use is the part of the bound that is given out. The rest covers instances that know different members for a while,
// and requests that were sent in one second and arrive in the next.
const use = 0.6

// Bound returns the requests a second that all instances together may send to a cold server.
func Bound(perSecond, overshoot, slack float64) float64 { return perSecond*overshoot + slack }

// Share returns the requests that this instance may send to a server in any second, by the names of the instances of
// the server's region. An instance outside that region has none.
func Share(bound float64, server, self string, instances []string) int {
	total := int(bound * use)
	if !slices.Contains(instances, self) || total < 1 {
		return 0
	}
	order := slices.Clone(instances)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(server, b), weight(server, a)), cmp.Compare(a, b))
	})
	rank := slices.Index(order, self)
	share := total / len(order)
	if rank < total%len(order) {
		share++
	}
	return share
}

// SettleTime is how long an instance may take to know all others and to be known by them: an entry in the store, and two
// readings of the entries on the way to the last one.
const SettleTime = 4 * time.Second

// strangers is the number of instances that one which has just started takes for granted in its region.
const strangers = 6

// FirstShare returns the share of an instance that has run for less than SettleTime. It may not know others yet that
// have just started as well.
func FirstShare(bound float64, share int) int {
	return min(share, max(int(bound*use)/strangers, 1))
}

func weight(server, instance string) uint64 { return xxhash.Sum64String(server + "\x00" + instance) }

// Meter counts the requests that were sent to one server in the last second. It is owned by one task.
type Meter struct{ sent []time.Time }

// window is the second in which requests are counted, and a part of another for those on their way.
const window = 1200 * time.Millisecond

// Take counts a request and reports whether it is within the share.
func (m *Meter) Take(now time.Time, share int) bool {
	if !m.Room(now, share) {
		return false
	}
	m.sent = append(m.sent, now)
	return true
}

// Room reports whether a request would be within the share.
func (m *Meter) Room(now time.Time, share int) bool {
	for len(m.sent) > 0 && now.Sub(m.sent[0]) >= window {
		m.sent = m.sent[1:]
	}
	return len(m.sent) < share
}

// Count counts a request that was sent while the server was taken as warm.
func (m *Meter) Count(now time.Time) {
	m.Room(now, 0)
	m.sent = append(m.sent, now)
}
