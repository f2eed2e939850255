package direct

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/fx"

	"peridotchute.example/common/daemon"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/settings"
	"peridotchute.example/entry/direct/balance"
)

// startReload reads the settings file again on SIGHUP. The retry budget changes
// at once; addresses and bounds are those of the start, which a process that is
// restarted takes in.
//
// The signal is taken from the wiring of the process to its end, and never given
// back: by default it ends the process, and it may come while requests in
// progress are waited for.
func startReload(lc fx.Lifecycle, file daemon.SettingsFile, b *balance.Balancer, log *decisionlog.Log) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	daemon.Go(lc, func(ctx context.Context) {
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

func reload(file string, b *balance.Balancer, log *decisionlog.Log) {
	s, err := settings.Load[Settings](file)
	if err != nil {
		log.Write(decisionlog.Reloaded{Err: err})
		return
	}
	b.SetBudget(budgetOf(s))
	log.Write(decisionlog.Reloaded{Changed: "retry budget"})
}
