package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotchute.example/common/fault"
)

// newReturnedTable returns a table that has returned from a copy of before the first lease.
func newReturnedTable() *fakeTable {
	table := newTable()
	table.era = firstEra + 1
	return table
}

func mustHold(t *testing.T, l *lease) int64 {
	t.Helper()
	token, left := l.held()
	assert.Assert(t, left > 0, "%s does not hold the lease", l.self)
	return token
}

// TestHolderGoesOnAfterReturn lets the table return from a copy of before an entry acquired
// the lease. The entry still holds it and goes on at once, with a higher token.
func TestHolderGoesOnAfterReturn(t *testing.T) {
	for name, copied := range map[string]int{"no row": 0, "row of another entry": 1, "its own row": 2} {
		t.Run(name, func(t *testing.T) {
			clock, table := &fakeClock{now: time.Hour}, newTable()
			table.era = 1
			a, b := newLease(table, "a", clock), newLease(table, "b", clock)
			table.backup()
			step(t, a)
			table.backup()
			step(t, b)
			clock.add(leaseDuration + testGap)
			step(t, b)
			before := mustHold(t, b)
			table.backup()
			table.rewind(table.copies[copied])
			clock.add(renewInterval)
			_, _ = b.step(context.Background()) // its row is gone or of the era before
			step(t, b)
			assert.Assert(t, mustHold(t, b) > before)
			assert.Assert(t, !b.knowsRecentOrders())
			for range 20 {
				_, _ = a.step(context.Background()) // the first is a renewal of its lost lease
				_, _ = b.step(context.Background()) // the renewal of a may have replaced its row
				assert.Assert(t, holds(b) && !holds(a))
				clock.add(renewInterval)
			}
		})
	}
}

// takeOverAndReturn has b take the lease over from a and lets the table return from a copy of
// before that. It returns the version of the row in the copy and the token of b.
func takeOverAndReturn(t *testing.T, clock *fakeClock, table *fakeTable, a, b *lease) (version string, token int64) {
	t.Helper()
	table.era = firstEra
	step(t, a)
	table.backup()
	step(t, b)
	clock.add(leaseDuration + testGap)
	step(t, b)
	token = mustHold(t, b)
	table.rewind(table.copies[0])
	row, err := table.Get(context.Background(), leaseKey)
	assert.NilError(t, err)
	_, err = b.step(context.Background())
	assert.Assert(t, fault.Is(err, fault.KindConflict))
	return row.Version, token
}

// TestHolderNeverRenewsReturnedRow lets the store refuse the write with which the holder goes
// on after a return.
func TestHolderNeverRenewsReturnedRow(t *testing.T) {
	clock, table := &fakeClock{now: time.Hour}, newTable()
	a, b := newLease(table, "a", clock), newLease(table, "b", clock)
	_, before := takeOverAndReturn(t, clock, table, a, b)
	table.refuse = fault.Newf(fault.KindUnavailable, "cas", "", "busy")
	_, err := b.step(context.Background())
	assert.Assert(t, fault.Is(err, fault.KindUnavailable))
	assert.Equal(t, mustHold(t, b), before)
	table.refuse = nil
	step(t, b)
	assert.Assert(t, mustHold(t, b) > before)
}

// TestReturnedRowIsNotReleased stops the holder after a return.
func TestReturnedRowIsNotReleased(t *testing.T) {
	clock, table := &fakeClock{now: time.Hour}, newTable()
	a, b := newLease(table, "a", clock), newLease(table, "b", clock)
	version, _ := takeOverAndReturn(t, clock, table, a, b)
	b.close()
	assert.NilError(t, b.release(context.Background(), &Handover{}))
	row, err := table.Get(context.Background(), leaseKey)
	assert.NilError(t, err)
	assert.Equal(t, row.Version, version)
}

// TestReturnedRowIsNotTakenForRelease lets the table return from a copy in which the lease is
// free for an entry that does not hold it.
func TestReturnedRowIsNotTakenForRelease(t *testing.T) {
	for _, name := range []string{"released", "held by an earlier process", "no row"} {
		t.Run(name, func(t *testing.T) {
			clock, table := &fakeClock{now: time.Hour}, newTable()
			table.era = 1
			table.backup()
			first := newLease(table, "a", clock)
			step(t, first)
			table.backup()
			first.close()
			assert.NilError(t, first.release(context.Background(), &Handover{}))
			table.backup()
			holder := newLease(table, "b", clock)
			step(t, holder)
			before := mustHold(t, holder)
			table.rewind(table.copies[map[string]int{"no row": 0, "held by an earlier process": 1, "released": 2}[name]])

			restarted := newLease(table, "a", clock) // knows nothing
			for range 2 {
				step(t, restarted)
				assert.Assert(t, !holds(restarted))
				clock.add((leaseDuration + testGap) / 2)
			}
			step(t, restarted)
			assert.Assert(t, mustHold(t, restarted) > before)
			assert.Assert(t, !holds(holder))
		})
	}
}

// TestTokensRiseOverReturns restarts all entries around several returns from a copy that has
// no lease, so that nobody knows the last token.
func TestTokensRiseOverReturns(t *testing.T) {
	clock, table := &fakeClock{now: time.Hour}, newReturnedTable()
	table.backup()
	var before int64
	for range 5 {
		l := newLease(table, "a", clock)
		step(t, l)
		assert.Assert(t, !holds(l), "the lease may be held by another entry whose row is lost")
		clock.add(leaseDuration + testGap)
		step(t, l)
		token := mustHold(t, l)
		assert.Assert(t, token > before, "%d after %d", token, before)
		before = token
		table.rewind(table.copies[0])
	}
}

