package orders

import (
	"context"
	"sync"
	"time"

	"peridotchute.example/store"
)

const (
	leaseKey = "lease/orders"
	// leaseDuration is how long after sending a renewal the lease holder may issue
	// orders.
	leaseDuration = 2 * time.Second
	// renewInterval is the time between renewals; two may fail within leaseDuration.
	renewInterval = 700 * time.Millisecond
	// pollInterval is the time between reads of the row while another entry renews the
	// lease, and fastPollInterval the time while nobody does.
	pollInterval     = 2 * time.Second
	fastPollInterval = time.Second
	// resignAfter is the age of the newest renewal at which a lease holder whose
	// renewals fail resigns, so that another entry can take over before the lease
	// expires.
	resignAfter = 1100 * time.Millisecond
	// renewTimeout bounds one renewal. The store takes about 10 ms to answer, and
	// 300 ms when it is slow.
	renewTimeout = 600 * time.Millisecond
	// retryInterval is the delay before a failed renewal is retried.
	retryInterval = 300 * time.Millisecond
	// noticeValidity is how long a notice from the lease holder makes reading the row
	// unnecessary.
	noticeValidity = 1500 * time.Millisecond
	// deference is how long an entry leaves a free lease to entries with more processor.
	deference = 700 * time.Millisecond
	// yieldAfter is how long a lease holder must have held the lease before it yields to an
	// entry with more processor.
	yieldAfter = 3 * time.Second
)

// lease is this entry's view of the orders lease. All times are readings of a
// clock that also advances while the machine is suspended.
type lease struct {
	table  store.Table
	self   string
	gap    time.Duration // minimum time between the last order of one lease holder and the first of the next
	clock  func() time.Duration
	defers func() bool // reports whether another entry should hold the lease rather than this one; may be nil

	stepMu     sync.Mutex // serializes access to the table
	mu         sync.Mutex
	row        store.Row
	value      leaseRow
	token      int64         // fencing token under which this process last held the lease
	readToken  int64         // highest fencing token that this process has read
	returned   bool          // this process has seen the store return from an older copy
	firstSeen  time.Duration // when this version of the row was first seen
	renewedAt  time.Duration // when the newest successful renewal was sent
	mine       bool          // this process holds the lease until the row shows another holder
	stale      bool          // the row may differ from the copy here, after a write of unknown outcome
	previous   string        // lease holder before this entry
	acquiredAt time.Duration // when the write that acquired the lease returned
	handover   *Handover     // from the previous lease holder; nil if it sent none
	closed     bool          // this process issues no more orders
	yieldedAt  time.Duration // when this entry last yielded the lease

	noticeAt          time.Duration // when a notice last announced that the lease is held; 0 once a notice announced its release
	noticeHolder      string
	noticeToken       int64
	noticeVersion     string        // version of the row in that notice
	noticeVersionSeen time.Duration // when a notice first had this version
	resignHandover    *Handover     // from noticeHolder, when it resigned under noticeToken
	resignedAt        time.Duration // when that notice arrived
}

// held returns the fencing token and how much longer this entry may issue orders;
// 0 when it may not.
func (l *lease) held() (token int64, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.mine:
		return l.value.FencingToken, 0
	case l.closed:
		return l.token, 0
	default:
		return l.token, l.left()
	}
}

// left returns how much longer this entry may issue orders under its newest renewal. l.mu is
// held.
func (l *lease) left() time.Duration { return max(leaseDuration-(l.clock()-l.renewedAt), 0) }

// holder returns the lease holder's name and fencing token as last read or
// announced; the name is empty when nobody holds the lease.
func (l *lease) holder() (name string, token int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.mine:
		return l.self, l.token
	case l.noticeToken > l.value.FencingToken:
		return l.noticeHolder, l.noticeToken
	case l.value.Released:
		return "", l.value.FencingToken
	default:
		return l.value.Holder, l.value.FencingToken
	}
}

// previousHolder returns who held the lease before this entry; empty when nobody
// did.
func (l *lease) previousHolder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.previous
}

