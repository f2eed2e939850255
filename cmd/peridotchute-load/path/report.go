package path

import (
	"fmt"
	"io"

	"peridotchute.example/cmd/peridotchute-load/measure"
	"peridotchute.example/cmd/peridotchute-load/plots"
)

// figure is one line of the report.
type figure struct {
	name     string
	decimals int
	of       func(round) float64
}

var figures = []figure{
	{"first byte, direct, p50, ms", 3, func(r round) float64 { return r.directFirst.Milliseconds(0.5) }},
	{"first byte, added, p50, ms", 3, func(r round) float64 { return added(r.pathFirst, r.directFirst, 0.5) }},
	{"first byte, added, p99, ms", 3, func(r round) float64 { return added(r.pathFirst, r.directFirst, 0.99) }},
	{"answers/s, direct", 0, func(r round) float64 { return r.directRate }},
	{"answers/s, path", 0, func(r round) float64 { return r.pathRate }},
	{"answers/s, path by direct", 2, func(r round) float64 { return r.pathRate / r.directRate }},
	{"entry, processor time a request, us", 1, func(r round) float64 { return r.entryRequest.microseconds }},
	{"side, processor time a request, us", 1, func(r round) float64 { return r.sideRequest.microseconds }},
	{"entry, objects allocated a request", 0, func(r round) float64 { return r.entryRequest.mallocs }},
	{"side, objects allocated a request", 0, func(r round) float64 { return r.sideRequest.mallocs }},
	{"gap between tokens, direct, p50, ms", 2, func(r round) float64 { return r.directGaps.Milliseconds(0.5) }},
	{"gap between tokens, added, p50, ms", 3, func(r round) float64 { return added(r.pathGaps, r.directGaps, 0.5) }},
	{"gap between tokens, added, p99, ms", 3, func(r round) float64 { return added(r.pathGaps, r.directGaps, 0.99) }},
	{"tokens/s through the entry", 0, func(r round) float64 { return r.tokenRate }},
	{"entry, core at that rate, %", 2, func(r round) float64 { return 100 * r.entryCore }},
	{"entry, core at 3,200 tokens/s, %", 2, func(r round) float64 { return 100 * r.entryCore * 3200 / r.tokenRate }},
	{"sides together, core at that rate, %", 2, func(r round) float64 { return 100 * r.sideCore }},
	{"entry, processor time a token, us", 2, func(r round) float64 { return r.entryToken.microseconds }},
	{"side, processor time a token, us", 2, func(r round) float64 { return r.sideToken.microseconds }},
	{"entry, writes a token", 2, func(r round) float64 { return r.entryToken.writes }},
	{"side, writes a token", 2, func(r round) float64 { return r.sideToken.writes }},
	{"entry, objects allocated a token", 2, func(r round) float64 { return r.entryToken.mallocs }},
	{"side, objects allocated a token", 2, func(r round) float64 { return r.sideToken.mallocs }},
	{"entry, bytes allocated a token", 0, func(r round) float64 { return r.entryToken.bytes }},
	{"side, bytes allocated a token", 0, func(r round) float64 { return r.sideToken.bytes }},
}

func added(path, direct *measure.Durations, q float64) float64 {
	return path.Milliseconds(q) - direct.Milliseconds(q)
}

// report writes a Markdown table: the median of the rounds and the extremes.
func report(out io.Writer, rounds []round) error {
	if _, err := fmt.Fprintf(out, "| figure | median of %d (least to most) |\n|---|---|\n", len(rounds)); err != nil {
		return err
	}
	for _, f := range figures {
		values := make([]float64, len(rounds))
		for i, r := range rounds {
			values[i] = f.of(r)
		}
		if _, err := fmt.Fprintf(out, "| %s | %s |\n", f.name, measure.Of(values).Format(f.decimals)); err != nil {
			return err
		}
	}
	return nil
}

// draw plots the quantiles of all rounds together.
func draw(dir string, rounds []round) error {
	direct, through := measure.NewDurations(), measure.NewDurations()
	directGaps, pathGaps := measure.NewDurations(), measure.NewDurations()
	for _, r := range rounds {
		direct.Merge(r.directFirst)
		through.Merge(r.pathFirst)
		directGaps.Merge(r.directGaps)
		pathGaps.Merge(r.pathGaps)
	}
	first := plots.Chart{Title: "Time to the first byte", X: "share of requests, %", Y: "ms"}
	first.Series = []plots.Series{{Name: "engine directly", Points: quantiles(direct)}, {Name: "whole path", Points: quantiles(through)}}
	if err := first.Write(dir, "path-first-byte"); err != nil {
		return err
	}
	gaps := plots.Chart{Title: "Gap between tokens", X: "share of tokens, %", Y: "ms"}
	gaps.Series = []plots.Series{{Name: "engines directly", Points: quantiles(directGaps)}, {Name: "whole path", Points: quantiles(pathGaps)}}
	return gaps.Write(dir, "path-token-gap")
}

func quantiles(d *measure.Durations) []measure.Point {
	var out []measure.Point
	for percent := 1.0; percent <= 99; percent++ {
		out = append(out, measure.Point{X: percent, Y: d.Milliseconds(percent / 100)})
	}
	return out
}
