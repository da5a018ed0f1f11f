package charts

import "time"

// DefaultParams returns the values of the "$name" delays that the charts use when the owner gives none.
func DefaultParams() Params {
	return Params{
		"suspect_after": 3 * time.Second,
		"suspect_term":  3 * time.Second,
		"dead_kept":     time.Hour,
		"left_kept":     time.Minute,
		"session_term":  10 * time.Second,
		"lease_term":    2 * time.Second,
		"eject_time":    5 * time.Second,
		"warm_up_step":  1 * time.Second,
		"announce_time": 5 * time.Second,
		"drain_time":    25 * time.Second, // drain.limit less drain.announce
		"idle_limit":    60 * time.Second,
		"zone_quiet":    3 * time.Second,
		"zone_ramp":     10 * time.Second,
		"strike_expiry": 10 * time.Minute,
	}
}
