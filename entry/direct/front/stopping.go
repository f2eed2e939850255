package front

import "time"

// AcceptAfterStop is how long after Stop new requests are still accepted. Connections arrive
// for slightly more than 2 s: the platform checks once a second whether an entry is ready and
// acts on the second negative result.
const AcceptAfterStop = 2800 * time.Millisecond

// stopRetryAfter is the Retry-After of requests that another entry accepts.
const stopRetryAfter = 50 * time.Millisecond

// repeatMargin is how many times the longest known duration of its kind must be left for a
// request that is sent once more after new requests are no longer accepted.
const repeatMargin = 2

// plannedStop decides which requests may be sent to a server while the process stops. It has
// no clock.
//
// Invariants:
//   - What is sent to a server for the first time from acceptUntil on has a deadline that ends
//     before closesAt.
//   - Nothing is sent of which it is known that it hardly ends before closesAt.
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

// sending is what plannedStop knows of a request that is to be sent to a server.
type sending struct {
	deadline time.Time
	kind     kindDuration
	repeated bool // a server has been sent the request before
}

// mayBegin reports whether a request may be sent to a server now.
func (s *plannedStop) mayBegin(now time.Time, q sending) bool {
	ends := func(after time.Duration) bool { return !now.Add(after).After(s.closesAt) }
	switch {
	case s == nil || !q.deadline.After(s.closesAt):
		return true
	case s.accepts(now):
		return ends(q.kind.usual)
	}
	return q.repeated && q.kind.longest > 0 && ends(repeatMargin*q.kind.longest)
}
