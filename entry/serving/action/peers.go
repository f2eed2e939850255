package action

import (
	"context"
	"sync"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/pool"
	"peridotchute.example/idempotency"
	"peridotchute.example/rpc"
)

const (
	queryTimeout  = time.Second
	lookupTimeout = 500 * time.Millisecond
	// removalGrace is how long a server must be missing from the VM list before
	// its VM counts as gone for good.
	removalGrace = 30 * time.Second
	// memoryLossWindow is how long after a side process lost its memory the others'
	// ignorance of an action proves nothing.
	memoryLossWindow = 10 * time.Minute
	// maxLookupServers bounds how many side processes are asked for one request.
	maxLookupServers = 64
)

// Peers asks side processes over the pool's control connections.
type Peers struct {
	pool *pool.Pool

	mu           sync.Mutex
	missingSince map[string]time.Time // servers not in the VM list, since when
}

// NewPeers returns an Asker over the pool.
func NewPeers(p *pool.Pool) *Peers {
	return &Peers{pool: p, missingSince: map[string]time.Time{}}
}

// QueryOrFence asks the side process named in the claim.
func (p *Peers) QueryOrFence(ctx context.Context, rec idempotency.Record, fence bool) idempotency.Event {
	server, ok := p.pool.Server(rec.Server)
	if !ok {
		return idempotency.Unreachable{Removed: p.removed(rec.Server, time.Now())}
	}
	p.markPresent(rec.Server)
	peer := server.Peer()
	if peer == nil {
		return idempotency.Unreachable{}
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, err := query(ctx, peer, rec.Claim(), fence)
	if err != nil {
		return idempotency.Unreachable{}
	}
	return idempotency.VerdictResult{Verdict: reply.Verdict, Answer: reply.Answer}
}

func query(ctx context.Context, peer *rpc.Peer, c wire.Claim, fence bool) (rpc.ActionReply, error) {
	if fence {
		return rpc.Call[rpc.Bar, rpc.ActionReply](ctx, peer, rpc.MethodBar, rpc.Bar{Claim: c})
	}
	return rpc.Call[rpc.OutcomeQuery, rpc.ActionReply](ctx, peer, rpc.MethodOutcome, rpc.OutcomeQuery{Claim: c})
}

// removed reports whether the server has been missing for long enough. Before the
// VM list was read at all, nothing is missing.
func (p *Peers) removed(name string, now time.Time) bool {
	if !p.pool.Listed() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	since, ok := p.missingSince[name]
	if !ok {
		p.missingSince[name] = now
		return false
	}
	return now.Sub(since) >= removalGrace
}

func (p *Peers) markPresent(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.missingSince, name)
}

// Lookup asks every server of the pool at once. It is sure only when each one
// replied and none has lost its memory lately. A larger pool than maxLookup is
// not asked.
func (p *Peers) Lookup(ctx context.Context, poolName, scoped string) idempotency.LookupResult {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var peers []*rpc.Peer
	out := idempotency.LookupResult{Verdict: idempotency.VerdictAbsent, Conclusive: true}
	for _, s := range p.pool.Servers() {
		if s.VM().Pool != poolName {
			continue
		}
		if peer := s.Peer(); peer != nil {
			peers = append(peers, peer)
		} else {
			out.Conclusive = false
		}
	}
	if len(peers) > maxLookupServers {
		out.Conclusive = false
		return out
	}
	for _, result := range lookupAll(ctx, peers, scoped) {
		out = merge(out, result)
	}
	out.Conclusive = out.Conclusive && time.Since(p.pool.LastLoss(poolName)) >= memoryLossWindow
	return out
}

func lookupAll(ctx context.Context, peers []*rpc.Peer, scoped string) []idempotency.LookupResult {
	out := make([]idempotency.LookupResult, len(peers))
	var wg sync.WaitGroup
	for i, peer := range peers {
		wg.Go(func() {
			reply, err := query(ctx, peer, wire.Claim{Key: scoped}, false)
			out[i] = idempotency.LookupResult{Verdict: reply.Verdict, Answer: reply.Answer, Conclusive: err == nil || fault.Is(err, fault.KindRefused)}
		})
	}
	wg.Wait()
	return out
}

// merge joins the findings of two servers. A started action outweighs an absent one.
func merge(a, b idempotency.LookupResult) idempotency.LookupResult {
	sure := a.Conclusive && b.Conclusive
	switch b.Verdict {
	case idempotency.VerdictRunning, idempotency.VerdictDone, idempotency.VerdictLost:
		a = b
	}
	a.Conclusive = sure
	return a
}
