package admission

import "time"

// Limit is a server's adaptive concurrency limit, with additive increase and
// multiplicative decrease. While the server is near the limit and first tokens
// are on time, it grows by about one per limit's worth of answers. It shrinks
// by a factor when a first token is late.
type Limit struct {
	value      float64
	low        float64
	high       float64
	lastShrink time.Time
}

const (
	shrinkFactor   = 0.9
	shrinkInterval = 500 * time.Millisecond // requests sent before a decrease don't reflect it yet
	minLoadShare   = 0.8                    // share of the limit in use from which an answer on time raises it
)

// NewLimit returns a limit that starts at start and stays between low and high,
// all in requests in progress.
func NewLimit(start, low, high int) Limit {
	return Limit{value: float64(start), low: float64(low), high: float64(high)}
}

// Value returns the limit in requests.
func (l *Limit) Value() int { return int(l.value) }

// Observe adjusts the limit after one answer. inTime reports whether its first
// token was on time, and inProgress how many requests were in progress at the
// server when the request was sent.
func (l *Limit) Observe(inTime bool, inProgress int, now time.Time) {
	switch {
	case !inTime:
		if now.Sub(l.lastShrink) >= shrinkInterval {
			l.value = max(l.value*shrinkFactor, l.low)
			l.lastShrink = now
		}
	case float64(inProgress) >= l.value*minLoadShare:
		l.value = min(l.value+1/l.value, l.high)
	}
}
