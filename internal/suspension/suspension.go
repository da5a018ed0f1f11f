// Package suspension measures for how long the machine has been suspended. The monotonic clock behind time.Time stops
// during a suspension, so an age measured with it is too small by that time.
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total returns how long the machine has been suspended since it started, to within a millisecond. It returns zero where the
// operating system does not provide the clocks.
func Total() time.Duration {
	var boottime, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boottime) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0 // without these clocks a suspension cannot be measured
	}
	return time.Duration(boottime.Nano() - monotonic.Nano())
}
