// Package clock reads a steady clock that runs on while the host is suspended. Go's monotonic clock
// stands still then, so a lease that is measured with it can be taken for valid after it has lapsed.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Since is a reading of the clock: the time since the host started.
func Since() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every Linux that Go supports.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
