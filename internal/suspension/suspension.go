// Package suspension tells for how long the machine has been suspended. The steady clock behind time.Time stands still
// meanwhile, so an age that was measured with it is too small by that time.
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total returns how long the machine has been suspended since it started, to within a millisecond. It returns zero where the
// system does not tell.
func Total() time.Duration {
	var counted, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &counted) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0 // a system without these clocks does not suspend
	}
	return time.Duration(counted.Nano() - steady.Nano())
}
