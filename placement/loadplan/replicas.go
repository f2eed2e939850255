package loadplan

import (
	"slices"
	"sort"
	"time"

	"peridotchute.example/fleet"
)

// Costs and gains of a placement, in squared shares of the mean work per
// server. The contention among the requests of a model is its squared work
// divided by its number of replicas. The sum over all models is lowest when
// replicas are proportional to work.
const (
	lossMargin       = 1.5  // a replica is replaced only for a gain this many times its loss
	loadCost         = 0.02 // cost of a load and its orders
	unrequestedGain  = 1.0  // gain of having an unrequested model loaded
	unloadCost       = 0.05 // cost of an unload
	loadSecondCost   = 0.3  // cost of each second until the replica serves
	serverWorkCost   = 0.3  // cost per unit of work already on the server
	sameZoneCost     = 0.15 // cost of each replica in the same availability zone
	runningCost      = 0.02 // cost of each running request that an unload waits for
	unresponsiveCost = 0.5  // cost of a server that recently lost an order
	recentLoadCost   = 1.0  // extra cost of a victim that was loaded recently
	// initialReplicaWork is the work assumed for a replica that was placed
	// before the demand was known.
	initialReplicaWork = 0.5
	// minMeanWork is the mean work per server, in tokens per second, below
	// which more replicas have no noticeable effect.
	minMeanWork = 5000.0
	// contendedWork is the work of a replica, in tokens per second, above which
	// its requests wait for each other. A server prefills 38,000 tokens a
	// second and has at least half of the prompt tokens cached.
	contendedWork = 40_000.0
	// lightWork is the work of a replica, in tokens per second, up to which its
	// requests rarely overlap: a fifth of a server's prefill rate. Another
	// replica would use weight store and server capacity that other models
	// need.
	lightWork = 8_000.0
	// maxUnloadWait is how long an unload may exceed its expected end before
	// the model waiting for its memory is also loaded elsewhere. Most running
	// requests end within this time.
	maxUnloadWait = 3 * time.Second
	// reservedLoads is the number of loads per window reserved for requested
	// models that are not loaded anywhere.
	reservedLoads = 2
	// extraPlannedLoads is how many loads may be planned beyond the
	// concurrent ones, so that their servers can unload meanwhile.
	extraPlannedLoads = 2
)

// planning is the state of one run of Plan.
type planning struct {
	state        *PlacementState
	now          time.Duration
	ids          []string                   // server IDs, sorted
	models       []string                   // declared models, sorted
	count        map[string]int             // replicas by model that serve or will serve, without those to be unloaded
	serving      map[string]int             // replicas by model that serve now, without those to be unloaded
	share        map[string]float64         // work by model, as a multiple of the mean work per server
	peak         map[string]float64         // decaying maximum of the work by model, same unit as share
	modelsAt     map[string]map[string]bool // models with a replica in count, by server
	running      map[string]map[string]int  // running requests by server and model
	serverWork   map[string]float64         // work by server, same unit as share
	loading      int                        // loads from the weight store in progress or ordered by this plan
	loadsOrdered int                        // loads from the weight store ordered by this plan
	loadsPlanned int                        // loads from the weight store planned but not yet ordered
}

func newPlanning(ps *PlacementState, now time.Duration) *planning {
	p := &planning{
		state: ps, now: now, ids: ps.ids(), models: sortedKeys(ps.Engine.Models),
		count: map[string]int{}, serving: map[string]int{}, share: map[string]float64{}, peak: map[string]float64{},
		modelsAt: map[string]map[string]bool{}, running: ps.Demand.runningModels(),
	}
	for _, id := range p.ids {
		s := ps.Servers[id]
		p.modelsAt[id] = p.replicasAt(s)
		for model := range p.modelsAt[id] {
			p.count[model]++
			if p.servesAt(model, s) {
				p.serving[model]++
			}
		}
		p.countLoads(s)
	}
	p.shareWork()
	p.spreadWork()
	return p
}

// countLoads adds the loads from the weight store on one server.
func (p *planning) countLoads(s *ServerState) {
	if s.work != nil && s.work.Kind == fleet.OrderLoad && s.work.Source == SourceStore {
		p.loading++
	}
	if s.intent == nil || s.loading(s.intent.Load) {
		return
	}
	if source, _ := s.loadSource(p.state.Engine.Models[s.intent.Load]); source == SourceStore {
		p.loadsPlanned++
	}
}

// spreadWork computes the work of each server, with each model's work divided
// evenly among its replicas.
func (p *planning) spreadWork() {
	p.serverWork = make(map[string]float64, len(p.ids))
	for id, models := range p.modelsAt {
		for _, model := range sortedKeys(models) {
			p.serverWork[id] += p.share[model] / float64(p.count[model])
		}
	}
}

