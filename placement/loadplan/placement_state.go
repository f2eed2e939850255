package loadplan

import (
	"time"

	"peridotchute.example/fleet"
)

// PlacementState is what the lease holder knows of the servers and the demand of
// one service.
type PlacementState struct {
	Engine  *fleet.Engine
	Servers map[string]*ServerState // by ID
	Rate    LoadRate
	Demand  Demands

	sortedIDs []string             // of Servers; nil after a change
	down      map[string]outage    // unreachable servers
	limits    map[string]float64   // requests per second that servers take, of those that limit them
	inherited map[string]Inherited // by server, from the previous lease holder
	noRoom    map[boundKey]bool    // bound models that the last plan found no room for; nil if there are none
}

// outage is a period in which a server was unreachable.
type outage struct {
	since, last time.Duration // first and last time it was seen unreachable
}

// NewPlacementState returns a PlacementState without servers. window is the
// period over which the weight store limits loads, burst the factor by which a
// window may exceed the rate.
func NewPlacementState(window time.Duration, burst float64) *PlacementState {
	return &PlacementState{
		Servers:   map[string]*ServerState{},
		Rate:      LoadRate{Window: window, Burst: burst},
		Demand:    newDemands(),
		inherited: map[string]Inherited{},
	}
}

// Update applies the configuration and the current registrations. Servers that
// are no longer registered are removed.
func (ps *PlacementState) Update(e *fleet.Engine, servers []fleet.Server, now time.Duration) {
	ps.Engine = e
	registered := make(map[string]bool, len(servers))
	for _, sv := range servers {
		registered[sv.ID] = true
		if st := ps.Servers[sv.ID]; st != nil {
			st.Register(sv, now)
			continue
		}
		ps.Servers[sv.ID] = newState(sv, now)
		ps.sortedIDs = nil
	}
	for id := range ps.Servers {
		if !registered[id] {
			delete(ps.Servers, id)
			ps.sortedIDs = nil
		}
	}
}

// SetDown updates which servers are unreachable. A nil down changes nothing.
func (ps *PlacementState) SetDown(down func(id string) bool, now time.Duration) {
	if down == nil {
		return
	}
	previous := ps.down
	ps.down = map[string]outage{}
	for id := range ps.Servers {
		o, wasDown := previous[id]
		switch {
		case down(id) && wasDown:
			ps.down[id] = outage{since: o.since, last: now}
		case down(id):
			ps.down[id] = outage{since: now, last: now}
		case wasDown && now-o.last < outageMergeGap:
			ps.down[id] = o
		}
	}
}

// SetLimits updates which servers limit the requests that they take. A nil limit changes
// nothing.
func (ps *PlacementState) SetLimits(limit func(id string) (perSecond float64, limited bool)) {
	if limit == nil {
		return
	}
	ps.limits = map[string]float64{}
	for id := range ps.Servers {
		if perSecond, limited := limit(id); limited {
			ps.limits[id] = perSecond
		}
	}
}

// ApplyOutcome applies the outcome of the order that was sent to a server.
func (ps *PlacementState) ApplyOutcome(s *ServerState, outcome fleet.OrderOutcome, now time.Duration) {
	source, duration := SourceMemory, time.Duration(0)
	if o := s.sent; o.Kind == fleet.OrderLoad && o.Adapter == "" {
		source, duration = s.loadSource(ps.Engine.Models[o.Model])
	}
	adapter := s.sent.Adapter != ""
	if s.sent.Kind == fleet.OrderLoad && !adapter && source == SourceStore {
		ps.Rate.Answered(s.sentAt, now)
	}
	s.ApplyOutcome(outcome, source, duration, now)
	if adapter && outcome == fleet.OrderBusy {
		s.blockAdapterOrders(now)
	}
}

// BeginOrder records that an order is being sent. A load from the weight store
// counts against the load rate from this moment.
func (ps *PlacementState) BeginOrder(s *ServerState, o fleet.Order, now time.Duration) {
	if o.Kind == fleet.OrderLoad && o.Adapter == "" {
		if source, _ := s.loadSource(ps.Engine.Models[o.Model]); source == SourceStore {
			ps.Rate.Begin(now)
		}
	}
	s.Begin(o, now)
}

// Report applies a server's report and returns whether it was recent enough to
// be used. If the report shows that a lost load has started, the load counts
// against the load rate from now at the latest.
func (ps *PlacementState) Report(s *ServerState, r fleet.Report, now time.Duration) bool {
	lost := append([]fleet.Order(nil), s.lostOrders...)
	if !s.Report(r, now) {
		return false
	}
	ps.adoptInheritedWork(s, r, now)
	for _, o := range lost {
		if o.Kind == fleet.OrderLoad && o.Adapter == "" && s.seq > o.Seq {
			ps.Rate.Begin(now)
			break
		}
	}
	return true
}

const (
	// reloadAfterOutage is how long a server must have been unreachable
	// before its models are loaded elsewhere. The registrations show a crash
	// only after 3 s, and an unnecessary load costs less than the requests of
	// that time.
	reloadAfterOutage = 300 * time.Millisecond
	// outageMergeGap is how long a server may count as reachable again
	// without ending its outage: the next request may find it still
	// unreachable.
	outageMergeGap = 300 * time.Millisecond
)

// takesLoads reports whether models may be loaded on the server.
func (ps *PlacementState) takesLoads(s *ServerState) bool {
	_, limited := ps.limits[s.Server.ID]
	return ps.usable(s) && !limited
}

// maxLimitShare is the share of a server's limit that the requests for its models may take.
// Each entry has a part of the limit, so requests wait long for it at a greater share.
const maxLimitShare = 0.3

// sufficesFor reports whether the server's limit leaves room for the requests for a model,
// after those for its less requested ones. Otherwise the model needs another replica as if
// this one did not exist.
func (ps *PlacementState) sufficesFor(model string, s *ServerState) bool {
	limit, limited := ps.limits[s.Server.ID]
	if !limited {
		return true
	}
	rate := ps.Demand.requestRate(model)
	total := rate
	for other := range s.Models {
		r := ps.Demand.requestRate(other)
		if other != model && (r < rate || r == rate && other < model) {
			total += r
		}
	}
	return total <= maxLimitShare*limit
}

// usable reports whether requests may go to the server.
func (ps *PlacementState) usable(s *ServerState) bool {
	_, down := ps.down[s.Server.ID]
	return !s.Server.Draining && !down
}

// countsReplicas reports whether the server's resident models count as
// replicas.
func (ps *PlacementState) countsReplicas(s *ServerState, now time.Duration) bool {
	o, down := ps.down[s.Server.ID]
	return !s.Server.Draining && (!down || now-o.since < reloadAfterOutage)
}

// ids returns the server IDs in sorted order.
func (ps *PlacementState) ids() []string {
	if ps.sortedIDs == nil {
		ps.sortedIDs = sortedKeys(ps.Servers)
	}
	return ps.sortedIDs
}

// order returns an order for the server that carries the current order count.
func (s *ServerState) order(kind fleet.OrderKind, k Key) fleet.Order {
	return fleet.Order{Kind: kind, Model: k.Model, Adapter: k.Adapter, Seq: s.seq}
}
