package residence

import (
	"sort"
	"time"

	"peridotchute.example/fleet"
)

// Book is what the holder of the lease knows of the model servers of one
// service.
type Book struct {
	Engine  *fleet.Engine
	Servers map[string]*State // by ID
	Rate    LoadRate
	Demand  Demands

	down      map[string]outage    // servers that cannot be reached
	inherited map[string]Inherited // by server, from the holder before
}

// outage is the time during which a server was not reached.
type outage struct {
	since, last time.Duration
}

// NewBook returns a book without servers. window is the span over which the
// weight store counts loads, burst how far one may exceed its rate.
func NewBook(window time.Duration, burst float64) *Book {
	return &Book{
		Servers:   map[string]*State{},
		Rate:      LoadRate{Window: window, Burst: burst},
		Demand:    newDemands(),
		inherited: map[string]Inherited{},
	}
}

// Update takes in the configuration and the registrations. Servers that are no
// longer registered are forgotten.
func (b *Book) Update(e *fleet.Engine, servers []fleet.Server, now time.Duration) {
	b.Engine = e
	registered := make(map[string]bool, len(servers))
	for _, sv := range servers {
		registered[sv.ID] = true
		if st := b.Servers[sv.ID]; st != nil {
			st.Register(sv, now)
			continue
		}
		b.Servers[sv.ID] = newState(sv, now)
	}
	for id := range b.Servers {
		if !registered[id] {
			delete(b.Servers, id)
		}
	}
}

// SetDown takes in which servers cannot be reached at present.
func (b *Book) SetDown(down func(id string) bool, now time.Duration) {
	if down == nil {
		return
	}
	before := b.down
	b.down = map[string]outage{}
	for id := range b.Servers {
		o, known := before[id]
		switch {
		case down(id) && known:
			b.down[id] = outage{since: o.since, last: now}
		case down(id):
			b.down[id] = outage{since: now, last: now}
		case known && now-o.last < outageMergeGap:
			b.down[id] = o
		}
	}
}

// Answered takes in the answer to the order that was sent to a server.
func (b *Book) Answered(s *State, outcome fleet.OrderOutcome, now time.Duration) {
	source, length := SourceMemory, time.Duration(0)
	if o := s.sent; o.Kind == fleet.OrderLoad && o.Adapter == "" {
		source, length = s.loadSource(b.Engine.Models[o.Model])
	}
	adapter := s.sent.Adapter != ""
	s.Answered(outcome, source, length, now)
	if adapter && outcome == fleet.OrderBusy {
		s.blockAdapterOrders(now)
	}
}

// Begin notes that an order is being sent. A load from the weight store counts
// from here.
func (b *Book) Begin(s *State, o fleet.Order, now time.Duration) {
	if o.Kind == fleet.OrderLoad && o.Adapter == "" {
		if source, _ := s.loadSource(b.Engine.Models[o.Model]); source == SourceStore {
			b.Rate.Begin(now)
		}
	}
	s.Begin(o, now)
}

// Report takes in a server's report. A lost load that has begun meanwhile
// counts against the rate from now at the latest.
func (b *Book) Report(s *State, r fleet.Report, now time.Duration) bool {
	lost := append([]fleet.Order(nil), s.lostOrders...)
	if !s.Report(r, now) {
		return false
	}
	b.adoptInheritedWork(s, r, now)
	for _, o := range lost {
		if o.Kind == fleet.OrderLoad && o.Adapter == "" && s.seq > o.Seq {
			b.Rate.Begin(now)
			break
		}
	}
	return true
}

const (
	// reloadAfterOutage is how long a server has been out of reach when what it holds is
	// loaded elsewhere. A crash shows in the registrations three seconds later; a
	// load in vain costs less than the requests of that time.
	reloadAfterOutage = 300 * time.Millisecond
	// outageMergeGap is the time for which a server that was out of reach may count as
	// reachable without having been reached: until the next request tries it.
	outageMergeGap = 300 * time.Millisecond
)

// usable reports whether requests and new loads may go to the server.
func (b *Book) usable(s *State) bool {
	_, down := b.down[s.Server.ID]
	return !s.Server.Draining && !down
}

// countsReplicas reports whether the server's residents count as replicas.
func (b *Book) countsReplicas(s *State, now time.Duration) bool {
	o, down := b.down[s.Server.ID]
	return !s.Server.Draining && (!down || now-o.since < reloadAfterOutage)
}

// ids returns the IDs of the servers in order.
func (b *Book) ids() []string {
	out := make([]string, 0, len(b.Servers))
	for id := range b.Servers {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// order returns an order to a server, based on what is known of it.
func (s *State) order(kind fleet.OrderKind, k Key) fleet.Order {
	return fleet.Order{Kind: kind, Model: k.Model, Adapter: k.Adapter, Seq: s.seq}
}
