// Package path measures the overhead of the path through entry and side process,
// compared with the same requests sent to the engine directly.
package path

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"

	"peridotchute.example/cmd/peridotchute-load/subcommand"
)

// Options configures one measurement.
type Options struct {
	Repeats    int
	Sequential int           // requests per round, one after the other, for the time to the first byte
	Saturated  time.Duration // duration of each run at saturation
	Paced      time.Duration // duration of each run with streams at the token rate of an engine
	Callers    int           // concurrent callers at saturation
	Streams    int           // concurrent streams in the paced run
	Engines    int           // in the paced run
	Procs      int           // GOMAXPROCS of each daemon
	Programs   string        // directory of built daemons; "" builds them
	Plots      string        // directory of the plots
	Profiles   string        // directory of CPU profiles; "" records none
}

// Command returns the subcommand.
func Command() *cobra.Command {
	o := Options{}
	run := func(ctx context.Context, out io.Writer) error { return Run(ctx, o, out) }
	cmd := subcommand.New("path", "Measure the overhead of the path against calling the engine directly", func() time.Duration { return o.limit() }, run)
	f := cmd.Flags()
	f.IntVar(&o.Repeats, "repeats", 5, "rounds")
	f.IntVar(&o.Sequential, "sequential", 1000, "requests in sequence per round, direct and through the path")
	f.DurationVar(&o.Saturated, "saturated", 3*time.Second, "time at saturation per round, direct and through the path")
	f.DurationVar(&o.Paced, "paced", 4*time.Second, "time with paced streams per round, direct and through the path")
	f.IntVar(&o.Callers, "callers", 64, "concurrent callers at saturation")
	f.IntVar(&o.Streams, "streams", 64, "concurrent streams in the paced run")
	f.IntVar(&o.Engines, "engines", 4, "engines in the paced run")
	f.IntVar(&o.Procs, "procs", 2, "GOMAXPROCS of each daemon")
	f.StringVar(&o.Programs, "programs", "", "directory of built daemons, to compare revisions")
	f.StringVar(&o.Plots, "plots", "docs/plots", "directory of the plots")
	f.StringVar(&o.Profiles, "profiles", "", "directory of CPU profiles")
	return cmd
}

// limit returns the time limit of the whole run.
func (o Options) limit() time.Duration {
	const setupTime = 3 * time.Minute
	round := 2*o.Saturated + 4*o.Paced + time.Minute
	return setupTime + time.Duration(o.Repeats)*round
}
