package routing

import (
	"math"
	"time"
)

// How long a stream takes depends on how much its server reads for others meanwhile and
// on how far off its client's estimate of its length is. Neither is known when the
// stream begins, but over many streams both show.

const (
	streamTimeStep      = 0.02                   // change of the logarithm of the factor by one stream
	maxStreamTimeFactor = 4.0                    // limits the factor, and its inverse
	minStreamTime       = 100 * time.Millisecond // shorter streams give no usable measurement
)

// StreamTime is the learned median ratio of the time that streams take after their first
// event to the time expected by EngineChoice.Step. The zero value has a factor of 1. It
// is not safe for concurrent use.
type StreamTime struct {
	logFactor float64 // natural logarithm of the factor
}

// Factor returns by what the expected time is to be multiplied.
func (t *StreamTime) Factor() float64 { return math.Exp(t.logFactor) }

// Scale returns the step of a choice by the times of earlier streams.
func (t *StreamTime) Scale(step time.Duration) time.Duration {
	return time.Duration(float64(step) * t.Factor())
}

// Ended records that a stream took some time after its first event, for which expected
// was the scaled estimate. An incomplete stream counts only if it took longer.
func (t *StreamTime) Ended(expected, took time.Duration, complete bool) {
	if max(expected, took) < minStreamTime {
		return
	}
	switch {
	case took > expected:
		t.logFactor += streamTimeStep
	case complete:
		t.logFactor -= streamTimeStep
	}
	limit := math.Log(maxStreamTimeFactor)
	t.logFactor = min(max(t.logFactor, -limit), limit)
}
