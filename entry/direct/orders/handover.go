package orders

import (
	"maps"
	"time"

	"peridotchute.example/fleet"
	"peridotchute.example/placement/residence"
)

// LeaseNote is what an entry tells the others of the lease.
type LeaseNote struct {
	Term     int64     `json:"term"`
	Held     bool      `json:"held"`              // renewed just now; otherwise given up
	Version  string    `json:"version,omitempty"` // of the row, when Held
	Handover *Handover `json:"handover,omitempty"`
}

// Handover is what a holder that gives no more orders tells the next one, so
// that this one need not wait before it orders servers that had none lately.
type Handover struct {
	Orders map[string]int64   `json:"orders,omitempty"` // by server: ms since the newest order, within the gap
	Loads  map[string][]int64 `json:"loads,omitempty"`  // by service: ms since each load from the weight store

	Work map[string]WorkNote `json:"work,omitempty"` // by server: the model order in progress
}

// WorkNote is a model order that a server carries out.
type WorkNote struct {
	Unload bool             `json:"unload,omitempty"`
	Model  string           `json:"model"`
	Source residence.Source `json:"source,omitempty"`
	LeftMS int64            `json:"left_ms"` // until its expected end, which may have passed
	Seq    int64            `json:"seq"`     // orders that the server has accepted
}

func noteWork(w residence.Work, seq int64, now time.Duration) WorkNote {
	return WorkNote{
		Unload: w.Kind == fleet.OrderUnload,
		Model:  w.Model,
		Source: w.Source,
		LeftMS: (w.Due - now).Milliseconds(),
		Seq:    seq,
	}
}

// work returns the order with times after the given one.
func (h WorkNote) work(at time.Duration) *residence.Work {
	kind := fleet.OrderLoad
	if h.Unload {
		kind = fleet.OrderUnload
	}
	return &residence.Work{
		Kind:   kind,
		Model:  h.Model,
		Source: h.Source,
		Due:    at + time.Duration(h.LeftMS)*time.Millisecond,
	}
}

// barred returns until when the next holder gives each server no order. The
// ages are those of the given time or of an earlier one.
func (h *Handover) barred(at, gap time.Duration) map[string]time.Duration {
	out := make(map[string]time.Duration, len(h.Orders))
	for server, ms := range h.Orders {
		out[server] = at + gap - time.Duration(ms)*time.Millisecond
	}
	return out
}

// renewed returns the handover with every order as young as can be: what is
// known of it when it was told an unknown time ago.
func (h *Handover) renewed() *Handover {
	if h == nil {
		return nil
	}
	out := &Handover{Orders: make(map[string]int64, len(h.Orders))}
	for server := range h.Orders {
		out.Orders[server] = 0
	}
	return out
}

// pass adds the orders of earlier holders that still bar servers to those of
// this one.
func pass(orders map[string]int64, barred map[string]time.Duration, gap, now time.Duration) {
	for server, until := range barred {
		if until <= now {
			continue
		}
		age := (gap - (until - now)).Milliseconds()
		if own, ok := orders[server]; !ok || age < own {
			orders[server] = age
		}
	}
}

// loads returns when the loads of a service began.
func (h *Handover) loads(service string, at time.Duration) []time.Duration {
	var out []time.Duration
	for _, ms := range h.Loads[service] {
		out = append(out, at-time.Duration(ms)*time.Millisecond)
	}
	return out
}

// given keeps when each server had its newest order of this process.
type given struct {
	last    map[string]time.Duration
	sending map[string]int // orders without an answer so far
}

func newGiven() given {
	return given{last: map[string]time.Duration{}, sending: map[string]int{}}
}

func (g *given) begin(server string, now time.Duration) {
	g.last[server] = now
	g.sending[server]++
}

func (g *given) end(server string, now time.Duration) {
	g.last[server] = now
	if g.sending[server]--; g.sending[server] <= 0 {
		delete(g.sending, server)
	}
}

// within returns the ages of the orders of the last gap; an order on its way is
// as young as can be.
func (g *given) within(gap, now time.Duration) map[string]int64 {
	out := map[string]int64{}
	maps.DeleteFunc(g.last, func(_ string, at time.Duration) bool { return now-at > gap })
	for server, at := range g.last {
		out[server] = (now - at).Milliseconds()
	}
	for server := range g.sending {
		out[server] = 0
	}
	return out
}

// handover returns what the next holder is to know, or nil when this process
// does not know it. The lease gives no more orders already.
func (k *Keeper) handover() *Handover {
	if !k.lease.knowsOrders() {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.opts.Clock()
	h := &Handover{Orders: k.given.within(k.opts.LeaseGap, now), Loads: map[string][]int64{}, Work: map[string]WorkNote{}}
	pass(h.Orders, k.lease.barred(), k.opts.LeaseGap, now)
	for service, b := range k.books {
		for _, age := range b.Rate.Ages(now) {
			h.Loads[service] = append(h.Loads[service], age.Milliseconds())
		}
		for id, s := range b.Servers {
			if w, seq, ok := s.InProgress(); ok {
				h.Work[id] = noteWork(w, seq, now)
			}
		}
	}
	return h
}

// resign gives the lease up when the store cannot be reached, while there is
// time left to tell the others.
func (k *Keeper) resign() {
	term, ok := k.lease.resign()
	if !ok || k.opts.OnLease == nil {
		return
	}
	k.opts.OnLease(LeaseNote{Term: term, Handover: k.handover()})
}
