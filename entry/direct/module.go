package direct

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/daemon"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
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

	// stopNotice is how long the balancer may go on sending new connections to
	// an entry that is not ready: two looks, one a second, and a late one.
	stopNotice = 2600 * time.Millisecond

	// stopMargin is left between the cut of the last answers and the kill.
	stopMargin = 700 * time.Millisecond

	stopLook = 20 * time.Millisecond // between two looks at the requests in progress

	slackParts = 8 // entries among which the slack of retries is divided

	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 64 << 10 // the configured limit is checked apart
)

// Module wires an entry from its settings.
func Module(s Settings) fx.Option {
	debug.SetMemoryLimit(int64(s.MemoryMB * memoryShare * (1 << 20)))
	return fx.Module("direct",
		fx.Supply(s),
		fx.Provide(newDirectory, newTable, newControl, newCodec, newWatcher, newExchanger, newBalancer, newFront, newReadiness),
		fx.Invoke(startDuties, startListeners),
	)
}

func newDirectory(s Settings) fleet.Directory { return platform.NewDirectory(s.Store) }

func newTable(s Settings) store.Table { return platform.NewTable(s.Store) }

func newControl() fleet.Control { return platform.NewControl() }

func newCodec() fleet.Codec { return platform.Codec{} }

func newWatcher(s Settings, d fleet.Directory, log logrus.FieldLogger) *view.Watcher {
	return view.New(d, s.Regions, log)
}

func newExchanger(codec fleet.Codec) *exchange.Exchanger { return exchange.New(codec) }

func newBalancer(s Settings) *balance.Balancer {
	return balance.New(balance.Options{
		Zone:    s.Zone,
		Regions: s.Regions,
		Budget:  balance.Budget{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: seconds(s.RetryWindowS), Parts: slackParts},
	})
}

func newFront(codec fleet.Codec, w *view.Watcher, x *exchange.Exchanger, b *balance.Balancer, log logrus.FieldLogger) *front.Front {
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

// readiness answers the platform's question whether the entry takes new
// connections.
type readiness struct {
	views    *view.Watcher
	stopping atomic.Bool
}

func newReadiness(w *view.Watcher) *readiness { return &readiness{views: w} }

// ServeHTTP answers 200 once the configuration and the servers are known, until
// the process is told to stop.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	v := r.views.Current()
	if r.stopping.Load() || v.Config == nil || v.ServersRead.IsZero() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func startListeners(lc fx.Lifecycle, s Settings, f *front.Front, ready *readiness, log logrus.FieldLogger) {
	mux := http.NewServeMux()
	mux.Handle("GET "+s.ReadyPath, ready)
	daemon.Serve(lc, log, daemon.Listener{Name: "ready", Address: s.ReadyAddress, Handler: mux})
	server := &http.Server{
		Handler:           f,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			ln, err := net.Listen("tcp", s.CallerAddress)
			if err != nil {
				return fault.New(fault.KindUnavailable, "listen.caller", s.CallerAddress, err)
			}
			go func() {
				if err := server.Serve(ln); err != nil && err != http.ErrServerClosed {
					event.Log(log, event.ListenerFailed, event.Subject("caller"), event.Err(err))
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			ready.stopping.Store(true)
			f.Stop()
			drain(ctx, f, seconds(s.GraceS)-stopMargin)
			return server.Close()
		},
	})
	daemon.Announce(lc, log)
}

// drain waits until no new connections arrive and the requests in progress have
// ended, at most for limit.
func drain(ctx context.Context, f *front.Front, limit time.Duration) {
	begun := time.Now()
	for time.Since(begun) < limit {
		if time.Since(begun) >= stopNotice && f.Active() == 0 {
			return
		}
		if clock.Sleep(ctx, stopLook) != nil {
			return
		}
	}
}
