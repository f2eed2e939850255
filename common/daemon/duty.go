package daemon

import (
	"context"
	"time"

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

// stopNotice is how long new work is still answered after the others were told
// of a graceful shutdown and before the listeners close.
const stopNotice = time.Second

// TellStop calls tell at the start of a graceful shutdown and leaves the others
// time to hear of it. Hooks run in reverse, so it is called after Serve.
func TellStop(lc fx.Lifecycle, tell func(context.Context)) {
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		tell(ctx)
		select {
		case <-time.After(stopNotice):
		case <-ctx.Done():
		}
		return nil
	}})
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
