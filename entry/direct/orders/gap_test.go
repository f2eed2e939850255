package orders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
)

// fencedAfter returns how long after the end of an order's call the next lease holder may send
// an order to the same server. The lease passes at once, by a handover.
func fencedAfter(t *testing.T, orderErr error) time.Duration {
	t.Helper()
	clock := &fakeClock{now: time.Hour}
	m := New(Options{Self: "a", Table: newTable(), Clock: clock.read, LeaseGap: testGap})
	step(t, m.lease)
	clock.add(testGap + time.Second) // the lease is old enough for a handover
	step(t, m.lease)
	m.beginSend("s1")
	clock.add(time.Second)
	m.endSend("s1", orderErr)
	h := m.handover()
	assert.Assert(t, h != nil)
	return h.fencedUntil(clock.read(), m.opts.LeaseGap)["s1"] - clock.read()
}

// TestNextHolderOrdersWithoutMargin measures the time between the orders of two lease holders,
// whose clocks may differ in speed by 5 in 100.
func TestNextHolderOrdersWithoutMargin(t *testing.T) {
	assert.Assert(t, fencedAfter(t, nil) >= testGap*105/100)
}

// TestUnansweredOrderArrivesAfterThatOfNextHolder gives up an order that the kernel may still
// deliver for two seconds.
func TestUnansweredOrderArrivesAfterThatOfNextHolder(t *testing.T) {
	const delivered = 2 * time.Second
	got := fencedAfter(t, fault.Newf(fault.KindUnknown, "order", "s1", "no answer"))
	assert.Assert(t, got >= delivered+testGap, "fenced for %v", got)
	assert.Assert(t, fencedAfter(t, fault.Newf(fault.KindUnavailable, "order", "s1", "refused")) < delivered+testGap)
}
