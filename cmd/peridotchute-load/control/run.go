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
	sidesBeforeEntries = 2
	sidesOfModels      = 10
	changeEvery        = 500 * time.Millisecond
	modelsOfMoves      = 400
	moveEvery          = 250 * time.Millisecond
	replaceEvery       = 2 * time.Second
	smallModelBytes    = 1 << 20
	adaptersPerModel   = 2
)

// sample is one window at one value of what is varied.
type sample struct {
	x float64
	w window
}

// results are all samples of a run.
type results struct {
	sides   []sample // x: side processes before one entry, idle
	churn   []sample // x: side processes replaced a second, at the largest number of side processes
	entries []sample // x: entries before two side processes, idle
	models  []sample // x: models, idle
	changes []sample // x: models, at changeEvery
	moves   []sample // x: loads a second, at modelsOfMoves models
}

// Run performs every measurement and writes the figures to out.
func Run(ctx context.Context, o Options, out io.Writer) error {
	var r results
	for _, step := range []func(context.Context, Options) error{r.varySides, r.varyEntries, r.varyModels, r.varyMoves} {
		if err := step(ctx, o); err != nil {
			return err
		}
	}
	if err := r.draw(o.Plots); err != nil {
		return err
	}
	return r.report(out)
}

// repeat adds o.Repeats windows at x.
func repeat(o Options, c *cluster.Cluster, x float64, into *[]sample, f func() error) error {
	for range o.Repeats {
		w, err := measureWindow(c, f)
		if err != nil {
			return err
		}
		*into = append(*into, sample{x: x, w: w})
	}
	return nil
}

func (r *results) varySides(ctx context.Context, o Options) error {
	for i, n := range o.Sides {
		err := withCluster(ctx, cluster.Options{Entries: 1, Sides: n}, settle, func(c *cluster.Cluster) error {
			if err := repeat(o, c, float64(n), &r.sides, idle(ctx, o.Window)); err != nil {
				return err
			}
			if i < len(o.Sides)-1 {
				return nil
			}
			return r.replace(ctx, o, c, n)
		})
		if err != nil {
			return fmt.Errorf("%d side processes: %w", n, err)
		}
	}
	return nil
}

// replace kills and starts side processes in turn during the window.
func (r *results) replace(ctx context.Context, o Options, c *cluster.Cluster, n int) error {
	if err := repeat(o, c, 0, &r.churn, idle(ctx, o.Window)); err != nil {
		return err
	}
	next := 0
	return repeat(o, c, 1/replaceEvery.Seconds(), &r.churn, func() error {
		for range int(o.Window / replaceEvery) {
			next++
			if err := c.Side(1 + next%n).Restart(); err != nil {
				return err
			}
			if err := clock.Sleep(ctx, replaceEvery); err != nil {
				return err
			}
		}
		return cluster.Await(cluster.Ready(c.Side(1 + next%n).Settings.AdminAddress))
	})
}

func (r *results) varyEntries(ctx context.Context, o Options) error {
	for _, n := range o.Entries {
		err := withCluster(ctx, cluster.Options{Entries: n, Sides: sidesBeforeEntries}, settle, func(c *cluster.Cluster) error {
			return repeat(o, c, float64(n), &r.entries, idle(ctx, o.Window))
		})
		if err != nil {
			return fmt.Errorf("%d entries: %w", n, err)
		}
	}
	return nil
}

func (r *results) varyModels(ctx context.Context, o Options) error {
	for _, n := range o.Models {
		declared := declare(n)
		err := withCluster(ctx, cluster.Options{Entries: 1, Sides: sidesOfModels, Config: declared}, settleModels, func(c *cluster.Cluster) error {
			if err := repeat(o, c, float64(n), &r.models, idle(ctx, o.Window)); err != nil {
				return err
			}
			return repeat(o, c, float64(n), &r.changes, func() error { return change(ctx, o, c, declared) })
		})
		if err != nil {
			return fmt.Errorf("%d models: %w", n, err)
		}
	}
	return nil
}

// varyMoves has side processes load models that they do not hold.
func (r *results) varyMoves(ctx context.Context, o Options) error {
	declared := declare(modelsOfMoves)
	return withCluster(ctx, cluster.Options{Entries: 2, Sides: sidesOfModels, Config: declared}, settleModels, func(c *cluster.Cluster) error {
		if err := repeat(o, c, 0, &r.moves, idle(ctx, o.Window)); err != nil {
			return err
		}
		next := 0
		return repeat(o, c, 1/moveEvery.Seconds(), &r.moves, func() error {
			for range int(o.Window / moveEvery) {
				side := c.Side(1 + next%sidesOfModels)
				if err := c.Warm(side, declared.Models[next*sidesOfModels%modelsOfMoves+next/sidesOfModels].Name); err != nil {
					return err
				}
				next++
				if err := clock.Sleep(ctx, moveEvery); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// change accepts a new configuration every changeEvery for the window. Each
// changes the target of one model.
func change(ctx context.Context, o Options, c *cluster.Cluster, declared *config.Configuration) error {
	for i := range int(o.Window / changeEvery) {
		declared.Models[i%len(declared.Models)].Target.TokenMS++
		if err := c.Publish(ctx, declared); err != nil {
			return err
		}
		if err := clock.Sleep(ctx, changeEvery); err != nil {
			return err
		}
	}
	return nil
}

// declare returns a configuration with n models of two adapters each. Together
// they fit into the memory of the side processes.
func declare(n int) *config.Configuration {
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

// points picks one value of every sample.
func points(samples []sample, of func(window) float64) []measure.Point {
	out := make([]measure.Point, len(samples))
	for i, s := range samples {
		out[i] = measure.Point{X: s.x, Y: of(s.w)}
	}
	return out
}
