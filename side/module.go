package side

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/admin"
	"peridotchute.example/common/daemon"
	"peridotchute.example/common/keyfile"
	"peridotchute.example/common/tlsfile"
	"peridotchute.example/config"
	"peridotchute.example/config/spread"
	"peridotchute.example/engine"
	"peridotchute.example/platform"
	"peridotchute.example/rpc"
	"peridotchute.example/side/action"
	"peridotchute.example/side/gate"
	"peridotchute.example/side/memory"
	"peridotchute.example/side/permit"
	"peridotchute.example/side/report"
	"peridotchute.example/side/residence"
)

const (
	defaultDrain = 10 * time.Minute
	kindEngine   = "engine"
)

// deploymentKey is the secret that the deployment's processes share.
type deploymentKey string

// Module wires a side process from its settings.
func Module(s Settings) fx.Option {
	return fx.Module("side",
		fx.Supply(s),
		fx.Provide(
			newKey, newLocal, newPermits, newMemory, newGate, newReporter, newServer, newRegister, action.NewRunner,
			newSpreader, config.NewHolder, rpc.NewHandlers, admin.NewServer,
		),
		fx.Invoke(handleControl, startControl, startListeners, announceDrain),
	)
}

func newKey(s Settings) (deploymentKey, error) {
	key, err := keyfile.Read(s.DeploymentKeyFile)
	return deploymentKey(key), err
}

func newLocal(s Settings, key deploymentKey, holder *config.Holder) (rpc.Local, error) {
	conf, err := tlsfile.Mutual(s.PeerTLS)
	if err != nil {
		return rpc.Local{}, err
	}
	return rpc.Local{
		Identity: rpc.Identity{
			Name:        s.Name,
			Incarnation: uuid.Must(uuid.NewV7()).String(),
			Role:        rpc.RoleSide,
			Zone:        s.Zone,
			Pool:        s.Pool,
			DataAddress: s.DataAddress,
			RPCAddress:  s.RPCAddress,
		},
		Key:           string(key),
		ConfigVersion: holder.Version,
		TLS:           conf,
	}, nil
}

func newPermits(s Settings, holder *config.Holder, log logrus.FieldLogger) *permit.Permits {
	opts := permit.Options{Holder: holder, Name: s.Name, Log: log}
	if s.Table != nil {
		opts.Table = platform.NewTable(*s.Table)
	}
	return permit.New(opts)
}

// newMemory returns nil before plain services, which hold no artifacts.
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

// retention returns how long actions are remembered, by the configuration in force.
func retention(index *config.Index) time.Duration {
	if index == nil {
		return config.DefaultRetention
	}
	return index.Configuration.Policy.Retention()
}

func newGate(s Settings, key deploymentKey, local rpc.Local, holder *config.Holder, mem *memory.Memory, actions *action.Runner, log logrus.FieldLogger) *gate.Gate {
	opts := gate.Options{
		Key:         string(key),
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
			r.Residence, r.FreeBytes = inv.Residence, inv.FreeBytes
		}
		return r
	})
}

func newSpreader(holder *config.Holder, handlers *rpc.Handlers, log logrus.FieldLogger) *spread.Spreader {
	return spread.New(rpc.RoleSide, holder, handlers, log)
}

func newServer(local rpc.Local, handlers *rpc.Handlers, reporter *report.Reporter, spreader *spread.Spreader, permits *permit.Permits) *rpc.Server {
	return rpc.NewServer(local, handlers, func(p *rpc.Peer) {
		permits.Learn(p.Servers)
		reporter.Add(p)
		spreader.Add(p)
	})
}

// control is what the control handlers need.
type control struct {
	fx.In
	Local    rpc.Local
	Handlers *rpc.Handlers
	Holder   *config.Holder
	Gate     *gate.Gate
	Memory   *memory.Memory
	Register *action.Register
}

func handleControl(c control) {
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
	told := &residence.History{}
	rpc.Handle(c.Handlers, rpc.MethodResidence, func(_ context.Context, _ *rpc.Peer, q rpc.ResidenceQuery) (rpc.ResidenceReply, error) {
		if c.Memory == nil {
			return rpc.ResidenceReply{}, nil
		}
		inv := c.Memory.Inventory()
		return told.Answer(q, inv.Residence, inv.Residents), nil
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

// listenerParams are what the listeners are made from.
type listenerParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  Settings
	Log       logrus.FieldLogger
	Local     rpc.Local
	Holder    *config.Holder
	Spreader  *spread.Spreader
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
	p.Admin.AddSection("identity", admin.DumpFunc(func() any { return p.Local.Identity }))
	p.Admin.AddSection("config_version", admin.DumpFunc(func() any { return p.Holder.Version() }))
	p.Admin.AddSection("config_peers", p.Spreader)
	p.Admin.AddSection("gate", p.Gate)
	p.Admin.AddSection("actions", p.Register)
	if p.Memory != nil {
		p.Admin.AddSection("memory", admin.DumpFunc(func() any { return p.Memory.Inventory() }))
	}
	p.Admin.AddCheck("configuration", func() error {
		if p.Holder.Version() == 0 {
			return errors.New("no configuration is in force")
		}
		return nil
	})
	drain := defaultDrain
	if p.Settings.DrainSeconds > 0 {
		drain = time.Duration(p.Settings.DrainSeconds) * time.Second
	}
	daemon.Serve(p.Lifecycle, p.Log, daemon.Listener{Name: "admin", Address: p.Settings.AdminAddress, Handler: p.Admin.Router(), TLS: adminTLS})
	daemon.Serve(p.Lifecycle, p.Log, daemon.Listener{Name: "data", Address: p.Settings.DataAddress, Handler: p.Gate, Drain: drain, TLS: p.Local.TLS})
	return nil
}

// startControl opens the control listener and reports to entries until the end.
func startControl(lc fx.Lifecycle, s Settings, server *rpc.Server, reporter *report.Reporter, spreader *spread.Spreader, mem *memory.Memory) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return server.Start(s.RPCAddress) },
		OnStop:  func(context.Context) error { return server.Stop() },
	})
	daemon.Go(lc, reporter.Run)
	daemon.Go(lc, spreader.Run)
	if mem != nil {
		daemon.Go(lc, mem.Run)
	}
}

// announceDrain runs first at the stop: it tells the entries, and leaves them
// time to hear of it, before the data listener closes.
func announceDrain(lc fx.Lifecycle, reporter *report.Reporter, g *gate.Gate, log logrus.FieldLogger) {
	daemon.TellStop(lc, func(ctx context.Context) {
		g.Drain()
		reporter.SendIfDue(ctx, time.Now())
	})
	daemon.Announce(lc, log)
}
