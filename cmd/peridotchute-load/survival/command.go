// Package survival measures how much of a steady load is answered before,
// during and after the loss of a part of the deployment, and under overload.
package survival

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"

	"peridotchute.example/cmd/peridotchute-load/subcommand"
)

// Options of one measurement.
type Options struct {
	Repeats   int
	Entries   int
	Sides     int
	Zones     int
	Rate      float64       // requests a second
	Before    time.Duration // load before the loss
	During    time.Duration // until what was lost is started again
	After     time.Duration
	Overload  float64 // times the rate
	TimeScale float64 // of the engines
	Target    time.Duration
	Plots     string
}

// Command returns the subcommand.
func Command() *cobra.Command {
	o := Options{}
	run := func(ctx context.Context, out io.Writer) error { return Run(ctx, o, out) }
	cmd := subcommand.New("survival", "Measure goodput while parts of the deployment are lost, and under overload", func() time.Duration { return o.limit() }, run)
	f := cmd.Flags()
	f.IntVar(&o.Repeats, "repeats", 3, "repeats of each loss")
	f.IntVar(&o.Entries, "entries", 4, "entry processes")
	f.IntVar(&o.Sides, "sides", 8, "model servers")
	f.IntVar(&o.Zones, "zones", 4, "availability zones")
	f.Float64Var(&o.Rate, "rate", 80, "requests a second")
	f.DurationVar(&o.Before, "before", 5*time.Second, "load before each loss")
	f.DurationVar(&o.During, "during", 10*time.Second, "time until what was lost is started again")
	f.DurationVar(&o.After, "after", 8*time.Second, "load after that")
	f.Float64Var(&o.Overload, "overload", 10, "times the engines' capacity offered in the overload")
	f.Float64Var(&o.TimeScale, "time-scale", 1, "of the engines, 1 is real time")
	f.DurationVar(&o.Target, "target", 2*time.Second, "an answer that takes longer does not count")
	f.StringVar(&o.Plots, "plots", "docs/plots", "directory of the plots")
	return cmd
}

// limit bounds the whole run.
func (o Options) limit() time.Duration {
	const setUp = 2 * time.Minute
	one := o.Before + o.During + o.After + time.Minute
	return time.Duration(o.Repeats)*(setUp+time.Duration(len(losses)+1)*one) + setUp
}
