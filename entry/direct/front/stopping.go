package front

import (
	"time"
)

// AcceptAfterStop is how long after Stop new requests are still accepted. Connections arrive
// for slightly more than 2 s: the platform checks once a second whether an entry is ready and
// acts on the second negative result.
const AcceptAfterStop = 2800 * time.Millisecond

// stopRetryAfter is the Retry-After of requests that another entry accepts.
const stopRetryAfter = 50 * time.Millisecond

// plannedStop decides which requests may be sent to a server while the process stops. It has
// no clock.
//
// Invariant: what is sent to a server from acceptUntil on ends before closesAt.
type plannedStop struct {
	began       time.Time
	acceptUntil time.Time // from then on no new request is accepted
	closesAt    time.Time // when requests in progress are aborted
}

func newPlannedStop(began, closesAt time.Time) *plannedStop {
	s := &plannedStop{began: began, acceptUntil: began.Add(AcceptAfterStop), closesAt: closesAt}
	if closesAt.Before(s.acceptUntil) {
		s.acceptUntil = closesAt
	}
	return s
}

// accepts reports whether a request that arrives now is accepted.
func (s *plannedStop) accepts(now time.Time) bool { return s == nil || now.Before(s.acceptUntil) }

// mayBegin reports whether a request with the given deadline may be sent to a server now.
func (s *plannedStop) mayBegin(now, deadline time.Time) bool {
	return s.accepts(now) || !deadline.After(s.closesAt)
}
