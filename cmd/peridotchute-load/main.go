// Command peridotchute-load measures a deployment that it starts itself. Stand-ins
// replace the platform and the engines.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"peridotchute.example/cmd/peridotchute-load/control"
	"peridotchute.example/cmd/peridotchute-load/faults"
	"peridotchute.example/cmd/peridotchute-load/losses"
	"peridotchute.example/cmd/peridotchute-load/path"
	"peridotchute.example/cmd/peridotchute-load/policies"
	"peridotchute.example/cmd/peridotchute-load/replay"
	"peridotchute.example/cmd/peridotchute-load/rollout"
	"peridotchute.example/cmd/peridotchute-load/survival"
	"peridotchute.example/integration/cluster"
)

func main() {
	os.Exit(run())
}

func run() int {
	defer cluster.RemovePrograms()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "peridotchute-load",
		Short:         "Measure a peridotchute deployment started on 127.0.0.1",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(faults.Command(), losses.Command(), path.Command(), rollout.Command(), control.Command(), survival.Command(), replay.Command(), policies.Command())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
