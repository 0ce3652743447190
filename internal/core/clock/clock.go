// Package clock reads a monotonic clock that includes the time the host is suspended. Go's monotonic
// clock excludes it, so a lease measured with Go's clock can appear valid after it has expired.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Since returns the time since the host booted, including time suspended.
func Since() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux version that Go supports has CLOCK_BOOTTIME.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
