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
		"witness_term":  2 * time.Second,
		"lease_term":    2 * time.Second,
		"eject_time":    5 * time.Second,
		"warm_up_step":  1 * time.Second,
		"announce_time": 5 * time.Second,
		"drain_time":    25 * time.Second, // drain.limit less drain.announce
		"idle_limit":    60 * time.Second,
		"zone_quiet":    3 * time.Second,
		"zone_return":   10 * time.Second,
		"strike_expiry": 10 * time.Minute,
		"down_time":     1 * time.Second,
		"audit_pause":   10 * time.Second,
		// Longer than the dial by which the instance that lost a connection examines the server.
		"examine": 2 * time.Second,
		// The time in which a server that broke a connection must refuse another one, or report a new start, for the
		// break to count as a crash.
		"confirm_within": 30 * time.Second,
		// 200 writes a second divided over 4 partitions.
		"commit_interval": 20 * time.Millisecond,
		"settle_delay":    time.Second,
		"store_retry":     time.Second,
		"takeover_pause":  time.Second,
	}
}
