package direct

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/daemon"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/crashguard"
	"peridotchute.example/entry/direct/mesh"
	"peridotchute.example/entry/direct/orders"
	"peridotchute.example/entry/direct/origins"
	"peridotchute.example/entry/direct/quotas"
	"peridotchute.example/entry/direct/view"
	"peridotchute.example/fleet"
	"peridotchute.example/placement/loadplan"
	"peridotchute.example/store"
)

// Methods that entries call on each other.
const (
	methodEnsure   = "orders.ensure"
	methodDemand   = "orders.demand"
	methodBackfill = "orders.past"
	methodChange   = "orders.change" // one change, sent by the version before methodChanges
	methodChanges  = "orders.changes"
	methodLease    = "orders.lease"
	methodRecords  = "streams.records"
	methodUsages   = "streams.versions"
	methodProgress = "streams.progress"
	methodFailure  = "store.failure"
	methodOrigin   = "streams.origin"
	methodCrash    = "crashes.report"
	methodCleared  = "crashes.cleared"
	methodParts    = "crashes.parts"
	methodLimits   = "servers.limits"
	methodLeaving  = "servers.leaving"
	methodQuotas   = "quotas.exchange"
)

const (
	// loadInterval is how often entries exchange their requests in progress: a
	// fraction of the prefill time of one long prompt.
	loadInterval = 60 * time.Millisecond
)

// coordination connects this entry to the other entries: they exchange their
// requests in progress, and the lease holder among them issues the orders.
type coordination struct {
	name     string
	mesh     *mesh.Mesh
	manager  *orders.Manager
	balancer *balance.Balancer
	watcher  *view.Watcher
	origins  *origins.Registry
	guard    *crashguard.Guard
	quotas   *quotas.Keeper
	changes  *changeQueue
	log      logrus.FieldLogger

	processor float64 // of this VM, in cores
}

type ensureReply struct {
	Server string `json:"server"`            // ID
	NoRoom bool   `json:"no_room,omitempty"` // orders.ErrNoRoom, which an error of the call would not preserve
}

func newCoordination(s Settings, table store.Partitioned, control fleet.Control, w *view.Watcher, decisions *decisionlog.Log, log logrus.FieldLogger) *coordination {
	c := &coordination{name: s.Name, watcher: w, changes: newChangeQueue(), log: log, processor: s.processor()}
	c.balancer = balance.New(balance.Options{Name: s.Name, Zone: s.Zone, Regions: s.Regions, Budget: budgetOf(s), Drain: milliseconds(s.DrainMS), Ensure: c.ensure, Entries: c.entries})
	c.manager = orders.New(orders.Options{
		Table:      table,
		Control:    control,
		View:       w.Current,
		Self:       s.Name,
		LeaseGap:   milliseconds(s.LeaseMS),
		LoadWindow: seconds(s.LoadWindowS),
		LoadBurst:  s.LoadBurst,
		Down:       c.balancer.Down,
		Limit:      c.balancer.Limit,
		OnChange:   c.publishChange,
		OnLease:    c.broadcastLease,
		Defers:     c.strongerConnected,
		Log:        log,
	})
	c.mesh = mesh.New(mesh.Options{
		Self:  mesh.Identity{Name: s.Name, Address: s.RPCAddress, Zone: s.Zone, Region: s.Region, Processor: s.processor()},
		Seeds: s.Seeds,
		Table: table,
		Log:   log,

		OnDocument: func(d mesh.Document) { applyDocument(w, d, log) },
		OnConnect: func(peer string) {
			c.guard.PeerConnected(peer)
			c.sendLimits(peer)
			c.sendLeaving(peer)
			c.origins.PeerConnected(peer)
		},
		PullDelay: map[string]time.Duration{view.KindConfig: configFetchDelay},
	})
	c.origins = origins.New(origins.Options{Self: s.Name, Peers: originPeers{mesh: c.mesh, log: log}, Table: table, Log: log, OnUnsettled: c.balancer.SetUnsettled})
	c.handleOrigins()
	c.handleStoreFailures()
	c.guard = crashguard.New(crashguard.Options{Self: s.Name, Peers: guardPeers{c.mesh}, Table: table, Log: decisions, Events: log})
	c.handleCrashes()
	c.quotas = quotas.New(quotas.Options{Bounds: quotaBounds(s), Peers: quotaPeers{c}, Self: s.Name, Clock: clock.Boottime})
	c.handleQuotas()
	c.handleLimits(decisions)
	c.handleLeaving()
	w.OnRead(func(d view.Document) { c.mesh.Offer(mesh.Document(d)) })
	mesh.Handle(c.mesh, methodEnsure, func(ctx context.Context, _ string, q orders.EnsureRequest) (ensureReply, error) {
		id, err := c.manager.Ensure(ctx, q)
		if errors.Is(err, orders.ErrNoRoom) {
			return ensureReply{NoRoom: true}, nil
		}
		return ensureReply{Server: id}, err
	})
	mesh.Handle(c.mesh, methodDemand, func(_ context.Context, from string, d []loadplan.ModelDemand) (struct{}, error) {
		c.manager.ObserveDemand(from, d)
		return struct{}{}, nil
	})
	mesh.Handle(c.mesh, methodBackfill, func(_ context.Context, _ string, n loadplan.HistorySnapshot) (struct{}, error) {
		return struct{}{}, c.manager.Backfill(n)
	})
	c.handleChanges()
	mesh.Handle(c.mesh, methodLease, func(_ context.Context, from string, n orders.LeaseNotice) (struct{}, error) {
		c.manager.HandleLeaseNotice(from, n)
		return struct{}{}, nil
	})
	return c
}

