package charts

import "time"

// DefaultParams returns the values of the "$name" delays that the charts use when the owner gives none.
func DefaultParams() Params {
	return Params{
		"suspect_after": 3 * time.Second,
		"dead_after":    6 * time.Second,
		"session_term":  10 * time.Second,
		"lease_term":    2 * time.Second,
		"eject_time":    5 * time.Second,
		"warm_up_step":  1 * time.Second,
		"drain_limit":   30 * time.Second,
		"idle_limit":    60 * time.Second,
		"zone_quiet":    3 * time.Second,
		"zone_return":   10 * time.Second,
		"strike_expiry": 10 * time.Minute,
	}
}
