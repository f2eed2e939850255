package direct

import (
	"context"
	"runtime/debug"

	"go.uber.org/fx"

	"peridotchute.example/common/daemon"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/metrics"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/entry/direct/front"
	"peridotchute.example/entry/direct/view"
	"peridotchute.example/fleet"
	"peridotchute.example/platform"
	"peridotchute.example/store"
)

const (
	// memoryShare is the part of the VM's memory that the Go runtime keeps to.
	memoryShare = 0.7

	slackParts = 8 // entries among which the slack of retries is divided

)

// Module wires an entry from its settings.
func Module(s Settings) fx.Option {
	debug.SetMemoryLimit(int64(s.MemoryMB * memoryShare * (1 << 20)))
	return fx.Module("direct",
		fx.Supply(s),
		fx.Provide(metrics.New, newLog, newDirectory, newTable, newControl, newCodec, newWatcher, newExchanger, newBalancer, newFront, newReadiness),
		fx.Decorate(useLog),
		fx.Invoke(startLog, startMetrics, startDuties, startListeners, startReload),
	)
}

func newDirectory(s Settings) fleet.Directory { return platform.NewDirectory(s.Store) }

func newTable(s Settings) store.Table { return platform.NewTable(s.Store) }

func newControl() fleet.Control { return platform.NewControl() }

func newCodec() fleet.Codec { return platform.Codec{} }

func newWatcher(s Settings, d fleet.Directory, log *decisionlog.Log) *view.Watcher {
	return view.New(d, s.Regions, log)
}

func newExchanger(codec fleet.Codec) *exchange.Exchanger { return exchange.New(codec) }

func newBalancer(s Settings) *balance.Balancer {
	return balance.New(balance.Options{
		Zone:    s.Zone,
		Regions: s.Regions,
		Budget:  budgetOf(s),
	})
}

func budgetOf(s Settings) balance.Budget {
	return balance.Budget{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: seconds(s.RetryWindowS), Parts: slackParts}
}

func newFront(codec fleet.Codec, w *view.Watcher, x *exchange.Exchanger, b *balance.Balancer, log *decisionlog.Log) *front.Front {
	return front.New(front.Options{Codec: codec, Views: w, Exchanger: x, Balancer: b, Adapters: noAdapters{}, Log: log})
}

// noAdapters stands until orders are given.
type noAdapters struct{}

func (noAdapters) Ensure(context.Context, string, string, string) (string, error) {
	return "", fault.Newf(fault.KindUnavailable, "ensure", "", "nobody gives orders")
}

func startDuties(lc fx.Lifecycle, w *view.Watcher) {
	daemon.Go(lc, w.RunConfig)
	daemon.Go(lc, w.RunServers)
}
