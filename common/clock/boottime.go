package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime returns the reading of CLOCK_BOOTTIME, a monotonic clock that also
// advances while the machine is suspended.
func Boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock CLOCK_BOOTTIME: " + err.Error()) // every supported kernel has this clock
	}
	return time.Duration(ts.Nano())
}
