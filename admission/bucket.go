package admission

import "time"

// Bucket is a team's rate limit. The zero value is full.
type Bucket struct {
	taken float64   // tokens missing from a full bucket
	at    time.Time // when taken was computed
}

// burstSeconds is how many seconds' worth of requests may arrive at once.
const burstSeconds = 1.0

// Take takes one token at the given rate (tokens a second) and returns zero,
// or returns the time until there is one and takes none.
func (b *Bucket) Take(rate float64, now time.Time) time.Duration {
	size := max(rate*burstSeconds, 1)
	if !b.at.IsZero() && now.After(b.at) {
		b.taken = max(b.taken-now.Sub(b.at).Seconds()*rate, 0)
	}
	b.at = now
	if missing := b.taken + 1 - size; missing > 0 {
		return time.Duration(missing / rate * float64(time.Second))
	}
	b.taken++
	return 0
}