// start appends the mesh listener and the coordination loops to the lifecycle. If the
// listen address is in use the start fails: an entry that the others cannot reach
// would keep running on its own diverging view.
func (c *coordination) start(lc fx.Lifecycle) {
	lc.Append(fx.StartHook(c.mesh.Listen))
	daemon.Go(lc, func(ctx context.Context) {
		if err := c.mesh.Run(ctx); err != nil {
			event.Log(c.log, event.ListenerFailed, event.Subject("rpc"), event.Err(err))
		}
	})
	daemon.Go(lc, c.manager.Run)
	daemon.Go(lc, c.origins.Run)
	daemon.Go(lc, c.origins.RunUsages)
	daemon.Go(lc, c.origins.RunRows)
	daemon.Go(lc, c.guard.Run)
	daemon.Go(lc, c.guard.RunChecks)
	daemon.Go(lc, c.guard.RunRows)
	daemon.Go(lc, c.quotas.Run)
	daemon.Go(lc, c.broadcastChanges)
	daemon.Go(lc, c.exchangeLoads)
	daemon.Go(lc, c.reportDemand)
}

// holdsLease reports whether this entry holds the orders lease.
func (c *coordination) holdsLease() bool {
	_, mine := c.manager.LeaseHolder()
	return mine
}

// releaseTimeout bounds the release of the lease at the end of a stop, including the
// notice to the other entries.
const releaseTimeout = 400 * time.Millisecond

// release releases the orders lease at the end of a stop. The entry issues orders
// until then: when entries are stopped in turn, the others may be stopping too.
func (c *coordination) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := c.manager.Close(ctx); err != nil {
		event.Log(c.log, event.OrdersLeaseError, event.Err(err))
	}
}

// broadcastLease notifies the other entries that this one holds the orders lease, so
// that they need not read it, or that it has given the lease up.
func (c *coordination) broadcastLease(n orders.LeaseNotice) { c.mesh.Broadcast(methodLease, n) }

// entries returns the number of entries and the rank of this one among them.
func (c *coordination) entries() (n, rank int) { return c.mesh.Entries() }

// rank returns the number of entries whose names sort before this one's; zero if unknown.
func (c *coordination) rank() int {
	_, rank := c.entries()
	return rank
}

// strongerShare is by how much the processor of another VM must exceed this one's for the
// orders lease to be better held there.
const strongerShare = 1.5

// strongerConnected reports whether an entry with much more processor is connected.
func (c *coordination) strongerConnected() bool {
	return c.mesh.AnyConnected(func(id mesh.Identity) bool { return id.Processor >= strongerShare*c.processor })
}

// ensure asks the lease holder to make a model or adapter resident, and logs a
// failure.
func (c *coordination) ensure(ctx context.Context, q orders.EnsureRequest) (string, error) {
	holder, mine := c.manager.LeaseHolder()
	id, err := c.requestEnsure(ctx, holder, mine, q)
	if err != nil {
		artifact := strings.TrimSuffix(q.Model+"/"+q.Adapter, "/")
		event.Log(c.log, event.NotMadeResident, event.Peer(holder), event.Subject("load "+artifact), event.Err(err))
	}
	return id, err
}

func (c *coordination) requestEnsure(ctx context.Context, holder string, mine bool, q orders.EnsureRequest) (string, error) {
	if mine {
		return c.manager.Ensure(ctx, q)
	}
	if holder == "" || holder == c.name {
		return "", fault.Newf(fault.KindUnavailable, methodEnsure, holder, "no lease holder is known")
	}
	reply, err := mesh.Call[orders.EnsureRequest, ensureReply](ctx, c.mesh, holder, methodEnsure, q)
	if reply.NoRoom {
		return "", fault.New(fault.KindRefused, methodEnsure, holder, orders.ErrNoRoom)
	}
	return reply.Server, err
}

// exchangeLoads exchanges the requests in progress with the other entries until ctx
// ends.
func (c *coordination) exchangeLoads(ctx context.Context) {
	for clock.Sleep(ctx, loadInterval) == nil {
		c.balancer.SetPeers(c.mesh.Connected())
		if changed := c.balancer.TakeLimitChanges(); len(changed) > 0 {
			c.mesh.Broadcast(methodLimits, changed)
		}
		own := c.balancer.Loads()
		loads := make([]mesh.ServerLoad, len(own))
		for i, l := range own {
			loads[i] = mesh.ServerLoad{ID: l.ID, Requests: l.Requests, Prefill: int(l.Work.Milliseconds()), Memory: l.Tokens}
		}
		c.mesh.SetLoad(loads)
		peerLoads := c.mesh.Loads()
		c.balancer.SetPeerLoads(func(id string) balance.Load {
			peers := peerLoads[id]
			return balance.Load{ID: id, Requests: peers.Requests, Work: time.Duration(peers.Prefill) * time.Millisecond, Tokens: peers.Memory}
		})
	}
}
