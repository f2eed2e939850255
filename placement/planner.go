package placement

import (
	"sort"

	"peridotchute.example/common/wire"
)

// plannedItem is an item with its demand and replicas.
type plannedItem struct {
	Item
	base     int     // index of the base model; -1 for models and adapters with an unknown base
	demand   float64 // in workers at full utilization
	placedOn []int   // indexes of workers that have loaded it or will

	adapters     []int // indexes of its adapters, for models
	adapterBytes int64
}

// plannedWorker is a worker after the moves planned so far.
type plannedWorker struct {
	Worker
	free   int64
	placed map[int]bool // items
	load   float64      // demand of its residents, in workers at full utilization
	pinned map[int]bool // items loaded by this plan or not settled; never evicted
}

// planner is the state of one run of Plan.
type planner struct {
	w           Weights
	items       []plannedItem
	workers     []plannedWorker
	index       map[wire.Artifact]int
	models      []int           // by demand, highest first
	adapters    []int           // by demand, highest first
	spreadPools map[string]bool // pools whose memory fits two replicas of every item
	undeclared  []undeclaredResident
	loads       int // models loaded by this plan
	moves       []Move
}

// undeclaredResident is a loaded artifact that is no longer declared.
type undeclaredResident struct {
	worker   int
	artifact wire.Artifact
}

func newPlanner(shard Cell, demand []Demand, w Weights) *planner {
	p := &planner{w: w, index: make(map[wire.Artifact]int, len(shard.Items)), spreadPools: map[string]bool{}}
	p.addItems(shard.Items)
	for _, d := range demand {
		if i, ok := p.index[d.Artifact]; ok {
			p.items[i].demand = d.Rate * d.Service.Seconds()
		}
	}
	p.addBaseDemand()
	p.addWorkers(shard.Workers)
	p.sortItems()
	p.findSpreadPools()
	return p
}

func (p *planner) addItems(items []Item) {
	p.items = make([]plannedItem, len(items))
	for i, it := range items {
		p.items[i] = plannedItem{Item: it, base: -1}
		p.index[it.Artifact] = i
	}
	for i := range p.items {
		it := &p.items[i]
		if it.Artifact.Kind != wire.KindAdapter {
			continue
		}
		if base, ok := p.index[it.Base]; ok {
			it.base = base
			p.items[base].adapters = append(p.items[base].adapters, i)
			p.items[base].adapterBytes += it.Bytes
		}
	}
}

// addBaseDemand adds the demand of adapters to their base models.
func (p *planner) addBaseDemand() {
	for i := range p.items {
		if base := p.items[i].base; base >= 0 {
			p.items[base].demand += p.items[i].demand
		}
	}
}

func (p *planner) addWorkers(workers []Worker) {
	p.workers = make([]plannedWorker, len(workers))
	for n, worker := range workers {
		pw := &p.workers[n]
		*pw = plannedWorker{Worker: worker, free: worker.FreeBytes, placed: map[int]bool{}, pinned: map[int]bool{}}
		if !worker.Serving {
			continue
		}
		for _, a := range worker.Residents {
			p.addResident(n, a)
		}
		for _, a := range worker.Pending {
			if i, ok := p.index[a]; ok {
				p.addReplica(n, i)
				pw.pinned[i] = true
			}
		}
	}
	for i := range p.items {
		p.addLoadShare(i, 1)
	}
}

func (p *planner) addResident(n int, a wire.Artifact) {
	if i, ok := p.index[a]; ok {
		p.addReplica(n, i)
		return
	}
	p.undeclared = append(p.undeclared, undeclaredResident{worker: n, artifact: a})
}

func (p *planner) addReplica(n, i int) {
	if !p.workers[n].placed[i] {
		p.workers[n].placed[i] = true
		p.items[i].placedOn = append(p.items[i].placedOn, n)
	}
}

// addLoadShare adds (sign 1) or subtracts (sign -1) a model's demand, divided
// evenly, at the workers on which it is placed.
func (p *planner) addLoadShare(i int, sign float64) {
	it := &p.items[i]
	if it.base >= 0 || len(it.placedOn) == 0 {
		return
	}
	part := sign * it.demand / float64(len(it.placedOn))
	for _, n := range it.placedOn {
		p.workers[n].load += part
	}
}

func (p *planner) sortItems() {
	for i := range p.items {
		if p.items[i].Artifact.Kind == wire.KindModel {
			p.models = append(p.models, i)
		} else {
			p.adapters = append(p.adapters, i)
		}
	}
	p.sortByDemand(p.models)
	p.sortByDemand(p.adapters)
}

func (p *planner) sortByDemand(indexes []int) {
	sort.Slice(indexes, func(a, b int) bool {
		x, y := &p.items[indexes[a]], &p.items[indexes[b]]
		if x.demand != y.demand {
			return x.demand > y.demand
		}
		return x.Artifact.Name < y.Artifact.Name
	})
}

// maxSpreadShare is the maximum share of a pool's memory that two replicas of
// every item may take.
const maxSpreadShare = 0.8

func (p *planner) findSpreadPools() {
	needed, memory := map[string]int64{}, map[string]int64{}
	for i := range p.items {
		needed[p.items[i].Pool] += 2 * p.items[i].Bytes
	}
	for n := range p.workers {
		if p.workers[n].Serving {
			memory[p.workers[n].Pool] += p.workers[n].MemoryBytes
		}
	}
	for pool, bytes := range needed {
		p.spreadPools[pool] = float64(bytes) <= maxSpreadShare*float64(memory[pool])
	}
}

// dropSuperseded unloads artifacts that are no longer declared, except an old
// version whose successor is not loaded anywhere yet.
func (p *planner) dropSuperseded() {
	notLoaded := make(map[wire.Artifact]bool, len(p.items))
	for i := range p.items {
		it := &p.items[i]
		if len(it.placedOn) == 0 {
			notLoaded[wire.Artifact{Kind: it.Artifact.Kind, Name: it.Artifact.Name}] = true
		}
	}
	for _, o := range p.undeclared {
		if notLoaded[wire.Artifact{Kind: o.artifact.Kind, Name: o.artifact.Name}] {
			continue
		}
		p.moves = append(p.moves, Move{Worker: p.workers[o.worker].Name, Artifact: o.artifact, Unload: true, Reason: ReasonSuperseded})
	}
}

func (p *planner) oneZone(i int) bool {
	at := p.items[i].placedOn
	for _, n := range at[1:] {
		if p.workers[n].Zone != p.workers[at[0]].Zone {
			return false
		}
	}
	return true
}
