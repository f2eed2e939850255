package admission

import "time"

// Limit is a server's adaptive concurrency limit. It grows by one a round of
// answers while first tokens come in time at the limit, and shrinks in
// proportion when they do not.
type Limit struct {
	value  float64
	low    float64
	high   float64
	shrunk time.Time
}

const (
	shrinkFactor = 0.9
	shrinkEvery  = 500 * time.Millisecond // answers under way when it shrinks say nothing new
	nearLimit    = 0.8                    // a server less busy than this says nothing about its limit
)

// NewLimit returns a limit that starts at start and stays from low to high
// (requests in progress).
func NewLimit(start, low, high int) Limit {
	return Limit{value: float64(start), low: float64(low), high: float64(high)}
}

// Value returns the limit in requests.
func (l *Limit) Value() int { return int(l.value) }

// Observe takes one answer into account: whether its first token came in time,
// and how many requests were in progress when it was sent.
func (l *Limit) Observe(inTime bool, inProgress int, now time.Time) {
	switch {
	case !inTime:
		if now.Sub(l.shrunk) >= shrinkEvery {
			l.value = max(l.value*shrinkFactor, l.low)
			l.shrunk = now
		}
	case float64(inProgress) >= l.value*nearLimit:
		l.value = min(l.value+1/l.value, l.high)
	}
}
