package quota

import "time"

// contactTime is how long after its last payment an entry counts as using a pool: several
// intervals between payments.
const contactTime = time.Second

// Contacts are the entries that use one entry as the pool. Without it, a pool that all have left
// would keep what they paid, and they would find it there beside that of the next pool.
type Contacts struct {
	last map[string]time.Duration // last payment, by entry
}

// Heard records a payment of an entry.
func (c *Contacts) Heard(entry string, now time.Duration) {
	if c.last == nil {
		c.last = map[string]time.Duration{}
	}
	c.last[entry] = now
}

// Fraction returns the fraction of all entries that use the pool.
func (c *Contacts) Fraction(entries int, interval, now time.Duration) float64 {
	for name, at := range c.last {
		if elapsed := now - at; elapsed < 0 || elapsed > max(contactTime, 2*interval) {
			delete(c.last, name)
		}
	}
	if entries <= 0 {
		return 0
	}
	return min(float64(len(c.last))/float64(entries), 1)
}
