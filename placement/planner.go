package placement

import (
	"sort"

	"peridotchute.example/common/wire"
)

// plannedItem is an item with its demand and its replicas.
type plannedItem struct {
	Item
	base int     // index of the base model; -1 for models
	use  float64 // workers' worth of demand
	at   []int   // workers that hold it, or will

	adapters     []int // of a model
	adapterBytes int64
}

// plannedWorker is a worker as the moves made so far leave it.
type plannedWorker struct {
	Worker
	free  int64
	holds map[int]bool // items
	load  float64      // workers' worth of demand that its residents bring
	fixed map[int]bool // loaded by this plan, or not settled: not to be evicted
}

// planner is the state of one plan in the making.
type planner struct {
	w        Weights
	items    []plannedItem
	workers  []plannedWorker
	index    map[wire.Artifact]int
	models   []int           // by demand, highest first
	adapters []int           // by demand, highest first
	spread   map[string]bool // pools whose memory holds every item twice
	old      []oldResident
	loads    int // models loaded by this plan
	moves    []Move
}

// oldResident is an artifact that is resident and no longer declared.
type oldResident struct {
	worker   int
	artifact wire.Artifact
}

func newPlanner(cell Cell, demand []Demand, w Weights) *planner {
	p := &planner{w: w, index: make(map[wire.Artifact]int, len(cell.Items)), spread: map[string]bool{}}
	p.addItems(cell.Items)
	for _, d := range demand {
		if i, ok := p.index[d.Artifact]; ok {
			p.items[i].use = d.Rate * d.Service.Seconds()
		}
	}
	p.addBaseDemand()
	p.addWorkers(cell.Workers)
	p.order()
	p.findSpread()
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

// addBaseDemand lets a model carry the demand of its adapters.
func (p *planner) addBaseDemand() {
	for i := range p.items {
		if base := p.items[i].base; base >= 0 {
			p.items[base].use += p.items[i].use
		}
	}
}

func (p *planner) addWorkers(workers []Worker) {
	p.workers = make([]plannedWorker, len(workers))
	for n, worker := range workers {
		pw := &p.workers[n]
		*pw = plannedWorker{Worker: worker, free: worker.FreeBytes, holds: map[int]bool{}, fixed: map[int]bool{}}
		if !worker.Serving {
			continue
		}
		for _, a := range worker.Residents {
			p.addResident(n, a)
		}
		for _, a := range worker.Pending {
			if i, ok := p.index[a]; ok {
				p.hold(n, i)
				pw.fixed[i] = true
			}
		}
	}
	for i := range p.items {
		p.shareLoad(i, 1)
	}
}

func (p *planner) addResident(n int, a wire.Artifact) {
	if i, ok := p.index[a]; ok {
		p.hold(n, i)
		return
	}
	p.old = append(p.old, oldResident{worker: n, artifact: a})
}

func (p *planner) hold(n, i int) {
	if !p.workers[n].holds[i] {
		p.workers[n].holds[i] = true
		p.items[i].at = append(p.items[i].at, n)
	}
}

// shareLoad adds (sign 1) or takes away (sign -1) a model's demand at the
// workers that hold it.
func (p *planner) shareLoad(i int, sign float64) {
	it := &p.items[i]
	if it.base >= 0 || len(it.at) == 0 {
		return
	}
	part := sign * it.use / float64(len(it.at))
	for _, n := range it.at {
		p.workers[n].load += part
	}
}

func (p *planner) order() {
	for i := range p.items {
		if p.items[i].Artifact.Kind == wire.KindModel {
			p.models = append(p.models, i)
		} else {
			p.adapters = append(p.adapters, i)
		}
	}
	p.sortByUse(p.models)
	p.sortByUse(p.adapters)
}

func (p *planner) sortByUse(indexes []int) {
	sort.Slice(indexes, func(a, b int) bool {
		x, y := &p.items[indexes[a]], &p.items[indexes[b]]
		if x.use != y.use {
			return x.use > y.use
		}
		return x.Artifact.Name < y.Artifact.Name
	})
}

// spreadShare is the share of a pool's memory that everything, held twice, may
// take.
const spreadShare = 0.8

func (p *planner) findSpread() {
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
		p.spread[pool] = float64(bytes) <= spreadShare*float64(memory[pool])
	}
}

// dropSuperseded unloads what is no longer declared, but for an old version
// whose successor is resident nowhere yet.
func (p *planner) dropSuperseded() {
	current := make(map[wire.Artifact]bool, len(p.items))
	for i := range p.items {
		it := &p.items[i]
		if len(it.at) == 0 {
			current[wire.Artifact{Kind: it.Artifact.Kind, Name: it.Artifact.Name}] = true
		}
	}
	for _, o := range p.old {
		if current[wire.Artifact{Kind: o.artifact.Kind, Name: o.artifact.Name}] {
			continue
		}
		p.moves = append(p.moves, Move{Worker: p.workers[o.worker].Name, Artifact: o.artifact, Unload: true, Reason: ReasonSuperseded})
	}
}

func (p *planner) oneZone(i int) bool {
	at := p.items[i].at
	for _, n := range at[1:] {
		if p.workers[n].Zone != p.workers[at[0]].Zone {
			return false
		}
	}
	return true
}
