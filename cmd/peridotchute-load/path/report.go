package path

import (
	"peridotchute.example/cmd/peridotchute-load/measure"
	"peridotchute.example/cmd/peridotchute-load/plots"
)

var figures = []measure.Figure[round]{
	{Name: "first byte, direct, p50, ms", Decimals: 3, Value: func(r round) float64 { return r.directFirst.Milliseconds(0.5) }},
	{Name: "first byte, added, p50, ms", Decimals: 3, Value: func(r round) float64 { return addedMilliseconds(r.pathFirst, r.directFirst, 0.5) }},
	{Name: "first byte, added, p99, ms", Decimals: 3, Value: func(r round) float64 { return addedMilliseconds(r.pathFirst, r.directFirst, 0.99) }},
	{Name: "answers/s, direct", Decimals: 0, Value: func(r round) float64 { return r.directRate }},
	{Name: "answers/s, path", Decimals: 0, Value: func(r round) float64 { return r.pathRate }},
	{Name: "answers/s, path by direct", Decimals: 2, Value: func(r round) float64 { return r.pathRate / r.directRate }},
	{Name: "entry, processor time a request, us", Decimals: 1, Value: func(r round) float64 { return r.entryRequest.microseconds }},
	{Name: "side, processor time a request, us", Decimals: 1, Value: func(r round) float64 { return r.sideRequest.microseconds }},
	{Name: "entry, objects allocated a request", Decimals: 0, Value: func(r round) float64 { return r.entryRequest.mallocs }},
	{Name: "side, objects allocated a request", Decimals: 0, Value: func(r round) float64 { return r.sideRequest.mallocs }},
	{Name: "gap between tokens, direct, p50, ms", Decimals: 2, Value: func(r round) float64 { return r.directGaps.Milliseconds(0.5) }},
	{Name: "gap between tokens, added, p50, ms", Decimals: 3, Value: func(r round) float64 { return addedMilliseconds(r.pathGaps, r.directGaps, 0.5) }},
	{Name: "gap between tokens, added, p99, ms", Decimals: 3, Value: func(r round) float64 { return addedMilliseconds(r.pathGaps, r.directGaps, 0.99) }},
	{Name: "tokens/s through the entry", Decimals: 0, Value: func(r round) float64 { return r.tokenRate }},
	{Name: "entry, core at that rate, %", Decimals: 2, Value: func(r round) float64 { return 100 * r.entryCore }},
	{Name: "entry, core at 3,200 tokens/s, %", Decimals: 2, Value: func(r round) float64 { return 100 * r.entryCore * 3200 / r.tokenRate }},
	{Name: "sides together, core at that rate, %", Decimals: 2, Value: func(r round) float64 { return 100 * r.sideCore }},
	{Name: "entry, processor time a token, us", Decimals: 2, Value: func(r round) float64 { return r.entryToken.microseconds }},
	{Name: "side, processor time a token, us", Decimals: 2, Value: func(r round) float64 { return r.sideToken.microseconds }},
	{Name: "entry, writes a token", Decimals: 2, Value: func(r round) float64 { return r.entryToken.writes }},
	{Name: "side, writes a token", Decimals: 2, Value: func(r round) float64 { return r.sideToken.writes }},
	{Name: "entry, objects allocated a token", Decimals: 2, Value: func(r round) float64 { return r.entryToken.mallocs }},
	{Name: "side, objects allocated a token", Decimals: 2, Value: func(r round) float64 { return r.sideToken.mallocs }},
	{Name: "entry, bytes allocated a token", Decimals: 0, Value: func(r round) float64 { return r.entryToken.bytes }},
	{Name: "side, bytes allocated a token", Decimals: 0, Value: func(r round) float64 { return r.sideToken.bytes }},
}

func addedMilliseconds(path, direct *measure.Durations, q float64) float64 {
	return path.Milliseconds(q) - direct.Milliseconds(q)
}

// draw plots the quantiles over all rounds.
func draw(dir string, rounds []round) error {
	direct, viaPath := measure.NewDurations(), measure.NewDurations()
	directGaps, pathGaps := measure.NewDurations(), measure.NewDurations()
	for _, r := range rounds {
		direct.Merge(r.directFirst)
		viaPath.Merge(r.pathFirst)
		directGaps.Merge(r.directGaps)
		pathGaps.Merge(r.pathGaps)
	}
	first := plots.Chart{Title: "Time to the first byte", X: "share of requests, %", Y: "ms"}
	first.Series = []plots.Series{{Name: "engine directly", Points: quantilePoints(direct)}, {Name: "whole path", Points: quantilePoints(viaPath)}}
	if err := first.Write(dir, "path-first-byte"); err != nil {
		return err
	}
	gaps := plots.Chart{Title: "Gap between tokens", X: "share of tokens, %", Y: "ms"}
	gaps.Series = []plots.Series{{Name: "engines directly", Points: quantilePoints(directGaps)}, {Name: "whole path", Points: quantilePoints(pathGaps)}}
	return gaps.Write(dir, "path-token-gap")
}

func quantilePoints(d *measure.Durations) []measure.Point {
	var out []measure.Point
	for percent := 1.0; percent <= 99; percent++ {
		out = append(out, measure.Point{X: percent, Y: d.Milliseconds(percent / 100)})
	}
	return out
}
