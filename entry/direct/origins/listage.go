package origins

import (
	"time"

	"peridotchute.example/common/clock"
)

// listAge measures the age of the list of servers, also while the machine is suspended.
type listAge struct {
	read      time.Time
	suspended time.Duration // total up to the update before the last one, which was before the read
	updated   time.Duration // total up to the last update
}

// suspendedTime returns for how long the machine was suspended, plus a constant.
func suspendedTime() time.Duration { return clock.Boottime() - time.Since(processStart) }

var processStart = time.Now()

// update records a list that was requested at read. It reports whether the list before it
// was too old to have shown all versions until then.
func (a *listAge) update(read time.Time, suspended time.Duration) (gap bool) {
	if read.Equal(a.read) {
		return false
	}
	gap = a.read.IsZero() || read.Sub(a.read)+suspended-a.suspended > freshFor
	a.read, a.suspended, a.updated = read, a.updated, suspended
	if a.suspended == 0 {
		a.suspended = suspended
	}
	return gap
}

// of returns the age of the list.
func (a *listAge) of(now time.Time, suspended time.Duration) time.Duration {
	return now.Sub(a.read) + suspended - a.suspended
}
