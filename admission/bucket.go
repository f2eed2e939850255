package admission

import "time"

// Bucket is a token bucket that limits the request rate of a team. The zero
// value is full.
type Bucket struct {
	used float64   // tokens missing from a full bucket
	at   time.Time // when used was computed
}

// burstSeconds is the size of a full bucket, in seconds of the rate.
const burstSeconds = 1.0

// Take takes one token and returns 0. If the bucket is empty, it takes none and
// returns the time until the next token. The rate is in tokens per second.
func (b *Bucket) Take(rate float64, now time.Time) time.Duration {
	size := max(rate*burstSeconds, 1)
	if !b.at.IsZero() && now.After(b.at) {
		b.used = max(b.used-now.Sub(b.at).Seconds()*rate, 0)
	}
	b.at = now
	if missing := b.used + 1 - size; missing > 0 {
		return time.Duration(missing / rate * float64(time.Second))
	}
	b.used++
	return 0
}
