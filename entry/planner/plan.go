package planner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/engine"
	"peridotchute.example/placement"
	"peridotchute.example/rpc"
)

// watched returns the shards whose leases this entry looks after.
func (p *Planner) watched() []*held {
	entries := p.opts.Entries()
	var out []*held
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range shardsOf(p.workers()) {
		h, known := p.shards[s.id]
		if !known {
			if !watches(p.opts.Name, entries, s.id) {
				continue
			}
			h = &held{lease: lease{shard: s.id, holder: p.opts.Incarnation, table: p.opts.Table}}
			p.shards[s.id] = h
		}
		out = append(out, h)
	}
	return out
}

func (p *Planner) workers() []worker {
	var out []worker
	index := p.opts.Holder.Current()
	if index == nil {
		return nil
	}
	for _, s := range p.opts.Servers() {
		if conf, ok := index.Pool(s.Pool); ok && conf.MemoryBytes > 0 {
			out = append(out, worker{name: s.Name, pool: s.Pool})
		}
	}
	return out
}

// publish copies the lease's state for the goroutine that plans.
func (p *Planner) publish(h *held) {
	term, ok := h.lease.held(time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		h.term = 0
		return
	}
	if term != h.term {
		h.term, h.sequence, h.demand = term, 0, newDemand(p.opts.Scale)
		event.Log(p.opts.Log, event.LeaseTaken, event.Subject(h.lease.shard), event.Count(int64(term)))
	}
	h.until = h.lease.renewed.Add(leaseTime - safety)
}

// planAll plans every shard whose lease is held.
func (p *Planner) planAll(ctx context.Context) {
	index := p.opts.Holder.Current()
	if index == nil {
		return
	}
	workers := p.workers()
	p.forget(workers)
	all := shardsOf(workers)
	for _, s := range all {
		p.mu.Lock()
		h := p.shards[s.id]
		ready := h != nil && h.term > 0 && time.Now().Before(h.until)
		var d *demand
		if ready {
			d = h.demand
		}
		p.mu.Unlock()
		if ready {
			views := p.look(ctx, s)
			d.observe(views, time.Now())
			p.planShard(ctx, h, views, d.rates(), itemsOf(s, all, index.Configuration))
		}
	}
}

// view is one worker's answer.
type view struct {
	server    Server
	inventory rpc.InventoryReply
	ok        bool
}

func (p *Planner) planShard(ctx context.Context, h *held, views []view, rates []placement.Demand, items []placement.Item) {
	if !complete(views) {
		return
	}
	weights := p.weights(p.opts.Holder.Current().Configuration.Policy)
	moves := placement.Plan(snapshot(views, items), rates, weights, time.Now())
	p.mu.Lock()
	h.last = moves
	p.mu.Unlock()
	p.order(ctx, h, views, moves)
}

// look asks every worker of the shard for its inventory. Residents travel only
// when they have changed since the last look.
func (p *Planner) look(ctx context.Context, sh shard) []view {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	byName := map[string]Server{}
	for _, s := range p.opts.Servers() {
		byName[s.Name] = s
	}
	views := make([]view, len(sh.workers))
	var group sync.WaitGroup
	for i, name := range sh.workers {
		views[i].server = byName[name]
		if !views[i].server.Serving || views[i].server.Peer == nil {
			continue
		}
		query := rpc.InventoryQuery{Known: p.seen[name].Residence}
		group.Go(func() {
			inv, err := rpc.Call[rpc.InventoryQuery, rpc.InventoryReply](ctx, views[i].server.Peer, rpc.MethodInventory, query)
			views[i].inventory, views[i].ok = inv, err == nil
		})
	}
	group.Wait()
	p.remember(sh, views)
	return views
}

// forget drops the answers of workers that are gone.
func (p *Planner) forget(workers []worker) {
	maps.DeleteFunc(p.seen, func(name string, _ rpc.InventoryReply) bool {
		return !slices.ContainsFunc(workers, func(w worker) bool { return w.name == name })
	})
}

// remember completes the answers from the last look, and keeps them for the next.
func (p *Planner) remember(s shard, views []view) {
	for i, name := range s.workers {
		if !views[i].ok {
			continue
		}
		if views[i].inventory.Unchanged {
			views[i].inventory.Residents = p.seen[name].Residents
		}
		p.seen[name] = views[i].inventory
	}
}

