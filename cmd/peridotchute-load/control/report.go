package control

import (
	"fmt"
	"io"

	"peridotchute.example/cmd/peridotchute-load/measure"
	"peridotchute.example/cmd/peridotchute-load/plots"
)

// quantity is a value measured in every window.
type quantity struct {
	name  string
	unit  string
	value func(window) float64
}

var quantities = []quantity{
	{"entry, processor", "% of a core", func(w window) float64 { return w.entry.cpuPercent }},
	{"entry, control traffic", "B/s", func(w window) float64 { return w.entry.bytesPerSecond }},
	{"entry, resident memory", "MB", func(w window) float64 { return w.entry.memoryMB }},
	{"entry, heap", "MB", func(w window) float64 { return w.entry.heapMB }},
	{"side, processor", "% of a core", func(w window) float64 { return w.side.cpuPercent }},
	{"side, control traffic", "B/s", func(w window) float64 { return w.side.bytesPerSecond }},
	{"side, resident memory", "MB", func(w window) float64 { return w.side.memoryMB }},
	{"side, heap", "MB", func(w window) float64 { return w.side.heapMB }},
	{"table, reads", "a second", func(w window) float64 { return w.reads }},
	{"table, writes", "a second", func(w window) float64 { return w.writes }},
	{"entry, VM list read", "B/s", func(w window) float64 { return w.vmListBytes }},
}

// series is a set of samples in which one parameter, x, was varied.
type series struct {
	name    string
	x       string
	samples []sample
}

func (r *results) allSeries() []series {
	return []series{
		{"side processes before one entry", "side process", r.sides},
		{"side processes replaced a second", "replacement a second", r.replacements},
		{"entries before two side processes", "entry", r.entries},
		{"declared models, two adapters each", "model", r.models},
		{"declared models, two changes a second", "model", r.changes},
		{"loads of models a second", "load a second", r.loads},
	}
}

// report writes the fitted line and the measured medians of every quantity.
func (r *results) report(out io.Writer) error {
	for _, s := range r.allSeries() {
		if len(s.samples) == 0 {
			continue
		}
		if _, err := fmt.Fprintf(out, "\n### %s\n\n| figure | at 0 | for each further %s | standard error | measured |\n|---|---|---|---|---|\n", s.name, s.x); err != nil {
			return err
		}
		for _, q := range quantities {
			line := measure.Fit(points(s.samples, q.value))
			_, err := fmt.Fprintf(out, "| %s, %s | %.4g | %.4g | %.2g | %s |\n", q.name, q.unit, line.Intercept, line.PerUnit, line.Error, medians(s.samples, q.value))
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// medians formats the median, minimum and maximum at each value of x.
func medians(samples []sample, value func(window) float64) string {
	var out string
	for start := 0; start < len(samples); {
		end := start
		var values []float64
		for end < len(samples) && samples[end].x == samples[start].x {
			values = append(values, value(samples[end].window))
			end++
		}
		s := measure.NewSpread(values)
		out += fmt.Sprintf("%g: %.4g (%.4g to %.4g); ", samples[start].x, s.Median, s.Min, s.Max)
		start = end
	}
	return out
}

// draw plots processor time, control traffic and memory against the numbers of
// side processes, entries and models.
func (r *results) draw(dir string) error {
	charts := []struct {
		file  string
		y     string
		entry func(window) float64
		side  func(window) float64
	}{
		{"processor", "% of a core", quantities[0].value, quantities[4].value},
		{"traffic", "bytes a second", quantities[1].value, quantities[5].value},
		{"memory", "resident MB", quantities[2].value, quantities[6].value},
	}
	sets := []struct {
		file string
		s    series
	}{{"sides", r.allSeries()[0]}, {"entries", r.allSeries()[2]}, {"models", r.allSeries()[3]}}
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
