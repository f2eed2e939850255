package orders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeaseStaysAtWeakVM runs a lease holder to which an entry with more processor connects.
func TestLeaseStaysAtWeakVM(t *testing.T) {
	clock, table := &fakeClock{now: time.Hour}, newTable()
	weak, strong := newLease(table, "weak", clock), newLease(table, "strong", clock)
	connected := false
	weak.defers = func() bool { return connected }
	step(t, weak)
	step(t, strong)
	clock.add(yieldAfter)
	step(t, weak)
	_, yielded := weak.yield()
	assert.Assert(t, !yielded, "no other entry is connected")
	connected = true
	token, yielded := weak.yield()
	assert.Assert(t, yielded && !holds(weak))
	strong.handleNotice("weak", LeaseNotice{FencingToken: token, Handover: &Handover{}})
	clock.add(deference - time.Millisecond)
	step(t, weak)
	assert.Assert(t, !holds(weak), "the lease is left to the other entry")
	step(t, strong)
	assert.Assert(t, holds(strong))
	clock.add(deference)
	step(t, weak)
	assert.Assert(t, !holds(weak) && holds(strong))
}

// TestYieldedLeaseIsTakenByNobody yields the lease to an entry that does not take it.
func TestYieldedLeaseIsTakenByNobody(t *testing.T) {
	clock, table := &fakeClock{now: time.Hour}, newTable()
	holder, other := newLease(table, "a", clock), newLease(table, "b", clock)
	for _, l := range []*lease{holder, other} {
		l.defers = func() bool { return true }
	}
	step(t, holder)
	step(t, other)
	clock.add(yieldAfter)
	step(t, holder)
	token, yielded := holder.yield()
	assert.Assert(t, yielded)
	other.handleNotice("a", LeaseNotice{FencingToken: token, Handover: &Handover{}})
	step(t, other)
	assert.Assert(t, !holds(other))
	clock.add(deference)
	step(t, other)
	assert.Assert(t, holds(other))
}

func TestLeaseIsNotYieldedSoonAfterItsStart(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	l := newLease(newTable(), "a", clock)
	l.defers = func() bool { return true }
	step(t, l)
	clock.add(yieldAfter - time.Millisecond)
	step(t, l)
	_, yielded := l.yield()
	assert.Assert(t, !yielded && holds(l))
}

// TestPlannerTakesTheWholeProcessor checks the planner's share of the processor for plans
// of any duration.
func TestPlannerTakesTheWholeProcessor(t *testing.T) {
	for _, took := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond, 2 * time.Second} {
		assert.Assert(t, planPause(took) >= planPauseFactor*took, "%v", took)
		assert.Assert(t, planPause(took) >= minPlanPause, "%v", took)
	}
}
