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
	// its VM counts as removed.
	removalGrace = 30 * time.Second
	// memoryLossWindow is how long lookups stay inconclusive after a side process
	// has lost its record of actions.
	memoryLossWindow = 10 * time.Minute
	// maxLookupServers is the largest pool whose side processes are queried in a
	// lookup.
	maxLookupServers = 64
)

// Peers queries side processes over the pool's control connections.
type Peers struct {
	pool *pool.Pool

	mu           sync.Mutex
	missingSince map[string]time.Time // when a query first found the server missing from the VM list
}

// NewPeers returns Peers that query the servers of p.
func NewPeers(p *pool.Pool) *Peers {
	return &Peers{pool: p, missingSince: map[string]time.Time{}}
}

// QueryOrFence queries or fences the attempt at the side process named in its
// claim. It returns a VerdictResult or Unreachable.
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
		return rpc.Call[rpc.Fence, rpc.ActionReply](ctx, peer, rpc.MethodFence, rpc.Fence{Claim: c})
	}
	return rpc.Call[rpc.OutcomeQuery, rpc.ActionReply](ctx, peer, rpc.MethodOutcome, rpc.OutcomeQuery{Claim: c})
}

// removed reports whether the server is known to have been missing from the VM list
// for at least removalGrace. No server counts as missing before the first read of the list.
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

// Lookup queries all servers of the pool concurrently. The result is conclusive
// only if each one replied and none has lost its record of actions within
// memoryLossWindow. A pool of more than maxLookupServers is not queried.
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

// merge combines the results of two servers. A verdict of a started action
// replaces any other.
func merge(a, b idempotency.LookupResult) idempotency.LookupResult {
	conclusive := a.Conclusive && b.Conclusive
	switch b.Verdict {
	case idempotency.VerdictRunning, idempotency.VerdictDone, idempotency.VerdictLost:
		a = b
	}
	a.Conclusive = conclusive
	return a
}
