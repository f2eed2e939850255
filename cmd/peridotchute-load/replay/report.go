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

// summary is the mean of the runs of one policy over the seeds.
type summary struct {
	policy  routing.Policy
	results []Result
}

func (s summary) mean(f func(Result) float64) float64 {
	sum := 0.0
	for _, r := range s.results {
		sum += f(r)
	}
	return sum / float64(len(s.results))
}

func (s summary) merged(f func(Result) *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	out := hdrhistogram.New(1, longestSample, digits)
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

// write prints one deployment's table and its comparison.
func write(out io.Writer, d Deployment, o Options, results []Result) error {
	fmt.Fprintf(out, "### %s\n\n", d.Title)
	fmt.Fprintf(out, "%d workers, %d models, %d adapters; %.0f requests a second, %d seeds of %v each, times scaled by %v; means over the seeds.\n\n",
		d.Workers, d.Models, d.Adapters, d.Rate, len(o.Seeds), o.Length, o.Scale)
	sums := summarize(o.Policies, results)
	table(out, sums)
	compare(out, sums)
	perSeed(out, o, results)
	return nil
}

func table(out io.Writer, sums []summary) {
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

func quantiles(h *hdrhistogram.Histogram, decimals int) string {
	ms := func(q float64) string {
		return fmt.Sprintf("%.*f", decimals, float64(h.ValueAtQuantile(q))/1000)
	}
	return ms(50) + "/" + ms(95) + "/" + ms(99)
}

// compare sets the adaptive policy against the best baseline of the same run.
func compare(out io.Writer, sums []summary) {
	var ours *summary
	var best *summary
	attainment := func(r Result) float64 { return r.Attainment }
	for i := range sums {
		s := &sums[i]
		if s.policy == routing.Adaptive {
			ours = s
		} else if best == nil || s.mean(attainment) > best.mean(attainment) {
			best = s
		}
	}
	if ours == nil || best == nil {
		return
	}
	moved := func(r Result) float64 { return float64(r.Moves()) }
	bound := ours.mean(func(r Result) float64 { return r.Bound })
	fmt.Fprintf(out, "\n%s against the best baseline, %s: attainment per accelerator %.2fx, moves %.1f against %.1f. ",
		ours.policy, best.policy, ours.mean(attainment)/best.mean(attainment), ours.mean(moved), best.mean(moved))
	fmt.Fprintf(out, "Bound with perfect knowledge: %.1f met/accelerator/min; %s reaches %.0f%% of it, %s %.0f%%.\n",
		bound, ours.policy, 100*ours.mean(attainment)/bound, best.policy, 100*best.mean(attainment)/bound)
}

// perSeed prints the paired figures.
func perSeed(out io.Writer, o Options, results []Result) {
	if len(o.Seeds) < 2 {
		return
	}
	fmt.Fprint(out, "\nMet/accelerator/min by seed:")
	for _, p := range o.Policies {
		var cells []string
		for _, r := range results {
			if r.Policy == p {
				cells = append(cells, fmt.Sprintf("%.1f", r.Attainment))
			}
		}
		fmt.Fprintf(out, " %s %s;", p, strings.Join(cells, ", "))
	}
	fmt.Fprintln(out)
}

const (
	sectionBegin = "<!-- replay: newest begins -->"
	sectionEnd   = "<!-- replay: newest ends -->"
)

// replaceSection puts text in place of the newest section of a Markdown file,
// or at its end when it has none.
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

func heading(now time.Time) string {
	return fmt.Sprintf("## Attainment per accelerator and moves (%s)\n\n"+
		"`make bench`: a seeded workload (Zipf over models and adapters, sessions that share prefixes, bursts, one name's demand tenfold from 40%% of the run, one server killed at 65%%) through real entry and side processes. "+
		"Met: whole answer, first token and mean token time within targets. Baselines route among holders; static was placed with the demand before the shift known, the others begin with equal shares. The bound treats all workers as one with every prefix cached.\n\n", now.UTC().Format("2006-01-02 15:04"))
}
