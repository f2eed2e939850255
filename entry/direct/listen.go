package direct

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/daemon"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/front"
	"peridotchute.example/entry/direct/view"
)

const (
	// stopNotice is how long a stop lasts at least. It is longer than requests are
	// still begun, so that none that crosses the close of its idle connection has
	// been passed on to a server.
	stopNotice = front.LastStart + 100*time.Millisecond

	// stopMargin is left between the cut of the last answers and the kill.
	stopMargin = 700 * time.Millisecond

	stopLook = 20 * time.Millisecond // between two looks at the requests in progress

	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 2 << 20 // the configured limit is checked apart
)

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

func startListeners(lc fx.Lifecycle, s Settings, f *front.Front, ready *readiness, c *coordination, log logrus.FieldLogger) {
	mux := http.NewServeMux()
	mux.Handle("GET "+s.ReadyPath, ready)
	daemon.Serve(lc, log, daemon.Listener{Name: "ready", Address: s.ReadyAddress, Handler: mux})
	server := &http.Server{
		Handler:           f,
		ConnContext:       front.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return listen(server, s.CallerAddress, log) },
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, seconds(s.GraceS)-stopMargin)
			defer cancel()
			ready.stopping.Store(true)
			f.Stop()
			drain(ctx, f)
			c.release()
			if err := server.Shutdown(ctx); err != nil {
				return server.Close()
			}
			return nil
		},
	})
}

func listen(server *http.Server, address string, log logrus.FieldLogger) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fault.New(fault.KindUnavailable, "listen.caller", address, err)
	}
	go func() {
		if err := server.Serve(front.Listener{Listener: ln}); !errors.Is(err, http.ErrServerClosed) {
			event.Log(log, event.ListenerFailed, event.Subject("caller"), event.Err(err))
		}
	}()
	return nil
}

// drain waits until no new connections arrive and the requests in progress have
// ended, or until ctx ends.
func drain(ctx context.Context, f *front.Front) {
	begun := time.Now()
	for time.Since(begun) < stopNotice || f.Active() > 0 {
		if clock.Sleep(ctx, stopLook) != nil {
			return
		}
	}
}
