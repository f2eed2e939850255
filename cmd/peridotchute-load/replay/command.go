package replay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"peridotchute.example/cmd/peridotchute-load/subcommand"
	"peridotchute.example/routing"
)

// Command returns the subcommand replay.
func Command() *cobra.Command {
	var o Options
	var policies []string
	var seeds int
	run := func(ctx context.Context, out io.Writer) error {
		for _, p := range policies {
			o.Policies = append(o.Policies, routing.Policy(p))
		}
		for i := range seeds {
			o.Seeds = append(o.Seeds, uint64(i+1))
		}
		return Run(ctx, o, out)
	}
	cmd := subcommand.New("replay", "Compare policies on a seeded workload: attainment per accelerator, moves, latencies", nil, run)
	all := []string{string(routing.RoundRobin), string(routing.LeastInFlight), string(routing.Static), string(routing.Adaptive)}
	cmd.Flags().StringVar(&o.Deployment, "deployment", "", "tweed-tay or piton-ridge; empty for both")
	cmd.Flags().StringSliceVar(&policies, "policy", all, "policies to compare")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds")
	cmd.Flags().DurationVar(&o.Length, "length", 40*time.Second, "length of a run before scaling")
	cmd.Flags().Float64Var(&o.Scale, "scale", 0.4, "scale of all times; smaller is faster")
	cmd.Flags().Float64Var(&o.Load, "load", 1, "multiple of the deployment's request rate")
	cmd.Flags().StringVar(&o.Output, "output", "", "Markdown file whose newest section is replaced")
	return cmd
}

// Run performs all runs and writes the tables to out and, if set, to Output.
func Run(ctx context.Context, o Options, out io.Writer) error {
	text := bytes.NewBufferString(heading(time.Now()))
	for _, d := range Deployments {
		if o.Deployment != "" && o.Deployment != d.Name {
			continue
		}
		d.Rate *= o.Load
		results, err := runAll(ctx, d, o, out)
		if err != nil {
			return err
		}
		if err := write(io.MultiWriter(out, text), d, o, results); err != nil {
			return err
		}
		text.WriteString("\n")
	}
	if o.Output == "" {
		return nil
	}
	return replaceSection(o.Output, text.Bytes())
}

// runAll runs every policy with every seed on one deployment.
func runAll(ctx context.Context, d Deployment, o Options, out io.Writer) ([]Result, error) {
	var results []Result
	for _, seed := range o.Seeds {
		declared := d.declaration(o.Scale)
		workload := Generate(d, declared, seed, o.Length)
		for _, p := range o.Policies {
			r := &run{deployment: d, policy: p, opts: o, workload: workload, declared: declared}
			res, err := r.perform(ctx)
			if err != nil {
				return nil, fmt.Errorf("%s, %s, seed %d: %w", d.Name, p, seed, err)
			}
			res.Seed = seed
			results = append(results, res)
			fmt.Fprintf(out, "%s seed %d %s: %.1f met/accelerator/min (%d of %d), %d moves, %d rejected, %d failed, %d breaches\n",
				d.Name, seed, p, res.Attainment, res.Met, res.Offered, res.Moves(), res.Rejected, res.Failed, res.Breaches)
		}
	}
	return results, ctx.Err()
}
