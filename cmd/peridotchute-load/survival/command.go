// Package survival measures the goodput under a steady load before, during and
// after the loss of a part of the deployment, and under overload.
package survival

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"

	"peridotchute.example/cmd/peridotchute-load/subcommand"
)

// Options configures one measurement.
type Options struct {
	Repeats   int
	Entries   int
	Sides     int
	Zones     int
	Rate      float64       // requests per second
	Before    time.Duration // load before the loss
	During    time.Duration // from the loss to the restart
	After     time.Duration // load after the restart, and pause after the overload
	Overload  float64       // offered load as a multiple of the engines' capacity
	TimeScale float64       // of the engines; 1 is real time
	Target    time.Duration // longest time of a good response
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
	f.Float64Var(&o.Rate, "rate", 80, "requests per second")
	f.DurationVar(&o.Before, "before", 5*time.Second, "load before each loss")
	f.DurationVar(&o.During, "during", 10*time.Second, "time from the loss to the restart")
	f.DurationVar(&o.After, "after", 8*time.Second, "load after the restart")
	f.Float64Var(&o.Overload, "overload", 10, "offered load in the overload, as a multiple of the engines' capacity")
	f.Float64Var(&o.TimeScale, "time-scale", 1, "of the engines, 1 is real time")
	f.DurationVar(&o.Target, "target", 2*time.Second, "longest time of a response that counts as good")
	f.StringVar(&o.Plots, "plots", "docs/plots", "directory of the plots")
	return cmd
}

// limit returns the time limit of the whole run.
func (o Options) limit() time.Duration {
	const setupTime = 2 * time.Minute
	lossTime := o.Before + o.During + o.After + time.Minute
	return time.Duration(o.Repeats)*(setupTime+time.Duration(len(losses)+1)*lossTime) + setupTime
}
