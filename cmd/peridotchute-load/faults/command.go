// Package faults sends non-idempotent actions through a deployment under seeded
// random faults, and checks that each is run at most once and that its outcome is
// reported correctly.
package faults

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/spf13/cobra"

	"peridotchute.example/cmd/peridotchute-load/subcommand"
)

// Options configures one run.
type Options struct {
	Seed    uint64
	For     time.Duration
	Entries int
	Plain   int
	Workers int
	Quiet   bool
}

// ErrViolation is returned if a guarantee for non-idempotent actions was violated.
var ErrViolation = errors.New("a guarantee for non-idempotent actions was violated")

// Command returns the subcommand.
func Command() *cobra.Command {
	o := &Options{}
	cmd := subcommand.New("faults", "Send non-idempotent actions under random faults and check the guarantees for them", nil, o.check)
	f := cmd.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the faults and of the callers' choices")
	f.DurationVar(&o.For, "for", time.Minute, "duration of faults and traffic")
	f.IntVar(&o.Entries, "entries", 3, "entry processes")
	f.IntVar(&o.Plain, "services", 3, "backend servers")
	f.IntVar(&o.Workers, "callers", 12, "concurrent callers")
	f.BoolVar(&o.Quiet, "quiet", false, "do not print each fault")
	return cmd
}

// check performs a run and prints the tally. It returns ErrViolation if a guarantee
// was violated.
func (o *Options) check(ctx context.Context, out io.Writer) error {
	t, err := Run(ctx, *o, out)
	if err != nil {
		return err
	}
	t.print(out)
	if t.Violations.Any() {
		return ErrViolation
	}
	return nil
}
