package orders

import (
	"context"
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
	hurryTime = time.Second
	// resignAfter is the age of the newest renewal at which a holder that fails to
	// renew gives up, so that another can go on before the validity is over.
	resignAfter = 1100 * time.Millisecond
	// renewTimeout bounds one renewal; the store answers in some 10 ms, and in
	// 300 ms when it is slow.
	renewTimeout = 600 * time.Millisecond
	// retryTime is the time after which a failed renewal is tried again.
	retryTime = 300 * time.Millisecond
	// heardTime is how long word of the holder replaces reading its lease.
	heardTime = 1500 * time.Millisecond
)

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
	handover  *Handover     // of the holder before; nil when it told none
	closed    bool

	heard       time.Duration // when a holder last said that it holds the lease
	heardHolder string
	heardTerm   int64
	heardRow    string        // version of the row that the holder wrote then
	heardRowAt  time.Duration // when it was first heard of
	resigned    *Handover     // of the holder and term last heard, which gave the lease up
	resignedAt  time.Duration
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

// holder returns the holder's name and term as last read or heard; the name is
// empty when nobody holds the lease.
func (l *lease) holder() (name string, term int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.heardTerm > l.value.Term:
		return l.heardHolder, l.heardTerm
	case l.value.Released:
		return "", l.value.Term
	default:
		return l.value.Holder, l.value.Term
	}
}

// before returns the holder before this entry took the lease; empty when there
// was none.
func (l *lease) before() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.previous
}

// lastOrders returns the latest time at which an earlier holder may have given
// an order, and what it told. It reports false when there was none.
func (l *lease) lastOrders() (at time.Duration, h *Handover, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.previous == l.self:
		return l.taken, nil, true
	case l.handover != nil:
		return l.taken, l.handover, true
	}
	return l.taken - l.gap, nil, l.previous != ""
}

// knowsOrders reports whether this process knows all orders of the last gap: not
// when an earlier process of this VM may have given some.
func (l *lease) knowsOrders() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.previous != l.self || l.clock()-l.taken >= l.gap
}

// barred returns until when this holder gives each server no order.
func (l *lease) barred() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handover == nil {
		return nil
	}
	return l.handover.barred(l.taken, l.gap)
}

// hear takes in what an entry said of the lease.
func (l *lease) hear(holder string, n LeaseNote) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n.Term < max(l.value.Term, l.heardTerm) || l.mine {
		return
	}
	now := l.clock()
	l.heard, l.heardHolder, l.heardTerm = 0, holder, n.Term
	l.resigned, l.resignedAt = n.Handover, now
	if !n.Held {
		return
	}
	l.heard, l.resigned = now, nil
	if n.Version != l.heardRow {
		l.heardRow, l.heardRowAt = n.Version, now
	}
}

// resign gives the lease up when its renewals fail, and returns its term. It
// reports false when it is not held, or was renewed lately.
func (l *lease) resign() (term int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.mine || l.closed || l.clock()-l.renewed < resignAfter {
		return 0, false
	}
	l.mine, l.unread = false, true
	return l.value.Term, true
}

// version returns the version of the row as last read or written.
func (l *lease) version() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Version
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
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
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
	next, left := l.mayWrite()
	switch {
	case left <= 0:
		return renewTime, l.write(ctx, next)
	case changed:
		return min(watchTime, left), nil
	default:
		return min(hurryTime, left), nil
	}
}
