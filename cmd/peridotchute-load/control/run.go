package control

import (
	"context"
	"fmt"
	"io"
	"time"

	"peridotchute.example/cmd/peridotchute-load/measure"
	"peridotchute.example/common/clock"
	"peridotchute.example/config"
	"peridotchute.example/integration/cluster"
)

const (
	sidesForEntries  = 2
	sidesForModels   = 10
	changeInterval   = 500 * time.Millisecond
	modelsForLoads   = 400
	loadInterval     = 250 * time.Millisecond
	replaceInterval  = 2 * time.Second
	smallModelBytes  = 1 << 20
	adaptersPerModel = 2
)

// sample is one window measured at the value x of the varied parameter.
type sample struct {
	x      float64
	window window
}

// results holds all samples of a run.
type results struct {
	sides        []sample // x: side processes with one entry, idle
	replacements []sample // x: side processes replaced per second, at the largest number of side processes
	entries      []sample // x: entries with two side processes, idle
	models       []sample // x: models, idle
	changes      []sample // x: models, with a change every changeInterval
	loads        []sample // x: loads per second, with modelsForLoads models
}

// Run performs every measurement and writes the figures to out.
func Run(ctx context.Context, o Options, out io.Writer) error {
	var r results
	for _, step := range []func(context.Context, Options) error{r.varySides, r.varyEntries, r.varyModels, r.varyLoads} {
		if err := step(ctx, o); err != nil {
			return err
		}
	}
	if err := r.draw(o.Plots); err != nil {
		return err
	}
	return r.report(out)
}

// measureRepeats measures o.Repeats windows while f runs and appends them to into.
func measureRepeats(o Options, c *cluster.Cluster, x float64, into *[]sample, f func() error) error {
	for range o.Repeats {
		w, err := measureWindow(c, f)
		if err != nil {
			return err
		}
		*into = append(*into, sample{x: x, window: w})
	}
	return nil
}

func (r *results) varySides(ctx context.Context, o Options) error {
	for i, n := range o.Sides {
		err := withCluster(ctx, cluster.Options{Entries: 1, Sides: n}, settleTime, func(c *cluster.Cluster) error {
			if err := measureRepeats(o, c, float64(n), &r.sides, idle(ctx, o.Window)); err != nil {
				return err
			}
			if i < len(o.Sides)-1 {
				return nil
			}
			return r.varyReplacements(ctx, o, c, n)
		})
		if err != nil {
			return fmt.Errorf("%d side processes: %w", n, err)
		}
	}
	return nil
}

// varyReplacements measures idle windows, then windows in which one side process
// after another is restarted.
func (r *results) varyReplacements(ctx context.Context, o Options, c *cluster.Cluster, n int) error {
	if err := measureRepeats(o, c, 0, &r.replacements, idle(ctx, o.Window)); err != nil {
		return err
	}
	next := 0
	return measureRepeats(o, c, 1/replaceInterval.Seconds(), &r.replacements, func() error {
		for range int(o.Window / replaceInterval) {
			next++
			if err := c.Side(1 + next%n).Restart(); err != nil {
				return err
			}
			if err := clock.Sleep(ctx, replaceInterval); err != nil {
				return err
			}
		}
		return cluster.Await(cluster.Ready(c.Side(1 + next%n).Settings.AdminAddress))
	})
}

func (r *results) varyEntries(ctx context.Context, o Options) error {
	for _, n := range o.Entries {
		err := withCluster(ctx, cluster.Options{Entries: n, Sides: sidesForEntries}, settleTime, func(c *cluster.Cluster) error {
			return measureRepeats(o, c, float64(n), &r.entries, idle(ctx, o.Window))
		})
		if err != nil {
			return fmt.Errorf("%d entries: %w", n, err)
		}
	}
	return nil
}

func (r *results) varyModels(ctx context.Context, o Options) error {
	for _, n := range o.Models {
		declared := newConfig(n)
		err := withCluster(ctx, cluster.Options{Entries: 1, Sides: sidesForModels, Config: declared}, modelSettleTime, func(c *cluster.Cluster) error {
			if err := measureRepeats(o, c, float64(n), &r.models, idle(ctx, o.Window)); err != nil {
				return err
			}
			return measureRepeats(o, c, float64(n), &r.changes, func() error { return publishChanges(ctx, o, c, declared) })
		})
		if err != nil {
			return fmt.Errorf("%d models: %w", n, err)
		}
	}
	return nil
}

// varyLoads measures idle windows, then windows in which side processes load
// models that they do not have loaded.
func (r *results) varyLoads(ctx context.Context, o Options) error {
	declared := newConfig(modelsForLoads)
	return withCluster(ctx, cluster.Options{Entries: 2, Sides: sidesForModels, Config: declared}, modelSettleTime, func(c *cluster.Cluster) error {
		if err := measureRepeats(o, c, 0, &r.loads, idle(ctx, o.Window)); err != nil {
			return err
		}
		next := 0
		return measureRepeats(o, c, 1/loadInterval.Seconds(), &r.loads, func() error {
			for range int(o.Window / loadInterval) {
				side := c.Side(1 + next%sidesForModels)
				if err := c.LoadModel(side, declared.Models[next*sidesForModels%modelsForLoads+next/sidesForModels].Name); err != nil {
					return err
				}
				next++
				if err := clock.Sleep(ctx, loadInterval); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// publishChanges publishes a new configuration every changeInterval for o.Window.
// Each version changes the target of one model.
func publishChanges(ctx context.Context, o Options, c *cluster.Cluster, declared *config.Configuration) error {
	for i := range int(o.Window / changeInterval) {
		declared.Models[i%len(declared.Models)].Target.TokenMS++
		if err := c.Publish(ctx, declared); err != nil {
			return err
		}
		if err := clock.Sleep(ctx, changeInterval); err != nil {
			return err
		}
	}
	return nil
}

// newConfig returns a configuration with n models and two adapters for each. They
// all fit into the memory of the side processes together.
func newConfig(n int) *config.Configuration {
	c := cluster.Sample(cluster.SampleZones(1))
	c.Models, c.Adapters = nil, nil
	for i := range n {
		m := config.Model{
			Name: fmt.Sprintf("model-%04d", i), Version: "1", Pool: cluster.SampleEnginePool,
			MemoryBytes: smallModelBytes, Target: config.Target{FirstTokenMS: 1900, TokenMS: 36},
		}
		c.Models = append(c.Models, m)
		for j := range adaptersPerModel {
			c.Adapters = append(c.Adapters, config.Adapter{
				Name: fmt.Sprintf("%s-adapter-%d", m.Name, j), Version: "1", Model: m.Name, MemoryBytes: smallModelBytes / 2,
			})
		}
	}
	return c
}

// points returns one value of every sample against its x.
func points(samples []sample, value func(window) float64) []measure.Point {
	out := make([]measure.Point, len(samples))
	for i, s := range samples {
		out[i] = measure.Point{X: s.x, Y: value(s.window)}
	}
	return out
}
