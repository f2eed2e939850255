// Package planner acquires the leases of shards and plans the placement in the
// shards whose leases it holds. It carries plans out by orders to side processes.
// Without a lease, or while the table service is down, it does nothing: side
// processes then keep what they have loaded and load on demand.
package planner

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/config"
	"peridotchute.example/placement"
	"peridotchute.example/rpc"
	"peridotchute.example/store"
)

const (
	defaultInterval = 2 * time.Second
	callTimeout     = 2 * time.Second
	orderTTL        = 10 * time.Second
)

var counters = expvar.NewMap("planner")

// Server is a backend server as the planner sees it.
type Server struct {
	Name    string
	Zone    string
	Pool    string
	Serving bool
	Peer    *rpc.Peer // nil while there is no connection
}

// Options configure a Planner.
type Options struct {
	Name        string // of this entry's VM
	Incarnation string
	Table       store.Table
	Holder      *config.Holder
	Servers     func() []Server
	Entries     func() []string // names of the connected entries and of this one
	Interval    time.Duration   // time between plans; 0 means the default
	ModelLoad   time.Duration
	AdapterLoad time.Duration
	Scale       float64 // factor on the planning horizon and the time constants of the demand estimate; 0 means 1
	Log         logrus.FieldLogger
}

// Planner plans the shards whose leases this entry holds.
type Planner struct {
	opts        Options
	lastReplies map[string]rpc.InventoryReply // by worker name; only used by the planning goroutine

	mu     sync.Mutex
	shards map[string]*shardState
}

// shardState is the state of one shard between plans.
type shardState struct {
	lease        lease
	demand       *demand
	sequence     uint64
	fencingToken uint64    // of the lease while it is held, else 0
	expiresAt    time.Time // end of the lease unless it is renewed
	lastPlan     []placement.Move
}

// New returns a planner that holds no leases.
func New(opts Options) *Planner {
	if opts.Interval <= 0 {
		opts.Interval = defaultInterval
	}
	return &Planner{opts: opts, lastReplies: map[string]rpc.InventoryReply{}, shards: map[string]*shardState{}}
}

// RunLeases renews and acquires leases until ctx ends.
func (p *Planner) RunLeases(ctx context.Context) {
	every(ctx, renewInterval, func() {
		for _, state := range p.watchedShards() {
			if err := state.lease.renewOrAcquire(ctx); err != nil {
				event.Log(p.opts.Log, event.LeaseFailed, event.Subject(state.lease.shard), event.Err(err))
			}
			p.publishLease(state)
		}
	})
}

// RunPlans plans the shards whose leases this entry holds, at a fixed interval
// until ctx ends.
func (p *Planner) RunPlans(ctx context.Context) {
	every(ctx, p.opts.Interval, func() { p.planAll(ctx) })
}

// every calls f at once and then at interval d until ctx ends.
func every(ctx context.Context, d time.Duration, f func()) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
