package loadplan

import (
	"slices"
	"time"
)

// option is a way to load a model on one server.
type option struct {
	server  *ServerState
	victims []string
	loss    float64
	cost    float64 // total cost, by which options are compared
}

// place selects a server for one more replica of a model and records the
// intent. It returns false if no server can load the replica or none pays off.
func (p *planning) place(model, reason string) bool {
	var best *option
	for _, id := range p.ids {
		o, ok := p.option(model, p.state.Servers[id], reason)
		if ok && (best == nil || o.cost < best.cost) {
			best = &o
		}
	}
	if best == nil {
		return false
	}
	p.apply(model, best, reason)
	return true
}

// option returns the victims and cost of loading a model on a server. It
// returns false if the server can't load the model or the load doesn't pay off.
func (p *planning) option(model string, s *ServerState, reason string) (option, bool) {
	o := option{server: s}
	if !p.state.takesLoads(s) || !p.idle(s) || s.intent != nil || s.Models[model] != nil || !p.loadAllowed(model, s, reason) {
		return o, false
	}
	m := p.state.Engine.Models[model]
	need := m.WeightsMB - s.freeMemory(p.state.Engine, Key{Model: model})
	if !p.chooseVictims(&o, need, reason, p.mayEvictLast(model, reason)) {
		return o, false
	}
	if (len(o.victims) > 0 && p.demandUnknown(reason)) || !p.paysOff(model, &o, reason) {
		return o, false
	}
	_, duration := s.loadSource(m)
	o.cost += lossMargin*o.loss + loadSecondCost*duration.Seconds() + serverWorkCost*p.serverWork[s.Server.ID]
	if s.recentlyUnresponsive(p.now) {
		o.cost += unresponsiveCost
	}
	o.cost += sameZoneCost * float64(p.replicasInZone(model, s.Server.Zone))
	return o, true
}

// demandUnknown reports whether too little demand was observed to unload a
// model for the reason. Until then the placement made by earlier lease holders
// or the operator stays.
func (p *planning) demandUnknown(reason string) bool {
	switch reason {
	case ReasonDemand:
		return !p.state.Demand.settled()
	case ReasonUnrequested:
		return p.state.Demand.observedTime() < learningTime
	default:
		return false
	}
}

// paysOff reports whether the load gains more than it costs. Loading a model
// that is requested but not loaded anywhere always pays off.
func (p *planning) paysOff(model string, o *option, reason string) bool {
	switch reason {
	case ReasonDemand:
		return p.gain(model) > lossMargin*o.loss+loadCost
	case ReasonUnrequested:
		return unrequestedGain > lossMargin*o.loss
	default:
		return true
	}
}

// loadAllowed reports whether the load rate and concurrency permit a load for
// the reason. Loads from copies on the server are not limited.
func (p *planning) loadAllowed(model string, s *ServerState, reason string) bool {
	m := p.state.Engine.Models[model]
	if source, _ := s.loadSource(m); source != SourceStore {
		return true
	}
	free := p.state.Rate.Free(p.state.Engine.LoadsPerS, p.now) - p.loadsPlanned
	if reason == ReasonDemand || reason == ReasonUnrequested {
		free -= reservedLoads
	}
	return free > 0 && p.loading+p.loadsPlanned < concurrentLoads(p.state.Engine, m)+extraPlannedLoads
}

// chooseVictims adds the cheapest victims until the memory needed is free. It
// returns false if the evictable models don't suffice.
func (p *planning) chooseVictims(o *option, need float64, reason string, allowLast bool) bool {
	for need > 0 {
		best, bestCost := "", 0.0
		for _, v := range sortedKeys(o.server.Models) {
			if slices.Contains(o.victims, v) || !p.evictable(v, o.server, reason, allowLast) {
				continue
			}
			if cost := p.victimCost(v, o.server); best == "" || cost < bestCost {
				best, bestCost = v, cost
			}
		}
		if best == "" {
			return false
		}
		o.victims = append(o.victims, best)
		o.loss += p.loss(best)
		o.cost += bestCost - lossMargin*p.loss(best)
		m := p.state.Engine.Models[best]
		need -= m.WeightsMB + float64(len(o.server.Models[best].Adapters))*m.AdapterMB
	}
	return true
}

