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
	prompt    = "When does the ridge walk start, and who guides it?"
	maxTokens = 16
)

// request returns the request that every caller sends, with the target as timeout.
func (o Options) request() caller.Request {
	return caller.Request{Model: cluster.SampleModel, Prompt: prompt, MaxTokens: maxTokens, Timeout: o.Target}
}

// loss is the temporary loss of one part of the deployment.
type loss struct {
	name    string
	lose    func(c *cluster.Cluster) error
	restore func(c *cluster.Cluster) error
}

var losses = []loss{
	{"one server", kill(firstSide), start(firstSide)},
	{"one entry", kill(firstEntry), start(firstEntry)},
	{"one availability zone", kill(firstZone), start(firstZone)},
	{
		"the store",
		func(c *cluster.Cluster) error { return c.SetStoreDown(true) },
		func(c *cluster.Cluster) error { return c.SetStoreDown(false) },
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

func kill(processes func(*cluster.Cluster) []*cluster.Process) func(*cluster.Cluster) error {
	return forEach(processes, (*cluster.Process).Kill)
}

func start(processes func(*cluster.Cluster) []*cluster.Process) func(*cluster.Cluster) error {
	return forEach(processes, (*cluster.Process).Start)
}

func forEach(processes func(*cluster.Cluster) []*cluster.Process, f func(*cluster.Process) error) func(*cluster.Cluster) error {
	return func(c *cluster.Cluster) error {
		var errs []error
		for _, p := range processes(c) {
			errs = append(errs, f(p))
		}
		return errors.Join(errs...)
	}
}

// Run measures every loss and the overload, writes the figures to out and draws the
// plot.
func Run(ctx context.Context, o Options, out io.Writer) error {
	timelines := map[string][]timeline{}
	var overloads []overloadResult
	for range o.Repeats {
		err := withCluster(o, func(c *cluster.Cluster) error {
			for _, l := range losses {
				tl, err := o.measureLoss(ctx, c, l)
				if err != nil {
					return fmt.Errorf("%s: %w", l.name, err)
				}
				timelines[l.name] = append(timelines[l.name], tl)
			}
			result, err := o.measureOverload(ctx, c)
			overloads = append(overloads, result)
			return err
		})
		if err != nil {
			return err
		}
	}
	if err := o.drawTimelines(timelines); err != nil {
		return err
	}
	if err := o.reportLosses(out, timelines); err != nil {
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
		if err := c.LoadModel(c.Side(i+1), cluster.SampleModel); err != nil {
			return err
		}
	}
	return f(c)
}

// measureLoss causes the loss and reverts it while offering the load.
func (o Options) measureLoss(ctx context.Context, c *cluster.Cluster, l loss) (timeline, error) {
	errs := make(chan error, 1)
	go func() {
		_ = clock.Sleep(ctx, o.Before)
		err := l.lose(c)
		_ = clock.Sleep(ctx, o.During)
		errs <- errors.Join(err, l.restore(c))
	}()
	events := offerLoad(ctx, newBalancer(c), o.request(), o.Rate, o.Before+o.During+o.After)
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

func (o Options) drawTimelines(timelines map[string][]timeline) error {
	chart := plots.Chart{Title: "Goodput while a part is lost", X: "time, s", Y: "answers within the target a second"}
	for _, l := range losses {
		chart.Series = append(chart.Series, plots.Series{Name: l.name, Points: timelines[l.name][0].goodputPoints()})
	}
	return chart.Write(o.Plots, "survival")
}

func (o Options) reportLosses(out io.Writer, timelines map[string][]timeline) error {
	if _, err := fmt.Fprintln(out, "| lost | good before, % | sent in the second before and failed | good during, % | good after, % | time to recover, s |\n|---|---|---|---|---|---|"); err != nil {
		return err
	}
	restored := o.Before + o.During
	end := restored + o.After
	for _, l := range losses {
		spread := func(f func(timeline) float64) string {
			var values []float64
			for _, t := range timelines[l.name] {
				values = append(values, f(t))
			}
			return measure.NewSpread(values).Format(1)
		}
		_, err := fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %s |\n", l.name,
			spread(func(t timeline) float64 { return 100 * t.goodShare(0, o.Before-time.Second) }),
			spread(func(t timeline) float64 { return t.failed(o.Before-time.Second, o.Before) }),
			spread(func(t timeline) float64 { return 100 * t.goodShare(o.Before, restored) }),
			spread(func(t timeline) float64 { return 100 * t.goodShare(restored, end) }),
			spread(func(t timeline) float64 { return t.recoveryTime(o.Before, restored).Seconds() }))
		if err != nil {
			return err
		}
	}
	return nil
}
