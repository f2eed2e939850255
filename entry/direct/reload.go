package direct

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/daemon"
	"peridotchute.example/common/event"
	"peridotchute.example/common/settings"
	"peridotchute.example/entry/direct/balance"
)

// startReload reads the settings file again on SIGHUP. The retry budget changes
// at once; addresses and bounds are those of the start, which a process that is
// restarted takes in.
func startReload(lc fx.Lifecycle, file daemon.SettingsFile, b *balance.Balancer, log logrus.FieldLogger) {
	signals := make(chan os.Signal, 1)
	daemon.Go(lc, func(ctx context.Context) {
		signal.Notify(signals, syscall.SIGHUP)
		defer signal.Stop(signals)
		for {
			select {
			case <-signals:
				reload(string(file), b, log)
			case <-ctx.Done():
				return
			}
		}
	})
}

func reload(file string, b *balance.Balancer, log logrus.FieldLogger) {
	s, err := settings.Load[Settings](file)
	if err != nil {
		event.Log(log, event.SettingsRejected, event.Subject(file), event.Err(err))
		return
	}
	b.SetBudget(budgetOf(s))
	event.Log(log, event.SettingsReloaded, event.Subject(file))
}