func (p *planning) victimCost(model string, s *ServerState) float64 {
	running := p.running[s.Server.ID][model]
	cost := unloadCost + lossMargin*p.loss(model)
	cost += runningCost*float64(running) + loadSecondCost*unloadTime(running).Seconds()
	if p.recentlyLoaded(model, s) || (p.count[model] <= 1 && p.state.Demand.observedTime() < learningTime) {
		cost += recentLoadCost
	}
	return cost
}

const (
	idleUnloadTime = 350 * time.Millisecond // without running requests, including the report of its end
	// Running requests need drainBaseTime plus drainTimePerRequest each to
	// end, but at most maxDrainTime.
	drainBaseTime       = 2 * time.Second
	drainTimePerRequest = 150 * time.Millisecond
	maxDrainTime        = 6 * time.Second
)

// unloadTime returns the expected duration of an unload, which waits for
// running requests.
func unloadTime(running int) time.Duration {
	if running <= 0 {
		return idleUnloadTime
	}
	return idleUnloadTime + min(drainBaseTime+time.Duration(running)*drainTimePerRequest, maxDrainTime)
}

func (p *planning) recentlyLoaded(model string, s *ServerState) bool {
	at, ok := s.loadedAt[model]
	return ok && p.now-at < minStayTime
}

// evictable reports whether a model may be unloaded from a server. The last
// replica stays unless allowLast is set and the model was not requested
// recently. A replica that is still loading elsewhere doesn't replace one that
// serves.
func (p *planning) evictable(v string, s *ServerState, reason string, allowLast bool) bool {
	needed := reason == ReasonWaiting || reason == ReasonNotLoaded
	if s.possiblyUnloads(v) || (!needed && p.recentlyLoaded(v, s)) {
		return false
	}
	if p.count[v] > 1 && (p.servedElsewhere(v, s) || !p.requested(v)) {
		return true
	}
	return allowLast && !p.requested(v)
}

// servedElsewhere reports whether another server serves the model.
func (p *planning) servedElsewhere(model string, s *ServerState) bool {
	n := p.serving[model]
	if p.modelsAt[s.Server.ID][model] && p.servesAt(model, s) {
		n--
	}
	return n > 0
}

// mayEvictLast reports whether the last replica of another model may be
// unloaded to load the given model for the given reason. It may if the given
// model has waiting requests or no replica, and also if its replicas are
// overloaded and demand has been observed for learningTime.
func (p *planning) mayEvictLast(model, reason string) bool {
	switch reason {
	case ReasonWaiting, ReasonNotLoaded:
		return true
	case ReasonDemand:
		contended := p.state.Demand.work(model) > contendedWork*float64(p.count[model])
		return contended && p.state.Demand.observedTime() >= learningTime
	default:
		return false
	}
}

func (p *planning) replicasInZone(model, zone string) int {
	n := 0
	for _, id := range p.ids {
		if p.state.Servers[id].Server.Zone == zone && p.modelsAt[id][model] {
			n++
		}
	}
	return n
}

// apply records an option as the server's intent and updates the counts.
func (p *planning) apply(model string, o *option, reason string) {
	s := o.server
	if source, _ := s.loadSource(p.state.Engine.Models[model]); source == SourceStore {
		p.loadsPlanned++
	}
	models := p.modelsAt[s.Server.ID]
	for _, v := range o.victims {
		if models[v] {
			if p.servesAt(v, s) {
				p.serving[v]--
			}
			p.count[v]--
			delete(models, v)
		}
	}
	s.intent = &Intent{Load: model, Unload: o.victims, Reason: reason}
	models[model] = true
	p.count[model]++
	p.spreadWork()
}
