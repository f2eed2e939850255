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

// jobModule wires asynchronous jobs.
func jobModule() fx.Option {
	return fx.Options(fx.Provide(newJobs), fx.Invoke(startJobs))
}

// jobParams are the dependencies of the job server.
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
		Backend:     admittedBackend{p.Admitter, p.Dispatcher},
		Actions:     admittedBackend{p.Admitter, p.Actions},
		ShardFilter: p.Reconciler.ShardFilter,
		Log:         p.Log,
	})
}

func startJobs(lc fx.Lifecycle, j *job.Server) { daemon.Go(lc, j.Run) }

// admittedBackend is a job.Backend that applies admission control first.
type admittedBackend struct {
	admitter *admit.Admitter
	next     job.Backend
}

// Serve forwards the request to the next backend once it is admitted. It returns
// a failure if the request is rejected.
func (a admittedBackend) Serve(ctx context.Context, w http.ResponseWriter, req dispatch.Request) *wire.Failure {
	release, f := a.admitter.Admit(ctx, req)
	if f != nil {
		return f
	}
	defer release()
	return a.next.Serve(ctx, w, req)
}
