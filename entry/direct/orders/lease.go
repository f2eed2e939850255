package orders

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/store"
)

const (
	leaseKey = "lease/orders"
	// validity is how long after the sending of a renewal its holder gives orders.
	validity = 2 * time.Second
	// renewTime is the time between renewals: two may fail within validity.
	renewTime = 700 * time.Millisecond
	// watchTime is the time between readings of another's lease while it is
	// renewed, and hurryTime while it is not.
	watchTime = 2 * time.Second
	hurryTime = 500 * time.Millisecond
	// retryTime is the time after which a failed renewal is tried again.
	retryTime = 300 * time.Millisecond
	// heardTime is how long word of the holder replaces reading its lease.
	heardTime = 1500 * time.Millisecond
)

// leaseRow is the value of the lease's row.
type leaseRow struct {
	Holder   string `json:"holder"`             // name of the VM
	Term     int64  `json:"term"`               // grows with every change of holder
	Beat     int64  `json:"beat"`               // grows with every renewal
	Released bool   `json:"released,omitempty"` // the holder gives no more orders
}

// lease is what this entry knows of the lease. Times are of a clock that also
// runs while the machine is suspended.
type lease struct {
	table store.Table
	self  string
	gap   time.Duration // between the last order of one holder and the first of the next
	clock func() time.Duration

	stepping  sync.Mutex // held while the table is called
	mu        sync.Mutex
	row       store.Row
	value     leaseRow
	firstSeen time.Duration // when this version of the row was first seen
	renewed   time.Duration // when the newest renewal that took effect was sent
	mine      bool          // this process holds the lease until the row shows another holder
	unread    bool          // a write may have changed the row
	previous  string        // holder before this one took the lease
	taken     time.Duration // when the write that took the lease was sent
	closed    bool
	heard     time.Duration // when the holder was last heard of
}

// held returns the term and for how long this entry may still give orders;
// 0 when it may not.
func (l *lease) held() (term int64, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.mine || l.closed {
		return l.value.Term, 0
	}
	return l.value.Term, max(validity-(l.clock()-l.renewed), 0)
}

// holder returns the holder's name as last read.
func (l *lease) holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.value.Released {
		return ""
	}
	return l.value.Holder
}

// before returns the holder before this entry took the lease; empty when there
// was none.
func (l *lease) before() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.previous
}

// lastOrders returns the latest time at which an earlier holder may have given
// an order. It reports false when there was none.
func (l *lease) lastOrders() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.previous == l.self {
		return l.taken, true
	}
	return l.taken - l.gap, l.previous != ""
}

// hear notes that the named holder is alive.
func (l *lease) hear(holder string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if holder == l.value.Holder {
		l.heard = l.clock()
	}
}

// step renews, reads or takes the lease, and returns the time until the next
// step. A write whose answer was lost is recognised by reading.
func (l *lease) step(ctx context.Context) (time.Duration, error) {
	l.stepping.Lock()
	defer l.stepping.Unlock()
	l.mu.Lock()
	renew, closed := l.mine && !l.unread, l.closed
	recent := !l.mine && l.heard != 0 && l.clock()-l.heard < heardTime
	l.mu.Unlock()
	switch {
	case closed || recent:
		return hurryTime, nil
	case renew:
		return l.renew(ctx)
	}
	return l.watch(ctx)
}

// renew writes a further beat.
func (l *lease) renew(ctx context.Context) (time.Duration, error) {
	l.mu.Lock()
	next := l.value
	l.mu.Unlock()
	next.Beat++
	if err := l.write(ctx, next); err != nil {
		return retryTime, err
	}
	return renewTime, nil
}

// watch reads the row and takes the lease when that is allowed.
func (l *lease) watch(ctx context.Context) (time.Duration, error) {
	row, err := l.table.Get(ctx, leaseKey)
	if fault.Is(err, fault.KindNotFound) {
		l.forget()
		return renewTime, l.write(ctx, leaseRow{Holder: l.self, Term: 1})
	}
	if err != nil {
		return hurryTime, err
	}
	changed, err := l.see(row)
	if err != nil {
		return watchTime, err
	}
	if next, ok := l.mayWrite(); ok {
		return renewTime, l.write(ctx, next)
	}
	if changed {
		return watchTime, nil
	}
	return hurryTime, nil
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
	return true, nil
}

// mayWrite returns the row to write when this entry may go on with the lease
// or take it: at once from an earlier process of this VM, a gap after a
// release, and else a gap after the validity of a renewal that was at least as
// old as the row.
func (l *lease) mayWrite() (leaseRow, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mine {
		next := l.value
		next.Beat++
		return next, true
	}
	next := leaseRow{Holder: l.self, Term: l.value.Term + 1}
	next.Beat = l.value.Beat + 1
	unchanged := l.clock() - l.firstSeen
	switch {
	case l.value.Holder == l.self:
		return next, true
	case l.value.Released:
		return next, unchanged >= l.gap
	default:
		return next, unchanged >= validity+l.gap
	}
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
		l.previous, l.taken = l.value.Holder, sent
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

// release writes that the holder, which was closed before, gives no more orders.
func (l *lease) release(ctx context.Context) error {
	l.stepping.Lock()
	defer l.stepping.Unlock()
	l.mu.Lock()
	next := l.value
	l.mu.Unlock()
	next.Released = true
	return l.write(ctx, next)
}
