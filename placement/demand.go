package placement

import (
	"math"
	"sort"
	"time"

	"peridotchute.example/common/wire"
)

const (
	// Time constants of the estimate.
	riseTimeConstant = 3 * time.Second // while demand rises
	fallTimeConstant = 3 * time.Minute // while demand falls

	// minRate is the rate, in requests per second, below which an artifact is
	// dropped from the estimate.
	minRate = 1e-4
)

// Estimator smooths the demand for artifacts. It follows a rise fast and a fall
// slowly, so that a pause between two bursts causes no moves.
type Estimator struct {
	scale        float64 // factor of the time constants
	rates        map[wire.Artifact]float64
	lastObserved time.Time
}

// NewEstimator returns an estimator without demand. scale multiplies its time
// constants; 0 means 1.
func NewEstimator(scale float64) *Estimator {
	if scale <= 0 {
		scale = 1
	}
	return &Estimator{scale: scale, rates: map[wire.Artifact]float64{}}
}

// Observe applies the number of requests per artifact that arrived since the
// last call. The first call only sets the start time.
func (e *Estimator) Observe(arrived map[wire.Artifact]int, now time.Time) {
	last := e.lastObserved
	e.lastObserved = now
	seconds := now.Sub(last).Seconds()
	if last.IsZero() || seconds <= 0 {
		return
	}
	for a := range arrived {
		if _, ok := e.rates[a]; !ok {
			e.rates[a] = 0
		}
	}
	for a, rate := range e.rates {
		seen := float64(arrived[a]) / seconds
		constant := fallTimeConstant
		if seen > rate {
			constant = riseTimeConstant
		}
		share := 1 - math.Exp(-seconds/(constant.Seconds()*e.scale))
		rate += (seen - rate) * share
		if rate < minRate {
			delete(e.rates, a)
			continue
		}
		e.rates[a] = rate
	}
}

// Rates returns the smoothed request rates, sorted by artifact.
func (e *Estimator) Rates() []Demand {
	out := make([]Demand, 0, len(e.rates))
	for a, rate := range e.rates {
		out = append(out, Demand{Artifact: a, Rate: rate})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Artifact.String() < out[j].Artifact.String() })
	return out
}
