// Package measure reduces repeated measurements to figures with their spread.
package measure

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Spread is the median of repeats with the extremes.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// Of returns the spread of the values; there must be at least one.
func Of(values []float64) Spread {
	v := slices.Sorted(slices.Values(values))
	n := len(v)
	return Spread{Median: (v[(n-1)/2] + v[n/2]) / 2, Min: v[0], Max: v[n-1]}
}

// Format prints the spread with the given number of decimals.
func (s Spread) Format(decimals int) string {
	return fmt.Sprintf("%.*f (%.*f to %.*f)", decimals, s.Median, decimals, s.Min, decimals, s.Max)
}

const (
	shortest = time.Microsecond
	longest  = 10 * time.Minute
	digits   = 3 // significant digits kept
)

// Durations is a histogram of durations.
type Durations struct {
	h *hdrhistogram.Histogram
}

// NewDurations returns an empty histogram.
func NewDurations() *Durations {
	return &Durations{h: hdrhistogram.New(int64(shortest), int64(longest), digits)}
}

// Add takes a duration, held to the histogram's range.
func (d *Durations) Add(v time.Duration) {
	_ = d.h.RecordValue(int64(min(max(v, shortest), longest)))
}

// Merge adds all of other.
func (d *Durations) Merge(other *Durations) { d.h.Merge(other.h) }

// Count returns the number of durations.
func (d *Durations) Count() int64 { return d.h.TotalCount() }

// Quantile returns the duration below which the share q lies, 0.5 for the median.
func (d *Durations) Quantile(q float64) time.Duration {
	return time.Duration(d.h.ValueAtQuantile(q * 100))
}

// Milliseconds returns the quantile in milliseconds.
func (d *Durations) Milliseconds(q float64) float64 {
	return float64(d.Quantile(q)) / float64(time.Millisecond)
}

// Point is one measurement of y at x.
type Point struct {
	X, Y float64
}

// Slope is a straight line through points, by least squares.
type Slope struct {
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	Error     float64 `json:"standard_error"` // of PerUnit; 0 with fewer than three points
}

// Fit returns the line through the points. Points at fewer than two places
// give a level line.
func Fit(points []Point) Slope {
	n := float64(len(points))
	var mx, my float64
	for _, p := range points {
		mx += p.X / n
		my += p.Y / n
	}
	var sxx, sxy float64
	for _, p := range points {
		sxx += (p.X - mx) * (p.X - mx)
		sxy += (p.X - mx) * (p.Y - my)
	}
	if sxx == 0 {
		return Slope{Intercept: my}
	}
	s := Slope{PerUnit: sxy / sxx}
	s.Intercept = my - s.PerUnit*mx
	if n > 2 {
		var residual float64
		for _, p := range points {
			d := p.Y - s.At(p.X)
			residual += d * d
		}
		s.Error = math.Sqrt(residual / (n - 2) / sxx)
	}
	return s
}

// At returns the line's value at x.
func (s Slope) At(x float64) float64 { return s.Intercept + s.PerUnit*x }
