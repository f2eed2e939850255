package entry

import (
	"context"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/admin"
	"peridotchute.example/common/fault"
	"peridotchute.example/config"
	"peridotchute.example/config/publish"
	"peridotchute.example/config/spread"
	"peridotchute.example/entry/operating/adminapi"
	"peridotchute.example/entry/operating/roster"
	"peridotchute.example/entry/serving/action"
	"peridotchute.example/entry/serving/pool"
	"peridotchute.example/rpc"
	"peridotchute.example/store"
)

// operatorModule wires the administration API.
func operatorModule() fx.Option {
	return fx.Options(fx.Provide(newRoster), fx.Invoke(serveOperators))
}

func newRoster(local rpc.Local, handlers *rpc.Handlers, p *pool.Pool, s *spread.Spreader, vms store.VMs) *roster.Roster {
	return roster.New(roster.Options{Local: local, Handlers: handlers, Pool: p, Spreader: s, VMs: vms})
}

// operatorParams are the dependencies of the administration API.
type operatorParams struct {
	fx.In
	Settings Settings
	Store    *publish.Store
	Holder   *config.Holder
	Table    store.Table
	Objects  store.Objects
	VMs      store.VMs
	Roster   *roster.Roster
	Actions  *action.Runner
	Pool     *pool.Pool
	Admin    *admin.Server
	Log      logrus.FieldLogger
}

// serveOperators registers the administration API on the administration
// listener. Without an operator key file there is no API.
func serveOperators(p operatorParams) error {
	if p.Settings.OperatorKeyFile == "" {
		return nil
	}
	keys, err := adminapi.LoadKeys(p.Settings.OperatorKeyFile, p.Log)
	if err != nil {
		return err
	}
	adminapi.New(adminapi.Options{
		Entry:   p.Settings.Name,
		Keys:    keys,
		Store:   p.Store,
		Holder:  p.Holder,
		Table:   p.Table,
		Objects: p.Objects,
		VMs:     p.VMs,
		Members: p.Roster.Members,
		Actions: p.Actions,
		Drain:   func(ctx context.Context, server string) (int, error) { return drainServer(ctx, p.Pool, server) },
		Dump:    p.Admin.State,
		Log:     p.Log,
	}).Register(p.Admin.Router())
	return nil
}

// drainServer tells the side process of the named server to reject new requests,
// and returns how many requests it has in progress.
func drainServer(ctx context.Context, p *pool.Pool, name string) (int, error) {
	s, ok := p.Server(name)
	if !ok {
		return 0, fault.Newf(fault.KindNotFound, rpc.MethodDrain, name, "no such backend server")
	}
	peer := s.Peer()
	if peer == nil {
		return 0, fault.Newf(fault.KindUnavailable, rpc.MethodDrain, name, "its side process is not connected")
	}
	reply, err := rpc.Call[rpc.Drain, rpc.DrainReply](ctx, peer, rpc.MethodDrain, rpc.Drain{})
	return reply.InFlight, err
}
