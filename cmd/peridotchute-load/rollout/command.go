// Package rollout measures how long an accepted configuration takes until it is
// in force everywhere, and how long a leaving server still gets new work.
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

// Options of one measurement.
type Options struct {
	Entries int
	Sides   int
	Changes int // accepted one after the other, each way
	Leaves  int // leaving servers
}

// Command returns the subcommand.
func Command() *cobra.Command {
	o := Options{}
	run := func(ctx context.Context, out io.Writer) error { return Run(ctx, o, out) }
	cmd := subcommand.New("rollout", "Measure the time from accept to in force everywhere, and that of a leave", func() time.Duration { return o.limit() }, run)
	f := cmd.Flags()
	f.IntVar(&o.Entries, "entries", 20, "entry processes")
	f.IntVar(&o.Sides, "sides", 30, "side processes")
	f.IntVar(&o.Changes, "changes", 100, "changes accepted one after the other, each way")
	f.IntVar(&o.Leaves, "leaves", 10, "servers that leave, one after the other")
	return cmd
}

// limit bounds the whole run.
func (o Options) limit() time.Duration {
	const setUp, change, leave = 3 * time.Minute, 10 * time.Second, 30 * time.Second
	return setUp + time.Duration(2*o.Changes)*change + time.Duration(o.Leaves)*leave
}

// results are the times of one run.
type results struct {
	pushed *measure.Durations // accepted at a process that spreads it
	polled *measure.Durations // found in the table by polling first
	left   *measure.Durations // from the list's change to the last new request
}

func (r results) report(o Options, out io.Writer) error {
	lines := []struct {
		name string
		d    *measure.Durations
	}{
		{fmt.Sprintf("accept to in force at all of %d entries and %d side processes, pushed", o.Entries, o.Sides), r.pushed},
		{"the same, found by polling", r.polled},
		{"leaving in the VM list to the last new request", r.left},
	}
	if _, err := fmt.Fprintf(out, "| time, ms | n | p50 | p99 | most |\n|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, l := range lines {
		_, err := fmt.Fprintf(out, "| %s | %d | %.0f | %.0f | %.0f |\n", l.name, l.d.Count(),
			l.d.Milliseconds(0.5), l.d.Milliseconds(0.99), l.d.Milliseconds(1))
		if err != nil {
			return err
		}
	}
	return nil
}
