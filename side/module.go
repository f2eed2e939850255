package side

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/admin"
	"peridotchute.example/common/daemon"
	"peridotchute.example/common/tlsfile"
	"peridotchute.example/config"
	"peridotchute.example/config/configsync"
	"peridotchute.example/engine"
	"peridotchute.example/rpc"
	"peridotchute.example/rpc/process"
	"peridotchute.example/side/action"
	"peridotchute.example/side/gate"
	"peridotchute.example/side/memory"
	"peridotchute.example/side/permit"
	"peridotchute.example/side/report"
	"peridotchute.example/side/residents"
	"peridotchute.example/store"
)

const kindEngine = "engine"

// Module wires a side process from its settings.
func Module(s Settings) fx.Option {
	return fx.Module("side",
		fx.Supply(s),
		fx.Provide(
			newLocal, newPermits, newMemory, newGate, newReporter, newServer, newRegister, action.NewRunner,
			newSyncer, config.NewHolder, rpc.NewHandlers, admin.NewServer,
		),
		fx.Invoke(registerHandlers, startControl, startListeners, announceDrain),
	)
}

func newLocal(s Settings, holder *config.Holder) (rpc.Local, error) {
	id := rpc.Identity{
		Name:        s.Name,
		Role:        rpc.RoleSide,
		Zone:        s.Zone,
		Pool:        s.Pool,
		DataAddress: s.DataAddress,
		RPCAddress:  s.RPCAddress,
	}
	return process.NewLocal(id, process.Secrets{KeyFile: s.DeploymentKeyFile, PeerTLS: s.PeerTLS}, holder)
}

func newPermits(s Settings, holder *config.Holder, log logrus.FieldLogger) *permit.Permits {
	opts := permit.Options{Holder: holder, Name: s.Name, Log: log}
	if s.Table != nil {
		opts.Table = store.NewTable(*s.Table)
	}
	return permit.New(opts)
}

// newMemory returns nil if the backend server is not an engine: plain services
// have no artifacts.
func newMemory(s Settings, holder *config.Holder, permits *permit.Permits, log logrus.FieldLogger) *memory.Memory {
	if s.Backend.Kind != kindEngine {
		return nil
	}
	return memory.New(memory.Options{
		Engine:   engine.NewHTTPClient(s.Backend.URL),
		Capacity: s.Backend.MemoryBytes,
		Fencing:  s.Backend.Fencing,
		Settle:   time.Duration(s.Backend.SettleMS) * time.Millisecond,
		Holder:   holder,
		Permits:  permits,
		Log:      log,
	})
}

func newRegister(local rpc.Local, holder *config.Holder) *action.Register {
	return action.NewRegister(action.Options{
		Incarnation: local.Identity.Incarnation,
		Retention:   func() time.Duration { return retention(holder.Current()) },
	})
}

// retention returns how long actions are remembered, according to the active
// configuration.
func retention(index *config.Index) time.Duration {
	if index == nil {
		return config.DefaultRetention
	}
	return index.Configuration.Policy.Retention()
}

func newGate(s Settings, local rpc.Local, holder *config.Holder, mem *memory.Memory, actions *action.Runner, log logrus.FieldLogger) *gate.Gate {
	opts := gate.Options{
		Key:         local.Key,
		BackendURL:  s.Backend.URL,
		Incarnation: local.Identity.Incarnation,
		Holder:      holder,
		Actions:     actions,
		Log:         log,
	}
	if mem != nil {
		opts.Memory = mem
	}
	return gate.New(opts)
}

func newReporter(s Settings, local rpc.Local, g *gate.Gate, mem *memory.Memory, holder *config.Holder) *report.Reporter {
	return report.New(func() rpc.Report {
		r := rpc.Report{
			Name:          s.Name,
			Incarnation:   local.Identity.Incarnation,
			State:         rpc.StateServing,
			InFlight:      g.InFlight(),
			QueueDelayMS:  g.QueueDelay().Milliseconds(),
			ConfigVersion: holder.Version(),
		}
		if g.Draining() {
			r.State = rpc.StateDraining
		}
		if mem != nil {
			inv := mem.Inventory()
			r.ResidentsDigest, r.FreeBytes = inv.ResidentsDigest, inv.FreeBytes
		}
		return r
	})
}

func newSyncer(holder *config.Holder, handlers *rpc.Handlers, log logrus.FieldLogger) *configsync.Syncer {
	return configsync.New(rpc.RoleSide, holder, handlers, log)
}

