// Package placement decides which artifacts are resident where, and keeps the
// ledger of a server's accelerator memory. It is pure: no goroutine, no socket.
package placement

import (
	"cmp"
	"slices"
	"time"

	"peridotchute.example/common/wire"
)

// Item is a declared artifact as the planner sees it.
type Item struct {
	Artifact wire.Artifact
	Base     wire.Artifact // equal to Artifact for models
	Pool     string
	Bytes    int64
	Replicas int // least number of servers; 0 means 1
}

// Worker is one backend server of the cell.
type Worker struct {
	Name        string
	Zone        string
	Pool        string
	MemoryBytes int64
	FreeBytes   int64
	Residents   []wire.Artifact
	Pending     []wire.Artifact // reserved, or not settled
	Serving     bool
}

// Cell is the snapshot that a plan is made from.
type Cell struct {
	Items   []Item
	Workers []Worker
}

// Demand is the smoothed demand for one artifact.
type Demand struct {
	Artifact wire.Artifact
	Rate     float64       // requests a second
	Service  time.Duration // accelerator time that a request takes, at full batches
}

// Weights say what a plan aims at. The zero value means DefaultWeights.
type Weights struct {
	Attainment  float64       // value of a worker's second of load taken off its busiest residents
	Moves       float64       // price of a second of loading
	ModelLoad   time.Duration // time that a model's load takes
	AdapterLoad time.Duration // time that an adapter's load takes
	Horizon     time.Duration // time in which a move must repay its cost
	Utilization float64       // share of a worker that demand may fill before another replica is wanted
	MaxLoads    int           // models loaded by one plan; 0 means no limit
}

// DefaultWeights hold attainment and moves alike.
var DefaultWeights = Weights{
	Attainment:  1,
	Moves:       1,
	ModelLoad:   8 * time.Second,
	AdapterLoad: 10 * time.Millisecond,
	Horizon:     2 * time.Minute,
	Utilization: 0.5,
}

// Move loads or unloads one artifact at one worker.
type Move struct {
	Worker   string
	Artifact wire.Artifact
	Unload   bool
	Cost     float64 // in weighted seconds of load
	Gain     float64 // expected, same unit
	Reason   string
}

// Reasons of moves.
const (
	ReasonNotLoaded  = "declared and resident nowhere"
	ReasonReplicas   = "below its least number of replicas"
	ReasonZones      = "all replicas in one availability zone"
	ReasonDemand     = "demand exceeds its replicas"
	ReasonSuperseded = "no longer declared"
	ReasonFreeMemory = "makes room"
)

// Plan returns the moves that make every item reachable, bring it to its least
// number of replicas and follow demand where a move repays its cost. They are
// in the order in which they should be made. Equal inputs give equal plans.
func Plan(cell Cell, demand []Demand, w Weights, _ time.Time) []Move {
	if w == (Weights{}) {
		w = DefaultWeights
	}
	p := newPlanner(cell, demand, w)
	p.dropSuperseded()
	p.loadMissingModels()
	p.addMinimumReplicas()
	p.spreadOverZones()
	p.followDemand()
	p.loadMissingAdapters()
	return p.moves
}

// replicaValue is what a replica saves: the load that the busiest resident worker
// carries less, over the horizon.
func (p *planner) replicaValue(i int, replicas int) float64 {
	u := p.items[i].demand
	if replicas < 1 {
		return u * p.w.Horizon.Seconds() * p.w.Attainment
	}
	saved := u/float64(replicas) - u/float64(replicas+1)
	return saved * p.w.Horizon.Seconds() * p.w.Attainment
}

// loadCost is what loading an item costs.
func (p *planner) loadCost(i int) float64 {
	load := p.w.ModelLoad
	if p.items[i].Artifact.Kind == wire.KindAdapter {
		load = p.w.AdapterLoad
	}
	return load.Seconds() * p.w.Moves
}

// loadMissingModels loads every model that is resident nowhere, with room for its
// adapters where there is some. The largest come first, since they fit in
// fewest places.
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

// addMinimumReplicas brings models to their least number of replicas.
func (p *planner) addMinimumReplicas() {
	for _, i := range p.models {
		for len(p.items[i].placedOn) < max(p.items[i].Replicas, 1) {
			if !p.place(i, p.bytesWithAdapters(i), ReasonReplicas) {
				break
			}
		}
	}
}

// spreadOverZones gives models a second availability zone in pools whose
// memory holds everything twice.
func (p *planner) spreadOverZones() {
	for _, i := range p.models {
		it := &p.items[i]
		if len(it.placedOn) > 0 && p.spreadPools[it.Pool] && p.oneZone(i) {
			p.place(i, p.bytesWithAdapters(i), ReasonZones)
		}
	}
}

// followDemand adds replicas to the models whose replicas are busiest, as long
// as each repays its cost.
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

// loadMissingAdapters loads every adapter that is resident nowhere beside its base
// model. Further replicas are loaded by the requests that need them.
func (p *planner) loadMissingAdapters() {
	for _, i := range p.adapters {
		if len(p.items[i].placedOn) == 0 {
			p.place(i, p.items[i].Bytes, ReasonNotLoaded)
		}
	}
}

// bytesWithAdapters returns the bytes of a model with all of its adapters.
func (p *planner) bytesWithAdapters(i int) int64 {
	return p.items[i].Bytes + p.items[i].adapterBytes
}
