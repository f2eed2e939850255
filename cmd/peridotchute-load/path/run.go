package path

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"peridotchute.example/cmd/peridotchute-load/caller"
	"peridotchute.example/cmd/peridotchute-load/measure"
	"peridotchute.example/cmd/peridotchute-load/procstat"
	"peridotchute.example/integration/cluster"
)

const (
	prompt         = "Which flies take salmon on the lower beats in a low summer river, and which branch has them?"
	shortMaxTokens = 16
	longMaxTokens  = 100
	pacedTimeScale = 0.55
)

// round holds the results of one repeat of all measurements.
type round struct {
	directFirst, pathFirst *measure.Durations
	directRate, pathRate   float64 // responses per second at saturation
	entryRequest           unitCost
	sideRequest            unitCost
	directGaps, pathGaps   *measure.Durations
	tokenRate              float64 // tokens per second through the entry in the paced run
	entryToken, sideToken  unitCost
	entryCore, sideCore    float64 // cores used in the paced run; sideCore is the sum of all side processes
}

// unitCost is the resource usage of a process per request or per token.
type unitCost struct {
	microseconds float64 // processor time
	writes       float64
	mallocs      float64
	bytes        float64 // allocated
}

func newUnitCost(u procstat.Usage, n int64) unitCost {
	count := float64(max(n, 1))
	return unitCost{
		microseconds: float64(u.CPU.Microseconds()) / count,
		writes:       float64(u.Writes) / count,
		mallocs:      float64(u.Mallocs) / count,
		bytes:        float64(u.AllocBytes) / count,
	}
}

// Run performs all rounds, writes the figures to out and draws the plots.
func Run(ctx context.Context, o Options, out io.Writer) error {
	rounds := make([]round, o.Repeats)
	if err := withCluster(o, 1, 0, func(b *bench) error { return b.runUnpaced(ctx, rounds) }); err != nil {
		return err
	}
	if err := withCluster(o, o.Engines, pacedTimeScale, func(b *bench) error { return b.runPaced(ctx, rounds) }); err != nil {
		return err
	}
	if err := draw(o.Plots, rounds); err != nil {
		return err
	}
	return measure.Table(out, "figure", figures, rounds)
}

// bench is a cluster with one entry and the client that measures it.
type bench struct {
	opts    Options
	cluster *cluster.Cluster
	caller  *caller.Client
	direct  []string // base URLs of the engines
	path    []string // base URL of the entry
}

func withCluster(o Options, engines int, timeScale float64, f func(*bench) error) (err error) {
	c, err := cluster.New(cluster.Options{
		Entries:   1,
		Sides:     engines,
		TimeScale: timeScale,
		Programs:  o.Programs,
		Env:       []string{"GOMAXPROCS=" + strconv.Itoa(o.Procs)},
	})
	if c != nil {
		defer func() { err = errors.Join(err, c.Close()) }()
	}
	if err != nil {
		return err
	}
	b := &bench{opts: o, cluster: c, caller: caller.New(cluster.SampleKey), path: []string{c.Entry(1).URL()}}
	for i := range engines {
		if err := c.LoadModel(c.Side(i+1), cluster.SampleModel); err != nil {
			return err
		}
		b.direct = append(b.direct, c.Side(i+1).BackendURL())
	}
	return f(b)
}

func (b *bench) runUnpaced(ctx context.Context, rounds []round) error {
	for i := range rounds {
		if err := b.measureFirstByte(ctx, &rounds[i]); err != nil {
			return err
		}
		if err := b.measureSaturated(ctx, &rounds[i]); err != nil {
			return err
		}
	}
	return nil
}

// measureFirstByte sends streaming requests one after the other, alternately to the
// engine directly and through the path.
func (b *bench) measureFirstByte(ctx context.Context, r *round) error {
	r.directFirst, r.pathFirst = measure.NewDurations(), measure.NewDurations()
	req := caller.Request{Model: cluster.SampleModel, Prompt: prompt, MaxTokens: shortMaxTokens, Stream: true}
	for range b.opts.Sequential {
		for _, target := range []struct {
			base string
			into *measure.Durations
		}{{b.direct[0], r.directFirst}, {b.path[0], r.pathFirst}} {
			resp, err := b.caller.Do(ctx, target.base, req)
			if err != nil {
				return fmt.Errorf("stream from %s after %v: %w\n%s", target.base, resp.Total, err, b.cluster.Output())
			}
			if !resp.OK() {
				return fmt.Errorf("%s responded with status %d", target.base, resp.Status)
			}
			target.into.Add(resp.FirstByte)
		}
	}
	return nil
}

// measureSaturated measures the complete responses per second with many callers.
func (b *bench) measureSaturated(ctx context.Context, r *round) error {
	req := caller.Request{Model: cluster.SampleModel, Prompt: prompt, MaxTokens: shortMaxTokens}
	direct := b.caller.RunClosedLoop(ctx, b.direct, req, b.opts.Callers, b.opts.Saturated)
	viaPath, entry, sides, err := b.throughPath(ctx, "saturated", req, b.opts.Callers, b.opts.Saturated)
	if err != nil {
		return err
	}
	r.directRate, r.pathRate = direct.Rate(), viaPath.Rate()
	r.entryRequest, r.sideRequest = newUnitCost(entry, viaPath.OK), newUnitCost(sides, viaPath.OK)
	return checkFailures(direct, viaPath)
}

func (b *bench) runPaced(ctx context.Context, rounds []round) error {
	req := caller.Request{Model: cluster.SampleModel, Prompt: prompt, MaxTokens: longMaxTokens, Stream: true}
	for i := range rounds {
		r := &rounds[i]
		direct := b.caller.RunClosedLoop(ctx, b.direct, req, b.opts.Streams, b.opts.Paced)
		viaPath, entry, sides, err := b.throughPath(ctx, "paced", req, b.opts.Streams, b.opts.Paced)
		if err != nil {
			return err
		}
		r.directGaps, r.pathGaps, r.tokenRate = direct.Gaps, viaPath.Gaps, viaPath.TokenRate()
		r.entryToken, r.sideToken = newUnitCost(entry, viaPath.Tokens), newUnitCost(sides, viaPath.Tokens)
		r.entryCore, r.sideCore = entry.Cores(), sides.Cores()
		if err := checkFailures(direct, viaPath); err != nil {
			return err
		}
	}
	return nil
}

// throughPath runs callers against the entry and returns their result with the
// resource usage of the entry and of all side processes.
func (b *bench) throughPath(ctx context.Context, name string, req caller.Request, callers int, d time.Duration) (r *caller.Result, entry, sides procstat.Usage, err error) {
	entry, sides, err = b.measureUsage(ctx, name, func() { r = b.caller.RunClosedLoop(ctx, b.path, req, callers, d) })
	return r, entry, sides, err
}

func checkFailures(results ...*caller.Result) error {
	for _, r := range results {
		if r.OK == 0 || r.Failed > 0 {
			return fmt.Errorf("%d requests failed, %d succeeded", r.Failed, r.OK)
		}
	}
	return nil
}
