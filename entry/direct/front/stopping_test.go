package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// at returns a time after the start of a stop.
func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func TestRequestMayBeginWithoutStop(t *testing.T) {
	var s *plannedStop
	assert.Assert(t, s.accepts(at(0)))
	assert.Assert(t, s.mayBegin(at(0), at(time.Hour)))
}

// TestRequestMayBeginInStop has requests that are accepted, that come too late to end at any
// deadline, and that come late and end in time.
func TestRequestMayBeginInStop(t *testing.T) {
	s := newPlannedStop(at(0), at(7300*time.Millisecond))
	assert.Assert(t, s.mayBegin(at(2700*time.Millisecond), at(10*time.Second)))
	assert.Assert(t, !s.mayBegin(at(2800*time.Millisecond), at(10*time.Second)))
	assert.Assert(t, s.mayBegin(at(6*time.Second), at(7*time.Second)))
	assert.Assert(t, !s.accepts(at(6*time.Second)))
}

// TestNothingBegunLateEndsLate checks the invariant of plannedStop.
func TestNothingBegunLateEndsLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 20_000).Draw(t, name)) * time.Millisecond
		}
		s := newPlannedStop(at(0), at(ms("closes")))
		now, deadline := at(ms("now")), at(ms("deadline"))
		if s.mayBegin(now, deadline) {
			assert.Assert(t, now.Before(s.acceptUntil) || !deadline.After(s.closesAt))
		}
		assert.Assert(t, !s.acceptUntil.After(s.closesAt))
	})
}
