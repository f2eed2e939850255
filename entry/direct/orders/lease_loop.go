package orders

import (
	"context"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/store"
)

// LeaseHolder returns the name of the VM that holds the lease, empty when unknown,
// and whether this entry may issue orders now.
func (m *Manager) LeaseHolder() (name string, mine bool) {
	_, left := m.lease.held()
	name, _ = m.lease.holder()
	return name, left > 0
}

// Lease returns the lease holder and its fencing token, as last read or announced.
func (m *Manager) Lease() (holder string, token int64) { return m.lease.holder() }

// FencingToken returns the fencing token of the lease as last read.
func (m *Manager) FencingToken() int64 {
	token, _ := m.lease.held()
	return token
}

// HandleLeaseNotice processes a notice from the named entry. While notices
// announce that the lease is held, this entry does not read the lease row; a notice
// that it was given up triggers a lease step.
func (m *Manager) HandleLeaseNotice(holder string, n LeaseNotice) {
	m.lease.handleNotice(holder, n)
	if n.Held {
		return
	}
	select {
	case m.leaseWake <- struct{}{}:
	default:
	}
}

func (m *Manager) runLease(ctx context.Context) {
	held := false
	for {
		wait := m.stepLease(ctx)
		held = m.logLease(held)
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-m.leaseWake:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// stepLease renews, reads or acquires the lease and returns the time until the
// next step.
func (m *Manager) stepLease(ctx context.Context) time.Duration {
	stepCtx, cancel := context.WithTimeout(ctx, store.DefaultTimeout)
	defer cancel()
	wait, err := m.lease.step(stepCtx)
	if err != nil && ctx.Err() == nil {
		event.Log(m.opts.Log, event.OrdersLeaseError, event.Err(err))
		m.resign()
	}
	if err == nil {
		m.yield()
		m.announceLease()
	}
	return wait
}

// announceLease notifies the other entries that this one holds the lease.
func (m *Manager) announceLease() {
	if token, left := m.lease.held(); left > 0 && m.opts.OnLease != nil {
		m.opts.OnLease(LeaseNotice{FencingToken: token, Held: true, Version: m.lease.version()})
	}
}

// logLease logs the lease as acquired or ended if it changed since the previous
// step, and returns whether it is held now.
func (m *Manager) logLease(wasHeld bool) (isHeld bool) {
	token, left := m.lease.held()
	switch {
	case left > 0 && !wasHeld:
		event.Log(m.opts.Log, event.OrdersLeaseTaken, event.Count(token), event.Peer(m.lease.previousHolder()))
		m.wakePlanner()
	case left <= 0 && wasHeld:
		event.Log(m.opts.Log, event.OrdersLeaseEnded, event.Reason(m.lease.endReason()))
	}
	return left > 0
}
