package direct

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/daemon"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/headlimit"
	"peridotchute.example/entry/direct/front"
	"peridotchute.example/entry/direct/view"
	"peridotchute.example/fleet"
)

const (
	// minStopDuration is the least duration of a stop. It exceeds
	// front.AcceptAfterStop, after which no request is started: a request that
	// crosses the close of its idle connection has then not been forwarded to a
	// server.
	minStopDuration = front.AcceptAfterStop + 100*time.Millisecond

	// stopMargin is the time reserved between closing the last connections and SIGKILL.
	stopMargin = 700 * time.Millisecond

	stopPollInterval = 20 * time.Millisecond // between checks of the requests in progress

	// readHeaderTimeout and idleTimeout apply until a configuration is active.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 2 << 20 // the configured limit is enforced separately
)

// maxWaitForOthers is the longest time after its start for which an entry is not ready
// because it does not know the other entries, or which versions of servers are in use.
const maxWaitForOthers = time.Second

// readiness answers the platform's readiness checks.
type readiness struct {
	views    *view.Watcher
	entries  func() (n, rank int) // n is 0 while the number of entries is unknown
	settled  func() bool          // whether all registered servers may get streams
	started  time.Time
	stopping atomic.Bool
}

func newReadiness(w *view.Watcher, c *coordination) *readiness {
	return &readiness{views: w, entries: c.entries, settled: c.origins.Settled, started: time.Now()}
}

// ServeHTTP responds with 200 once the configuration, the servers, their versions and the
// other entries are known and until the process begins to stop, and otherwise with 503.
// Entries and versions that remain unknown are not waited for.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	v := r.views.Current()
	if r.stopping.Load() || v.Config == nil || v.ServersRead.IsZero() || !r.knowsOthers() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (r *readiness) knowsOthers() bool {
	n, _ := r.entries()
	return n > 0 && r.settled() || time.Since(r.started) >= maxWaitForOthers
}

// limits returns the client limits of the active configuration, or none before a
// configuration is known.
func (r *readiness) limits() fleet.Limits {
	if v := r.views.Current(); v.Config != nil {
		return v.Config.Limits
	}
	return fleet.Limits{}
}

func startListeners(lc fx.Lifecycle, s Settings, f *front.Front, ready *readiness, c *coordination, heads *headlimit.Budget, decisions *decisionlog.Log, log logrus.FieldLogger) {
	mux := http.NewServeMux()
	mux.Handle("GET "+s.ReadyPath, ready)
	daemon.Serve(lc, log, daemon.Listener{Name: "ready", Address: s.ReadyAddress, Handler: mux})
	server := &http.Server{
		Handler:           f,
		ConnContext:       front.ConnContext,
		ConnState:         front.ConnState,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return listen(server, s.CallerAddress, ready.limits, heads, log) },
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, seconds(s.GraceS)-stopMargin)
			defer cancel()
			ready.stopping.Store(true)
			closesAt, _ := ctx.Deadline()
			f.Stop(closesAt)
			drain(ctx, f, server)
			logUnfinished(decisions, f)
			var released sync.WaitGroup
			released.Go(c.release)
			defer released.Wait()
			f.Abort()
			awaitHandlers(f)
			return closeConnections(ctx, server)
		},
	})
}

func listen(server *http.Server, address string, limits func() fleet.Limits, heads *headlimit.Budget, log logrus.FieldLogger) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fault.New(fault.KindUnavailable, "listen.caller", address, err)
	}
	go func() {
		if err := server.Serve(front.Listener{Listener: ln, Limits: limits, Heads: heads}); !errors.Is(err, http.ErrServerClosed) {
			event.Log(log, event.ListenerFailed, event.Subject("caller"), event.Err(err))
		}
	}()
	return nil
}

// maxLoggedCuts is how many of the requests that a stop ends are logged by ID; the oldest are
// chosen.
const maxLoggedCuts = 8

// logUnfinished logs the requests still in progress at the end of a stop.
func logUnfinished(log *decisionlog.Log, f *front.Front) {
	oldest := f.Oldest(maxLoggedCuts)
	if len(oldest) == 0 {
		return
	}
	cut := decisionlog.ShutdownTimedOut{InProgress: int(f.Active()), Oldest: map[string]time.Duration{}}
	for _, r := range oldest {
		cut.Oldest[r.ID] = r.Age
	}
	log.Write(cut)
}

const (
	// handlersTimeout bounds the wait for the answers of aborted requests.
	handlersTimeout = 300 * time.Millisecond

	// shutdownTimeout bounds the wait for connections whose requests have ended, once the time
	// for the stop is over.
	shutdownTimeout = 100 * time.Millisecond
)

// awaitHandlers waits until the handlers of aborted requests have ended, and with them their
// answers and log lines.
func awaitHandlers(f *front.Front) {
	ctx, cancel := context.WithTimeout(context.Background(), handlersTimeout)
	defer cancel()
	for f.Active() > 0 && clock.Sleep(ctx, stopPollInterval) == nil {
	}
}

// closeConnections closes the listener and all connections. Until ctx ends it waits for those
// whose requests have not ended.
func closeConnections(ctx context.Context, server *http.Server) error {
	if ctx.Err() != nil {
		last, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		ctx = last
	}
	if err := server.Shutdown(ctx); err == nil {
		return nil
	}
	return server.Close()
}

// drain waits until no new connections arrive and no request is in progress, or until ctx
// ends. Idle connections are closed as soon as no request is accepted any more, so that the next
// requests of their clients go to other entries.
func drain(ctx context.Context, f *front.Front, server *http.Server) {
	if clock.Sleep(ctx, minStopDuration) != nil {
		return
	}
	server.SetKeepAlivesEnabled(false)
	for f.Active() > 0 && clock.Sleep(ctx, stopPollInterval) == nil {
	}
}
