package residence

import (
	"slices"
	"sort"
	"time"

	"peridotchute.example/fleet"
)

// Weights of a placement, in squared shares of the mean work of a server: the
// work of a model, squared and divided by its replicas, is what its requests
// meet of each other. Its sum is least when replicas are in proportion to work.
const (
	lossMargin       = 1.5  // a replica goes to another model that gains this much more
	loadCost         = 0.02 // of a load and its orders
	unrequestedGain  = 1.0  // of holding a model that nobody has asked for lately
	unloadCost       = 0.05 // of an unload
	loadSecondCost   = 0.3  // of each second until the replica serves
	serverWorkCost   = 0.3  // of the work that the server has already
	sameZoneCost     = 0.15 // of each replica in the same availability zone
	runningCost      = 0.02 // of each running request that an unload has to wait for
	unresponsiveCost = 0.5  // of a server that has left an order unanswered of late
	recentLoadCost   = 1.0  // of a victim that was loaded lately
	// initialReplicaWork is the work that a replica is taken to carry that was placed
	// before the demand was known.
	initialReplicaWork = 0.5
	// minMeanWork is the work of a server, in tokens a second, below which more
	// replicas would not be felt.
	minMeanWork = 5000.0
	// contendedWork is the work of a replica, in tokens a second, from which on its
	// requests wait for each other: a server reads 38,000, and keeps half or more
	// of the prompts.
	contendedWork = 40_000.0
	// lightWork is the work of a replica, in tokens a second, up to which its
	// requests hardly meet: a fifth of what a server reads. Another replica would
	// occupy the weight store and a server's orders, and be in the way of others.
	lightWork = 8_000.0
	// maxUnloadWait is how long an unload may wait for running requests before
	// the model that waits for its place is loaded elsewhere as well: most
	// answers that are running end within it.
	maxUnloadWait = 3 * time.Second
	// reservedLoads are the loads of a window that are kept for models that no
	// server holds.
	reservedLoads = 2
	// extraPlannedLoads are the loads that are decided on beyond those at once: their
	// servers unload meanwhile.
	extraPlannedLoads = 2
)

// planning is the state of one plan in the making.
type planning struct {
	b            *Book
	now          time.Duration
	ids          []string                   // servers, in order
	models       []string                   // declared, in order
	count        map[string]int             // replicas that serve, or will, and stay
	serving      map[string]int             // replicas that serve now and stay
	share        map[string]float64         // of each model's work
	peak         map[string]float64         // of each model's highest work of late
	modelsAt     map[string]map[string]bool // models by server that serve, or will, and stay
	running      map[string]map[string]int  // requests by server and model
	serverWork   map[string]float64         // work by server
	loading      int                        // loads from the weight store in progress or decided on
	loadsOrdered int                        // ordered by this plan
	loadsPlanned int                        // those that are decided on and not yet ordered
}

