package loadplan

import (
	"time"

	"peridotchute.example/fleet"
)

// adapterIdleTime is how long an adapter must have been without requests before
// it is unloaded. Entries report their running requests every 300 ms, and a
// request that was just sent needs time to appear in a report.
const adapterIdleTime = time.Second

// Outcome is the result of Choose.
type Outcome int

// The outcomes of Choose.
const (
	ChoiceLoaded  Outcome = iota // already loaded, or will be at Ready
	ChoiceOrder                  // Order is to be sent to Server
	ChoiceWait                   // no order is possible now; retry after a change
	ChoiceNoModel                // no server has loaded the model
	ChoiceNoRoom                 // no server of the software version has loaded the model or has room for it
	ChoiceUnknown                // the model is not declared
)

// Choice describes how a model or adapter becomes available.
type Choice struct {
	Outcome Outcome
	Server  string
	Ready   time.Duration
	Order   fleet.Order
}

// Choose selects a server for requests for the key, or the order that makes one
// available. prefer lists server IDs, most preferred first. With a software version,
// only servers of that version are chosen. Each call counts as a use of the returned
// model or adapter.
func (ps *PlacementState) Choose(k Key, software string, prefer []string, now time.Duration) Choice {
	if ps.Engine == nil {
		return Choice{Outcome: ChoiceUnknown}
	}
	if _, ok := ps.Engine.Models[k.Model]; !ok {
		return Choice{Outcome: ChoiceUnknown}
	}
	hosts := ps.hosts(k.Model, software)
	if c, ok := loadedOn(hosts, k, prefer); ok {
		ps.Servers[c.Server].lastUsed[k] = now
		return c
	}
	if len(hosts) == 0 && ps.noRoom[boundKey{k.Model, software}] {
		return Choice{Outcome: ChoiceNoRoom}
	}
	if k.Adapter == "" || len(hosts) == 0 {
		return Choice{Outcome: ChoiceNoModel}
	}
	return ps.loadAdapter(hosts, k, prefer, now)
}

// loadedOn returns the most preferred of the hosts that has loaded the key or is
// loading it.
func loadedOn(hosts []*ServerState, k Key, prefer []string) (Choice, bool) {
	best, bestRank := Choice{}, 0
	for _, s := range hosts {
		id := s.Server.ID
		ready := time.Duration(0)
		if k.Adapter != "" {
			a := s.adapter(k.Model, k.Adapter)
			if a == nil || a.Unloading || s.unloadPending(k) {
				continue
			}
			ready = a.Ready
		}
		if r := preferenceRank(prefer, id); best.Server == "" || r < bestRank {
			best, bestRank = Choice{Outcome: ChoiceLoaded, Server: id, Ready: ready}, r
		}
	}
	return best, best.Server != ""
}

// unloadPending reports whether an order to unload the adapter is in flight, or
// was lost and may still arrive.
func (s *ServerState) unloadPending(k Key) bool {
	is := func(o fleet.Order) bool {
		return o.Kind == fleet.OrderUnload && o.Model == k.Model && o.Adapter == k.Adapter
	}
	if s.sent != nil && is(*s.sent) {
		return true
	}
	for _, o := range s.lostOrders {
		if is(o) {
			return true
		}
	}
	return false
}

func preferenceRank(prefer []string, id string) int {
	for i, p := range prefer {
		if p == id {
			return i
		}
	}
	return len(prefer)
}

// hosts returns the usable servers that serve the model, in order of their IDs. Those that
// limit their requests are left out if there are others.
func (ps *PlacementState) hosts(model, software string) []*ServerState {
	var limited, unlimited []*ServerState
	for _, id := range ps.ids() {
		s := ps.Servers[id]
		switch {
		case !ps.usable(s) || !s.serves(model) || !s.hasSoftware(software):
		case ps.takesLoads(s):
			unlimited = append(unlimited, s)
		default:
			limited = append(limited, s)
		}
	}
	if len(unlimited) > 0 {
		return unlimited
	}
	return limited
}

// hasSoftware reports whether the server has the software version; any has "".
func (s *ServerState) hasSoftware(software string) bool {
	return software == "" || s.Server.Software == software
}

// adapterOption is a server on which an adapter could be loaded.
type adapterOption struct {
	server       string
	victim       Key           // adapter to unload first; empty if a slot is free
	unresponsive bool          // recently lost an order
	rank         int           // position in the caller's preference
	adapters     int           // adapters loaded or loading on the server
	lastUsed     time.Duration // last use of the victim
}

