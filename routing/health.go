package routing

import "time"

const (
	failuresToEject = 5               // in a row
	firstEjection   = 2 * time.Second // doubled with each further failure
	longestEjection = 30 * time.Second
)

// Eject returns until when a server with this many consecutive failures takes
// no requests; the zero time while there are too few.
func Eject(failures int, now time.Time) time.Time {
	if failures < failuresToEject {
		return time.Time{}
	}
	wait := firstEjection
	for range failures - failuresToEject {
		wait *= 2
		if wait >= longestEjection {
			return now.Add(longestEjection)
		}
	}
	return now.Add(wait)
}
