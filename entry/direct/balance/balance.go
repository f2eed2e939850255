// Package balance decides in an entry which backend server gets each request
// and when. Requests are queued here in order of urgency until a server can
// start them in time. Packages routing and admission make the decisions; this
// package keeps their state and dispatches the requests.
package balance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/entry/direct/orders"
	"peridotchute.example/fleet"
	"peridotchute.example/placement/loadplan"
	"peridotchute.example/routing"
)

// EnsureFunc makes a model or adapter resident at some server, and returns that
// server's ID when the load has finished.
type EnsureFunc func(ctx context.Context, q orders.EnsureRequest) (string, error)

// Options configures a Balancer.
type Options struct {
	Name    string // of this entry
	Zone    string
	Regions map[string]string // region of each availability zone
	Budget  Budget
	Drain   time.Duration // for how long a server still takes requests once it leaves
	Ensure  EnsureFunc

	// Entries returns the number of entries of the deployment, those out of reach included,
	// which share the slack of the retry budgets, and the rank of this one among them, from
	// 0. The number is 0 while it is unknown. Nil means that this is the only entry.
	Entries func() (n, rank int)
}

// Budget limits the retries of a service across all entries.
type Budget struct {
	Ratio  float64       // retries allowed per request of a service
	Slack  float64       // retries allowed per window on top of Ratio
	Window time.Duration // period over which requests and retries are counted
}

// Balancer queues requests and assigns them to servers. Requests are dispatched
// only while Run is running.
type Balancer struct {
	opts Options
	wake chan struct{} // has one element when Run must check the queues

	mu    sync.Mutex
	ctx   context.Context // context of Run
	rnd   *rand.Rand
	pools map[string]*pool // by service

	started time.Time

	peers       []string               // names of the other entries
	earlyLimits map[string]ServerLimit // by server; of servers that are not known yet
	unsettled   map[string][]string    // versions that may not begin resumable streams yet, by service
}

// New returns a balancer without servers.
func New(opts Options) *Balancer {
	return &Balancer{
		opts:  opts,
		wake:  make(chan struct{}, 1),
		ctx:   context.Background(),
		rnd:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pools: map[string]*pool{},

		started: time.Now(),

		earlyLimits: map[string]ServerLimit{},
	}
}

// pool has the servers of one service and the requests queued for them.
type pool struct {
	name        string
	engine      *fleet.Engine // nil for plain services
	maxConns    int           // maximum connections of one server from all entries; 0 means no limit
	servers     map[string]*server
	order       []*server // sorted by ID
	queue       *admission.PriorityQueue[*waiting]
	waiting     map[*waiting]struct{}
	queued      map[artifact]int // number of requests in waiting
	budget      admission.RetryBudget
	models      models
	loading     map[loadKey]*pendingLoad
	demand      map[string]*loadplan.ModelDemand // by model, since the last TakeDemand
	serviceTime routing.ServiceTime              // usual service time; plain services only
}

// Update applies a new view of the deployment, also to services that the configuration no
// longer names and whose requests are still queued. It does not block.
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
		p.engine, p.maxConns = service.Engine, service.MaxConnections
	}
	for _, p := range b.pools {
		if b.sync(p, v) {
			p.queue.ServersLost()
		}
		p.queue.ServerChanged("")
	}
	b.signal()
}

func (b *Balancer) newPool(name string) *pool {
	return &pool{
		name:    name,
		servers: map[string]*server{},
		queue:   admission.NewPriorityQueue[*waiting](),
		waiting: map[*waiting]struct{}{},
		queued:  map[artifact]int{},
		budget:  b.retryBudget(),
		models:  newModels(),
		loading: map[loadKey]*pendingLoad{},
		demand:  map[string]*loadplan.ModelDemand{},
	}
}

// Waiting returns the number of queued requests.
func (b *Balancer) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, p := range b.pools {
		n += p.queue.Len()
	}
	return n
}

// signal makes Run check the queues.
func (b *Balancer) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// minSleep is the shortest time between two timed checks of the queues.
const minSleep = 5 * time.Millisecond

// Run dispatches queued requests until ctx is done.
func (b *Balancer) Run(ctx context.Context) {
	b.mu.Lock()
	b.ctx = ctx
	b.mu.Unlock()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if next := b.dispatchAll(); !next.IsZero() {
			timer.Reset(max(time.Until(next), minSleep))
		}
		select {
		case <-b.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// dispatchAll dispatches the requests that are due in all pools and returns the
// time of the next check, zero if no request is queued.
func (b *Balancer) dispatchAll() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var next time.Time
	for _, p := range b.pools {
		b.dispatch(p)
		if at := p.queue.NextWake(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}
