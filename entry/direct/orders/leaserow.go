package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/store"
)

// leaseRow is the value stored in the lease's row.
type leaseRow struct {
	Holder       string `json:"holder"`             // name of the VM
	FencingToken int64  `json:"term"`               // increases each time the lease is acquired
	Renewals     int64  `json:"beat"`               // increases with every renewal and acquisition
	Released     bool   `json:"released,omitempty"` // the holder issues no more orders
	Era          int64  `json:"era,omitempty"`      // of the store, when the writer read the row before

	Handover  *Handover `json:"handover,omitempty"`  // set when Released, if known
	Inherited *Handover `json:"inherited,omitempty"` // what the holder received from its predecessor
}

// applyRow records the row as read. A read never counts as a renewal, even of this
// entry's own write: another entry may have seen that version long before.
func (l *lease) applyRow(row store.Row) (changed bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = false
	if row.Version == l.row.Version {
		return false, nil
	}
	value, err := decodeLeaseRow(row)
	l.noteEra(row.Era)
	l.readToken = max(l.readToken, value.FencingToken)
	l.row, l.value, l.firstSeen = row, value, l.clock()
	if l.outdated() {
		l.mine = l.mine && l.left() > 0 // no other entry may acquire the lease before
	} else {
		l.mine = l.mine && value.Holder == l.self && value.FencingToken == l.token
	}
	if row.Version == l.noticeVersion {
		l.firstSeen = l.noticeVersionSeen
	}
	return true, err
}

const (
	// maxToken exceeds the tokens that entries write.
	maxToken = 1 << 62

	// noEra is the era of a row that no entry has written: it is before that of any store.
	noEra = -1
)

// decodeLeaseRow decodes the row. One that no entry has written, as another writer may leave
// it, becomes a row of an earlier era: what it replaced is not known.
func decodeLeaseRow(row store.Row) (leaseRow, error) {
	var value leaseRow
	err := json.Unmarshal(row.Value, &value)
	if err == nil && (value.FencingToken <= 0 || value.FencingToken > maxToken || value.Era < 0) {
		err = fmt.Errorf("fencing token %d of era %d", value.FencingToken, value.Era)
	}
	if err != nil {
		return leaseRow{Era: noEra}, fault.New(fault.KindInvalid, "orders.lease", leaseKey, err)
	}
	return value, nil
}

// nextRow returns the row with which this entry would renew or acquire the lease,
// and how long it must wait before writing it; a negative wait is over for that long.
// There is no wait if the lease holder was an earlier process of this VM or has handed
// over. After a release without handover the wait is the gap, and otherwise the lease
// duration plus the gap. Waits start when the row was first seen or announced, which is
// after the lease holder sent its renewal. A row of an earlier era does not show who holds
// the lease: then only an entry that still holds it does not wait.
func (l *lease) nextRow() (leaseRow, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.value
	next.Renewals++
	if l.mine && !l.outdated() {
		return next, 0
	}
	next.Holder, next.Released, next.Handover, next.Inherited = l.self, false, nil, l.inheritedHandover()
	next.FencingToken, next.Era = l.nextToken(), l.row.Era
	unchanged := l.clock() - l.firstSeen
	switch {
	case l.mine, l.neverHeld():
		return next, 0
	case l.outdated():
		return next, leaseDuration + l.gap - unchanged
	case l.value.Holder == l.self, l.receivedHandover() != nil:
		return next, l.freeSince() - l.clock() // Inherited lists the servers that are still fenced
	case l.value.Released:
		return next, l.gap - unchanged
	default:
		return next, leaseDuration + l.gap - unchanged
	}
}

// deferred returns the wait before a write that acquires the lease, given the wait that
// safety requires. An entry that defers to others waits longer.
func (l *lease) deferred(left time.Duration) time.Duration {
	deferring := l.deferring()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mine || l.neverHeld() || !deferring {
		return left
	}
	return left + deference
}

// freeSince returns when this entry first knew that the lease is free without a wait.
// l.mu is held.
func (l *lease) freeSince() time.Duration {
	switch {
	case l.value.Holder == l.self:
		return max(l.firstSeen, l.yieldedAt)
	case l.value.Released:
		return l.firstSeen
	default:
		return l.resignedAt
	}
}

// receivedHandover returns the handover of the row's holder, or nil. l.mu is held.
func (l *lease) receivedHandover() *Handover {
	switch {
	case l.value.Released:
		return l.value.Handover
	case l.noticeHolder == l.value.Holder && l.noticeToken == l.value.FencingToken:
		return l.resignHandover
	}
	return nil
}

// inheritedHandover returns the handover that applies if this entry acquires the
// lease now. If this VM held it already, the time at which the handover in the row
// was received is lost, so its orders are assumed to have age 0. l.mu is held.
func (l *lease) inheritedHandover() *Handover {
	switch {
	case l.mine: // acquires the lease again in a new era
		return l.handover.withZeroAges()
	case l.outdated():
		return nil
	case l.value.Holder == l.self:
		return l.value.Inherited.withZeroAges()
	}
	return l.receivedHandover()
}

// write writes the row if its version is still the one last seen.
func (l *lease) write(ctx context.Context, next leaseRow) error {
	raw, err := json.Marshal(next)
	if err != nil {
		return fault.New(fault.KindInternal, "orders.lease", leaseKey, err)
	}
	l.mu.Lock()
	version := l.row.Version
	l.mu.Unlock()
	sent := l.clock()
	var row store.Row
	if version == "" { // the row does not exist
		row, err = l.table.PutIfAbsent(ctx, leaseKey, raw)
	} else {
		row, err = l.table.CompareAndSet(ctx, leaseKey, version, raw)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.writeFailed(err)
		return err
	}
	if row.Era != next.Era {
		l.stale = true // the store has returned since; it may have replaced another entry's row
		return fault.Newf(fault.KindConflict, "orders.lease", leaseKey, "written in era %d, not %d", row.Era, next.Era)
	}
	if !l.mine || next.FencingToken != l.token {
		l.previous, l.acquiredAt, l.handover = l.previousOwner(), l.clock(), next.Inherited
	}
	l.row, l.value, l.firstSeen, l.renewedAt = row, next, l.clock(), sent
	l.mine, l.token = !next.Released, next.FencingToken
	return nil
}

// writeFailed marks the copy of the row as stale unless the write certainly had no
// effect.
func (l *lease) writeFailed(err error) {
	if !fault.Is(err, fault.KindUnavailable) {
		l.stale = true
	}
}

// close makes this process stop issuing orders for good and reports whether it held
// the lease.
func (l *lease) close() (wasMine bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return l.mine
}

// release marks the row as released and stores the handover, nil when it is not
// known. The lease must have been closed before.
func (l *lease) release(ctx context.Context, h *Handover) error {
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
	if err := l.refresh(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	next, mine := l.value, l.mine && !l.outdated()
	l.mu.Unlock()
	if !mine {
		return nil
	}
	next.Released, next.Handover = true, h
	return l.write(ctx, next)
}

// refresh reads the row if the copy may be stale.
func (l *lease) refresh(ctx context.Context) error {
	l.mu.Lock()
	stale := l.stale
	l.mu.Unlock()
	if !stale {
		return nil
	}
	_, err := l.read(ctx)
	return err
}