// replicasAt returns the models that the server serves or will serve, without
// those to be unloaded.
func (p *planning) replicasAt(s *ServerState) map[string]bool {
	out := map[string]bool{}
	if !p.state.countsReplicas(s, p.now) {
		return out
	}
	for model := range s.Models {
		if s.serves(model) && p.state.sufficesFor(model, s) && !s.intentUnloads(model) && !s.possiblyUnloads(model) {
			out[model] = true
		}
	}
	if s.work != nil && s.work.Kind == fleet.OrderLoad && s.work.Model != "" {
		out[s.work.Model] = true
	}
	if s.sent != nil && s.sent.Kind == fleet.OrderLoad && s.sent.Adapter == "" {
		out[s.sent.Model] = true
	}
	if load := p.state.inheritedLoad(s); load != "" {
		out[load] = true
	}
	if s.intent != nil && !p.unloadOverdue(s) {
		out[s.intent.Load] = true
	}
	return out
}

// servesAt reports whether the server serves the model now and no lost order
// may unload it.
func (p *planning) servesAt(model string, s *ServerState) bool {
	return p.state.usable(s) && s.serves(model) && !s.possiblyUnloads(model)
}

// unloadOverdue reports whether an unload on the server is past its expected
// end by more than maxUnloadWait while requests wait for the model that is to
// be loaded there next. Loading that model on another server may be faster.
func (p *planning) unloadOverdue(s *ServerState) bool {
	return s.work != nil && s.work.Kind == fleet.OrderUnload && p.now-s.work.Due > maxUnloadWait && p.hasWaiting(s.intent.Load)
}

// possiblyUnloads reports whether a lost order may still unload the model.
func (s *ServerState) possiblyUnloads(model string) bool {
	for _, o := range s.lostOrders {
		if o.Kind == fleet.OrderUnload && o.Adapter == "" && o.Model == model {
			return true
		}
	}
	return false
}

// shareWork computes each model's work as a multiple of the mean work per
// server.
func (p *planning) shareWork() {
	total, servers := 0.0, 0
	for _, s := range p.state.Servers {
		if p.state.takesLoads(s) {
			servers++
		}
	}
	for _, model := range p.models {
		total += p.state.Demand.work(model)
	}
	mean := max(total/float64(max(servers, 1)), minMeanWork)
	for _, model := range p.models {
		p.share[model] = p.state.Demand.work(model) / mean
		p.peak[model] = p.state.Demand.peak(model) / mean
		if p.state.Demand.observedTime() < learningTime {
			p.peak[model] = max(p.peak[model], initialReplicaWork*float64(p.count[model]))
		}
	}
}

// decide adds intents in order of priority: models that requests wait for,
// recently requested models that no server has loaded, replicas in proportion
// to work, and unrequested models that no server has loaded.
func (p *planning) decide() {
	var waiting, notLoaded, unrequested []string
	for _, model := range p.models {
		switch {
		case p.count[model] > 0:
		case p.hasWaiting(model):
			waiting = append(waiting, model)
		case p.requested(model):
			notLoaded = append(notLoaded, model)
		default:
			unrequested = append(unrequested, model)
		}
	}
	p.sortByUrgency(waiting)
	p.sortByShare(notLoaded)
	for _, model := range waiting {
		p.place(model, ReasonWaiting)
	}
	for _, model := range notLoaded {
		p.place(model, ReasonNotLoaded)
	}
	p.addReplicas()
	for _, model := range unrequested {
		p.place(model, ReasonUnrequested)
	}
}

// sortByUrgency sorts models by their most urgent waiting request, then by the
// number of waiting requests.
func (p *planning) sortByUrgency(models []string) {
	d := &p.state.Demand
	sort.SliceStable(models, func(i, j int) bool {
		if a, b := d.urgency(models[i]), d.urgency(models[j]); a != b {
			return a < b
		}
		return d.waiting(models[i]) > d.waiting(models[j])
	})
}

func (p *planning) sortByShare(models []string) {
	sort.SliceStable(models, func(i, j int) bool { return p.share[models[i]] > p.share[models[j]] })
}

// addReplicas adds replicas, the highest gain first, until none pays off.
func (p *planning) addReplicas() {
	var candidates []string
	for _, model := range p.models {
		if p.count[model] > 0 && p.gain(model) > loadCost && !p.lightlyLoaded(model) {
			candidates = append(candidates, model)
		}
	}
	for len(candidates) > 0 {
		best := 0
		for i, model := range candidates {
			if p.gain(model) > p.gain(candidates[best]) {
				best = i
			}
		}
		if p.gain(candidates[best]) <= loadCost || p.lightlyLoaded(candidates[best]) || !p.place(candidates[best], ReasonDemand) {
			candidates = slices.Delete(candidates, best, best+1)
		}
	}
}

// lightlyLoaded reports whether the replicas of a model have so little work
// that another one would have no noticeable effect.
func (p *planning) lightlyLoaded(model string) bool {
	return p.state.Demand.work(model) <= lightWork*float64(p.count[model])
}

// gain returns how much one more replica of a model reduces contention.
func (p *planning) gain(model string) float64 {
	n := float64(p.count[model])
	return p.share[model] * p.share[model] / (n * (n + 1))
}

// loss returns how much removing one replica of a model increases contention.
// For the last replica it includes unrequestedGain.
func (p *planning) loss(model string) float64 {
	n := float64(p.count[model])
	if n <= 1 {
		return p.share[model]*p.share[model] + unrequestedGain
	}
	return p.peak[model] * p.peak[model] / (n * (n - 1))
}
