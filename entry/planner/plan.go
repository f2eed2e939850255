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

// watchedShards returns the shards whose leases this entry holds or tries to
// acquire.
func (p *Planner) watchedShards() []*shardState {
	entries := p.opts.Entries()
	var out []*shardState
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range shardsOf(p.workers()) {
		state, known := p.shards[s.id]
		if !known {
			if !watches(p.opts.Name, entries, s.id) {
				continue
			}
			state = &shardState{lease: lease{shard: s.id, incarnation: p.opts.Incarnation, table: p.opts.Table}}
			p.shards[s.id] = state
		}
		out = append(out, state)
	}
	return out
}

// workers returns the servers of all pools with a declared memory size.
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

// publishLease copies the state of the lease to the fields that the planning
// goroutine reads. A new fencing token resets the order sequence and the demand
// estimate.
func (p *Planner) publishLease(state *shardState) {
	fencingToken, ok := state.lease.held(time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		state.fencingToken = 0
		return
	}
	if fencingToken != state.fencingToken {
		state.fencingToken, state.sequence, state.demand = fencingToken, 0, newDemand(p.opts.Scale)
		event.Log(p.opts.Log, event.LeaseTaken, event.Subject(state.lease.shard), event.Count(int64(fencingToken)))
	}
	state.expiresAt = state.lease.renewedAt.Add(leaseDuration - safetyMargin)
}

// planAll plans every shard whose lease this entry holds.
func (p *Planner) planAll(ctx context.Context) {
	index := p.opts.Holder.Current()
	if index == nil {
		return
	}
	workers := p.workers()
	p.dropReplies(workers)
	all := shardsOf(workers)
	for _, s := range all {
		p.mu.Lock()
		state := p.shards[s.id]
		ready := state != nil && state.fencingToken > 0 && time.Now().Before(state.expiresAt)
		var d *demand
		if ready {
			d = state.demand
		}
		p.mu.Unlock()
		if ready {
			views := p.queryInventories(ctx, s)
			d.observe(views, time.Now())
			p.planShard(ctx, state, views, d.rates(), itemsOf(s, all, index.Configuration))
		}
	}
}

// workerReply is the reply of one worker to an inventory query.
type workerReply struct {
	server    Server
	inventory rpc.InventoryReply
	ok        bool // false if the worker did not reply
}

// planShard plans one shard and issues the orders. It does nothing if too few
// workers replied.
func (p *Planner) planShard(ctx context.Context, state *shardState, views []workerReply, rates []placement.Demand, items []placement.Item) {
	if !enoughReplies(views) {
		return
	}
	weights := p.weights(p.opts.Holder.Current().Configuration.Policy)
	moves := placement.Plan(snapshot(views, items), rates, weights, time.Now())
	p.mu.Lock()
	state.lastPlan = moves
	p.mu.Unlock()
	p.issueOrders(ctx, state, views, moves)
}

// queryInventories queries the inventory of every serving worker of the shard.
// Workers send their residents only if these changed since the last query.
func (p *Planner) queryInventories(ctx context.Context, sh shard) []workerReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	byName := map[string]Server{}
	for _, s := range p.opts.Servers() {
		byName[s.Name] = s
	}
	views := make([]workerReply, len(sh.workers))
	var group sync.WaitGroup
	for i, name := range sh.workers {
		views[i].server = byName[name]
		if !views[i].server.Serving || views[i].server.Peer == nil {
			continue
		}
		query := rpc.InventoryQuery{Known: p.lastReplies[name].Residence}
		group.Go(func() {
			inv, err := rpc.Call[rpc.InventoryQuery, rpc.InventoryReply](ctx, views[i].server.Peer, rpc.MethodInventory, query)
			views[i].inventory, views[i].ok = inv, err == nil
		})
	}
	group.Wait()
	p.cacheReplies(sh, views)
	return views
}

