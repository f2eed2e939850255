package orders

import (
	"context"
	"fmt"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
	"peridotchute.example/placement/loadplan"
)

// unloadAnnounceDelay is the time between announcing to the entries that a model
// will be unloaded and sending the order, so that the entries stop routing requests
// to it. It covers the collection of changes and the network delay between regions.
const unloadAnnounceDelay = 60 * time.Millisecond

// pendingOrder is an order that is being sent, with the placement state that it
// changes.
type pendingOrder struct {
	placement *loadplan.PlacementState
	state     *loadplan.ServerState
	server    fleet.Server
	order     fleet.Order
	reason    string
}

// beginOrderLocked records an order as being sent and sends it in a new goroutine.
// The returned channel is closed once the outcome has been recorded. m.mu is held.
func (m *Manager) beginOrderLocked(ctx context.Context, service, server string, o fleet.Order, reason string) <-chan struct{} {
	b := m.placements[service]
	s := b.Servers[server]
	b.BeginOrder(s, o, m.opts.Clock())
	c := pendingOrder{placement: b, state: s, server: s.Server, order: o, reason: reason}
	done := make(chan struct{})
	m.startCallLocked(func() {
		defer close(done)
		m.issue(context.WithoutCancel(ctx), c)
	})
	return done
}

// issue sends one order and records its outcome. It announces an unload before
// sending the order, and the resulting state afterwards.
func (m *Manager) issue(ctx context.Context, c pendingOrder) {
	if c.order.Kind == fleet.OrderUnload {
		m.publishChange(c.state, m.opts.Clock())
		if c.order.Adapter == "" {
			sleep(ctx, unloadAnnounceDelay)
		}
	}
	outcome, err := m.send(ctx, &c)
	m.mu.Lock()
	now := m.opts.Clock()
	m.recordOutcomeLocked(c, outcome, err, now)
	ready := c.state.Ready(loadplan.Key{Model: c.order.Model, Adapter: c.order.Adapter})
	m.markChanged()
	m.mu.Unlock()
	m.logOrder(c, outcome, err)
	m.wakePlanner()
	sleep(ctx, ready-now) // an adapter is announced only once it is ready
	m.publishChange(c.state, max(ready, now))
}

func (m *Manager) recordOutcomeLocked(c pendingOrder, outcome fleet.OrderOutcome, err error, now time.Duration) {
	switch {
	case err == nil && accepted(outcome):
		m.counts.Accepted++
		c.placement.ApplyOutcome(c.state, outcome, now)
	case err == nil:
		m.counts.Declined++
		c.placement.ApplyOutcome(c.state, outcome, now)
	case notDelivered(err):
		m.counts.Declined++
		c.state.NotSent(now)
	default:
		m.counts.Unanswered++
		c.state.Lost(now)
	}
}

// accepted reports whether the server carries out the order or is already in the
// ordered state.
func accepted(o fleet.OrderOutcome) bool {
	return o == fleet.OrderAccepted || o == fleet.OrderAlreadyDone
}

// send sends the order, provided that this entry holds the lease and that the
// server is not fenced by an order of an earlier lease holder.
func (m *Manager) send(ctx context.Context, c *pendingOrder) (fleet.OrderOutcome, error) {
	token, left := m.lease.held()
	if left <= 0 {
		return 0, fault.Newf(fault.KindUnavailable, "orders.give", c.server.ID, "the lease is not held")
	}
	if now := m.opts.Clock(); now < m.lease.fencedUntil()[c.server.ID] {
		return 0, fault.Newf(fault.KindUnavailable, "orders.give", c.server.ID, "fenced after a recent order of an earlier lease holder")
	}
	m.beginSend(c.server.ID)
	c.order.LeaseHolder, c.order.FencingToken = m.opts.Self, token
	timeout := orderTimeout
	if c.order.Adapter != "" {
		timeout = adapterTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, min(timeout, left))
	defer cancel()
	outcome, err := m.opts.Control.Order(ctx, &c.server, c.order)
	m.endSend(c.server.ID, err)
	return outcome, err
}

// beginSend records that an order to the server is being sent.
func (m *Manager) beginSend(server string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.orderTimes.begin(server, m.opts.Clock())
}

// endSend records that the call of an order has returned. One without an answer may still be
// on its way.
func (m *Manager) endSend(server string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.opts.Clock()
	if err != nil && !notDelivered(err) {
		at += lateArrival
	}
	m.orderTimes.end(server, at)
}

// notDelivered reports whether the failed order certainly did not reach its server.
func notDelivered(err error) bool {
	return fault.Is(err, fault.KindUnavailable) || fault.Is(err, fault.KindRefused) || fault.Is(err, fault.KindInvalid)
}

// requestReportLocked requests a report from the server in a new goroutine.
// m.mu is held.
func (m *Manager) requestReportLocked(ctx context.Context, ps *loadplan.PlacementState, s *loadplan.ServerState) {
	server := s.Server
	m.reportsPending[server.ID] = true
	m.startCallLocked(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		r, err := m.opts.Control.Report(ctx, &server)
		m.handleReport(ps, s, r, err)
	})
}

func (m *Manager) handleReport(ps *loadplan.PlacementState, s *loadplan.ServerState, r fleet.Report, err error) {
	m.mu.Lock()
	delete(m.reportsPending, s.Server.ID)
	now := m.opts.Clock()
	wasWorking := s.Working()
	m.counts.Reports++
	if err != nil {
		m.counts.FailedReports++
		s.ReportFailed(now)
	} else {
		ps.Report(s, r, now)
	}
	finished := wasWorking && !s.Working()
	m.markChanged()
	m.mu.Unlock()
	if err != nil {
		event.Log(m.opts.Log, event.ReportFailed, event.Peer(s.Server.ID), event.Err(err))
		return
	}
	if finished {
		event.Log(m.opts.Log, event.OrderFinished, event.Peer(s.Server.ID))
	}
	m.publishChange(s, now)
	m.wakePlanner()
}

// publishChange passes what the server has loaded at the given time to OnChange.
func (m *Manager) publishChange(s *loadplan.ServerState, at time.Duration) {
	if m.opts.OnChange == nil {
		return
	}
	m.mu.Lock()
	id := s.Server.ID
	c := ServerUpdate{Born: s.Server.Born, OrderSeq: s.Seq()}
	c.Residents, c.Fetching = s.Residents(at)
	m.mu.Unlock()
	m.opts.OnChange(id, c)
}

func (m *Manager) logOrder(c pendingOrder, outcome fleet.OrderOutcome, err error) {
	eventKind := event.OrderIssued
	fields := []event.Field{event.Peer(c.server.ID), event.Subject(subject(c.order)), event.Count(c.order.Seq)}
	reason := c.reason
	switch {
	case err != nil && notDelivered(err):
		eventKind = event.OrderDeclined
	case err != nil:
		eventKind = event.OrderNoAnswer
	case !accepted(outcome):
		eventKind = event.OrderDeclined
		reason = fmt.Sprintf("%s; outcome %d", reason, outcome)
	}
	fields = append(fields, event.Reason(reason))
	if err != nil {
		fields = append(fields, event.Err(err))
	}
	event.Log(m.opts.Log, eventKind, fields...)
}

func subject(o fleet.Order) string {
	name, verb := o.Model, "load "
	if o.Adapter != "" {
		name += "/" + o.Adapter
	}
	if o.Kind == fleet.OrderUnload {
		verb = "unload "
	}
	return verb + name
}
