package daemon

import (
	"context"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/event"
)

// Go runs a duty in its own goroutine from the application's start until its
// stop, which waits for the duty to return.
func Go(lc fx.Lifecycle, duty func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				duty(ctx)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			<-done
			return nil
		},
	})
}

// Announce logs the start and the stop of the process. It is called last, so
// that the start is logged after and the stop before everything else.
func Announce(lc fx.Lifecycle, log logrus.FieldLogger) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			event.Log(log, event.ProcessStarted)
			return nil
		},
		OnStop: func(context.Context) error {
			event.Log(log, event.ProcessStopping)
			return nil
		},
	})
}
