package keeper

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/session"
)

// account is what one instance may be using of one server. The instance uses what it was granted last or, when that
// reply was lost, what it held when it asked, so both count until they expire or the instance says what it holds.
type account struct{ held, granted claim }

type claim struct {
	slots int
	until time.Time
}

func (c claim) inForce(now time.Time) int {
	if now.Before(c.until) {
		return c.slots
	}
	return 0
}

func (a account) inForce(now time.Time) int { return max(a.held.inForce(now), a.granted.inForce(now)) }

// confirm replaces what the instance may hold by what it says that it holds. Slots that carry a request, and slots of
// an earlier keeper, count for a full lease.
func (a account) confirm(now time.Time, h Held) account {
	until := a.held.until
	if a.granted.until.After(until) {
		until = a.granted.until
	}
	if h.Busy > 0 || h.Slots > a.inForce(now) {
		until = now.Add(GracePeriod)
	}
	return account{held: claim{slots: h.Slots, until: until}}
}

// inForce returns how many slots of the server all instances but one may be using.
func (s *server) inForce(now time.Time, except session.Identity) int {
	sum := 0
	for holder, a := range s.accounts {
		if holder != except {
			sum += a.inForce(now)
		}
	}
	return sum
}

// expire forgets accounts that count for nothing.
func (s *server) expire(now time.Time) {
	for holder, a := range s.accounts {
		if a.inForce(now) == 0 {
			delete(s.accounts, holder)
		}
	}
}
