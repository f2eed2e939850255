// Package placement decides which artifacts are loaded on which servers and
// keeps the ledger of a server's accelerator memory. It is pure: it starts no
// goroutines and does no I/O.
package placement

import (
	"cmp"
	"slices"
	"time"

	"peridotchute.example/common/wire"
)

// Item is a declared artifact as input of a plan.
type Item struct {
	Artifact wire.Artifact
	Base     wire.Artifact // equal to Artifact for models
	Pool     string
	Bytes    int64
	Replicas int // minimum number of servers; 0 means 1
}

// Worker is one backend server of the shard.
type Worker struct {
	Name        string
	Zone        string
	Pool        string
	MemoryBytes int64
	FreeBytes   int64
	Residents   []wire.Artifact
	Pending     []wire.Artifact // reserved or not settled
	Serving     bool
}

// Cell is the snapshot of a shard that a plan is based on.
type Cell struct {
	Items   []Item
	Workers []Worker
}

// Demand is the smoothed demand for one artifact.
type Demand struct {
	Artifact wire.Artifact
	Rate     float64       // requests per second
	Service  time.Duration // accelerator time per request at full batches
}

// Weights are the objectives of a plan. The zero value means DefaultWeights.
type Weights struct {
	Attainment  float64       // value of each second of work taken off the busiest worker
	Moves       float64       // cost of each second of loading
	ModelLoad   time.Duration // load time of a model
	AdapterLoad time.Duration // load time of an adapter
	Horizon     time.Duration // time within which a move must pay off
	Utilization float64       // share of a worker's time above which demand justifies another replica
	MaxLoads    int           // maximum number of models loaded by one plan; 0 means no limit
}

// DefaultWeights weight attainment and moves equally.
var DefaultWeights = Weights{
	Attainment:  1,
	Moves:       1,
	ModelLoad:   8 * time.Second,
	AdapterLoad: 10 * time.Millisecond,
	Horizon:     2 * time.Minute,
	Utilization: 0.5,
}

// Move is the load or unload of one artifact on one worker.
type Move struct {
	Worker   string
	Artifact wire.Artifact
	Unload   bool
	Cost     float64 // in weighted seconds
	Gain     float64 // expected, same unit as Cost
	Reason   string
}

// Reasons for moves.
const (
	ReasonNotLoaded  = "declared and resident nowhere"
	ReasonReplicas   = "below its least number of replicas"
	ReasonZones      = "all replicas in one availability zone"
	ReasonDemand     = "demand exceeds its replicas"
	ReasonSuperseded = "no longer declared"
	ReasonFreeMemory = "makes room"
)

// Plan returns the moves that load every item somewhere, bring it to its
// minimum number of replicas and add replicas where demand outweighs the cost
// of a move. The moves are in the order in which they should be made. Plan is
// deterministic.
func Plan(shard Cell, demand []Demand, w Weights, _ time.Time) []Move {
	if w == (Weights{}) {
		w = DefaultWeights
	}
	p := newPlanner(shard, demand, w)
	p.dropSuperseded()
	p.loadMissingModels()
	p.addMinimumReplicas()
	p.spreadOverZones()
	p.followDemand()
	p.loadMissingAdapters()
	return p.moves
}

// replicaValue returns the value of one more replica: the reduction of work on
// the busiest worker of the item, over the horizon.
func (p *planner) replicaValue(i int, replicas int) float64 {
	u := p.items[i].demand
	if replicas < 1 {
		return u * p.w.Horizon.Seconds() * p.w.Attainment
	}
	saved := u/float64(replicas) - u/float64(replicas+1)
	return saved * p.w.Horizon.Seconds() * p.w.Attainment
}

// loadCost returns the cost of loading an item.
func (p *planner) loadCost(i int) float64 {
	load := p.w.ModelLoad
	if p.items[i].Artifact.Kind == wire.KindAdapter {
		load = p.w.AdapterLoad
	}
	return load.Seconds() * p.w.Moves
}

// loadMissingModels loads every model that is not loaded anywhere, with memory
// for its adapters if possible. The largest come first because they fit on the
// fewest workers.
func (p *planner) loadMissingModels() {
	bySize := slices.Clone(p.models)
	slices.SortStableFunc(bySize, func(a, b int) int { return cmp.Compare(p.bytesWithAdapters(b), p.bytesWithAdapters(a)) })
	for _, i := range bySize {
		if len(p.items[i].placedOn) > 0 {
			continue
		}
		if !p.place(i, p.bytesWithAdapters(i), ReasonNotLoaded) {
			p.place(i, p.items[i].Bytes, ReasonNotLoaded)
		}
	}
}

// addMinimumReplicas brings models to their minimum number of replicas.
func (p *planner) addMinimumReplicas() {
	for _, i := range p.models {
		for len(p.items[i].placedOn) < max(p.items[i].Replicas, 1) {
			if !p.place(i, p.bytesWithAdapters(i), ReasonReplicas) {
				break
			}
		}
	}
}

// spreadOverZones adds a replica in a second availability zone in pools whose
// memory fits two replicas of everything.
func (p *planner) spreadOverZones() {
	for _, i := range p.models {
		it := &p.items[i]
		if len(it.placedOn) > 0 && p.spreadPools[it.Pool] && p.oneZone(i) {
			p.place(i, p.bytesWithAdapters(i), ReasonZones)
		}
	}
}

// followDemand adds replicas for models whose replicas exceed the target
// utilization, as long as each pays off.
func (p *planner) followDemand() {
	for _, i := range p.models {
		it := &p.items[i]
		for len(it.placedOn) > 0 && it.demand > p.w.Utilization*float64(len(it.placedOn)) {
			if !p.place(i, p.bytesWithAdapters(i), ReasonDemand) {
				break
			}
		}
	}
}

// loadMissingAdapters loads every adapter that is not loaded anywhere, next to
// its base model. Further replicas are loaded on request.
func (p *planner) loadMissingAdapters() {
	for _, i := range p.adapters {
		if len(p.items[i].placedOn) == 0 {
			p.place(i, p.items[i].Bytes, ReasonNotLoaded)
		}
	}
}

// bytesWithAdapters returns the size of a model with all of its adapters.
func (p *planner) bytesWithAdapters(i int) int64 {
	return p.items[i].Bytes + p.items[i].adapterBytes
}
