package loadplan

import (
	"slices"
	"time"
)

// option is a way to load a model on one server.
type option struct {
	server  *serverPlan
	victims []*residentPlan
	loss    float64
	cost    float64 // total cost, by which options are compared
}

// placement is one search for a server for a replica of a model.
type placement struct {
	need
	reason     string
	fromStore  bool // a load from the weight store is allowed now
	evictLast  bool // the last replica of another model may be unloaded
	keepOthers bool // nothing may be unloaded
}

// place selects a server for one more replica of a model, of a software version if one is
// needed, and records the intent. It returns false if no server can load the replica or
// none pays off.
func (p *planning) place(n need, reason string) bool {
	m := n.model
	pl := placement{
		need:       n,
		reason:     reason,
		fromStore:  p.storeLoadAllowed(m, reason),
		evictLast:  p.mayEvictLast(m, reason),
		keepOthers: p.demandUnknown(reason),
	}
	var best option
	for i := range p.servers {
		o, ok := p.option(&pl, &p.servers[i])
		if ok && (best.server == nil || o.cost < best.cost) {
			best = o
		}
	}
	if best.server == nil {
		return false
	}
	p.apply(m, &best, reason)
	return true
}

// option returns the victims and cost of loading a model on a server. It
// returns false if the server can't load the model or the load doesn't pay off.
func (p *planning) option(pl *placement, sp *serverPlan) (option, bool) {
	o := option{server: sp}
	if !sp.open || !pl.fits(sp) || sp.hasLoaded(pl.model) {
		return o, false
	}
	source, duration := sp.state.loadSource(pl.model.model)
	if source == SourceStore && !pl.fromStore {
		return o, false
	}
	if !p.chooseVictims(&o, p.missingMB(sp, pl.model), pl) {
		return o, false
	}
	if (len(o.victims) > 0 && pl.keepOthers) || !pl.paysOff(&o) {
		return o, false
	}
	o.cost += lossMargin*o.loss + loadSecondCost*duration.Seconds() + serverWorkCost*sp.work
	if sp.state.recentlyUnresponsive(p.now) {
		o.cost += unresponsiveCost
	}
	o.cost += sameZoneCost * float64(pl.model.inZone[sp.zone])
	return o, true
}

// missingMB returns the memory in MB to be freed before the server can load the model.
func (p *planning) missingMB(sp *serverPlan, m *modelPlan) float64 {
	return m.model.WeightsMB - p.freeFor(sp, m)
}

// fits reports whether the server has the software version that is needed.
func (n need) fits(sp *serverPlan) bool {
	return n.software == anySoftware || n.software == sp.software
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
func (pl *placement) paysOff(o *option) bool {
	switch pl.reason {
	case ReasonDemand:
		return pl.model.gain() > lossMargin*o.loss+loadCost
	case ReasonUnrequested:
		return unrequestedGain > lossMargin*o.loss
	default:
		return true
	}
}

// storeLoadAllowed reports whether the load rate and concurrency permit a load from the
// weight store for the reason. Loads from copies on a server are not limited.
func (p *planning) storeLoadAllowed(m *modelPlan, reason string) bool {
	free := p.state.Rate.Free(p.state.Engine.LoadsPerS, p.now) - p.loadsPlanned
	if reason == ReasonDemand || reason == ReasonUnrequested {
		free -= reservedLoads
	}
	return free > 0 && p.loading+p.loadsPlanned < concurrentLoads(p.state.Engine, m.model)+extraPlannedLoads
}

// chooseVictims adds the cheapest victims until the memory needed is free. It
// returns false if the evictable models don't suffice.
func (p *planning) chooseVictims(o *option, need float64, pl *placement) bool {
	for need > 0 {
		var best *residentPlan
		bestCost := 0.0
		for i := range o.server.residents {
			v := &o.server.residents[i]
			if slices.Contains(o.victims, v) || !v.evictable(pl) {
				continue
			}
			if cost := p.victimCost(v); best == nil || cost < bestCost {
				best, bestCost = v, cost
			}
		}
		if best == nil {
			return false
		}
		loss := best.model.loss()
		o.victims = append(o.victims, best)
		o.loss += loss
		o.cost += bestCost - lossMargin*loss
		need -= best.weights
	}
	return true
}

func (p *planning) victimCost(v *residentPlan) float64 {
	cost := unloadCost + lossMargin*v.model.loss()
	cost += runningCost*float64(v.running) + loadSecondCost*unloadTime(v.running).Seconds()
	if v.recent || (v.model.count <= 1 && p.state.Demand.observedTime() < learningTime) {
		cost += recentLoadCost
	}
	if v.mayBeResumed() {
		cost += resumableCost
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

// evictable reports whether a model may be unloaded from a server. The last
// replica stays unless evictLast is set and the model was not requested
// recently. A replica that is still loading elsewhere doesn't replace one that
// serves. One that requests are bound to stays.
func (v *residentPlan) evictable(pl *placement) bool {
	needed := pl.reason == ReasonWaiting || pl.reason == ReasonBound || pl.reason == ReasonNotLoaded
	if v.maybeOut || v.boundHere() || (!needed && v.recent) {
		return false
	}
	if v.model.count > 1 && (v.servedElsewhere() || !v.model.requested) {
		return true
	}
	return pl.evictLast && !v.model.requested
}

// servedElsewhere reports whether another server serves the model.
func (v *residentPlan) servedElsewhere() bool {
	n := v.model.serving
	if v.serves {
		n--
	}
	return n > 0
}

// mayEvictLast reports whether the last replica of another model may be
// unloaded to load the given model for the given reason. It may if the given
// model has waiting requests or no replica, and also if its replicas are
// overloaded and demand has been observed for learningTime.
func (p *planning) mayEvictLast(m *modelPlan, reason string) bool {
	switch reason {
	case ReasonWaiting, ReasonBound, ReasonNotLoaded:
		return true
	case ReasonDemand:
		contended := m.work > contendedWork*float64(m.count)
		return contended && p.state.Demand.observedTime() >= learningTime
	default:
		return false
	}
}

// apply records an option as the server's intent and updates the counts.
func (p *planning) apply(m *modelPlan, o *option, reason string) {
	sp := o.server
	if source, _ := sp.state.loadSource(m.model); source == SourceStore {
		p.loadsPlanned++
	}
	intent := &Intent{Load: m.model.Name, Reason: reason}
	for _, v := range o.victims {
		intent.Unload = append(intent.Unload, v.model.model.Name)
		sp.dropReplica(v)
	}
	sp.state.intent, sp.open = intent, false
	sp.replicas = append(sp.replicas, m.index)
	slices.Sort(sp.replicas)
	m.countReplica(sp, 1)
	p.spreadWork()
}

// dropReplica removes a victim from the counts, if it was counted.
func (sp *serverPlan) dropReplica(v *residentPlan) {
	at, counted := slices.BinarySearch(sp.replicas, v.model.index)
	if !counted {
		return
	}
	sp.replicas = slices.Delete(sp.replicas, at, at+1)
	v.model.countReplica(sp, -1)
	if v.serves {
		v.model.countServing(sp, -1)
	}
}
