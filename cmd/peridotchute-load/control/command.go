// Package control measures the cost of the control plane for each process as a
// function of the number of its peers, the number of declared models, the rate of
// configuration changes, and the rates of model loads and process replacements.
package control

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"

	"peridotchute.example/cmd/peridotchute-load/subcommand"
)

// Options configures one measurement.
type Options struct {
	Repeats int
	Sides   []int // numbers of side processes, with one entry
	Entries []int // numbers of entries, with two side processes
	Models  []int // numbers of declared models
	Window  time.Duration
	Plots   string
}

// Command returns the subcommand.
func Command() *cobra.Command {
	o := Options{}
	run := func(ctx context.Context, out io.Writer) error { return Run(ctx, o, out) }
	cmd := subcommand.New("control", "Measure the cost of the control plane for each process, as slopes", func() time.Duration { return o.limit() }, run)
	f := cmd.Flags()
	f.IntVar(&o.Repeats, "repeats", 3, "windows measured at each point")
	f.IntSliceVar(&o.Sides, "sides", []int{10, 50, 100, 200}, "numbers of side processes, with one entry")
	f.IntSliceVar(&o.Entries, "entries", []int{2, 10, 25, 50}, "numbers of entries, with two side processes")
	f.IntSliceVar(&o.Models, "models", []int{40, 400, 1000, 1900}, "numbers of declared models")
	f.DurationVar(&o.Window, "window", 8*time.Second, "duration of one measurement")
	f.StringVar(&o.Plots, "plots", "docs/plots", "directory of the plots")
	return cmd
}

// limit returns the time limit of the whole run.
func (o Options) limit() time.Duration {
	const setupTime = 3 * time.Minute
	points := len(o.Sides) + len(o.Entries) + len(o.Models)
	return time.Duration(points) * (setupTime + 4*time.Duration(o.Repeats)*o.Window)
}
