package direct

import (
	"context"
	stdlog "log"
	"net/http"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/admission/quarantine"
	"peridotchute.example/common/admin"
	"peridotchute.example/common/daemon"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/event"
	"peridotchute.example/common/headlimit"
	"peridotchute.example/common/metrics"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/front"
	"peridotchute.example/entry/direct/membudget"
	"peridotchute.example/entry/direct/orders"
	"peridotchute.example/entry/direct/view"
	"peridotchute.example/fleet"
)

// Server states in the metrics.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateLeaving  = "leaving" // draining by its own word, which its registration does not repeat
)

// newLog returns the decision log, which writes to standard output and also counts
// each record in the metrics.
func newLog(s Settings, m *metrics.Metrics) *decisionlog.Log {
	return decisionlog.New(decisionlog.Options{Node: s.Name, Out: os.Stdout, Observe: m.Observe})
}

// startLog starts the decision log and redirects the standard logger to it. It is
// invoked first, so that the log is stopped last.
func startLog(lc fx.Lifecycle, log *decisionlog.Log, logger logrus.FieldLogger, f *front.Front) {
	daemon.Go(lc, log.Run)
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		log.Write(decisionlog.Stopped{InProgress: int(f.Active())})
		return nil
	}})
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{logger})
}

// logLifecycle logs that the process has started and that it is stopping. It is
// invoked last, so that its start hook runs after, and its stop hook before, all
// others.
func logLifecycle(lc fx.Lifecycle, s Settings, f *front.Front, log *decisionlog.Log) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			log.Write(decisionlog.Started{Role: "entry", Address: s.CallerAddress, Zone: s.Zone})
			return nil
		},
		OnStop: func(context.Context) error {
			log.Write(decisionlog.Stopping{InProgress: int(f.Active())})
			return nil
		},
	})
}

// libraryLog receives the messages that net/http writes to the standard logger, for
// example when a server sends more than one response.
type libraryLog struct{ logger logrus.FieldLogger }

// maxLibraryText is the length in bytes at which a library message is truncated.
const maxLibraryText = 120

func (l libraryLog) Write(p []byte) (int, error) {
	event.Log(l.logger, event.LibraryMessage, event.Reason(string(p[:min(len(p), maxLibraryText)])))
	return len(p), nil
}

// decorateLogger makes the shared packages log through the decision log.
func decorateLogger(log *decisionlog.Log) logrus.FieldLogger { return log.Logger() }

func startMetrics(lc fx.Lifecycle, s Settings, m *metrics.Metrics, log *decisionlog.Log, logger logrus.FieldLogger,
	w *view.Watcher, b *balance.Balancer, f *front.Front, c *coordination, memory *membudget.Budget, heads *headlimit.Budget) {
	m.RegisterSources(metrics.Sources{
		Log:                 log.Counts,
		Waiting:             b.Waiting,
		InProgress:          func() int { return int(f.Active()) },
		BudgetLeft:          b.BudgetsLeft,
		Servers:             func() map[metrics.ServerState]int { return serverStates(w.Current()) },
		ConfigVersion:       func() int64 { return configVersion(w.Current()) },
		ConfigAge:           w.ConfigAge,
		ConfigDoubt:         w.ConfigDoubt,
		LeaseHeld:           c.holdsLease,
		QuarantinedParts:    func() int { return c.guard.Quarantined(quarantine.PromptPart) },
		QuarantinedRequests: func() int { return c.guard.Quarantined(quarantine.WholeRequest) },
		Limited:             b.LimitedServers,
		ServersAge:          func() time.Duration { return serversAge(w.Current()) },
		ServerCalls:         func() map[string]int64 { return serverCalls(c.manager.Counts()) },
	})
	server := admin.NewServer()
	server.Router().Handle("/metrics", m.Handler()).Methods(http.MethodGet)
	addSections(server, w, b, c)
	server.AddSection("memory", admin.DumpFunc(func() any { return memory.State() }))
	server.AddSection("heads", admin.DumpFunc(func() any { return heads.State() }))
	daemon.Serve(lc, logger, daemon.Listener{Name: "metrics", Address: s.MetricsAddress, Handler: server.Router()})
}

// undeclaredService stands for all services in registrations that the configuration does not
// have. Anybody may register under a new name, and each label value takes memory.
const undeclaredService = "(undeclared)"

func serverStates(v *fleet.View) map[metrics.ServerState]int {
	states := map[metrics.ServerState]int{}
	for i := range v.Servers {
		s := &v.Servers[i]
		service := s.Service
		if v.Config == nil || v.Config.Services[service] == nil {
			service = undeclaredService
		}
		states[metrics.ServerState{Service: service, State: stateOf(s)}]++
	}
	return states
}

func stateOf(s *fleet.Server) string {
	switch {
	case s.Leaving:
		return stateLeaving
	case s.Draining:
		return stateDraining
	}
	return stateReady
}

// serverCalls returns the numbers of calls to model servers by metric label.
func serverCalls(c orders.Counts) map[string]int64 {
	return map[string]int64{
		"order accepted":   c.Accepted,
		"order declined":   c.Declined,
		"order unanswered": c.Unanswered,
		"report":           c.Reports,
		"report failed":    c.FailedReports,
	}
}

func configVersion(v *fleet.View) int64 {
	if v.Config == nil {
		return 0
	}
	return v.Config.Version
}

// serversAge returns the age of the registrations; zero before the first read.
func serversAge(v *fleet.View) time.Duration {
	if v.ServersRead.IsZero() {
		return 0
	}
	return time.Since(v.ServersRead)
}
