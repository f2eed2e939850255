package replay

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotchute.example/routing"
)

// summary holds the results of one policy for all seeds.
type summary struct {
	policy  routing.Policy
	results []Result
}

// mean returns the mean of f over the seeds.
func (s summary) mean(f func(Result) float64) float64 {
	sum := 0.0
	for _, r := range s.results {
		sum += f(r)
	}
	return sum / float64(len(s.results))
}

// merged returns the merged histograms of all seeds.
func (s summary) merged(f func(Result) *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	out := hdrhistogram.New(1, maxSampleMicros, significantDigits)
	for _, r := range s.results {
		out.Merge(f(r))
	}
	return out
}

func summarize(policies []routing.Policy, results []Result) []summary {
	var out []summary
	for _, p := range policies {
		s := summary{policy: p}
		for _, r := range results {
			if r.Policy == p {
				s.results = append(s.results, r)
			}
		}
		if len(s.results) > 0 {
			out = append(out, s)
		}
	}
	return out
}

// write writes the table and the comparisons of one deployment.
func write(out io.Writer, d Deployment, o Options, results []Result) error {
	fmt.Fprintf(out, "### %s\n\n", d.Title)
	fmt.Fprintf(out, "%d workers, %d models, %d adapters; %.0f requests per second, %d seeds of %v each, times scaled by %v; means over the seeds.\n\n",
		d.Workers, d.Models, d.Adapters, d.Rate, len(o.Seeds), o.Length, o.Scale)
	sums := summarize(o.Policies, results)
	writeTable(out, sums)
	compareWithBaseline(out, sums)
	writeSeeds(out, o, results)
	return nil
}

func writeTable(out io.Writer, sums []summary) {
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	row := func(cells ...any) {
		for _, c := range cells {
			fmt.Fprintf(w, "| %v\t", c)
		}
		fmt.Fprintln(w, "|")
	}
	row("policy", "met/accelerator/min", "met", "goodput/s", "moves (models+adapters)", "MB between regions", "rejected", "failed", "first token p50/p95/p99 ms", "token p50/p95/p99 ms", "breaches")
	row("---", "---", "---", "---", "---", "---", "---", "---", "---", "---", "---")
	for _, s := range sums {
		offered := s.mean(func(r Result) float64 { return float64(r.Offered) })
		share := func(f func(Result) int) string {
			return fmt.Sprintf("%.1f%%", 100*s.mean(func(r Result) float64 { return float64(f(r)) })/offered)
		}
		row(s.policy,
			fmt.Sprintf("%.1f", s.mean(func(r Result) float64 { return r.Attainment })),
			share(func(r Result) int { return r.Met }),
			fmt.Sprintf("%.0f", s.mean(func(r Result) float64 { return r.Goodput })),
			fmt.Sprintf("%.1f (%.1f+%.1f)", s.mean(func(r Result) float64 { return float64(r.Moves()) }),
				s.mean(func(r Result) float64 { return float64(r.ModelLoads) }),
				s.mean(func(r Result) float64 { return float64(r.AdapterLoads) })),
			fmt.Sprintf("%.1f", s.mean(func(r Result) float64 { return float64(r.LinkBytes) / 1e6 })),
			share(func(r Result) int { return r.Rejected }),
			share(func(r Result) int { return r.Failed }),
			quantiles(s.merged(func(r Result) *hdrhistogram.Histogram { return r.First }), 0),
			quantiles(s.merged(func(r Result) *hdrhistogram.Histogram { return r.Token }), 1),
			fmt.Sprintf("%.0f", s.mean(func(r Result) float64 { return float64(r.Breaches) })))
	}
	_ = w.Flush()
}

// quantiles formats p50/p95/p99 in ms of a histogram in microseconds.
func quantiles(h *hdrhistogram.Histogram, decimals int) string {
	ms := func(q float64) string {
		return fmt.Sprintf("%.*f", decimals, float64(h.ValueAtQuantile(q))/1000)
	}
	return ms(50) + "/" + ms(95) + "/" + ms(99)
}

// compareWithBaseline writes a comparison of the adaptive policy with the best of the
// other policies.
func compareWithBaseline(out io.Writer, sums []summary) {
	var adaptive *summary
	var baseline *summary
	attainment := func(r Result) float64 { return r.Attainment }
	for i := range sums {
		s := &sums[i]
		if s.policy == routing.Adaptive {
			adaptive = s
		} else if baseline == nil || s.mean(attainment) > baseline.mean(attainment) {
			baseline = s
		}
	}
	if adaptive == nil || baseline == nil {
		return
	}
	moveCount := func(r Result) float64 { return float64(r.Moves()) }
	bound := adaptive.mean(func(r Result) float64 { return r.Bound })
	fmt.Fprintf(out, "\n%s against the best baseline, %s: attainment per accelerator %.2fx, moves %.1f against %.1f. ",
		adaptive.policy, baseline.policy, adaptive.mean(attainment)/baseline.mean(attainment), adaptive.mean(moveCount), baseline.mean(moveCount))
	fmt.Fprintf(out, "Bound with perfect knowledge: %.1f met/accelerator/min; %s reaches %.0f%% of it, %s %.0f%%.\n",
		bound, adaptive.policy, 100*adaptive.mean(attainment)/bound, baseline.policy, 100*baseline.mean(attainment)/bound)
}

// writeSeeds writes the attainment of each policy by seed.
func writeSeeds(out io.Writer, o Options, results []Result) {
	if len(o.Seeds) < 2 {
		return
	}
	fmt.Fprint(out, "\nMet/accelerator/min by seed:")
	for _, p := range o.Policies {
		var values []string
		for _, r := range results {
			if r.Policy == p {
				values = append(values, fmt.Sprintf("%.1f", r.Attainment))
			}
		}
		fmt.Fprintf(out, " %s %s;", p, strings.Join(values, ", "))
	}
	fmt.Fprintln(out)
}

const (
	sectionBegin = "<!-- replay: newest begins -->"
	sectionEnd   = "<!-- replay: newest ends -->"
)

// replaceSection replaces the newest section of a Markdown file by text. A file without
// the section gets it appended.
func replaceSection(file string, text []byte) error {
	old, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	section := slices.Concat([]byte(sectionBegin+"\n"), text, []byte(sectionEnd))
	begin := bytes.Index(old, []byte(sectionBegin))
	end := bytes.Index(old, []byte(sectionEnd))
	if begin < 0 || end < begin {
		return os.WriteFile(file, slices.Concat(bytes.TrimRight(old, "\n"), []byte("\n\n"), section, []byte("\n")), 0o644)
	}
	return os.WriteFile(file, slices.Concat(old[:begin], section, old[end+len(sectionEnd):]), 0o644)
}

// heading returns the Markdown heading of a measurement and its explanation.
func heading(now time.Time) string {
	return fmt.Sprintf("## Attainment per accelerator and moves (%s)\n\n"+
		"`make bench`: a seeded workload (Zipf over models and adapters, sessions that share prefixes, bursts, demand for one name tenfold from 40%% of the run, one server killed at 65%%) through real entry and side processes. "+
		"Met: complete answer, first token and mean token time within targets. Baselines route among the workers that have loaded the model; the initial placement of static knows the demand before the shift, the others start with equal shares. The bound treats all workers as one with every prefix cached.\n\n", now.UTC().Format("2006-01-02 15:04"))
}
