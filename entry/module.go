package entry

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/admin"
	"peridotchute.example/common/daemon"
	"peridotchute.example/common/tlsfile"
	"peridotchute.example/config"
	"peridotchute.example/config/configsync"
	"peridotchute.example/config/publish"
	"peridotchute.example/entry/configuration/follower"
	"peridotchute.example/entry/configuration/peers"
	"peridotchute.example/entry/serving/action"
	"peridotchute.example/entry/serving/admit"
	"peridotchute.example/entry/serving/caller"
	"peridotchute.example/entry/serving/dispatch"
	"peridotchute.example/entry/serving/forward"
	"peridotchute.example/entry/serving/job"
	"peridotchute.example/entry/serving/link"
	"peridotchute.example/entry/serving/pool"
	"peridotchute.example/rpc"
	"peridotchute.example/rpc/process"
	"peridotchute.example/store"
)

// Module wires an entry process from its settings.
func Module(s Settings) fx.Option {
	return fx.Module("entry",
		fx.Supply(s),
		fx.Provide(
			newLocal, newTable, newObjects, newVMs, newFollower, newSyncer, newPeers, newPool, newForwarder, newDispatcher, newAdmitter,
			config.NewHolder, publish.New, rpc.NewHandlers, admin.NewServer, link.NewMeter,
		),
		actionModule(),
		jobModule(),
		planModule(),
		operatorModule(),
		fx.Invoke(startTasks, startRPC, startListeners),
	)
}

func newLocal(s Settings, holder *config.Holder) (rpc.Local, error) {
	id := rpc.Identity{
		Name:       s.Name,
		Role:       rpc.RoleEntry,
		Zone:       s.Zone,
		RPCAddress: s.RPCAddress,
	}
	return process.NewLocal(id, process.Secrets{KeyFile: s.DeploymentKeyFile, PeerTLS: s.PeerTLS}, holder)
}

func newTable(s Settings) store.Table { return store.NewTable(s.Table) }

func newObjects(s Settings) store.Objects { return store.NewObjects(s.Objects) }

func newVMs(s Settings) store.VMs { return store.NewVMs(s.VMList) }

func newFollower(store *publish.Store, holder *config.Holder, log logrus.FieldLogger) *follower.Follower {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return follower.New(follower.Options{Store: store, Holder: holder, Log: log, Rand: rnd})
}

func newSyncer(holder *config.Holder, handlers *rpc.Handlers, log logrus.FieldLogger) *configsync.Syncer {
	return configsync.New(rpc.RoleEntry, holder, handlers, log)
}

func newPeers(local rpc.Local, handlers *rpc.Handlers, syncer *configsync.Syncer) *peers.Peers {
	return peers.New(peers.Options{Local: local, Handlers: handlers, OnPeer: syncer.Add})
}

// poolParams are the dependencies of the pool.
type poolParams struct {
	fx.In
	Settings Settings
	Local    rpc.Local
	Handlers *rpc.Handlers
	VMs      store.VMs
	Holder   *config.Holder
	Syncer   *configsync.Syncer
	Peers    *peers.Peers
	Link     *link.Meter
	Log      logrus.FieldLogger
}

func newPool(p poolParams) *pool.Pool {
	return pool.New(pool.Options{
		Local:    p.Local,
		Handlers: p.Handlers,
		VMs:      p.VMs,
		Interval: time.Duration(p.Settings.VMList.IntervalMS) * time.Millisecond,
		Holder:   p.Holder,
		Region:   p.Settings.Region,
		Link:     p.Link,
		OnPeer:   p.Syncer.Add,
		OnList:   p.Peers.Update,
		Log:      p.Log,
	})
}

func newForwarder(local rpc.Local) *forward.Forwarder {
	return forward.New(local.Key, local.TLS)
}

func newDispatcher(s Settings, p *pool.Pool, f *forward.Forwarder, log logrus.FieldLogger) *dispatch.Dispatcher {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(s.Name))
	return dispatch.New(dispatch.Options{Pool: p, Forwarder: f, Region: s.Region, Zone: s.Zone, Seed: seed.Sum64(), Policy: s.Policy.Routing, Costs: s.Policy.Costs(), Log: log})
}

func newAdmitter(s Settings, p *pool.Pool, holder *config.Holder, log logrus.FieldLogger) *admit.Admitter {
	return admit.New(admit.Options{Pool: p, Holder: holder, Region: s.Region, Zone: s.Zone, Costs: s.Policy.Costs(), Log: log})
}

// startTasks runs the background goroutines of the process from start to stop.
func startTasks(lc fx.Lifecycle, f *follower.Follower, syncer *configsync.Syncer, p *pool.Pool, admitter *admit.Admitter) {
	daemon.Go(lc, f.Run)
	daemon.Go(lc, syncer.Run)
	daemon.Go(lc, p.Run)
	daemon.Go(lc, admitter.Run)
}

func startRPC(lc fx.Lifecycle, s Settings, local rpc.Local, handlers *rpc.Handlers, syncer *configsync.Syncer) {
	server := rpc.NewServer(local, handlers, syncer.Add)
	process.Serve(lc, server, s.RPCAddress)
}

// listenerParams are the dependencies of the listeners.
type listenerParams struct {
	fx.In
	Lifecycle  fx.Lifecycle
	Settings   Settings
	Log        logrus.FieldLogger
	Local      rpc.Local
	Holder     *config.Holder
	Pool       *pool.Pool
	Syncer     *configsync.Syncer
	Dispatcher *dispatch.Dispatcher
	Actions    *action.Server
	Jobs       *job.Server
	Admitter   *admit.Admitter
	Link       *link.Meter
	Admin      *admin.Server
}

func startListeners(p listenerParams) error {
	adminTLS, err := tlsfile.Serving(p.Settings.AdminTLS)
	if err != nil {
		return err
	}
	callerTLS, err := tlsfile.Serving(p.Settings.CallerTLS)
	if err != nil {
		return err
	}
	process.RegisterAdmin(p.Admin, p.Local, p.Holder, p.Syncer)
	p.Admin.AddSection("servers", p.Pool)
	p.Admin.AddSection("link", p.Link)
	p.Admin.AddSection("admission", p.Admitter)
	p.Admin.AddCheck("vm_list", p.Pool.Ready)
	daemon.Serve(p.Lifecycle, p.Log, daemon.Listener{Name: "admin", Address: p.Settings.AdminAddress, Handler: p.Admin.Router(), TLS: adminTLS})
	daemon.Serve(p.Lifecycle, p.Log, daemon.Listener{
		MaxHeaderBytes: http.DefaultMaxHeaderBytes,
		Name:           "caller",
		Address:        p.Settings.CallerAddress,
		TLS:            callerTLS,
		Handler:        caller.New(p.Holder, p.Admitter, p.Dispatcher, p.Actions, p.Jobs).Handler(),
		Drain:          process.DrainTimeout(p.Settings.DrainSeconds),
	})
	daemon.AnnounceStop(p.Lifecycle, func(context.Context) { p.Admin.SetStopping() })
	daemon.LogLifecycle(p.Lifecycle, p.Log)
	return nil
}
