package survival

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"peridotchute.example/cmd/peridotchute-load/caller"
	"peridotchute.example/cmd/peridotchute-load/measure"
	"peridotchute.example/cmd/peridotchute-load/plots"
	"peridotchute.example/common/clock"
	"peridotchute.example/integration/cluster"
)

const (
	prompt      = "When does the ridge walk start, and who guides it?"
	shortAnswer = 16 // tokens
)

// request is what every caller sends; the entry is told its target as timeout.
func (o Options) request() caller.Request {
	return caller.Request{Model: cluster.SampleModel, Prompt: prompt, MaxTokens: shortAnswer, Timeout: o.Target}
}

// loss is one part of the deployment that is lost and comes back.
type loss struct {
	name    string
	lose    func(c *cluster.Cluster) error
	restore func(c *cluster.Cluster) error
}

var losses = []loss{
	{"one server", killed(firstSide), started(firstSide)},
	{"one entry", killed(firstEntry), started(firstEntry)},
	{"one availability zone", killed(firstZone), started(firstZone)},
	{
		"the store",
		func(c *cluster.Cluster) error { return c.StoreDown(true) },
		func(c *cluster.Cluster) error { return c.StoreDown(false) },
	},
}

func firstSide(c *cluster.Cluster) []*cluster.Process { return []*cluster.Process{c.Side(1).Process} }

func firstEntry(c *cluster.Cluster) []*cluster.Process {
	return []*cluster.Process{c.Entry(1).Process}
}

// firstZone returns the processes in the availability zone of the first entry.
func firstZone(c *cluster.Cluster) []*cluster.Process {
	zone := c.Entry(1).Settings.Zone
	var out []*cluster.Process
	for _, e := range c.Entries() {
		if e.Settings.Zone == zone {
			out = append(out, e.Process)
		}
	}
	for _, s := range c.Sides() {
		if s.Settings.Zone == zone {
			out = append(out, s.Process)
		}
	}
	return out
}

func killed(of func(*cluster.Cluster) []*cluster.Process) func(*cluster.Cluster) error {
	return each(of, (*cluster.Process).Kill)
}

func started(of func(*cluster.Cluster) []*cluster.Process) func(*cluster.Cluster) error {
	return each(of, (*cluster.Process).Start)
}

func each(of func(*cluster.Cluster) []*cluster.Process, f func(*cluster.Process) error) func(*cluster.Cluster) error {
	return func(c *cluster.Cluster) error {
		var errs []error
		for _, p := range of(c) {
			errs = append(errs, f(p))
		}
		return errors.Join(errs...)
	}
}

// Run measures every loss and the overload, and writes the figures to out.
func Run(ctx context.Context, o Options, out io.Writer) error {
	lines := map[string][]timeline{}
	var overloads []overload
	for range o.Repeats {
		err := withCluster(o, func(c *cluster.Cluster) error {
			for _, l := range losses {
				line, err := o.suffer(ctx, c, l)
				if err != nil {
					return fmt.Errorf("%s: %w", l.name, err)
				}
				lines[l.name] = append(lines[l.name], line)
			}
			over, err := o.overload(ctx, c)
			overloads = append(overloads, over)
			return err
		})
		if err != nil {
			return err
		}
	}
	if err := o.draw(lines); err != nil {
		return err
	}
	if err := o.report(out, lines); err != nil {
		return err
	}
	return reportOverload(out, overloads)
}

func withCluster(o Options, f func(*cluster.Cluster) error) (err error) {
	c, err := cluster.New(cluster.Options{
		Entries:   o.Entries,
		Sides:     o.Sides,
		Zones:     cluster.SampleZones(o.Zones),
		TimeScale: o.TimeScale,
	})
	if c != nil {
		defer func() { err = errors.Join(err, c.Close()) }()
	}
	if err != nil {
		return err
	}
	for i := range o.Sides {
		if err := c.Warm(c.Side(i+1), cluster.SampleModel); err != nil {
			return err
		}
	}
	return f(c)
}

// suffer offers the load, loses the part and brings it back.
func (o Options) suffer(ctx context.Context, c *cluster.Cluster, l loss) (timeline, error) {
	errs := make(chan error, 1)
	go func() {
		_ = clock.Sleep(ctx, o.Before)
		err := l.lose(c)
		_ = clock.Sleep(ctx, o.During)
		errs <- errors.Join(err, l.restore(c))
	}()
	events := offer(ctx, newBalancer(c), o.request(), o.Rate, o.Before+o.During+o.After)
	if err := <-errs; err != nil {
		return timeline{}, err
	}
	for _, e := range c.Entries() {
		if err := cluster.Await(cluster.Ready(e.Settings.AdminAddress)); err != nil {
			return timeline{}, err
		}
	}
	return newTimeline(events, o.Target), nil
}

func (o Options) draw(lines map[string][]timeline) error {
	chart := plots.Chart{Title: "Goodput while a part is lost", X: "time, s", Y: "answers within the target a second"}
	for _, l := range losses {
		chart.Series = append(chart.Series, plots.Series{Name: l.name, Points: lines[l.name][0].points()})
	}
	return chart.Write(o.Plots, "survival")
}

func (o Options) report(out io.Writer, lines map[string][]timeline) error {
	if _, err := fmt.Fprintln(out, "| lost | good before, % | sent in the second before and failed | good during, % | good after, % | time to recover, s |\n|---|---|---|---|---|---|"); err != nil {
		return err
	}
	back := o.Before + o.During
	end := back + o.After
	for _, l := range losses {
		spread := func(f func(timeline) float64) string {
			var values []float64
			for _, t := range lines[l.name] {
				values = append(values, f(t))
			}
			return measure.Of(values).Format(1)
		}
		_, err := fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %s |\n", l.name,
			spread(func(t timeline) float64 { return 100 * t.share(0, o.Before-time.Second) }),
			spread(func(t timeline) float64 { return t.failed(o.Before-time.Second, o.Before) }),
			spread(func(t timeline) float64 { return 100 * t.share(o.Before, back) }),
			spread(func(t timeline) float64 { return 100 * t.share(back, end) }),
			spread(func(t timeline) float64 { return t.recovery(o.Before, back).Seconds() }))
		if err != nil {
			return err
		}
	}
	return nil
}