func newServer(local rpc.Local, handlers *rpc.Handlers, reporter *report.Reporter, syncer *configsync.Syncer, permits *permit.Permits) *rpc.Server {
	return rpc.NewServer(local, handlers, func(p *rpc.Peer) {
		permits.SetServers(p.Servers)
		reporter.Add(p)
		syncer.Add(p)
	})
}

// handlerParams are the dependencies of the RPC handlers.
type handlerParams struct {
	fx.In
	Local    rpc.Local
	Handlers *rpc.Handlers
	Holder   *config.Holder
	Gate     *gate.Gate
	Memory   *memory.Memory
	Register *action.Register
}

func registerHandlers(c handlerParams) {
	action.Handle(c.Handlers, c.Register)
	rpc.Handle(c.Handlers, rpc.MethodInventory, func(_ context.Context, _ *rpc.Peer, q rpc.InventoryQuery) (rpc.InventoryReply, error) {
		var inv rpc.InventoryReply
		if c.Memory != nil {
			inv = c.Memory.Inventory()
			inv.Demand = c.Memory.Demand()
		}
		inv.Identity = c.Local.Identity
		inv.ConfigVersion = c.Holder.Version()
		return inv.For(q), nil
	})
	history := &residents.History{}
	rpc.Handle(c.Handlers, rpc.MethodResidents, func(_ context.Context, _ *rpc.Peer, q rpc.ResidentsQuery) (rpc.ResidentsReply, error) {
		if c.Memory == nil {
			return rpc.ResidentsReply{}, nil
		}
		inv := c.Memory.Inventory()
		return history.Answer(q, inv.ResidentsDigest, inv.Residents), nil
	})
	rpc.Handle(c.Handlers, rpc.MethodOrder, func(_ context.Context, _ *rpc.Peer, o rpc.Order) (rpc.OrderReply, error) {
		if c.Memory == nil {
			return rpc.OrderReply{Reason: "the backend server holds no artifacts"}, nil
		}
		return c.Memory.Submit(o), nil
	})
	rpc.Handle(c.Handlers, rpc.MethodDrain, func(ctx context.Context, _ *rpc.Peer, _ rpc.Drain) (rpc.DrainReply, error) {
		c.Gate.Drain()
		return rpc.DrainReply{InFlight: c.Gate.InFlight()}, nil
	})
}

// listenerParams are the dependencies of the admin and data listeners.
type listenerParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  Settings
	Log       logrus.FieldLogger
	Local     rpc.Local
	Holder    *config.Holder
	Syncer    *configsync.Syncer
	Gate      *gate.Gate
	Memory    *memory.Memory
	Admin     *admin.Server
	Register  *action.Register
}

func startListeners(p listenerParams) error {
	adminTLS, err := tlsfile.Serving(p.Settings.AdminTLS)
	if err != nil {
		return err
	}
	process.RegisterAdmin(p.Admin, p.Local, p.Holder, p.Syncer)
	p.Admin.AddSection("gate", p.Gate)
	p.Admin.AddSection("actions", p.Register)
	if p.Memory != nil {
		p.Admin.AddCheck("memory", p.Memory.Ready)
		p.Admin.AddSection("memory", admin.DumpFunc(func() any { return p.Memory.Inventory() }))
	}
	daemon.Serve(p.Lifecycle, p.Log, daemon.Listener{Name: "admin", Address: p.Settings.AdminAddress, Handler: p.Admin.Router(), TLS: adminTLS})
	daemon.Serve(p.Lifecycle, p.Log, daemon.Listener{Name: "data", Address: p.Settings.DataAddress, Handler: p.Gate, MaxHeaderBytes: http.DefaultMaxHeaderBytes, Drain: process.DrainTimeout(p.Settings.DrainSeconds), TLS: p.Local.TLS})
	return nil
}

// startControl opens the RPC listener and starts the background loops: reports to
// entries, distribution of configurations and memory management.
func startControl(lc fx.Lifecycle, s Settings, server *rpc.Server, reporter *report.Reporter, syncer *configsync.Syncer, mem *memory.Memory) {
	process.Serve(lc, server, s.RPCAddress)
	daemon.Go(lc, reporter.Run)
	daemon.Go(lc, syncer.Run)
	if mem != nil {
		daemon.Go(lc, mem.Run)
	}
}

// announceDrain makes a shutdown begin with a report to the entries that this
// process is draining, early enough for them to receive it before the data
// listener closes.
func announceDrain(lc fx.Lifecycle, reporter *report.Reporter, g *gate.Gate, log logrus.FieldLogger) {
	daemon.AnnounceStop(lc, func(ctx context.Context) {
		g.Drain()
		reporter.SendIfDue(ctx, time.Now())
	})
	daemon.LogLifecycle(lc, log)
}
