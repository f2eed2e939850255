package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/event"
)

// Go calls run in a goroutine when the application starts. When the application
// stops, it cancels run's context and waits for run to return.
func Go(lc fx.Lifecycle, run func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				run(ctx)
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

// stopNoticeDelay is how long new work is still accepted between the announcement
// of a graceful shutdown to other processes and the closing of the listeners.
const stopNoticeDelay = time.Second

// AnnounceStop calls notify when a graceful shutdown starts, then waits for
// stopNoticeDelay so that other processes can react. Stop hooks run in reverse
// order, so call it after Serve.
func AnnounceStop(lc fx.Lifecycle, notify func(context.Context)) {
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		notify(ctx)
		select {
		case <-time.After(stopNoticeDelay):
		case <-ctx.Done():
		}
		return nil
	}})
}

// LogLifecycle logs the start and the stop of the process. Call it last, so that the
// start is logged after all other start hooks and the stop before all other stop
// hooks.
func LogLifecycle(lc fx.Lifecycle, log logrus.FieldLogger) {
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
