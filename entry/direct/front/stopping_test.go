package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// at returns a time after the start of a stop.
func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// until returns a request of an unknown kind with a deadline.
func until(deadline time.Duration) sending { return sending{deadline: at(deadline)} }

func TestRequestMayBeginWithoutStop(t *testing.T) {
	var s *plannedStop
	assert.Assert(t, s.accepts(at(0)))
	assert.Assert(t, s.mayBegin(at(0), until(time.Hour)))
}

// TestRequestMayBeginInStop has requests that are accepted, that come too late to end at any
// deadline, and that come late and end in time.
func TestRequestMayBeginInStop(t *testing.T) {
	s := newPlannedStop(at(0), at(7300*time.Millisecond))
	assert.Assert(t, s.mayBegin(at(2700*time.Millisecond), until(10*time.Second)))
	assert.Assert(t, !s.mayBegin(at(2800*time.Millisecond), until(10*time.Second)))
	assert.Assert(t, s.mayBegin(at(6*time.Second), until(7*time.Second)))
	assert.Assert(t, !s.accepts(at(6*time.Second)))
}

// TestKnownKindInStop has kinds of requests that are known to take longer than the process has
// left, and known to take little time.
func TestKnownKindInStop(t *testing.T) {
	s := newPlannedStop(at(0), at(7300*time.Millisecond))
	long := sending{deadline: at(time.Minute), kind: kindDuration{usual: 5 * time.Second, longest: 6 * time.Second}}
	assert.Assert(t, s.mayBegin(at(2*time.Second), long))
	assert.Assert(t, !s.mayBegin(at(2400*time.Millisecond), long))
	short := sending{deadline: at(time.Minute), kind: kindDuration{usual: 20 * time.Millisecond, longest: time.Second}}
	assert.Assert(t, s.mayBegin(at(2700*time.Millisecond), short))
	assert.Assert(t, !s.mayBegin(at(3*time.Second), short), "another entry accepts it")
	short.repeated = true
	assert.Assert(t, s.mayBegin(at(5300*time.Millisecond), short))
	assert.Assert(t, !s.mayBegin(at(5400*time.Millisecond), short))
}

// TestNothingBegunLateEndsLate checks the invariants of plannedStop.
func TestNothingBegunLateEndsLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 20_000).Draw(t, name)) * time.Millisecond
		}
		s := newPlannedStop(at(0), at(ms("closes")))
		assert.Assert(t, !s.acceptUntil.After(s.closesAt))
		now := at(ms("now"))
		q := sending{deadline: at(ms("deadline")), kind: kindDuration{usual: ms("usual")}, repeated: rapid.Bool().Draw(t, "repeated")}
		q.kind.longest = q.kind.usual + ms("more")
		if !s.mayBegin(now, q) || !q.deadline.After(s.closesAt) {
			return
		}
		assert.Assert(t, now.Before(s.acceptUntil) || q.repeated)
		assert.Assert(t, !now.Add(q.kind.usual).After(s.closesAt))
	})
}
