// Package balance decides at an entry which backend server gets each request
// and when: requests wait here, in order of urgency, until a server can begin
// with them in time. The decisions are those of packages routing and admission;
// this package holds what they need and gives the turns.
package balance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/fleet"
	"peridotchute.example/placement/residence"
	"peridotchute.example/routing"
)

// Resident asks that a model or adapter be made resident at some server, and
// returns that server's ID once it is.
type Resident func(ctx context.Context, service, model, adapter string, prefer []string) (string, error)

// Options configure a Balancer.
type Options struct {
	Zone    string
	Regions map[string]string // region of each availability zone
	Budget  Budget
	Ensure  Resident
}

// Budget limits what is sent beyond the first attempt of each request, over
// all entries.
type Budget struct {
	Ratio  float64       // of the requests of a service
	Slack  float64       // attempts in a window
	Window time.Duration // over which both are counted
	Parts  int           // entries among which the slack is divided
}

// Balancer chooses servers. Run must be running.
type Balancer struct {
	opts Options
	wake chan struct{} // holds one when a line is to be looked at

	mu    sync.Mutex
	ctx   context.Context // of Run
	rnd   *rand.Rand
	pools map[string]*pool // by service

	entries int // that share the servers, this one included
}

// New returns a balancer that knows no server.
func New(opts Options) *Balancer {
	return &Balancer{
		opts:  opts,
		wake:  make(chan struct{}, 1),
		ctx:   context.Background(),
		rnd:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pools: map[string]*pool{},

		entries: 1,
	}
}

// SetEntries tells how many entries share the servers' connections.
func (b *Balancer) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(n, 1)
}

// pool is the servers of one service and the requests that wait for them.
type pool struct {
	name    string
	engine  *fleet.Engine // nil for plain services
	conns   int           // of one server by all callers together; 0 means no limit
	servers map[string]*server
	order   []*server // by ID
	line    *admission.Line[*waiting]
	waiting map[*waiting]struct{}
	budget  admission.RetryBudget
	models  models
	missing map[artifact]*missing
	demand  map[string]*residence.ModelDemand // by model, since it was last taken
	usual   routing.Usual                     // of plain services
}

// Update takes in a new view. It does not keep the caller waiting.
func (b *Balancer) Update(v *fleet.View) {
	if v.Config == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, service := range v.Config.Services {
		p := b.pools[name]
		if p == nil {
			p = b.newPool(name)
			b.pools[name] = p
		}
		p.engine, p.conns = service.Engine, service.MaxConnections
		if b.sync(p, v) {
			p.line.Lost()
		}
		p.line.Changed("")
	}
	b.poke()
}

func (b *Balancer) newPool(name string) *pool {
	return &pool{
		name:    name,
		servers: map[string]*server{},
		line:    admission.NewLine[*waiting](),
		waiting: map[*waiting]struct{}{},
		budget:  b.opts.Budget.account(),
		models:  newModels(),
		missing: map[artifact]*missing{},
		demand:  map[string]*residence.ModelDemand{},
	}
}

// Waiting returns the number of requests that wait here.
func (b *Balancer) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, p := range b.pools {
		n += p.line.Len()
	}
	return n
}

// poke has Run look at the lines.
func (b *Balancer) poke() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// leastSleep bounds how often the lines are looked at without a cause.
const leastSleep = 5 * time.Millisecond

// Run gives turns until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	b.mu.Lock()
	b.ctx = ctx
	b.mu.Unlock()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if next := b.turns(); !next.IsZero() {
			timer.Reset(max(time.Until(next), leastSleep))
		}
		select {
		case <-b.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// turns gives the turns that are due in all pools and returns when the next
// may be; zero while nothing waits.
func (b *Balancer) turns() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var next time.Time
	for _, p := range b.pools {
		b.giveTurns(p)
		if at := p.line.Wake(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}