// TestFirstLeaseIsNotDelayed acquires the lease in a deployment that has never had one.
func TestFirstLeaseIsNotDelayed(t *testing.T) {
	for era := range int64(firstEra + 1) {
		table := newTable()
		table.era = era
		l := newLease(table, "a", &fakeClock{now: time.Hour})
		step(t, l)
		assert.Equal(t, mustHold(t, l), int64(1))
	}
}

// TestTokenExceedsThoseOfPeers lets a process that knows of a lease only from another entry
// find no row.
func TestTokenExceedsThoseOfPeers(t *testing.T) {
	clock, table := &fakeClock{now: time.Hour}, newTable()
	table.era = firstEra
	l := newLease(table, "a", clock)
	l.handleNotice("b", LeaseNotice{FencingToken: 7})
	step(t, l)
	assert.Assert(t, !holds(l), "entry b may have been followed by another one")
	clock.add(leaseDuration + testGap)
	step(t, l)
	assert.Assert(t, mustHold(t, l) > 7)
}

// TestTokenIsNotRepeatedAfterLateWrite lets a late write of an earlier era replace the row of
// a lease holder, since the table has assigned the version that the write expects again. The
// holder ends before it notices, and the next one knows nothing.
func TestTokenIsNotRepeatedAfterLateWrite(t *testing.T) {
	ctx := context.Background()
	clock, table := &fakeClock{now: time.Hour}, newReturnedTable()
	holder := newLease(table, "a", clock)
	step(t, holder)
	clock.add(leaseDuration + testGap)
	step(t, holder)
	before := mustHold(t, holder)
	row, err := table.Get(ctx, leaseKey)
	assert.NilError(t, err)
	late, err := json.Marshal(leaseRow{Holder: "b", FencingToken: 2, Era: firstEra})
	assert.NilError(t, err)
	_, err = table.CompareAndSet(ctx, leaseKey, row.Version, late)
	assert.NilError(t, err)
	next := newLease(table, "c", clock)
	step(t, next)
	clock.add(leaseDuration + testGap)
	step(t, next)
	assert.Assert(t, mustHold(t, next) > before)
}

// TestWriteInNewEraIsNoRenewal lets the table return between an entry's read and its write,
// from a copy with the version that the entry has read.
func TestWriteInNewEraIsNoRenewal(t *testing.T) {
	clock, table := &fakeClock{now: time.Hour}, newTable()
	table.era = 1
	a, b := newLease(table, "a", clock), newLease(table, "b", clock)
	step(t, a)
	step(t, b)
	clock.add(leaseDuration + testGap)
	table.backup()
	table.rewind(table.copies[0])
	_, err := a.step(context.Background()) // renews, after its lease has ended
	assert.Assert(t, fault.Is(err, fault.KindConflict))
	assert.Assert(t, !holds(a))
	step(t, a)
	assert.Assert(t, !holds(a), "it may have replaced the row of another entry")
}

// TestLeaseHistoriesAcrossReturns generates histories as TestLeaseHoldersNeverOverlap does,
// beside a table that returns from older copies, again and again.
func TestLeaseHistoriesAcrossReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable()
		table.era = firstEra
		table.backup()
		playLeaseHistory(t, table, func() { copyOrReturn(t, table) })
	})
}

// copyOrReturn copies the table, or has it return from one of the copies.
func copyOrReturn(t *rapid.T, table *fakeTable) {
	switch rapid.IntRange(0, 30).Draw(t, "copy") {
	case 0, 1, 2, 3:
		table.backup()
	case 4:
		table.rewind(table.copies[rapid.IntRange(0, len(table.copies)-1).Draw(t, "which")])
	}
}

// TestRowOfOtherWriterEndsOrders has another writer replace the row of the lease. Its holder goes on
// with a higher token; if it has ended, another entry takes over after the wait.
func TestRowOfOtherWriterEndsOrders(t *testing.T) {
	odd := []string{"", `{"holder":7}`, `{"holder":"c","term":9223372036854775807}`, `{"holder":"c","term":-1}`, `{"holder":"c","term":1,"era":-5}`}
	for _, value := range odd {
		for _, ended := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, holder ended %v", value, ended), func(t *testing.T) {
				clock, table := &fakeClock{now: time.Hour}, newTable()
				a, b := newLease(table, "a", clock), newLease(table, "b", clock)
				step(t, a)
				before := mustHold(t, a)
				row, err := table.Get(context.Background(), leaseKey)
				assert.NilError(t, err)
				_, err = table.CompareAndSet(context.Background(), leaseKey, row.Version, []byte(value))
				assert.NilError(t, err)
				began := clock.now
				for clock.now-began < 2*(leaseDuration+testGap) {
					clock.add(renewInterval)
					if !ended {
						_, _ = a.step(context.Background()) // fails when it finds the row
					}
					_, _ = b.step(context.Background())
					assert.Assert(t, !holds(b) || ended && clock.now-began >= leaseDuration+testGap)
				}
				next := a
				if ended {
					next = b
				}
				assert.Assert(t, mustHold(t, next) > before)
			})
		}
	}
}
