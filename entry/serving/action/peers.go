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
	askTimeout    = time.Second
	lookupTimeout = 500 * time.Millisecond
	// goneGrace is how long a server must be missing from the VM list before
	// its VM counts as gone for good.
	goneGrace = 30 * time.Second
	// lossWindow is how long after a side process lost its memory the others'
	// ignorance of an action proves nothing.
	lossWindow = 10 * time.Minute
	// maxLookup bounds how many side processes are asked for one request.
	maxLookup = 64
)

// Peers asks side processes over the pool's control connections.
type Peers struct {
	pool *pool.Pool

	mu      sync.Mutex
	missing map[string]time.Time // servers not in the VM list, since when
}

// NewPeers returns an Asker over the pool.
func NewPeers(p *pool.Pool) *Peers {
	return &Peers{pool: p, missing: map[string]time.Time{}}
}

// Ask asks the side process named in the claim.
func (p *Peers) Ask(ctx context.Context, rec idempotency.Record, bar bool) idempotency.Event {
	server, ok := p.pool.Server(rec.Server)
	if !ok {
		return idempotency.Unreachable{Gone: p.gone(rec.Server, time.Now())}
	}
	p.found(rec.Server)
	peer := server.Peer()
	if peer == nil {
		return idempotency.Unreachable{}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := ask(ctx, peer, rec.Claim(), bar)
	if err != nil {
		return idempotency.Unreachable{}
	}
	return idempotency.Judged{Verdict: reply.Verdict, Answer: reply.Answer}
}

func ask(ctx context.Context, peer *rpc.Peer, c wire.Claim, bar bool) (rpc.ActionReply, error) {
	if bar {
		return rpc.Call[rpc.Bar, rpc.ActionReply](ctx, peer, rpc.MethodBar, rpc.Bar{Claim: c})
	}
	return rpc.Call[rpc.OutcomeQuery, rpc.ActionReply](ctx, peer, rpc.MethodOutcome, rpc.OutcomeQuery{Claim: c})
}

// gone reports whether the server has been missing for long enough. Before the
// VM list was read at all, nothing is missing.
func (p *Peers) gone(name string, now time.Time) bool {
	if !p.pool.Listed() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	since, ok := p.missing[name]
	if !ok {
		p.missing[name] = now
		return false
	}
	return now.Sub(since) >= goneGrace
}

func (p *Peers) found(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.missing, name)
}

// Lookup asks every server of the pool at once. It is sure only when each one
// replied and none has lost its memory lately. A larger pool than maxLookup is
// not asked.
func (p *Peers) Lookup(ctx context.Context, poolName, scoped string) idempotency.Looked {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var peers []*rpc.Peer
	out := idempotency.Looked{Verdict: idempotency.VerdictAbsent, Sure: true}
	for _, s := range p.pool.Servers() {
		if s.VM().Pool != poolName {
			continue
		}
		if peer := s.Peer(); peer != nil {
			peers = append(peers, peer)
		} else {
			out.Sure = false
		}
	}
	if len(peers) > maxLookup {
		out.Sure = false
		return out
	}
	for _, found := range lookupAll(ctx, peers, scoped) {
		out = merge(out, found)
	}
	out.Sure = out.Sure && time.Since(p.pool.LastLoss(poolName)) >= lossWindow
	return out
}

func lookupAll(ctx context.Context, peers []*rpc.Peer, scoped string) []idempotency.Looked {
	out := make([]idempotency.Looked, len(peers))
	var wg sync.WaitGroup
	for i, peer := range peers {
		wg.Go(func() {
			reply, err := ask(ctx, peer, wire.Claim{Key: scoped}, false)
			out[i] = idempotency.Looked{Verdict: reply.Verdict, Answer: reply.Answer, Sure: err == nil || fault.Is(err, fault.KindRefused)}
		})
	}
	wg.Wait()
	return out
}

// merge joins the findings of two servers. A started action outweighs an absent one.
func merge(a, b idempotency.Looked) idempotency.Looked {
	sure := a.Sure && b.Sure
	switch b.Verdict {
	case idempotency.VerdictRunning, idempotency.VerdictDone, idempotency.VerdictLost:
		a = b
	}
	a.Sure = sure
	return a
}
