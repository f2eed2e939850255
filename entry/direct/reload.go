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

// startReload reloads the settings file on SIGHUP. Only the retry budget changes at
// once; addresses and limits take effect at a restart.
//
// The handler is installed when the process is wired and never removed: the default
// action of the signal terminates the process, and it may arrive while requests in
// progress are being drained.
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
