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
	shortAnswer    = 16  // tokens
	longAnswer     = 100 // tokens
	pacedTimeScale = 0.55
)

// round is one repeat of all measurements.
type round struct {
	directFirst, pathFirst *measure.Durations
	directRate, pathRate   float64 // answers a second at saturation
	entryRequest           perUnit
	sideRequest            perUnit
	directGaps, pathGaps   *measure.Durations
	tokenRate              float64 // through the entry in the paced run
	entryToken, sideToken  perUnit
	entryCore, sideCore    float64 // share of a core in the paced run; of all side processes together
}

// perUnit is what one request or one token costs a process.
type perUnit struct {
	microseconds float64 // processor time
	writes       float64
	mallocs      float64
	bytes        float64 // allocated
}

func costPer(u procstat.Use, n int64) perUnit {
	count := float64(max(n, 1))
	return perUnit{
		microseconds: float64(u.CPU.Microseconds()) / count,
		writes:       float64(u.Writes) / count,
		mallocs:      float64(u.Mallocs) / count,
		bytes:        float64(u.Alloc) / count,
	}
}

// Run performs all rounds and writes the figures to out.
func Run(ctx context.Context, o Options, out io.Writer) error {
	rounds := make([]round, o.Repeats)
	if err := withCluster(o, 1, 0, func(b *bench) error { return b.unpaced(ctx, rounds) }); err != nil {
		return err
	}
	if err := withCluster(o, o.Engines, pacedTimeScale, func(b *bench) error { return b.paced(ctx, rounds) }); err != nil {
		return err
	}
	if err := draw(o.Plots, rounds); err != nil {
		return err
	}
	return measure.Table(out, "figure", figures, rounds)
}

// bench is a running cluster with one entry.
type bench struct {
	opts   Options
	c      *cluster.Cluster
	caller *caller.Client
	direct []string // base URLs of the engines
	path   []string // base URL of the entry
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
	b := &bench{opts: o, c: c, caller: caller.New(cluster.SampleKey), path: []string{c.Entry(1).URL()}}
	for i := range engines {
		if err := c.Warm(c.Side(i+1), cluster.SampleModel); err != nil {
			return err
		}
		b.direct = append(b.direct, c.Side(i+1).BackendURL())
	}
	return f(b)
}

func (b *bench) unpaced(ctx context.Context, rounds []round) error {
	for i := range rounds {
		if err := b.firstBytes(ctx, &rounds[i]); err != nil {
			return err
		}
		if err := b.saturate(ctx, &rounds[i]); err != nil {
			return err
		}
	}
	return nil
}

// firstBytes sends streamed requests one after the other, in turn directly and
// by the path.
func (b *bench) firstBytes(ctx context.Context, r *round) error {
	r.directFirst, r.pathFirst = measure.NewDurations(), measure.NewDurations()
	req := caller.Request{Model: cluster.SampleModel, Prompt: prompt, MaxTokens: shortAnswer, Stream: true}
	for range b.opts.Sequential {
		for _, way := range []struct {
			base string
			into *measure.Durations
		}{{b.direct[0], r.directFirst}, {b.path[0], r.pathFirst}} {
			a, err := b.caller.Do(ctx, way.base, req)
			if err != nil {
				return fmt.Errorf("stream from %s after %v: %w\n%s", way.base, a.Total, err, b.c.Output())
			}
			if !a.OK() {
				return fmt.Errorf("%s answered %d", way.base, a.Status)
			}
			way.into.Add(a.FirstByte)
		}
	}
	return nil
}

// saturate measures whole answers a second with many callers.
func (b *bench) saturate(ctx context.Context, r *round) error {
	req := caller.Request{Model: cluster.SampleModel, Prompt: prompt, MaxTokens: shortAnswer}
	direct := b.caller.Closed(ctx, b.direct, req, b.opts.Callers, b.opts.Saturated)
	through, entry, sides, err := b.throughPath(ctx, "saturated", req, b.opts.Callers, b.opts.Saturated)
	if err != nil {
		return err
	}
	r.directRate, r.pathRate = direct.Rate(), through.Rate()
	r.entryRequest, r.sideRequest = costPer(entry, through.OK), costPer(sides, through.OK)
	return failures(direct, through)
}

func (b *bench) paced(ctx context.Context, rounds []round) error {
	req := caller.Request{Model: cluster.SampleModel, Prompt: prompt, MaxTokens: longAnswer, Stream: true}
	for i := range rounds {
		r := &rounds[i]
		direct := b.caller.Closed(ctx, b.direct, req, b.opts.Streams, b.opts.Paced)
		through, entry, sides, err := b.throughPath(ctx, "paced", req, b.opts.Streams, b.opts.Paced)
		if err != nil {
			return err
		}
		r.directGaps, r.pathGaps, r.tokenRate = direct.Gaps, through.Gaps, through.TokenRate()
		r.entryToken, r.sideToken = costPer(entry, through.Tokens), costPer(sides, through.Tokens)
		r.entryCore, r.sideCore = entry.Core(), sides.Core()
		if err := failures(direct, through); err != nil {
			return err
		}
	}
	return nil
}

// throughPath keeps callers busy at the entry and returns what the entry and the
// side processes used for it.
func (b *bench) throughPath(ctx context.Context, name string, req caller.Request, callers int, d time.Duration) (r *caller.Result, entry, sides procstat.Use, err error) {
	entry, sides, err = b.use(ctx, name, func() { r = b.caller.Closed(ctx, b.path, req, callers, d) })
	return r, entry, sides, err
}

func failures(results ...*caller.Result) error {
	for _, r := range results {
		if r.OK == 0 || r.Failed > 0 {
			return fmt.Errorf("%d requests failed, %d were answered", r.Failed, r.OK)
		}
	}
	return nil
}