// dropReplies drops the stored replies of removed workers.
func (p *Planner) dropReplies(workers []worker) {
	maps.DeleteFunc(p.lastReplies, func(name string, _ rpc.InventoryReply) bool {
		return !slices.ContainsFunc(workers, func(w worker) bool { return w.name == name })
	})
}

// cacheReplies adds the unchanged residents to the replies that omit them, and
// stores the replies for the next query.
func (p *Planner) cacheReplies(s shard, views []workerReply) {
	for i, name := range s.workers {
		if !views[i].ok {
			continue
		}
		if views[i].inventory.Unchanged {
			views[i].inventory.Residents = p.lastReplies[name].Residents
		}
		p.lastReplies[name] = views[i].inventory
	}
}

// minReplyShare is the minimum share of a shard's workers that must reply before
// anything is moved. If fewer do, this entry's connections are likely at fault,
// not the workers.
const minReplyShare = 0.5

// enoughReplies reports whether at least one worker and minReplyShare of the
// workers replied.
func enoughReplies(views []workerReply) bool {
	replies := 0
	for _, v := range views {
		if v.ok {
			replies++
		}
	}
	return replies > 0 && float64(replies) >= minReplyShare*float64(len(views))
}

// snapshot returns the shard as placement.Plan needs it.
func snapshot(views []workerReply, items []placement.Item) placement.Shard {
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

// weights returns the default weights, overridden by the policy and the options
// that are not zero.
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

// issueOrders sends the moves as orders. A worker that declines an order or does
// not reply gets no further orders of this plan.
func (p *Planner) issueOrders(ctx context.Context, state *shardState, views []workerReply, moves []placement.Move) {
	peers := map[string]*rpc.Peer{}
	for _, v := range views {
		if v.ok {
			peers[v.server.Name] = v.server.Peer
		}
	}
	for _, m := range moves {
		peer := peers[m.Worker]
		if peer == nil || !p.issueOrder(ctx, state, peer, m) {
			peers[m.Worker] = nil
		}
	}
}

// issueOrder sends one move as an order and reports whether it was accepted. It
// sends nothing once the lease has expired.
func (p *Planner) issueOrder(ctx context.Context, state *shardState, peer *rpc.Peer, m placement.Move) bool {
	p.mu.Lock()
	state.sequence++
	order := rpc.Order{Cell: state.lease.shard, Term: state.fencingToken, Sequence: state.sequence, TTL: orderTTL, Kind: engine.VerbLoad, Artifact: m.Artifact}
	current := state.fencingToken > 0 && time.Now().Before(state.expiresAt)
	p.mu.Unlock()
	if !current {
		return false
	}
	if m.Unload {
		order.Kind = engine.VerbUnload
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := rpc.Call[rpc.Order, rpc.OrderReply](ctx, peer, rpc.MethodOrder, order)
	counters.Add(string(order.Kind)+"_orders", 1)
	if err != nil || !reply.Accepted {
		event.Log(p.opts.Log, event.PlanOrderFailed, event.Peer(m.Worker), event.Subject(m.Artifact.String()), event.Reason(reply.Reason), event.Err(err))
		return false
	}
	event.Log(p.opts.Log, event.PlanOrderGiven, event.Peer(m.Worker), event.Subject(m.Artifact.String()), event.Reason(string(order.Kind)+": "+m.Reason))
	return true
}

// ShardDump is the entry for one shard in the state dump.
type ShardDump struct {
	Shard        string           `json:"cell"`
	FencingToken uint64           `json:"term"` // 0 while another entry holds the lease
	Orders       uint64           `json:"orders"`
	LastPlan     []placement.Move `json:"last_plan,omitempty"`
}

// DumpState returns the planner's section of the state dump.
func (p *Planner) DumpState() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []ShardDump{}
	for id, state := range p.shards {
		out = append(out, ShardDump{Shard: id, FencingToken: state.fencingToken, Orders: state.sequence, LastPlan: state.lastPlan})
	}
	return out
}