// leastSeen is the share of a shard's workers without whose answer nothing is
// moved: fewer means that this entry sees badly, not that the others are gone.
const leastSeen = 0.5

func complete(views []view) bool {
	seen := 0
	for _, v := range views {
		if v.ok {
			seen++
		}
	}
	return seen > 0 && float64(seen) >= leastSeen*float64(len(views))
}

func snapshot(views []view, items []placement.Item) placement.Shard {
	shard := placement.Shard{Items: items}
	for _, v := range views {
		w := placement.Worker{Name: v.server.Name, Zone: v.server.Zone, Pool: v.server.Pool, Serving: v.ok}
		w.MemoryBytes, w.FreeBytes = v.inventory.MemoryBytes, v.inventory.FreeBytes
		w.Residents = artifacts(v.inventory.Residents)
		w.Pending = artifacts(v.inventory.Pending)
		shard.Workers = append(shard.Workers, w)
	}
	return shard
}

func artifacts(list []engine.Resident) []wire.Artifact {
	out := make([]wire.Artifact, 0, len(list))
	for _, r := range list {
		out = append(out, r.Artifact)
	}
	return out
}

func (p *Planner) weights(policy config.Policy) placement.Weights {
	w := placement.DefaultWeights
	if policy.AttainmentWeight > 0 {
		w.Attainment = policy.AttainmentWeight
	}
	if policy.MoveWeight > 0 {
		w.Moves = policy.MoveWeight
	}
	if p.opts.ModelLoad > 0 {
		w.ModelLoad = p.opts.ModelLoad
	}
	if p.opts.AdapterLoad > 0 {
		w.AdapterLoad = p.opts.AdapterLoad
	}
	if p.opts.Scale > 0 {
		w.Horizon = time.Duration(float64(w.Horizon) * p.opts.Scale)
	}
	if policy.LoadsPerSecond > 0 {
		w.MaxLoads = max(int(policy.LoadsPerSecond*p.opts.Interval.Seconds()), 1)
	}
	return w
}

// order gives the moves as orders. A worker that has refused or not answered
// gets no further order of this plan.
func (p *Planner) order(ctx context.Context, h *held, views []view, moves []placement.Move) {
	peers := map[string]*rpc.Peer{}
	for _, v := range views {
		if v.ok {
			peers[v.server.Name] = v.server.Peer
		}
	}
	for _, m := range moves {
		peer := peers[m.Worker]
		if peer == nil || !p.give(ctx, h, peer, m) {
			peers[m.Worker] = nil
		}
	}
}

func (p *Planner) give(ctx context.Context, h *held, peer *rpc.Peer, m placement.Move) bool {
	p.mu.Lock()
	h.sequence++
	o := rpc.Order{Cell: h.lease.shard, Term: h.term, Sequence: h.sequence, TTL: orderTTL, Kind: engine.VerbLoad, Artifact: m.Artifact}
	current := h.term > 0 && time.Now().Before(h.until)
	p.mu.Unlock()
	if !current {
		return false
	}
	if m.Unload {
		o.Kind = engine.VerbUnload
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := rpc.Call[rpc.Order, rpc.OrderReply](ctx, peer, rpc.MethodOrder, o)
	counters.Add(string(o.Kind)+"_orders", 1)
	if err != nil || !reply.Accepted {
		event.Log(p.opts.Log, event.PlanOrderFailed, event.Peer(m.Worker), event.Subject(m.Artifact.String()), event.Reason(reply.Reason), event.Err(err))
		return false
	}
	event.Log(p.opts.Log, event.PlanOrderGiven, event.Peer(m.Worker), event.Subject(m.Artifact.String()), event.Reason(string(o.Kind)+": "+m.Reason))
	return true
}

// ShardDump is one shard's section of the state dump.
type ShardDump struct {
	Shard  string           `json:"cell"`
	Term   uint64           `json:"term"` // 0 while another entry holds the lease
	Orders uint64           `json:"orders"`
	Last   []placement.Move `json:"last_plan,omitempty"`
}

// DumpState returns the planner's section of the state dump.
func (p *Planner) DumpState() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []ShardDump{}
	for id, h := range p.shards {
		out = append(out, ShardDump{Shard: id, Term: h.term, Orders: h.sequence, Last: h.last})
	}
	return out
}
