// Package plots draws measurements as SVG files.
package plots

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"peridotchute.example/cmd/peridotchute-load/measure"
)

const (
	width  = 16 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Series is one line of a chart.
type Series struct {
	Name   string
	Points []measure.Point
}

// Chart is a set of lines over a common axis.
type Chart struct {
	Title  string
	X, Y   string // axis labels, with units
	Series []Series
}

// Write draws the chart into dir/name.svg.
func (c Chart) Write(dir, name string) error {
	p := plot.New()
	p.Title.Text = c.Title
	p.X.Label.Text = c.X
	p.Y.Label.Text = c.Y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	var lines []any
	for _, s := range c.Series {
		xys := make(plotter.XYs, len(s.Points))
		for i, point := range s.Points {
			xys[i] = plotter.XY{X: point.X, Y: point.Y}
		}
		lines = append(lines, s.Name, xys)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("draw %s: %w", name, err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return p.Save(width, height, filepath.Join(dir, name+".svg"))
}