func newPlanning(b *Book, now time.Duration) *planning {
	p := &planning{
		b: b, now: now, ids: b.ids(), models: sortedKeys(b.Engine.Models),
		count: map[string]int{}, serving: map[string]int{}, share: map[string]float64{}, peak: map[string]float64{},
		modelsAt: map[string]map[string]bool{}, running: b.Demand.runningModels(),
	}
	for _, id := range p.ids {
		s := b.Servers[id]
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

// countLoads counts the loads from the weight store at one server.
func (p *planning) countLoads(s *State) {
	if s.work != nil && s.work.Kind == fleet.OrderLoad && s.work.Source == SourceStore {
		p.loading++
	}
	if s.intent == nil || s.loading(s.intent.Load) {
		return
	}
	if source, _ := s.loadSource(p.b.Engine.Models[s.intent.Load]); source == SourceStore {
		p.loadsPlanned++
	}
}

// spreadWork sets the work of each server, with each model's work spread over
// its replicas.
func (p *planning) spreadWork() {
	p.serverWork = make(map[string]float64, len(p.ids))
	for id, models := range p.modelsAt {
		for _, model := range sortedKeys(models) {
			p.serverWork[id] += p.share[model] / float64(p.count[model])
		}
	}
}

// replicasAt returns the models that the server serves, or will, and keeps.
func (p *planning) replicasAt(s *State) map[string]bool {
	out := map[string]bool{}
	if !p.b.countsReplicas(s, p.now) {
		return out
	}
	for model := range s.Models {
		if s.serves(model) && !s.intentUnloads(model) && !s.possiblyUnloads(model) {
			out[model] = true
		}
	}
	if s.work != nil && s.work.Kind == fleet.OrderLoad && s.work.Model != "" {
		out[s.work.Model] = true
	}
	if s.sent != nil && s.sent.Kind == fleet.OrderLoad && s.sent.Adapter == "" {
		out[s.sent.Model] = true
	}
	if load := p.b.inheritedLoad(s); load != "" {
		out[load] = true
	}
	if s.intent != nil && !p.unloadOverdue(s) {
		out[s.intent.Load] = true
	}
	return out
}

// servesAt reports whether the server serves the model now.
func (p *planning) servesAt(model string, s *State) bool {
	return p.b.usable(s) && s.serves(model) && !s.possiblyUnloads(model)
}

// unloadOverdue reports whether requests wait for the model that the server is to
// load, while an unload there goes on waiting for its requests to end: another
// server may be free sooner.
func (p *planning) unloadOverdue(s *State) bool {
	return s.work != nil && s.work.Kind == fleet.OrderUnload && p.now-s.work.Due > maxUnloadWait && p.hasWaiting(s.intent.Load)
}

// possiblyUnloads reports whether a lost order may still unload the model.
func (s *State) possiblyUnloads(model string) bool {
	for _, o := range s.lostOrders {
		if o.Kind == fleet.OrderUnload && o.Adapter == "" && o.Model == model {
			return true
		}
	}
	return false
}

// shareWork sets each model's work in shares of the mean work of a server.
func (p *planning) shareWork() {
	total, servers := 0.0, 0
	for _, s := range p.b.Servers {
		if p.b.usable(s) {
			servers++
		}
	}
	for _, model := range p.models {
		total += p.b.Demand.work(model)
	}
	mean := max(total/float64(max(servers, 1)), minMeanWork)
	for _, model := range p.models {
		p.share[model] = p.b.Demand.work(model) / mean
		p.peak[model] = p.b.Demand.peak(model) / mean
		if p.b.Demand.observedTime() < learningTime {
			p.peak[model] = max(p.peak[model], initialReplicaWork*float64(p.count[model]))
		}
	}
}

// decide adds intents: first for models that requests wait for, then for those
// asked for lately that no server holds, then replicas in proportion to work,
// then what nobody has asked for.
func (p *planning) decide() {
	var waiting, missing, unasked []string
	for _, model := range p.models {
		switch {
		case p.count[model] > 0:
		case p.hasWaiting(model):
			waiting = append(waiting, model)
		case p.requested(model):
			missing = append(missing, model)
		default:
			unasked = append(unasked, model)
		}
	}
	p.sortByUrgency(waiting)
	p.sortByShare(missing)
	for _, model := range waiting {
		p.place(model, ReasonWaiting)
	}
	for _, model := range missing {
		p.place(model, ReasonNotLoaded)
	}
	p.addReplicas()
	for _, model := range unasked {
		p.place(model, ReasonUnrequested)
	}
}

// sortByUrgency puts the models first whose requests are the most urgent, and
// of those the ones for which most requests wait.
func (p *planning) sortByUrgency(models []string) {
	d := &p.b.Demand
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

// addReplicas adds replicas where they gain most until none repays.
func (p *planning) addReplicas() {
	var open []string
	for _, model := range p.models {
		if p.count[model] > 0 && p.gain(model) > loadCost && !p.lightlyLoaded(model) {
			open = append(open, model)
		}
	}
	for len(open) > 0 {
		best := 0
		for i, model := range open {
			if p.gain(model) > p.gain(open[best]) {
				best = i
			}
		}
		if p.gain(open[best]) <= loadCost || p.lightlyLoaded(open[best]) || !p.place(open[best], ReasonDemand) {
			open = slices.Delete(open, best, best+1)
		}
	}
}

// lightlyLoaded reports whether the replicas of a model have so little work that more
// would not be felt.
func (p *planning) lightlyLoaded(model string) bool {
	return p.b.Demand.work(model) <= lightWork*float64(p.count[model])
}

// gain is what one more replica of a model gains.
func (p *planning) gain(model string) float64 {
	n := float64(p.count[model])
	return p.share[model] * p.share[model] / (n * (n + 1))
}

// loss is what one replica less of a model loses.
func (p *planning) loss(model string) float64 {
	n := float64(p.count[model])
	if n <= 1 {
		return p.share[model]*p.share[model] + unrequestedGain
	}
	return p.peak[model] * p.peak[model] / (n * (n - 1))
}
