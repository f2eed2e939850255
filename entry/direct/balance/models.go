package balance

import (
	"context"
	"errors"
	"time"

	"peridotchute.example/entry/direct/orders"
	"peridotchute.example/routing"
)

// models is the state that a pool learns about its models, with scratch buffers
// for offers.
type models struct {
	prefixes     *routing.PrefixCaches
	prefillTimes map[string]*routing.PrefillTime
	streamTime   routing.StreamTime
	replicas     []routing.Replica      // candidates for the current offer; reused between offers
	plains       []*routing.PlainServer // the same for plain services
	chosen       []*server              // server of each element of replicas or plains
}

func newModels() models {
	return models{prefixes: routing.NewPrefixCaches(), prefillTimes: map[string]*routing.PrefillTime{}}
}

func (m *models) prefillTime(model string) *routing.PrefillTime {
	p := m.prefillTimes[model]
	if p == nil {
		p = &routing.PrefillTime{}
		m.prefillTimes[model] = p
	}
	return p
}

// loadKey identifies a pending load.
type loadKey struct {
	artifact
	software string // if set, only servers of this software version count
}

// pendingLoad is the load of an artifact that queued requests need.
type pendingLoad struct {
	since    time.Time             // first request for the artifact
	calling  bool                  // a call to Ensure is in progress
	nextCall time.Time             // earliest time of the next call to Ensure
	calls    int                   // consecutive calls to Ensure without a usable server
	virtual  *routing.EngineServer // placeholder for the server that will load the artifact
	expected time.Duration         // expected duration of the load

	noRoomUntil time.Time // no server has room for the artifact until then; zero unless Ensure said so
}

const (
	adapterLoadTime  = 30 * time.Millisecond  // order, load of about 10 ms and two round trips
	planningDelay    = 300 * time.Millisecond // until a model load starts: demand is reported, planned and ordered
	minRemainingLoad = 200 * time.Millisecond // assumed remaining time of overdue loads
	ensureBackoff    = 80 * time.Millisecond  // delay after a call without a usable server; doubles with each consecutive one
	maxEnsureBackoff = 640 * time.Millisecond // upper bound of the delay; a change of the lease holder takes seconds
	pendingLoadTTL   = 3 * time.Second        // time after nextCall until an unused pendingLoad is removed
	noRoomTTL        = time.Second            // after a call to Ensure that found no server with room; a longer call found one
	ensureTimeout    = 12 * time.Second       // for one call to Ensure
)

// remaining returns the expected time until the load finishes.
func (m *pendingLoad) remaining(now time.Time) time.Duration {
	return max(m.expected-now.Sub(m.since), minRemainingLoad)
}

// startLoad returns the pending load of an artifact. It calls Ensure in the
// background unless a call is in progress or was made too recently. The caller holds b.mu.
func (b *Balancer) startLoad(p *pool, a loadKey, prefer []string, now time.Time) *pendingLoad {
	m := p.loading[a]
	if m == nil {
		m = &pendingLoad{since: now, expected: p.loadTime(a.artifact), virtual: routing.NewEngineServer("", p.engine.Slots, p.engine.KVTokens, nil)}
		p.loading[a] = m
	}
	if !m.calling && !now.Before(m.nextCall) {
		m.calling = true
		go b.ensure(b.ctx, p, a, m, prefer)
	}
	return m
}

func (p *pool) loadTime(a artifact) time.Duration {
	if a.adapter != "" {
		return adapterLoadTime
	}
	return p.engine.Models[a.model].Load + planningDelay
}

// ensure calls Ensure for the artifact and dispatches the requests that can be
// sent once it is loaded.
func (b *Balancer) ensure(ctx context.Context, p *pool, a loadKey, m *pendingLoad, prefer []string) {
	ctx, cancel := context.WithTimeout(ctx, ensureTimeout)
	defer cancel()
	id, err := b.opts.Ensure(ctx, orders.EnsureRequest{Service: p.name, Model: a.model, Adapter: a.adapter, Software: a.software, Prefer: prefer})
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	m.calling = false
	m.nextCall = now.Add(min(ensureBackoff<<min(m.calls, 4), maxEnsureBackoff))
	m.calls++
	if errors.Is(err, orders.ErrNoRoom) {
		m.since, m.noRoomUntil = now, now.Add(noRoomTTL)
		p.queue.ServersLost()
		b.dispatch(p)
	}
	if err != nil {
		return
	}
	if s := p.servers[id]; s != nil {
		s.ensuredAt[a.artifact] = now
	}
	p.queue.ServerChanged("")
	b.dispatch(p)
}

// clearLoading removes the pending load of an artifact that some server has
// loaded.
func (p *pool) clearLoading(a loadKey) {
	if m := p.loading[a]; m != nil && !m.calling {
		delete(p.loading, a)
	}
}

// expireLoading removes pending loads that no request has needed for
// pendingLoadTTL.
func (p *pool) expireLoading(now time.Time) {
	for a, m := range p.loading {
		if !m.calling && now.Sub(m.nextCall) > pendingLoadTTL {
			delete(p.loading, a)
		}
	}
}
