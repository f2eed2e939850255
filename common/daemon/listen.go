package daemon

import (
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
)

const readHeaderTimeout = 10 * time.Second

// Listener is one HTTP listener of a process.
type Listener struct {
	Name    string // shown in errors and events
	Address string // IP:port
	Handler http.Handler
	TLS     *tls.Config   // nil for plain HTTP
	Drain   time.Duration // longest wait for requests in progress at shutdown; at least a second
}

// Serve opens the listener when the application starts and shuts it down
// gracefully when the application stops.
func Serve(lc fx.Lifecycle, log logrus.FieldLogger, l Listener) {
	server := &http.Server{Handler: l.Handler, ReadHeaderTimeout: readHeaderTimeout, TLSConfig: l.TLS}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			ln, err := net.Listen("tcp", l.Address)
			if err != nil {
				return fault.New(fault.KindUnavailable, "listen."+l.Name, l.Address, err)
			}
			go serve(server, ln, log, l)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, max(l.Drain, time.Second))
			defer cancel()
			if err := server.Shutdown(ctx); err != nil {
				return server.Close()
			}
			return nil
		},
	})
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
