package direct

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/daemon"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/mesh"
	"peridotchute.example/entry/direct/orders"
	"peridotchute.example/entry/direct/view"
	"peridotchute.example/fleet"
	"peridotchute.example/placement/residence"
	"peridotchute.example/store"
)

// Methods that entries call of each other.
const (
	methodEnsure = "orders.ensure"
	methodDemand = "orders.demand"
	methodPast   = "orders.past"
	methodChange = "orders.change"
	methodLease  = "orders.lease"
)

const (
	// loadEvery is how often the requests in progress are told and heard: a
	// fraction of the prefill of one long prompt.
	loadEvery = 60 * time.Millisecond
)

// coordination is what entries do together: they tell each other what is in
// progress, and one of them gives the orders.
type coordination struct {
	name     string
	mesh     *mesh.Mesh
	keeper   *orders.Keeper
	balancer *balance.Balancer
	log      logrus.FieldLogger
}

// ensureQuery asks the holder of the lease to make something resident.
type ensureQuery struct {
	Service string   `json:"service"`
	Model   string   `json:"model"`
	Adapter string   `json:"adapter,omitempty"`
	Prefer  []string `json:"prefer,omitempty"` // IDs of servers, best first
}

type ensureReply struct {
	Server string `json:"server"` // ID
}

// changeNote tells what a server holds after an order.
type changeNote struct {
	Server string        `json:"server"` // ID
	Change orders.Change `json:"change"`
}

func newCoordination(s Settings, table store.Table, control fleet.Control, w *view.Watcher, log logrus.FieldLogger) *coordination {
	c := &coordination{name: s.Name, log: log}
	c.balancer = balance.New(balance.Options{Zone: s.Zone, Regions: s.Regions, Budget: budgetOf(s), Ensure: c.ensure})
	c.keeper = orders.New(orders.Options{
		Table:      table,
		Control:    control,
		View:       w.Current,
		Self:       s.Name,
		LeaseGap:   milliseconds(s.LeaseMS),
		LoadWindow: seconds(s.LoadWindowS),
		LoadBurst:  s.LoadBurst,
		Down:       c.balancer.Down,
		OnChange:   c.changed,
		OnLease:    c.tellLease,
		Log:        log,
	})
	c.mesh = mesh.New(mesh.Options{
		Self:  mesh.Identity{Name: s.Name, Address: s.RPCAddress, Zone: s.Zone, Region: s.Region},
		Seeds: s.Seeds,
		Table: table,
		Log:   log,

		OnDocument: func(d mesh.Document) { takeDocument(w, d, log) },
		Patience:   map[string]time.Duration{view.KindConfig: configPatience},
	})
	w.OnRead(func(d view.Document) { c.mesh.Offer(mesh.Document(d)) })
	mesh.Handle(c.mesh, methodEnsure, func(ctx context.Context, _ string, q ensureQuery) (ensureReply, error) {
		id, err := c.keeper.Ensure(ctx, q.Service, q.Model, q.Adapter, q.Prefer)
		return ensureReply{Server: id}, err
	})
	mesh.Handle(c.mesh, methodDemand, func(_ context.Context, from string, d []residence.ModelDemand) (struct{}, error) {
		c.keeper.Demand(from, d)
		return struct{}{}, nil
	})
	mesh.Handle(c.mesh, methodPast, func(_ context.Context, _ string, n residence.PastNote) (struct{}, error) {
		return struct{}{}, c.keeper.Backfill(n)
	})
	mesh.Handle(c.mesh, methodChange, func(_ context.Context, _ string, n changeNote) (struct{}, error) {
		c.balancer.Told(n.Server, n.Change)
		return struct{}{}, nil
	})
	mesh.Handle(c.mesh, methodLease, func(_ context.Context, from string, n orders.LeaseNote) (struct{}, error) {
		c.keeper.Heard(from, n)
		return struct{}{}, nil
	})
	return c
}

// start runs the duties between start and stop. An address that is taken ends
// the start: an entry that others cannot reach would run on with its own view.
func (c *coordination) start(lc fx.Lifecycle) {
	lc.Append(fx.StartHook(c.mesh.Listen))
	daemon.Go(lc, func(ctx context.Context) {
		if err := c.mesh.Run(ctx); err != nil {
			event.Log(c.log, event.ListenerFailed, event.Subject("rpc"), event.Err(err))
		}
	})
	daemon.Go(lc, c.keeper.Run)
	daemon.Go(lc, c.tellLoads)
	daemon.Go(lc, c.tellDemand)
}

// givesOrders reports whether this entry holds the orders lease.
func (c *coordination) givesOrders() bool {
	_, mine := c.keeper.Holder()
	return mine
}

// releaseTimeout bounds the release of the lease at the end of a stop. The other
// entries are told of it as well.
const releaseTimeout = 400 * time.Millisecond

// release gives the orders lease back at the end of a stop: until then this
// entry gives orders, since while entries are stopped in turn the others may be
// stopping, too.
func (c *coordination) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := c.keeper.Close(ctx); err != nil {
		event.Log(c.log, event.OrdersLeaseError, event.Err(err))
	}
}

// tellLease tells the other entries that this one holds the orders lease, so
// that they need not read it, or has released it.
func (c *coordination) tellLease(n orders.LeaseNote) { c.mesh.Broadcast(methodLease, n) }

// changed passes on what a server holds after an order.
func (c *coordination) changed(server string, change orders.Change) {
	c.balancer.Told(server, change)
	c.mesh.Broadcast(methodChange, changeNote{Server: server, Change: change})
}

// ensure asks the entry that gives the orders and logs why it was in vain.
func (c *coordination) ensure(ctx context.Context, service, model, adapter string, prefer []string) (string, error) {
	holder, mine := c.keeper.Holder()
	id, err := c.askHolder(ctx, holder, mine, service, model, adapter, prefer)
	if err != nil {
		artifact := strings.TrimSuffix(model+"/"+adapter, "/")
		event.Log(c.log, event.NotMadeResident, event.Peer(holder), event.Subject("load "+artifact), event.Err(err))
	}
	return id, err
}

func (c *coordination) askHolder(ctx context.Context, holder string, mine bool, service, model, adapter string, prefer []string) (string, error) {
	if mine {
		return c.keeper.Ensure(ctx, service, model, adapter, prefer)
	}
	if holder == "" || holder == c.name {
		return "", fault.Newf(fault.KindUnavailable, methodEnsure, holder, "no entry is known to give the orders")
	}
	q := ensureQuery{Service: service, Model: model, Adapter: adapter, Prefer: prefer}
	reply, err := mesh.Call[ensureQuery, ensureReply](ctx, c.mesh, holder, methodEnsure, q)
	return reply.Server, err
}

// tellLoads exchanges the requests in progress with the other entries.
func (c *coordination) tellLoads(ctx context.Context) {
	for clock.Sleep(ctx, loadEvery) == nil {
		c.balancer.SetEntries(1 + len(c.mesh.Connected()))
		own := c.balancer.Loads()
		told := make([]mesh.ServerLoad, len(own))
		for i, l := range own {
			told[i] = mesh.ServerLoad{ID: l.ID, Requests: l.Requests, Prefill: int(l.Work.Milliseconds()), Memory: l.Tokens}
		}
		c.mesh.SetLoad(told)
		c.balancer.Hear(func(id string) balance.Load {
			t, _ := c.mesh.Load(id)
			return balance.Load{ID: id, Requests: t.Requests, Work: time.Duration(t.Prefill) * time.Millisecond, Tokens: t.Memory}
		})
	}
}
