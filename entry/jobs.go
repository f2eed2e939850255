package entry

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/daemon"
	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/entry/serving/action"
	"peridotchute.example/entry/serving/admit"
	"peridotchute.example/entry/serving/answer"
	"peridotchute.example/entry/serving/dispatch"
	"peridotchute.example/entry/serving/job"
	"peridotchute.example/store"
)

// jobModule wires work that may be answered later.
func jobModule() fx.Option {
	return fx.Options(fx.Provide(newJobs), fx.Invoke(startJobs))
}

// jobParams are what the jobs' server is made from.
type jobParams struct {
	fx.In
	Settings   Settings
	Table      store.Table
	Answers    *answer.Store
	Holder     *config.Holder
	Admitter   *admit.Admitter
	Dispatcher *dispatch.Dispatcher
	Actions    *action.Server
	Reconciler *action.Reconciler
	Log        logrus.FieldLogger
}

func newJobs(p jobParams) *job.Server {
	return job.New(job.Options{
		Entry:       p.Settings.Name,
		Table:       p.Table,
		Answers:     p.Answers,
		Holder:      p.Holder,
		Backend:     admitted{p.Admitter, p.Dispatcher},
		Actions:     admitted{p.Admitter, p.Actions},
		ShardFilter: p.Reconciler.ShardFilter,
		Log:         p.Log,
	})
}

func startJobs(lc fx.Lifecycle, j *job.Server) { daemon.Go(lc, j.Run) }

// admitted is a backend behind the entry's admission.
type admitted struct {
	admitter *admit.Admitter
	next     job.Backend
}

// Serve lets the request in and hands it on.
func (a admitted) Serve(ctx context.Context, w http.ResponseWriter, req dispatch.Request) *wire.Failure {
	release, f := a.admitter.Admit(ctx, req)
	if f != nil {
		return f
	}
	defer release()
	return a.next.Serve(ctx, w, req)
}
