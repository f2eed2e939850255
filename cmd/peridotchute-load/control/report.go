package control

import (
	"fmt"
	"io"

	"peridotchute.example/cmd/peridotchute-load/measure"
	"peridotchute.example/cmd/peridotchute-load/plots"
)

// quantity is one thing that is measured in every window.
type quantity struct {
	name string
	unit string
	of   func(window) float64
}

var quantities = []quantity{
	{"entry, processor", "% of a core", func(w window) float64 { return w.entry.core }},
	{"entry, control traffic", "B/s", func(w window) float64 { return w.entry.bytes }},
	{"entry, resident memory", "MB", func(w window) float64 { return w.entry.memory }},
	{"entry, heap", "MB", func(w window) float64 { return w.entry.heap }},
	{"side, processor", "% of a core", func(w window) float64 { return w.side.core }},
	{"side, control traffic", "B/s", func(w window) float64 { return w.side.bytes }},
	{"side, resident memory", "MB", func(w window) float64 { return w.side.memory }},
	{"side, heap", "MB", func(w window) float64 { return w.side.heap }},
	{"table, reads", "a second", func(w window) float64 { return w.reads }},
	{"table, writes", "a second", func(w window) float64 { return w.writes }},
	{"entry, VM list read", "B/s", func(w window) float64 { return w.list }},
}

// series is what was varied in one set of samples.
type series struct {
	name    string
	x       string
	samples []sample
}

func (r *results) all() []series {
	return []series{
		{"side processes before one entry", "side process", r.sides},
		{"side processes replaced a second", "replacement a second", r.churn},
		{"entries before two side processes", "entry", r.entries},
		{"declared models, two adapters each", "model", r.models},
		{"declared models, two changes a second", "model", r.changes},
		{"loads of models a second", "load a second", r.moves},
	}
}

// report writes the fitted line of every quantity, and the measured medians.
func (r *results) report(out io.Writer) error {
	for _, s := range r.all() {
		if len(s.samples) == 0 {
			continue
		}
		if _, err := fmt.Fprintf(out, "\n### %s\n\n| figure | at 0 | for each further %s | standard error | measured |\n|---|---|---|---|---|\n", s.name, s.x); err != nil {
			return err
		}
		for _, q := range quantities {
			line := measure.Fit(points(s.samples, q.of))
			_, err := fmt.Fprintf(out, "| %s, %s | %.4g | %.4g | %.2g | %s |\n", q.name, q.unit, line.Intercept, line.PerUnit, line.Error, medians(s.samples, q.of))
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// medians lists the median at each value of x.
func medians(samples []sample, of func(window) float64) string {
	var out string
	for start := 0; start < len(samples); {
		end := start
		var values []float64
		for end < len(samples) && samples[end].x == samples[start].x {
			values = append(values, of(samples[end].w))
			end++
		}
		s := measure.Of(values)
		out += fmt.Sprintf("%g: %.4g (%.4g to %.4g); ", samples[start].x, s.Median, s.Min, s.Max)
		start = end
	}
	return out
}

// draw plots traffic, processor time and memory against each varied number.
func (r *results) draw(dir string) error {
	charts := []struct {
		file  string
		y     string
		entry func(window) float64
		side  func(window) float64
	}{
		{"processor", "% of a core", quantities[0].of, quantities[4].of},
		{"traffic", "bytes a second", quantities[1].of, quantities[5].of},
		{"memory", "resident MB", quantities[2].of, quantities[6].of},
	}
	sets := []struct {
		file string
		s    series
	}{{"sides", r.all()[0]}, {"entries", r.all()[2]}, {"models", r.all()[3]}}
	for _, set := range sets {
		for _, c := range charts {
			chart := plots.Chart{Title: "Control against " + set.s.name, X: set.s.name, Y: c.y}
			chart.Series = []plots.Series{
				{Name: "entry", Points: points(set.s.samples, c.entry)},
				{Name: "side process", Points: points(set.s.samples, c.side)},
			}
			if err := chart.Write(dir, "control-"+set.file+"-"+c.file); err != nil {
				return err
			}
		}
	}
	return nil
}
