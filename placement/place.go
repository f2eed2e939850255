package placement

import "peridotchute.example/common/wire"

// option is a way to load an item on one worker.
type option struct {
	worker  int
	victims []int // items to unload first
	loss    float64
}

// place loads item i on the best worker that has, or can free, the given number
// of bytes. Unless the reason is ReasonZones, surplus replicas may be unloaded
// for it. It returns false if there is no such worker, or if the reason is
// ReasonDemand and the load costs more than it gains.
func (p *planner) place(i int, bytes int64, reason string) bool {
	it := &p.items[i]
	if p.loadLimitReached(i) {
		return false
	}
	evict := reason != ReasonZones
	best := option{worker: -1}
	for n := range p.workers {
		if reason == ReasonZones && p.zoneCount(i, p.workers[n].Zone) > 0 {
			continue
		}
		o, ok := p.option(i, n, bytes, evict)
		if ok && (best.worker < 0 || p.better(i, o, best, reason)) {
			best = o
		}
	}
	if best.worker < 0 {
		return false
	}
	gain, cost := p.replicaValue(i, len(it.placedOn)), p.loadCost(i)+best.loss
	if reason == ReasonDemand && gain <= cost {
		return false
	}
	p.apply(i, best, Move{Cost: cost, Gain: gain, Reason: reason})
	return true
}

func (p *planner) loadLimitReached(i int) bool {
	return p.w.MaxLoads > 0 && p.items[i].base < 0 && p.loads >= p.w.MaxLoads
}

// option returns how item i could be loaded on worker n, and whether it can.
func (p *planner) option(i, n int, bytes int64, evict bool) (option, bool) {
	it, w := &p.items[i], &p.workers[n]
	if !w.Serving || w.Pool != it.Pool || w.placed[i] {
		return option{}, false
	}
	if it.Artifact.Kind == wire.KindAdapter && (it.base < 0 || !w.placed[it.base]) {
		return option{}, false
	}
	o := option{worker: n}
	if w.free >= bytes {
		return o, true
	}
	if !evict {
		return option{}, false
	}
	return p.chooseVictims(o, i, bytes-w.free)
}

// chooseVictims adds the victims with the lowest cost per byte freed. Only
// surplus replicas are victims, so every model stays loaded on some worker.
func (p *planner) chooseVictims(o option, i int, need int64) (option, bool) {
	w := &p.workers[o.worker]
	chosen := map[int]bool{}
	for need > 0 {
		best, bestLoss := -1, 0.0
		for v := range w.placed {
			if chosen[v] || !p.evictable(v, o.worker, i) {
				continue
			}
			loss := p.lossAt(v, o.worker) / float64(p.bytesAt(v, o.worker))
			if best < 0 || loss < bestLoss || (loss == bestLoss && v < best) {
				best, bestLoss = v, loss
			}
		}
		if best < 0 {
			return option{}, false
		}
		chosen[best] = true
		o.victims = append(o.victims, best)
		o.loss += p.lossAt(best, o.worker)
		need -= p.bytesAt(best, o.worker)
	}
	return o, true
}

// evictable reports whether item v may be unloaded from worker n for item i.
// Adapters are not unloaded for a model: the next requests would load them
// again and use up the memory.
func (p *planner) evictable(v, n, i int) bool {
	it, w := &p.items[v], &p.workers[n]
	if w.pinned[v] || p.items[i].base == v {
		return false
	}
	if it.base >= 0 {
		return p.items[i].base >= 0 && len(it.placedOn) > 1
	}
	return len(it.placedOn) > max(it.Replicas, 1) && !p.adapterPinned(v, n)
}

func (p *planner) adapterPinned(model, n int) bool {
	for _, v := range p.items[model].adapters {
		if p.workers[n].pinned[v] {
			return true
		}
	}
	return false
}

// lossOf returns the loss from unloading one replica of an item: the work that
// it took off the other replicas, or the cost of loading it again for adapters.
func (p *planner) lossOf(v int) float64 {
	it := &p.items[v]
	if it.base >= 0 {
		return p.loadCost(v) + it.demand*p.w.AdapterLoad.Seconds()*p.w.Attainment
	}
	return p.replicaValue(v, len(it.placedOn)-1)
}

// bytesAt returns the bytes that unloading item v from worker n frees. A model
// is unloaded with its adapters.
func (p *planner) bytesAt(v, n int) int64 {
	bytes := p.items[v].Bytes
	for _, a := range p.items[v].adapters {
		if p.workers[n].placed[a] {
			bytes += p.items[a].Bytes
		}
	}
	return bytes
}

// lossAt returns the loss from unloading item v from worker n. A model is
// unloaded with its adapters.
func (p *planner) lossAt(v, n int) float64 {
	loss := p.lossOf(v)
	for _, a := range p.items[v].adapters {
		if p.workers[n].placed[a] {
			loss += p.lossOf(a)
		}
	}
	return loss
}

// better reports whether option a is better than b: lowest loss, then a zone
// without the item, then the least loaded worker, then the most free memory,
// then the name. For items that are not loaded anywhere memory is compared
// before zone and load, because packing decides whether all items fit.
func (p *planner) better(i int, a, b option, reason string) bool {
	x, y := &p.workers[a.worker], &p.workers[b.worker]
	if a.loss != b.loss {
		return a.loss < b.loss
	}
	if reason == ReasonNotLoaded && x.free != y.free {
		return x.free > y.free
	}
	if za, zb := p.zoneCount(i, x.Zone), p.zoneCount(i, y.Zone); za != zb {
		return za < zb
	}
	if x.load != y.load {
		return x.load < y.load
	}
	if x.free != y.free {
		return x.free > y.free
	}
	return x.Name < y.Name
}

func (p *planner) zoneCount(i int, zone string) int {
	count := 0
	for _, n := range p.items[i].placedOn {
		if p.workers[n].Zone == zone {
			count++
		}
	}
	return count
}

// apply adds the moves of an option to the plan.
func (p *planner) apply(i int, o option, load Move) {
	w := &p.workers[o.worker]
	for _, v := range o.victims {
		p.unload(v, o.worker)
	}
	p.addLoadShare(i, -1)
	p.addReplica(o.worker, i)
	p.addLoadShare(i, 1)
	w.pinned[i] = true
	w.free -= p.items[i].Bytes
	if p.items[i].base < 0 {
		p.loads++
	}
	load.Worker, load.Artifact = w.Name, p.items[i].Artifact
	p.moves = append(p.moves, load)
}

// unload adds the unload of an item and, for a model, of its adapters from a
// worker.
func (p *planner) unload(v, n int) {
	w := &p.workers[n]
	if !w.placed[v] {
		return
	}
	for _, a := range p.items[v].adapters {
		p.unload(a, n)
	}
	p.addLoadShare(v, -1)
	delete(w.placed, v)
	p.items[v].placedOn = removeValue(p.items[v].placedOn, n)
	p.addLoadShare(v, 1)
	w.free += p.items[v].Bytes
	p.moves = append(p.moves, Move{Worker: w.Name, Artifact: p.items[v].Artifact, Unload: true, Reason: ReasonFreeMemory})
}

func removeValue(s []int, drop int) []int {
	out := s[:0]
	for _, n := range s {
		if n != drop {
			out = append(out, n)
		}
	}
	return out
}
