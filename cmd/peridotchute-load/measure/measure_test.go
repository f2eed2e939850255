package measure

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSpread(t *testing.T) {
	assert.Equal(t, NewSpread([]float64{3, 1, 2}), Spread{Median: 2, Min: 1, Max: 3})
	assert.Equal(t, NewSpread([]float64{4, 1, 2, 3}), Spread{Median: 2.5, Min: 1, Max: 4})
	assert.Equal(t, NewSpread([]float64{0.125}).Format(2), "0.12 (0.12 to 0.12)")
}

func TestQuantilesOfDurations(t *testing.T) {
	d := NewDurations()
	for i := 1; i <= 100; i++ {
		d.Add(time.Duration(i) * time.Millisecond)
	}
	assert.Equal(t, d.Count(), int64(100))
	assert.Assert(t, math.Abs(d.Milliseconds(0.5)-50) < 0.1)
	assert.Assert(t, math.Abs(d.Milliseconds(0.99)-99) < 0.1)
}

func TestFitOfLine(t *testing.T) {
	s := Fit([]Point{{0, 1}, {1, 3}, {2, 5}})
	assert.Assert(t, math.Abs(s.At(100)-201) < 1e-9)
	assert.Assert(t, s.Error < 1e-9)
	assert.Equal(t, Fit([]Point{{4, 2}, {4, 4}}), Slope{Intercept: 3})
}
