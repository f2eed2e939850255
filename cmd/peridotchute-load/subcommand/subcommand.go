// Package subcommand has what the measurements' commands share.
package subcommand

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"
)

// New returns a command without arguments that runs a measurement. limit, which
// is asked once the flags are known, bounds its time; nil sets no bound.
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
