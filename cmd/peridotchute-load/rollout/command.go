// Package rollout measures how long it takes until an accepted configuration is
// active in all processes, and how long a leaving server still receives new work.
package rollout

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"peridotchute.example/cmd/peridotchute-load/measure"
	"peridotchute.example/cmd/peridotchute-load/subcommand"
)

// Options configures one measurement.
type Options struct {
	Entries int
	Sides   int
	Changes int // configuration changes that are pushed, and as many that are found by polling
	Leaves  int // servers that leave, one after the other
}

// Command returns the subcommand.
func Command() *cobra.Command {
	o := Options{}
	run := func(ctx context.Context, out io.Writer) error { return Run(ctx, o, out) }
	cmd := subcommand.New("rollout", "Measure how long configuration changes and the departure of a server take", func() time.Duration { return o.limit() }, run)
	f := cmd.Flags()
	f.IntVar(&o.Entries, "entries", 20, "entry processes")
	f.IntVar(&o.Sides, "sides", 30, "side processes")
	f.IntVar(&o.Changes, "changes", 100, "configuration changes that are pushed, and as many that are found by polling")
	f.IntVar(&o.Leaves, "leaves", 10, "servers that leave, one after the other")
	return cmd
}

// limit returns the time limit of the whole run.
func (o Options) limit() time.Duration {
	const setupTime, changeTime, leaveTime = 3 * time.Minute, 10 * time.Second, 30 * time.Second
	return setupTime + time.Duration(2*o.Changes)*changeTime + time.Duration(o.Leaves)*leaveTime
}

// results holds the measured times of one run.
type results struct {
	pushed  *measure.Durations // from accept to active, if the version is pushed to processes
	polled  *measure.Durations // from accept to active, if processes find the version by polling
	leaving *measure.Durations // from the change of the VM list to the last new request
}

func (r results) report(o Options, out io.Writer) error {
	rows := []struct {
		name string
		d    *measure.Durations
	}{
		{fmt.Sprintf("accept to in force at all of %d entries and %d side processes, pushed", o.Entries, o.Sides), r.pushed},
		{"the same, found by polling", r.polled},
		{"leaving in the VM list to the last new request", r.leaving},
	}
	if _, err := fmt.Fprintf(out, "| time, ms | n | p50 | p99 | most |\n|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, row := range rows {
		_, err := fmt.Fprintf(out, "| %s | %d | %.0f | %.0f | %.0f |\n", row.name, row.d.Count(),
			row.d.Milliseconds(0.5), row.d.Milliseconds(0.99), row.d.Milliseconds(1))
		if err != nil {
			return err
		}
	}
	return nil
}
