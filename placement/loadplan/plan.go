package loadplan

import (
	"math"
	"time"

	"peridotchute.example/fleet"
)

// Reasons for model orders.
const (
	ReasonWaiting     = "requests wait and no server holds it"
	ReasonBound       = "streams go on only at a software version of which no server holds it"
	ReasonNotLoaded   = "asked for lately and no server holds it"
	ReasonDemand      = "its replicas carry more than others"
	ReasonUnrequested = "no server holds it"
	ReasonFreeMemory  = "makes room"
)

// Step is an order to issue now.
type Step struct {
	Server string
	Order  fleet.Order
	Reason string
}

// Intent is a planned load of a model on a server, after the models in Unload
// have been unloaded.
type Intent struct {
	Load   string
	Unload []string
	Reason string
}

// Plan returns the model orders to issue now, at most one per server. A
// decision is carried out over several calls, because a model is loaded only
// after the models that it replaces are unloaded.
func (ps *PlacementState) Plan(now time.Duration) []Step {
	ps.Demand.step(now)
	if ps.Engine == nil {
		return nil
	}
	ps.dropIntents()
	p := newPlanning(ps, now)
	p.decide()
	p.recordRoom()
	var steps []Step
	for i := range p.servers {
		if step, ok := p.nextOrder(p.servers[i].state); ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// dropIntents removes intents that are complete or can no longer be carried
// out.
func (ps *PlacementState) dropIntents() {
	for _, s := range ps.Servers {
		if s.intent == nil {
			continue
		}
		_, declared := ps.Engine.Models[s.intent.Load]
		done := s.Models[s.intent.Load] != nil || s.loading(s.intent.Load)
		if !declared || !ps.usable(s) || done || s.busyOutsideIntent() {
			s.intent = nil
		}
	}
}

// busyOutsideIntent reports whether the server carries out a model order that
// is not part of its intent.
func (s *ServerState) busyOutsideIntent() bool {
	return s.work != nil && (s.work.Kind != fleet.OrderUnload || !s.intentUnloads(s.work.Model))
}

// loading reports whether the server is loading the model.
func (s *ServerState) loading(model string) bool {
	if s.work != nil && s.work.Kind == fleet.OrderLoad && s.work.Model == model {
		return true
	}
	return s.sent != nil && s.sent.Kind == fleet.OrderLoad && s.sent.Model == model && s.sent.Adapter == ""
}

// nextOrder returns the next order of the server's intent, if it can be issued
// now.
func (p *planning) nextOrder(s *ServerState) (Step, bool) {
	if s.intent == nil || !p.idle(s) {
		return Step{}, false
	}
	for _, victim := range s.intent.Unload {
		if s.Models[victim] == nil {
			continue
		}
		if p.stillNeeded(victim, s) {
			s.intent = nil
			return Step{}, false
		}
		return p.newStep(s, fleet.OrderUnload, victim, ReasonFreeMemory+" for "+s.intent.Load), true
	}
	return p.nextLoad(s)
}

func (p *planning) nextLoad(s *ServerState) (Step, bool) {
	model := p.state.Engine.Models[s.intent.Load]
	if s.freeMemory(p.state.Engine, Key{Model: model.Name}) < model.WeightsMB {
		s.intent = nil
		return Step{}, false
	}
	if source, _ := s.loadSource(model); source == SourceStore {
		if p.loading >= concurrentLoads(p.state.Engine, model) || p.state.Rate.Free(p.state.Engine.LoadsPerS, p.now) <= p.loadsOrdered {
			return Step{}, false
		}
		p.loading++
		p.loadsOrdered++
	}
	return p.newStep(s, fleet.OrderLoad, model.Name, s.intent.Reason), true
}

func (p *planning) newStep(s *ServerState, kind fleet.OrderKind, model, reason string) Step {
	return Step{Server: s.Server.ID, Order: s.order(kind, Key{Model: model}), Reason: reason}
}

const (
	// recentRequestTime is how long after its last request a model counts as
	// requested. Rare models get only a few requests a minute.
	recentRequestTime = 45 * time.Second
	// minStayTime is how long a loaded model stays before a replica of
	// another model may replace it.
	minStayTime = 5 * time.Second
	// learningTime is how long a lease holder must observe demand before it
	// knows which models are requested.
	learningTime = 15 * time.Second
)

// concurrentLoads returns how many loads from the weight store may run at once:
// the number that the rate starts during one load. More would slow each other
// down.
func concurrentLoads(e *fleet.Engine, m fleet.Model) int {
	return max(int(math.Round(e.LoadsPerS*m.Load.Seconds())), 1)
}
