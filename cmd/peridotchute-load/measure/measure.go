// Package measure summarizes repeated measurements: medians with their spread,
// histograms of durations and fitted lines.
package measure

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Spread is the median of repeated measurements with the minimum and maximum.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// NewSpread returns the spread of the values. It panics if there are none.
func NewSpread(values []float64) Spread {
	v := slices.Sorted(slices.Values(values))
	n := len(v)
	return Spread{Median: (v[(n-1)/2] + v[n/2]) / 2, Min: v[0], Max: v[n-1]}
}

// Format formats the spread with the given number of decimals.
func (s Spread) Format(decimals int) string {
	return fmt.Sprintf("%.*f (%.*f to %.*f)", decimals, s.Median, decimals, s.Min, decimals, s.Max)
}

const (
	minDuration       = time.Microsecond
	maxDuration       = 10 * time.Minute
	significantDigits = 3
)

// Durations is a histogram of durations.
type Durations struct {
	h *hdrhistogram.Histogram
}

// NewDurations returns an empty histogram.
func NewDurations() *Durations {
	return &Durations{h: hdrhistogram.New(int64(minDuration), int64(maxDuration), significantDigits)}
}

// Add records a duration, clamped to the range of the histogram.
func (d *Durations) Add(v time.Duration) {
	_ = d.h.RecordValue(int64(min(max(v, minDuration), maxDuration)))
}

// Merge adds the durations of other.
func (d *Durations) Merge(other *Durations) { d.h.Merge(other.h) }

// Count returns the number of recorded durations.
func (d *Durations) Count() int64 { return d.h.TotalCount() }

// Quantile returns the quantile q, from 0 to 1; 0.5 is the median.
func (d *Durations) Quantile(q float64) time.Duration {
	return time.Duration(d.h.ValueAtQuantile(q * 100))
}

// Milliseconds returns the quantile q in milliseconds.
func (d *Durations) Milliseconds(q float64) float64 {
	return float64(d.Quantile(q)) / float64(time.Millisecond)
}

// Point is one measurement of y at x.
type Point struct {
	X, Y float64
}

// Slope is a straight line fitted to points by least squares.
type Slope struct {
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	Error     float64 `json:"standard_error"` // of PerUnit; 0 with fewer than three points
}

// Fit returns the line fitted to the points. With fewer than two distinct values of
// X the line is level.
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
