package orders

import (
	"maps"
	"time"

	"peridotchute.example/fleet"
	"peridotchute.example/placement/loadplan"
)

// LeaseNotice is what an entry sends to the other entries about the orders lease.
type LeaseNotice struct {
	FencingToken int64     `json:"term"`
	Held         bool      `json:"held"`              // true: renewed just now; false: given up
	Version      string    `json:"version,omitempty"` // version of the lease row, if Held
	Handover     *Handover `json:"handover,omitempty"`
}

// Handover is what a lease holder that stops issuing orders passes to its
// successor, so that the successor need not wait before it orders servers that
// have had no order within the lease gap.
type Handover struct {
	Orders map[string]int64   `json:"orders,omitempty"` // by server: age in ms of the newest order, if within the lease gap; negative if it may still arrive
	Loads  map[string][]int64 `json:"loads,omitempty"`  // by service: age in ms of each load from the weight store

	Work map[string]WorkInProgress `json:"work,omitempty"` // by server: the model order in progress
}

// WorkInProgress is a model order that a server is carrying out.
type WorkInProgress struct {
	Unload bool            `json:"unload,omitempty"`
	Model  string          `json:"model"`
	Source loadplan.Source `json:"source,omitempty"`
	LeftMS int64           `json:"left_ms"` // until the expected end; negative when overdue
	Seq    int64           `json:"seq"`     // number of orders that the server has accepted
}

func newWorkInProgress(w loadplan.Work, seq int64, now time.Duration) WorkInProgress {
	return WorkInProgress{
		Unload: w.Kind == fleet.OrderUnload,
		Model:  w.Model,
		Source: w.Source,
		LeftMS: (w.Due - now).Milliseconds(),
		Seq:    seq,
	}
}

// toWork converts the order to placement state; LeftMS counts from the given time.
func (w WorkInProgress) toWork(at time.Duration) *loadplan.Work {
	kind := fleet.OrderLoad
	if w.Unload {
		kind = fleet.OrderUnload
	}
	return &loadplan.Work{
		Kind:   kind,
		Model:  w.Model,
		Source: w.Source,
		Due:    at + time.Duration(w.LeftMS)*time.Millisecond,
	}
}

// fencedUntil returns, by server, the time before which the next lease holder must
// not send it orders. The ages in Orders are those at the time at, or earlier.
func (h *Handover) fencedUntil(at, gap time.Duration) map[string]time.Duration {
	out := make(map[string]time.Duration, len(h.Orders))
	for server, ms := range h.Orders {
		out[server] = at + gap - time.Duration(ms)*time.Millisecond
	}
	return out
}

// withZeroAges returns a copy that lists the same servers with order age 0. It is
// used when the age of the handover itself is unknown.
func (h *Handover) withZeroAges() *Handover {
	if h == nil {
		return nil
	}
	out := &Handover{Orders: make(map[string]int64, len(h.Orders))}
	for server := range h.Orders {
		out.Orders[server] = 0
	}
	return out
}

// addFenced adds to orders, the ages of orders by server, the orders of earlier
// lease holders that still fence a server. The lower age counts.
func addFenced(orders map[string]int64, fenced map[string]time.Duration, gap, now time.Duration) {
	for server, until := range fenced {
		if until <= now {
			continue
		}
		age := (gap - (until - now)).Milliseconds()
		if own, ok := orders[server]; !ok || age < own {
			orders[server] = age
		}
	}
}

// loadTimes returns when the loads of a service began, with ages as of at.
func (h *Handover) loadTimes(service string, at time.Duration) []time.Duration {
	var out []time.Duration
	for _, ms := range h.Loads[service] {
		out = append(out, at-time.Duration(ms)*time.Millisecond)
	}
	return out
}

// orderTimes records when this process last sent an order to each server.
type orderTimes struct {
	last    map[string]time.Duration
	sending map[string]int // orders awaiting an answer
}

func newOrderTimes() orderTimes {
	return orderTimes{last: map[string]time.Duration{}, sending: map[string]int{}}
}

func (t *orderTimes) begin(server string, now time.Duration) {
	t.last[server] = max(t.last[server], now)
	t.sending[server]++
}

// end records that the call of an order has returned. Until at, the order may still reach its
// server.
func (t *orderTimes) end(server string, at time.Duration) {
	t.last[server] = max(t.last[server], at)
	if t.sending[server]--; t.sending[server] <= 0 {
		delete(t.sending, server)
	}
}

// agesWithin returns, by server, the age in ms of the newest order sent within the
// gap. An order in flight has age 0.
func (t *orderTimes) agesWithin(gap, now time.Duration) map[string]int64 {
	out := map[string]int64{}
	maps.DeleteFunc(t.last, func(_ string, at time.Duration) bool { return now-at > gap })
	for server, at := range t.last {
		out[server] = (now - at).Milliseconds()
	}
	for server := range t.sending {
		out[server] = min(out[server], 0)
	}
	return out
}

// handover returns the state to pass to the next lease holder, or nil when this
// process may not know all recent orders. The lease must already have been given up.
func (m *Manager) handover() *Handover {
	if !m.lease.knowsRecentOrders() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock()
	h := &Handover{Orders: m.orderTimes.agesWithin(m.opts.LeaseGap, now), Loads: map[string][]int64{}, Work: map[string]WorkInProgress{}}
	addFenced(h.Orders, m.lease.fencedUntil(), m.opts.LeaseGap, now)
	for service, ps := range m.placements {
		for _, age := range ps.Rate.Ages(now) {
			h.Loads[service] = append(h.Loads[service], age.Milliseconds())
		}
		for id, s := range ps.Servers {
			if w, seq, ok := s.InProgress(); ok {
				h.Work[id] = newWorkInProgress(w, seq, now)
			}
		}
	}
	return h
}

// resign gives up the lease when renewals keep failing, early enough to notify the
// other entries before the lease expires.
func (m *Manager) resign() { m.handOver(m.lease.resign()) }

// yield gives up the lease if an entry with more processor should hold it.
func (m *Manager) yield() { m.handOver(m.lease.yield()) }

// handOver notifies the other entries that this one has given up the lease.
func (m *Manager) handOver(token int64, gaveUp bool) {
	if !gaveUp || m.opts.OnLease == nil {
		return
	}
	m.opts.OnLease(LeaseNotice{FencingToken: token, Handover: m.handover()})
}
