package loadplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"peridotchute.example/fleet"
)

// The planning state of one run of Plan is laid out by index, and what a decision needs
// of each server is computed once: a run compares every server for each model that
// needs a replica, so its time grows with their product.

// planning is the state of one run of Plan.
type planning struct {
	state        *PlacementState
	now          time.Duration
	models       []modelPlan // declared models, by name
	byName       map[string]int
	servers      []serverPlan // by ID
	zones        map[string]int
	software     map[string]int // index of each software version in use
	loading      int            // loads from the weight store in progress or ordered by this plan
	loadsOrdered int            // loads from the weight store ordered by this plan
	loadsPlanned int            // loads from the weight store planned but not yet ordered
}

// modelPlan is the planning state of one declared model.
type modelPlan struct {
	index      int
	model      fleet.Model
	count      int            // replicas that serve or will serve, without those to be unloaded
	serving    int            // replicas that serve now, without those to be unloaded
	inZone     []int          // replicas in count, by zone
	bySoftware []softwarePlan // by software version; nil while one is in use
	work       float64        // tokens per second
	share      float64        // work as a multiple of the mean work per server
	peak       float64        // decaying maximum of the work, same unit as share
	waiting    int            // requests that wait because no server has loaded the model
	urgency    int            // priority of the most urgent of them; math.MaxInt if none waits
	requested  bool           // requested within recentRequestTime
}

// serverPlan is the planning state of one server.
type serverPlan struct {
	id        string
	state     *ServerState
	zone      int            // index in inZone
	software  int            // index in bySoftware
	open      bool           // an intent may be recorded
	freeMB    float64        // free memory; valid if no lost order may still load a model
	residents []residentPlan // loaded models by name, without undeclared ones; only if open
	replicas  []int          // models in count with a replica here, sorted
	work      float64        // same unit as modelPlan.share
}

// residentPlan is a model that an open server has loaded.
type residentPlan struct {
	model    *modelPlan
	software *softwarePlan // of the model at the server's software version; nil while one is in use
	weights  float64       // memory in MB, adapters included
	running  int           // requests
	serves   bool          // the server serves the model now, and it counts as a replica
	recent   bool          // loaded within minStayTime
	maybeOut bool          // a lost order may still unload it
}

func newPlanning(ps *PlacementState, now time.Duration) *planning {
	p := &planning{state: ps, now: now, byName: make(map[string]int, len(ps.Engine.Models)), zones: map[string]int{}, software: map[string]int{}}
	p.addModels()
	p.addServers()
	p.shareWork()
	p.spreadWork()
	return p
}

func (p *planning) addModels() {
	names := sortedKeys(p.state.Engine.Models)
	p.models = make([]modelPlan, len(names))
	urgencies := p.state.Demand.urgencies()
	for i, name := range names {
		p.byName[name] = i
		e := p.state.Demand.models[name]
		urgency, waits := urgencies[name]
		if !waits {
			urgency = noUrgency
		}
		p.models[i] = modelPlan{
			index:     i,
			model:     p.state.Engine.Models[name],
			waiting:   p.state.Demand.waiting(name),
			urgency:   urgency,
			requested: e != nil && e.requested > 0 && p.now-e.requested < recentRequestTime,
		}
	}
}

func (p *planning) addServers() {
	ids := p.state.ids()
	p.servers = make([]serverPlan, len(ids))
	for i, id := range ids {
		s := p.state.Servers[id]
		p.servers[i] = serverPlan{
			id:       id,
			state:    s,
			zone:     indexOf(p.zones, s.Server.Zone),
			software: indexOf(p.software, s.Server.Software),
		}
	}
	p.addSoftware()
	for i := range p.models {
		p.models[i].inZone = make([]int, len(p.zones))
	}
	for i := range p.servers {
		sp := &p.servers[i]
		p.countReplicas(sp)
		p.countLoads(sp.state)
		p.openServer(sp)
	}
}

// indexOf returns the index of a name, and gives a new name the next index.
func indexOf(indices map[string]int, name string) int {
	index, known := indices[name]
	if !known {
		index = len(indices)
		indices[name] = index
	}
	return index
}

