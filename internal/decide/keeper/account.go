package keeper

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/session"
)

// account bounds the slots of one server that one instance may be using. The instance uses its latest grant or, when
// that reply was lost, the slots that it held when it sent the request. Both count until they expire or until the
// instance reports what it holds.
type account struct{ held, granted expiringSlots }

// expiringSlots is a number of slots with the time at which they expire.
type expiringSlots struct {
	slots   int
	expires time.Time
}

func (c expiringSlots) inForce(now time.Time) int {
	if now.Before(c.expires) {
		return c.slots
	}
	return 0
}

func (a account) inForce(now time.Time) int { return max(a.held.inForce(now), a.granted.inForce(now)) }

// reconcile replaces the assumed slots by those that the instance reports. Busy slots, and slots that an earlier keeper
// granted, are counted for a full lease from now.
func (a account) reconcile(now time.Time, h HeldSlots) account {
	until := a.held.expires
	if a.granted.expires.After(until) {
		until = a.granted.expires
	}
	if h.Busy > 0 || h.Slots > a.inForce(now) {
		until = now.Add(GracePeriod)
	}
	return account{held: expiringSlots{slots: h.Slots, expires: until}}
}

// inForceExcept returns how many slots of the server may be in use by all instances except one.
func (s *server) inForceExcept(now time.Time, excluded session.Identity) int {
	sum := 0
	for holder, a := range s.accounts {
		if holder != excluded {
			sum += a.inForce(now)
		}
	}
	return sum
}

// dropExpired deletes the accounts whose slots have all expired.
func (s *server) dropExpired(now time.Time) {
	for holder, a := range s.accounts {
		if a.inForce(now) == 0 {
			delete(s.accounts, holder)
		}
	}
}
