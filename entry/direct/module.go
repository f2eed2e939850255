package direct

import (
	"context"
	"math"
	"runtime"
	"runtime/debug"

	"go.uber.org/fx"

	"peridotchute.example/common/daemon"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/headlimit"
	"peridotchute.example/common/metrics"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/crashguard"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/entry/direct/front"
	"peridotchute.example/entry/direct/membudget"
	"peridotchute.example/entry/direct/origins"
	"peridotchute.example/entry/direct/quotas"
	"peridotchute.example/entry/direct/view"
	"peridotchute.example/fleet"
	"peridotchute.example/platform"
	"peridotchute.example/store"
)

const (
	// memoryLimitShare is the Go runtime's memory limit as a fraction of the VM's memory.
	memoryLimitShare = 0.7
)

// Module wires an entry from its settings.
func Module(s Settings) fx.Option {
	debug.SetMemoryLimit(int64(s.MemoryMB * memoryLimitShare * (1 << 20)))
	runtime.GOMAXPROCS(max(int(math.Ceil(s.Cores)), 1))
	return fx.Module("direct",
		fx.Supply(s),
		fx.Provide(metrics.New, newLog, newDirectory, newTable, newControl, newCodec, newWatcher, newExchanger, newCoordination, newBalancer, newOrigins, newGuard, newQuotas, newFront, newReadiness, newMemory, newHeads),
		fx.Decorate(decorateLogger),
		fx.Invoke(startLog, startMetrics, startLoops, startListeners, startReload, logLifecycle),
	)
}

func newDirectory(s Settings) fleet.Directory {
	return platform.NewDirectory(s.Store, s.CallerAddress, s.ReadyAddress, s.MetricsAddress, s.RPCAddress)
}

func newTable(s Settings) store.Partitioned { return platform.NewTable(s.Store) }

func newControl(w *view.Watcher) fleet.Control {
	return platform.NewControl(func(s fleet.Incarnation) { w.ServerLeaves(s, "a report or order") })
}

func newCodec() fleet.Codec { return platform.Codec{} }

func newWatcher(s Settings, d fleet.Directory, log *decisionlog.Log) *view.Watcher {
	w := view.New(d, s.Regions, log)
	w.SetRegion(s.Region)
	return w
}

func newExchanger(codec fleet.Codec) *exchange.Exchanger { return exchange.New(codec) }

func newBalancer(c *coordination) *balance.Balancer { return c.balancer }

func newOrigins(c *coordination) *origins.Registry { return c.origins }

func newGuard(c *coordination) *crashguard.Guard { return c.guard }

func budgetOf(s Settings) balance.Budget {
	return balance.Budget{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: seconds(s.RetryWindowS)}
}

func newQuotas(c *coordination) *quotas.Keeper { return c.quotas }

func newFront(codec fleet.Codec, w *view.Watcher, x *exchange.Exchanger, b *balance.Balancer, o *origins.Registry, g *crashguard.Guard, q *quotas.Keeper, log *decisionlog.Log, m *membudget.Budget) *front.Front {
	return front.New(front.Options{Codec: codec, Views: w, Exchanger: x, Balancer: b, Origins: o, Guard: g, Quotas: q, Log: log, Memory: m})
}

func newMemory(s Settings) *membudget.Budget { return membudget.New(int64(s.MemoryMB * (1 << 20))) }

// headsShare is the part of the VM's memory that callers' unfinished heads may take together. The
// garbage of those that were closed comes on top.
const (
	headsShare    = 1.0 / 16
	minHeadsBytes = 4 << 20
)

func newHeads(s Settings) *headlimit.Budget {
	return headlimit.New(max(int64(s.MemoryMB*(1<<20)*headsShare), minHeadsBytes))
}

func startLoops(lc fx.Lifecycle, w *view.Watcher, b *balance.Balancer, c *coordination) {
	w.OnChange(c.origins.Update) // first, so that the balancer knows which versions get no streams yet
	w.OnChange(b.Update)
	w.OnChange(c.quotas.Update)
	w.StaggerBy(c.rank)
	daemon.Go(lc, b.Run)
	daemon.Go(lc, w.RunConfig)
	daemon.Go(lc, func(ctx context.Context) { w.RunServers(ctx, c.nextRead) })
	c.start(lc)
}
