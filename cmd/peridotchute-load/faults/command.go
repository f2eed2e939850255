// Package faults sends non-idempotent actions through a deployment that
// suffers seeded random faults, and checks that every promise was kept.
package faults

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/spf13/cobra"

	"peridotchute.example/cmd/peridotchute-load/subcommand"
)

// Options of one run.
type Options struct {
	Seed    uint64
	For     time.Duration
	Entries int
	Plain   int
	Workers int
	Quiet   bool
}

// ErrBroken means that a promise was broken.
var ErrBroken = errors.New("a promise was broken")

// Command returns the subcommand.
func Command() *cobra.Command {
	o := &Options{}
	cmd := subcommand.New("faults", "Send non-idempotent actions under random faults and check every promise", nil, o.check)
	f := cmd.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "of the faults and of the callers' choices")
	f.DurationVar(&o.For, "for", time.Minute, "how long faults and traffic last")
	f.IntVar(&o.Entries, "entries", 3, "entry processes")
	f.IntVar(&o.Plain, "services", 3, "backend servers")
	f.IntVar(&o.Workers, "callers", 12, "callers at once")
	f.BoolVar(&o.Quiet, "quiet", false, "do not print each fault")
	return cmd
}

// check runs the faults, prints the tally and fails when a promise was broken.
func (o *Options) check(ctx context.Context, out io.Writer) error {
	t, err := Run(ctx, *o, out)
	if err != nil {
		return err
	}
	t.print(out)
	if t.Broken.Any() {
		return ErrBroken
	}
	return nil
}
