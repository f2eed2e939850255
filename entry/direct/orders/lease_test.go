package orders

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
)

const testGap = 3 * time.Second

func newLease(table *fakeTable, self string, clock *fakeClock) *lease {
	return &lease{table: table, self: self, gap: testGap, clock: clock.read}
}

func step(t *testing.T, l *lease) {
	t.Helper()
	_, err := l.step(context.Background())
	assert.NilError(t, err)
}

func holds(l *lease) bool {
	_, left := l.held()
	return left > 0
}

func TestTakeoverWaits(t *testing.T) {
	tests := []struct {
		name    string
		release bool
		wait    time.Duration
	}{
		{name: "lease duration and gap after a silent end", wait: leaseDuration + testGap},
		{name: "gap after a release", release: true, wait: testGap},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			clock, table := &fakeClock{now: time.Hour}, newTable()
			a, b := newLease(table, "a", clock), newLease(table, "b", clock)
			step(t, a)
			assert.Assert(t, holds(a))
			if tc.release {
				assert.Assert(t, a.close())
				assert.NilError(t, a.release(context.Background(), nil))
				assert.Assert(t, !holds(a))
			}
			step(t, b)
			clock.add(tc.wait - time.Millisecond)
			step(t, b)
			assert.Assert(t, !holds(b))
			clock.add(time.Millisecond)
			step(t, b)
			assert.Assert(t, holds(b) && !holds(a))
			token, _ := b.held()
			assert.Equal(t, token, int64(2))
		})
	}
}

func TestFrozenHolderLosesLease(t *testing.T) {
	clock, table := &fakeClock{now: time.Hour}, newTable()
	a, b := newLease(table, "a", clock), newLease(table, "b", clock)
	step(t, a)
	step(t, b)
	clock.add(leaseDuration + testGap)
	assert.Assert(t, !holds(a))
	step(t, b)
	assert.Assert(t, holds(b))
	_, err := a.step(context.Background())
	assert.Assert(t, fault.Is(err, fault.KindConflict))
	step(t, a)
	assert.Assert(t, !holds(a))
	holder, _ := a.holder()
	assert.Equal(t, holder, "b")
}

func TestLostRenewalDoesNotExtendLease(t *testing.T) {
	clock, table := &fakeClock{now: time.Hour}, newTable()
	a, b := newLease(table, "a", clock), newLease(table, "b", clock)
	step(t, a)
	table.lose = true
	clock.add(renewInterval)
	_, err := a.step(context.Background())
	assert.Assert(t, fault.Is(err, fault.KindUnknown))
	step(t, b) // sees the lost renewal
	table.lose = false
	clock.add(leaseDuration - renewInterval)
	assert.Assert(t, !holds(a))
	table.refuse = fault.Newf(fault.KindUnavailable, "cas", "", "down")
	_, err = a.step(context.Background())
	assert.Assert(t, fault.Is(err, fault.KindUnavailable))
	assert.Assert(t, !holds(a))
	table.refuse = nil
	step(t, a)
	assert.Assert(t, holds(a))
	token, _ := a.held()
	assert.Equal(t, token, int64(1))
	clock.add(leaseDuration - time.Millisecond)
	step(t, b)
	assert.Assert(t, holds(a) && !holds(b))
}

func TestStoreOutageEndsLease(t *testing.T) {
	clock, table := &fakeClock{now: time.Hour}, newTable()
	a := newLease(table, "a", clock)
	step(t, a)
	table.fail = fault.Newf(fault.KindUnavailable, "cas", "", "down")
	clock.add(leaseDuration)
	_, err := a.step(context.Background())
	assert.Assert(t, fault.Is(err, fault.KindUnavailable))
	assert.Assert(t, !holds(a))
	table.fail = nil
	step(t, a)
	assert.Assert(t, holds(a))
}

func TestRestartedVMReacquiresLeaseWithNewToken(t *testing.T) {
	clock, table := &fakeClock{now: time.Hour}, newTable()
	step(t, newLease(table, "a", clock))
	restarted := newLease(table, "a", clock)
	step(t, restarted)
	token, left := restarted.held()
	assert.Equal(t, token, int64(2))
	assert.Assert(t, left > 0)
}