// countReplicas counts the models that the server serves or will serve, without those to
// be unloaded.
func (p *planning) countReplicas(sp *serverPlan) {
	for name := range p.replicasAt(sp.state) {
		i, declared := p.byName[name]
		if !declared {
			continue
		}
		sp.replicas = append(sp.replicas, i)
		p.models[i].countReplica(sp, 1)
		if p.servesAt(name, sp.state) {
			p.models[i].countServing(sp, 1)
		}
	}
	slices.Sort(sp.replicas)
}

// countReplica adds n replicas at a server.
func (m *modelPlan) countReplica(sp *serverPlan, n int) {
	m.count += n
	m.inZone[sp.zone] += n
	if m.bySoftware != nil {
		m.bySoftware[sp.software].count += n
	}
}

// countServing adds n replicas at a server that serve now.
func (m *modelPlan) countServing(sp *serverPlan, n int) {
	m.serving += n
	if m.bySoftware != nil {
		m.bySoftware[sp.software].serving += n
	}
}

// openServer computes what a choice needs to know of a server on which a load may be
// planned. A server with an undeclared model takes none: the model's size is unknown.
func (p *planning) openServer(sp *serverPlan) {
	s := sp.state
	if !p.state.takesLoads(s) || !p.idle(s) || s.intent != nil {
		return
	}
	running := p.state.Demand.running[sp.id]
	for name, resident := range s.Models {
		i, declared := p.byName[name]
		if !declared {
			return
		}
		m := &p.models[i]
		sp.residents = append(sp.residents, residentPlan{
			model:    m,
			software: p.softwareAt(m, s),
			weights:  m.model.WeightsMB + float64(len(resident.Adapters))*m.model.AdapterMB,
			running:  running.ofModel(name),
			serves:   slices.Contains(sp.replicas, i) && p.servesAt(name, s),
			recent:   p.recentlyLoaded(name, s),
			maybeOut: s.possiblyUnloads(name),
		})
	}
	slices.SortFunc(sp.residents, func(a, b residentPlan) int { return cmp.Compare(a.model.index, b.model.index) })
	sp.freeMB = s.freeMemory(p.state.Engine, Key{})
	sp.open = true
}

// freeFor returns the memory in MB that is free for a load of the model.
func (p *planning) freeFor(sp *serverPlan, m *modelPlan) float64 {
	if len(sp.state.lostOrders) == 0 {
		return sp.freeMB
	}
	return sp.state.freeMemory(p.state.Engine, Key{Model: m.model.Name})
}

// hasLoaded reports whether an open server has loaded the model.
func (sp *serverPlan) hasLoaded(m *modelPlan) bool {
	for i := range sp.residents {
		if sp.residents[i].model == m {
			return true
		}
	}
	return false
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
	for i := range p.servers {
		sp := &p.servers[i]
		sp.work = 0
		for _, model := range sp.replicas {
			sp.work += p.models[model].share / float64(p.models[model].count)
		}
	}
}

// shareWork computes each model's work as a multiple of the mean work per
// server.
func (p *planning) shareWork() {
	total, servers := 0.0, 0
	for i := range p.servers {
		if p.state.takesLoads(p.servers[i].state) {
			servers++
		}
	}
	for i := range p.models {
		p.models[i].work = p.state.Demand.work(p.models[i].model.Name)
		total += p.models[i].work
	}
	mean := max(total/float64(max(servers, 1)), minMeanWork)
	for i := range p.models {
		m := &p.models[i]
		m.share = m.work / mean
		m.peak = p.state.Demand.peak(m.model.Name) / mean
		if p.state.Demand.observedTime() < learningTime {
			m.peak = max(m.peak, initialReplicaWork*float64(m.count))
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
	return s.work != nil && s.work.Kind == fleet.OrderUnload && p.now-s.work.Due > maxUnloadWait && p.state.Demand.waiting(s.intent.Load) > 0
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

// model returns the planning state of a declared model, or nil.
func (p *planning) model(name string) *modelPlan {
	if i, declared := p.byName[name]; declared {
		return &p.models[i]
	}
	return nil
}

// idle reports whether a model order can be issued to the server now.
func (p *planning) idle(s *ServerState) bool { return s.idle() && !p.state.fenced(s, p.now) }

func (p *planning) recentlyLoaded(model string, s *ServerState) bool {
	at, ok := s.loadedAt[model]
	return ok && p.now-at < minStayTime
}

// noUrgency is the urgency of a model without waiting requests.
const noUrgency = math.MaxInt
