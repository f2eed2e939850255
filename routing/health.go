package routing

import "time"

const (
	failuresToEject = 5               // consecutive failures
	firstEjection   = 2 * time.Second // doubled by each further failure
	maxEjection     = 30 * time.Second
)

// Eject returns until when a server with the given number of consecutive
// failures is ejected, that is, gets no requests. It returns the zero time if
// there are too few failures.
func Eject(failures int, now time.Time) time.Time {
	if failures < failuresToEject {
		return time.Time{}
	}
	wait := firstEjection
	for range failures - failuresToEject {
		wait *= 2
		if wait >= maxEjection {
			return now.Add(maxEjection)
		}
	}
	return now.Add(wait)
}
