package balance

import (
	"context"
	"time"

	"peridotchute.example/routing"
)

// models is what a pool learns of its models.
type models struct {
	prefixes *routing.Prefixes
	paces    map[string]*routing.Pace
	replicas []routing.Replica      // scratch of offer
	plains   []*routing.PlainServer // scratch of offer
	chosen   []*server              // parallel to either
}

func newModels() models {
	return models{prefixes: routing.NewPrefixes(), paces: map[string]*routing.Pace{}}
}

func (m *models) pace(model string) *routing.Pace {
	p := m.paces[model]
	if p == nil {
		p = &routing.Pace{}
		m.paces[model] = p
	}
	return p
}

// missing is an artifact that is being made resident for waiting requests.
type missing struct {
	since   time.Time
	asking  bool                  // a call is in progress
	askAt   time.Time             // not asked again before
	calls   int                   // in a row, without a server that can be used
	virtual *routing.EngineServer // stands for the server that will hold it
	load    time.Duration         // that it is expected to take
}

const (
	adapterLoad  = 30 * time.Millisecond  // order, load of some 10 ms, and two round trips
	loadDecision = 300 * time.Millisecond // until a load begins: demand is told, planned and ordered
	leastLoad    = 200 * time.Millisecond // what is late is expected soon
	askAgain     = 80 * time.Millisecond  // after a call that did not help; doubles with each further one
	askSeldom    = 640 * time.Millisecond // at most: an entry that gives the orders is missing for seconds
	forgetAfter  = 3 * time.Second        // after which an artifact that nobody waits for is forgotten
	ensureLimit  = 12 * time.Second       // of one call
)

// left returns how much longer the load is expected to take.
func (m *missing) left(now time.Time) time.Duration {
	return max(m.load-now.Sub(m.since), leastLoad)
}

// want has an artifact made resident.
func (b *Balancer) want(p *pool, a artifact, prefer []string, now time.Time) *missing {
	m := p.missing[a]
	if m == nil {
		m = &missing{since: now, load: p.loadTime(a), virtual: routing.NewEngineServer("", p.engine.Slots, p.engine.KVTokens, nil)}
		p.missing[a] = m
	}
	if !m.asking && !now.Before(m.askAt) {
		m.asking = true
		go b.ensure(p, a, m, prefer)
	}
	return m
}

func (p *pool) loadTime(a artifact) time.Duration {
	if a.adapter != "" {
		return adapterLoad
	}
	return p.engine.Models[a.model].Load + loadDecision
}

// ensure asks for the artifact and gives the turns that its arrival allows.
func (b *Balancer) ensure(p *pool, a artifact, m *missing, prefer []string) {
	ctx, cancel := context.WithTimeout(b.ctx, ensureLimit)
	defer cancel()
	id, err := b.opts.Ensure(ctx, p.name, a.model, a.adapter, prefer)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	m.asking = false
	m.askAt = now.Add(min(askAgain<<min(m.calls, 4), askSeldom))
	m.calls++
	if err != nil {
		return
	}
	if s := p.servers[id]; s != nil {
		s.added[a] = now
	}
	p.line.Changed("")
	b.giveTurns(p)
}

// found notes that some server holds the artifact.
func (p *pool) found(a artifact) {
	if m := p.missing[a]; m != nil && !m.asking {
		delete(p.missing, a)
	}
}

// forgetMissing drops what nobody waits for any more.
func (p *pool) forgetMissing(now time.Time) {
	for a, m := range p.missing {
		if !m.asking && now.Sub(m.askAt) > forgetAfter {
			delete(p.missing, a)
		}
	}
}
