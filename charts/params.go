package charts

import "time"

// DefaultParams returns the values of the "$name" delays that the caller of Load does not set.
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
		"drain_time":    25 * time.Second, // drain.limit minus drain.announce
		"idle_limit":    60 * time.Second,
		"zone_quiet":    3 * time.Second,
		"zone_return":   10 * time.Second,
		"strike_expiry": 10 * time.Minute,
		// Longer than a request that runs alone may take.
		"trial_limit": 30 * time.Second,
		"down_time":   1 * time.Second,
		"audit_pause": 10 * time.Second,
		// Longer than the dial with which the instance that lost a connection checks the server.
		"examine": 2 * time.Second,
		// A broken connection counts as a crash only if the server refuses another connection, or reports a restart,
		// within this time.
		"confirm_within": 30 * time.Second,
		// 200 writes per second, divided among 4 partitions.
		"commit_interval": 20 * time.Millisecond,
		"settle_delay":    time.Second,
		"store_retry":     time.Second,
		"takeover_pause":  time.Second,
	}
}