// lastOrders returns the latest time at which an earlier lease holder may have
// issued an order, and its handover, if any. ok is false when there was no earlier
// lease holder.
func (l *lease) lastOrders() (at time.Duration, h *Handover, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.previous == l.self:
		return l.acquiredAt, nil, true
	case l.handover != nil:
		return l.acquiredAt, l.handover, true
	}
	return l.acquiredAt - l.gap, nil, l.previous != ""
}

// knowsRecentOrders reports whether this process knows all orders issued within
// the gap. It does not if an earlier process of this VM may have issued some.
func (l *lease) knowsRecentOrders() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.previous != l.self || l.clock()-l.acquiredAt >= l.gap
}

// fencedUntil returns, by server, the time before which this lease holder must not
// send it orders.
func (l *lease) fencedUntil() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handover == nil {
		return nil
	}
	return l.handover.fencedUntil(l.acquiredAt, l.gap)
}

// handleNotice applies a lease notice from another entry. Notices with an outdated
// fencing token are ignored.
func (l *lease) handleNotice(holder string, n LeaseNotice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n.FencingToken < max(l.value.FencingToken, l.noticeToken) || l.mine {
		return
	}
	now := l.clock()
	l.noticeAt, l.noticeHolder, l.noticeToken = 0, holder, n.FencingToken
	l.resignHandover, l.resignedAt = n.Handover, now
	if !n.Held {
		return
	}
	l.noticeAt, l.resignHandover = now, nil
	if n.Version != l.noticeVersion {
		l.noticeVersion, l.noticeVersionSeen = n.Version, now
	}
}

// resign gives up the lease if its newest renewal is at least resignAfter old, and
// returns the fencing token. ok is false if the lease is not held or was renewed
// more recently.
func (l *lease) resign() (token int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.mine || l.closed || l.clock()-l.renewedAt < resignAfter {
		return 0, false
	}
	l.mine, l.stale = false, true
	return l.token, true
}

// yield gives up the lease, held for at least yieldAfter, if another entry should hold it.
func (l *lease) yield() (token int64, ok bool) {
	if !l.deferring() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.mine || l.closed || l.clock()-l.acquiredAt < yieldAfter {
		return 0, false
	}
	l.mine, l.stale, l.yieldedAt = false, true, l.clock()
	return l.token, true
}

// endReason returns why this entry no longer holds the lease.
func (l *lease) endReason() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.yieldedAt > l.acquiredAt {
		return "yielded to an entry with more processor"
	}
	return "not renewed"
}

// deferring reports whether another entry should hold the lease rather than this one.
func (l *lease) deferring() bool { return l.defers != nil && l.defers() }

// version returns the version of the row as last read or written.
func (l *lease) version() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Version
}

// step renews, reads or acquires the lease and returns the time until the next
// step. If the answer to a write was lost, the next step reads the row to learn
// whether the write took effect.
func (l *lease) step(ctx context.Context) (time.Duration, error) {
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
	l.mu.Lock()
	renew, closed := l.mine && !l.stale && !l.outdated(), l.closed
	recent := !l.mine && l.noticeAt != 0 && l.clock()-l.noticeAt < noticeValidity
	l.mu.Unlock()
	switch {
	case closed || recent:
		return fastPollInterval, nil
	case renew:
		return l.renew(ctx)
	}
	return l.readOrAcquire(ctx)
}

// renew writes the row with an incremented renewal count.
func (l *lease) renew(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	l.mu.Lock()
	next := l.value
	l.mu.Unlock()
	next.Renewals++
	if err := l.write(ctx, next); err != nil {
		return retryInterval, err
	}
	return renewInterval, nil
}

// readOrAcquire reads the row and acquires the lease if that is allowed.
func (l *lease) readOrAcquire(ctx context.Context) (time.Duration, error) {
	changed, err := l.read(ctx)
	if err != nil {
		return fastPollInterval, err
	}
	next, left := l.nextRow()
	left = l.deferred(left)
	switch {
	case left <= 0:
		return renewInterval, l.write(ctx, next)
	case changed:
		return min(pollInterval, left), nil
	default:
		return min(fastPollInterval, left), nil
	}
}
