// Package path measures what the path through entry and side process adds to
// an answer of the engine, against the same requests sent to the engine directly.
package path

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"

	"peridotchute.example/cmd/peridotchute-load/subcommand"
)

// Options of one measurement.
type Options struct {
	Repeats    int
	Sequential int           // requests, one after the other, for the time to the first byte
	Saturated  time.Duration // of each run with many callers
	Paced      time.Duration // of each run with streams at the engines' pace
	Callers    int           // at saturation
	Streams    int           // in parallel in the paced run
	Engines    int           // in the paced run
	Procs      int           // GOMAXPROCS of each daemon
	Programs   string        // directory of built daemons; "" builds them
	Plots      string        // directory of the plots
	Profiles   string        // directory of processor profiles; "" takes none
}

// Command returns the subcommand.
func Command() *cobra.Command {
	o := Options{}
	run := func(ctx context.Context, out io.Writer) error { return Run(ctx, o, out) }
	cmd := subcommand.New("path", "Measure the path's own cost against the engine called directly", func() time.Duration { return o.limit() }, run)
	f := cmd.Flags()
	f.IntVar(&o.Repeats, "repeats", 5, "rounds")
	f.IntVar(&o.Sequential, "sequential", 1000, "requests in sequence a round, each way")
	f.DurationVar(&o.Saturated, "saturated", 3*time.Second, "time at saturation a round, each way")
	f.DurationVar(&o.Paced, "paced", 4*time.Second, "time with paced streams a round, each way")
	f.IntVar(&o.Callers, "callers", 64, "callers at saturation")
	f.IntVar(&o.Streams, "streams", 64, "streams in parallel in the paced run")
	f.IntVar(&o.Engines, "engines", 4, "engines in the paced run")
	f.IntVar(&o.Procs, "procs", 2, "GOMAXPROCS of each daemon")
	f.StringVar(&o.Programs, "programs", "", "directory of built daemons, to compare revisions")
	f.StringVar(&o.Plots, "plots", "docs/plots", "directory of the plots")
	f.StringVar(&o.Profiles, "profiles", "", "directory of processor profiles")
	return cmd
}

// limit bounds the whole run.
func (o Options) limit() time.Duration {
	const setUp = 3 * time.Minute
	round := 2*o.Saturated + 4*o.Paced + time.Minute
	return setUp + time.Duration(o.Repeats)*round
}
