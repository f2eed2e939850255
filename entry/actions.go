package entry

import (
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/daemon"
	"peridotchute.example/config"
	"peridotchute.example/entry/serving/action"
	"peridotchute.example/entry/serving/answer"
	"peridotchute.example/entry/serving/dispatch"
	"peridotchute.example/entry/serving/forward"
	"peridotchute.example/entry/serving/pool"
	"peridotchute.example/store"
)

// actionModule wires non-idempotent actions.
func actionModule() fx.Option {
	return fx.Options(
		fx.Provide(answer.NewStore, action.NewPeers, newActionRunner, newActions, newReconciler),
		fx.Invoke(startReconciler),
	)
}

func newActionRunner(table store.Table, answers *answer.Store, peers *action.Peers, log logrus.FieldLogger) *action.Runner {
	return action.NewRunner(table, answers, peers, log)
}

func newActions(s Settings, runner *action.Runner, p *pool.Pool, f *forward.Forwarder, d *dispatch.Dispatcher, h *config.Holder) *action.Server {
	return action.NewServer(action.Options{Entry: s.Name, Runner: runner, Pool: p, Forwarder: f, Dispatcher: d, Holder: h})
}

func newReconciler(s Settings, runner *action.Runner, vms store.VMs, log logrus.FieldLogger) *action.Reconciler {
	return action.NewReconciler(runner, vms, s.Name, log)
}

func startReconciler(lc fx.Lifecycle, r *action.Reconciler) { daemon.Go(lc, r.Run) }
