package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStreamTimeLearnsTheMedian has streams whose clients' estimates are often far off.
func TestStreamTimeLearnsTheMedian(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	var learned StreamTime
	sum, n := 0.0, 2000
	for i := range 2 * n {
		step := learned.Scale(10 * time.Millisecond)
		took := time.Duration(float64(280*6*time.Millisecond) * (0.2 + 1.6*rnd.Float64()))
		learned.Ended(280*step, took, true)
		if i >= n {
			sum += learned.Factor()
		}
	}
	mean := sum / float64(n)
	assert.Assert(t, mean > 0.5 && mean < 0.7, "factor %.2f, the median stream takes 0.6 of the expected time", mean)
}

func TestStreamTimeIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		expected, took time.Duration
		complete       bool
		low, high      float64
	}{
		"endless streams":           {time.Second, time.Hour, true, 3.9, 4.1},
		"streams that end at once":  {time.Second, 0, true, 0.24, 0.26},
		"streams cut before":        {time.Second, time.Millisecond, false, 1, 1},
		"streams cut afterwards":    {time.Second, time.Minute, false, 3.9, 4.1},
		"streams too short to tell": {time.Millisecond, 50 * time.Millisecond, true, 1, 1},
		"clock that went back":      {time.Second, -time.Hour, true, 0.24, 0.26},
	} {
		t.Run(name, func(t *testing.T) {
			var learned StreamTime
			for range 1000 {
				learned.Ended(c.expected, c.took, c.complete)
			}
			assert.Assert(t, learned.Factor() >= c.low && learned.Factor() <= c.high, "factor %.3f", learned.Factor())
		})
	}
}
