// Package planner holds the leases of shards and plans the placement of the
// shards that it holds, by orders to their side processes. Without a lease, or
// with the table service down, it does nothing: side processes then keep what
// they hold and load on demand.
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
	Entries     func() []string // names of the entries in reach, this one included
	Interval    time.Duration   // between plans; 0 means the default
	ModelLoad   time.Duration
	AdapterLoad time.Duration
	Scale       float64 // of the demand estimate's time constants; 0 means 1
	Log         logrus.FieldLogger
}

// Planner plans the shards whose leases this entry holds.
type Planner struct {
	opts Options
	seen map[string]rpc.InventoryReply // last answer of each worker; of the planning goroutine alone

	mu     sync.Mutex
	shards map[string]*held
}

// held is what is kept of one shard between plans.
type held struct {
	lease    lease
	demand   *demand
	sequence uint64
	term     uint64    // of the lease while it is held, else 0
	until    time.Time // end of the lease unless it is renewed
	last     []placement.Move
}

// New returns a planner that holds nothing.
func New(opts Options) *Planner {
	if opts.Interval <= 0 {
		opts.Interval = defaultInterval
	}
	return &Planner{opts: opts, seen: map[string]rpc.InventoryReply{}, shards: map[string]*held{}}
}

// RunLeases keeps the leases until ctx ends.
func (p *Planner) RunLeases(ctx context.Context) {
	every(ctx, renewTime, func() {
		for _, h := range p.watched() {
			if err := h.lease.step(ctx); err != nil {
				event.Log(p.opts.Log, event.LeaseFailed, event.Subject(h.lease.shard), event.Err(err))
			}
			p.publish(h)
		}
	})
}

// RunPlans makes and carries out a plan for each held shard until ctx ends.
func (p *Planner) RunPlans(ctx context.Context) {
	every(ctx, p.opts.Interval, func() { p.planAll(ctx) })
}

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
