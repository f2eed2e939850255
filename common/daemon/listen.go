package daemon

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/headlimit"
)

const (
	readHeaderTimeout = 10 * time.Second

	// maxHeaderBytes is the longest head of a request, and maxUnfinished the memory that all
	// unfinished heads of a listener may take together, in bytes. Requests of operators and of the platform have a
	// few hundred bytes; longer ones are callers', on listeners of their own.
	maxHeaderBytes = 64 << 10
	maxUnfinished  = 2 << 20

	// abortTimeout bounds the wait for the answers of requests that were still in progress when
	// the time for a graceful shutdown was over.
	abortTimeout = 500 * time.Millisecond
)

// ErrStopping is the cause with which the contexts of requests are canceled that are still in
// progress when the time for a graceful shutdown is over. Their handlers have half a second to
// answer, before their connections are closed.
var ErrStopping = errors.New("the process stops")

// UntilStopping returns a context that outlasts ctx, the context of a request, unless that is
// canceled with ErrStopping: for work that goes on after its caller has disconnected. The caller
// must call cancel.
func UntilStopping(ctx context.Context) (outlasting context.Context, cancel context.CancelFunc) {
	outlasting, cancelCause := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if Stopping(ctx) {
			cancelCause(ErrStopping)
		}
	})
	return outlasting, func() {
		stop()
		cancelCause(nil)
	}
}

// Stopping reports whether ctx was canceled with ErrStopping.
func Stopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// Listener is one HTTP listener of a process.
type Listener struct {
	Name    string // shown in errors and events
	Address string // IP:port
	Handler http.Handler
	TLS     *tls.Config   // nil for plain HTTP
	Drain   time.Duration // longest wait for requests in progress at shutdown; at least a second

	MaxHeaderBytes int // longest head of a request; 0 means 64 KiB
}

// Serve opens the listener when the application starts and shuts it down
// gracefully when the application stops.
func Serve(lc fx.Lifecycle, log logrus.FieldLogger, l Listener) {
	requests, abort := context.WithCancelCause(context.Background())
	heads := headlimit.New(maxUnfinished)
	server := &http.Server{
		Handler:           heads.Handler(l.Handler),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    cmp.Or(l.MaxHeaderBytes, maxHeaderBytes),
		ConnContext:       headlimit.ConnContext,
		ConnState:         headlimit.ConnState,
		TLSConfig:         l.TLS,
		BaseContext:       func(net.Listener) context.Context { return requests },
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			ln, err := net.Listen("tcp", l.Address)
			if err != nil {
				return fault.New(fault.KindUnavailable, "listen."+l.Name, l.Address, err)
			}
			go serve(server, heads.Listener(ln), log, l)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if shutdown(ctx, server, max(l.Drain, time.Second)) {
				return nil
			}
			abort(ErrStopping)
			if shutdown(context.Background(), server, abortTimeout) {
				return nil
			}
			return server.Close()
		},
	})
}

// shutdown closes the listener and waits for requests in progress. It reports whether they ended
// in time.
func shutdown(ctx context.Context, server *http.Server, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return server.Shutdown(ctx) == nil
}

func serve(server *http.Server, ln net.Listener, log logrus.FieldLogger, l Listener) {
	var err error
	if l.TLS != nil {
		err = server.ServeTLS(ln, "", "") // the certificate comes from TLSConfig
	} else {
		err = server.Serve(ln)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		event.Log(log, event.ListenerFailed, event.Subject(l.Name), event.Err(err))
	}
}
