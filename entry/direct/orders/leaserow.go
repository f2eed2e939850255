package orders

import (
	"context"
	"encoding/json"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/store"
)

// leaseRow is the value of the lease's row.
type leaseRow struct {
	Holder   string `json:"holder"`             // name of the VM
	Term     int64  `json:"term"`               // grows with every change of holder
	Beat     int64  `json:"beat"`               // grows with every renewal
	Released bool   `json:"released,omitempty"` // the holder gives no more orders

	Handover  *Handover `json:"handover,omitempty"`  // when Released and known
	Inherited *Handover `json:"inherited,omitempty"` // what the holder had from the one before
}

func (l *lease) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.row, l.value, l.mine = store.Row{}, leaseRow{}, false
}

// see takes in the row as read. It does not count as a renewal, whoever wrote
// it: another entry may have seen this version long before.
func (l *lease) see(row store.Row) (changed bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unread = false
	if row.Version == l.row.Version {
		return false, nil
	}
	var value leaseRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return false, fault.New(fault.KindInternal, "orders.lease", leaseKey, err)
	}
	l.mine = l.mine && value.Holder == l.self && value.Term == l.value.Term
	l.row, l.value, l.firstSeen = row, value, l.clock()
	if row.Version == l.heardRow {
		l.firstSeen = l.heardRowAt
	}
	return true, nil
}

// mayWrite returns the row with which this entry goes on with the lease or takes
// it, and how long it has to wait for that: not at all after an earlier process
// of this VM or a handover, a gap after a release, and else a gap after the
// validity of a renewal that was at least as old as the row.
func (l *lease) mayWrite() (leaseRow, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.value
	next.Beat++
	if l.mine {
		return next, 0
	}
	next.Holder, next.Released, next.Handover, next.Inherited = l.self, false, nil, l.inherits()
	next.Term++
	unchanged := l.clock() - l.firstSeen
	switch {
	case l.value.Holder == l.self, l.handedOver() != nil:
		return next, 0 // inherits says which servers have to be left alone
	case l.value.Released:
		return next, l.gap - unchanged
	default:
		return next, validity + l.gap - unchanged
	}
}

// handedOver returns what the holder of the row told when it gave the lease up,
// or nil. l.mu is held.
func (l *lease) handedOver() *Handover {
	switch {
	case l.value.Released:
		return l.value.Handover
	case l.heardHolder == l.value.Holder && l.heardTerm == l.value.Term:
		return l.resigned
	}
	return nil
}

// inherits returns what this entry has to know if it takes the lease now. An
// entry that takes its own lease again may have lost what it knew. l.mu is held.
func (l *lease) inherits() *Handover {
	if l.value.Holder == l.self {
		return l.value.Inherited.renewed()
	}
	return l.handedOver()
}

// write writes the row if it is still the one last seen.
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
	if version == "" {
		row, err = l.table.PutIfAbsent(ctx, leaseKey, raw)
	} else {
		row, err = l.table.CompareAndSet(ctx, leaseKey, version, raw)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed(err)
		return err
	}
	if !l.mine {
		l.previous, l.taken, l.handover = l.value.Holder, l.clock(), next.Inherited
	}
	l.row, l.value, l.firstSeen, l.renewed = row, next, l.clock(), sent
	l.mine = !next.Released
	return nil
}

// failed has the row read before the next write, unless nothing was written.
func (l *lease) failed(err error) {
	if !fault.Is(err, fault.KindUnavailable) {
		l.unread = true
	}
}

// close ends the holding: from here on no order is given.
func (l *lease) close() (wasMine bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return l.mine
}

// release writes that the holder, which was closed before, gives no more
// orders, and what the next one is to know; nil when that is not known.
func (l *lease) release(ctx context.Context, h *Handover) error {
	l.stepping.Lock()
	defer l.stepping.Unlock()
	if err := l.reread(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	next, mine := l.value, l.mine
	l.mu.Unlock()
	if !mine {
		return nil
	}
	next.Released, next.Handover = true, h
	return l.write(ctx, next)
}

// reread reads the row when a write may have changed it.
func (l *lease) reread(ctx context.Context) error {
	l.mu.Lock()
	unread := l.unread
	l.mu.Unlock()
	if !unread {
		return nil
	}
	row, err := l.table.Get(ctx, leaseKey)
	if err != nil {
		return err
	}
	_, err = l.see(row)
	return err
}
