// Package subcommand creates the cobra commands of the measurements.
package subcommand

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"
)

// New returns a command without arguments that runs a measurement. limit returns
// its time limit and is called after the flags are parsed; nil means no limit.
func New(use, short string, limit func() time.Duration, run func(ctx context.Context, out io.Writer) error) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx := cmd.Context()
			if limit != nil {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, limit())
				defer cancel()
			}
			return run(ctx, cmd.OutOrStdout())
		},
	}
}
