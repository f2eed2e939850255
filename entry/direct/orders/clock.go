package orders

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime reads the steady clock that also runs while the machine is
// suspended.
func Boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock CLOCK_BOOTTIME: " + err.Error()) // every supported kernel has it
	}
	return time.Duration(ts.Nano())
}