// loadAdapter returns the order that loads the adapter on one of the hosts of its
// model: one with a free slot, else the one with the least recently used idle
// adapter, which is unloaded first.
func (ps *PlacementState) loadAdapter(hosts []*ServerState, k Key, prefer []string, now time.Duration) Choice {
	var best *adapterOption
	for _, s := range hosts {
		o, ok := ps.adapterOption(k, s, now)
		if !ok {
			continue
		}
		o.rank = preferenceRank(prefer, s.Server.ID)
		if best == nil || o.preferredTo(best) {
			best = &o
		}
	}
	if best == nil {
		return Choice{Outcome: ChoiceWait}
	}
	s := ps.Servers[best.server]
	kind, target := fleet.OrderLoad, k
	if best.victim != (Key{}) {
		kind, target = fleet.OrderUnload, best.victim
	} else {
		s.lastUsed[k] = now
	}
	return Choice{Outcome: ChoiceOrder, Server: best.server, Order: s.order(kind, target)}
}

func (ps *PlacementState) adapterOption(k Key, s *ServerState, now time.Duration) (adapterOption, bool) {
	o := adapterOption{server: s.Server.ID, unresponsive: s.recentlyUnresponsive(now)}
	if !s.ready() || now < s.adaptersBlockedUntil || ps.fenced(s, now) || s.intentUnloads(k.Model) {
		return o, false
	}
	for _, m := range s.Models {
		o.adapters += len(m.Adapters)
	}
	fits := s.freeMemory(ps.Engine, k) >= sizeOf(ps.Engine, k)
	if fits && s.freeAdapterSlots(ps.Engine, k, now) > 0 {
		return o, true
	}
	victim, used, ok := ps.idleAdapter(s, now)
	o.victim, o.lastUsed = victim, used
	return o, ok
}

// intentUnloads reports whether the server's intent unloads the model.
func (s *ServerState) intentUnloads(model string) bool {
	if s.intent == nil {
		return false
	}
	for _, v := range s.intent.Unload {
		if v == model {
			return true
		}
	}
	return false
}

// idleAdapter returns the server's least recently used adapter without running
// requests, and the time of its last use.
func (ps *PlacementState) idleAdapter(s *ServerState, now time.Duration) (Key, time.Duration, bool) {
	best, bestUsed := Key{}, never
	if ps.Demand.observedTime() < adapterIdleTime {
		return best, 0, false // running requests are not known yet
	}
	for model, m := range s.Models {
		for name, a := range m.Adapters {
			k := Key{Model: model, Adapter: name}
			if a.Unloading || a.Ready > now || ps.Demand.Running(s.Server.ID, k) > 0 {
				continue
			}
			used := max(s.lastUsed[k], ps.Demand.LastRun(s.Server.ID, k))
			if now-used < adapterIdleTime && used > 0 {
				continue
			}
			if best == (Key{}) || used < bestUsed || (used == bestUsed && keyLess(k, best)) {
				best, bestUsed = k, used
			}
		}
	}
	return best, bestUsed, best != Key{}
}

func keyLess(a, b Key) bool {
	if a.Model != b.Model {
		return a.Model < b.Model
	}
	return a.Adapter < b.Adapter
}

// preferredTo reports whether o is better than p. Responsive servers come
// first, then those with a free slot, then the least recently used victim or
// else the caller's preference, then the fewest adapters.
func (o *adapterOption) preferredTo(p *adapterOption) bool {
	if o.unresponsive != p.unresponsive {
		return p.unresponsive
	}
	if free := o.victim == (Key{}); free != (p.victim == (Key{})) {
		return free
	}
	if o.victim != (Key{}) && o.lastUsed != p.lastUsed {
		return o.lastUsed < p.lastUsed
	}
	if o.rank != p.rank {
		return o.rank < p.rank
	}
	return o.adapters < p.adapters
}

// blockAdapterOrders blocks adapter orders until the model order in progress is
// expected to end, for servers that reject them meanwhile.
func (s *ServerState) blockAdapterOrders(now time.Duration) {
	if s.work == nil {
		return
	}
	s.adaptersBlockedUntil = max(s.work.Due, now) + maxReportAge
}
