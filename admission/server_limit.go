package admission

import "time"

const (
	// serverLimitBurst is how many requests an entry may send at once after a pause.
	serverLimitBurst = 1

	// extraSharers is how many entries share a limit beyond one for each request a
	// second: requests for a rare model come to any entry, and the server must bear as
	// many at once.
	extraSharers = 4

	// minServerRate, in requests per second, lets an entry learn that a server which
	// named a lower limit has lifted it.
	minServerRate = 0.2
)

// ServerLimit keeps to one entry's part of the rate of requests that a server takes from
// all entries together. The zero value is no limit.
//
// Invariant: if the parts of all entries add up to at most 1, and no more than
// LimitSharers have one, they send at most serverLimitBurst x LimitSharers more than the
// rate allows in any period.
type ServerLimit struct {
	limited   bool
	perSecond float64 // of all entries
	part      float64 // of this entry, between 0 and 1
	tokens    float64
	at        time.Time // when tokens was computed
}

// LimitSharers returns how many of the entries share a limit: with few requests a second,
// a part for each of many entries would allow a burst from each.
func LimitSharers(perSecond float64, entries int) int {
	return min(int(min(perSecond, float64(entries)))+extraSharers, max(entries, 1))
}

// Set sets the rate of all entries and the part of this one.
func (l *ServerLimit) Set(perSecond, part float64, now time.Time) {
	l.refill(now)
	if !l.limited || l.part == 0 {
		l.tokens = 0 // others may just have used the part that this entry takes over
	}
	l.limited, l.perSecond, l.part = true, perSecond, part
}

// Lift removes the limit.
func (l *ServerLimit) Lift() { *l = ServerLimit{} }

// Limited reports whether there is a limit.
func (l *ServerLimit) Limited() bool { return l.limited }

// PerSecond returns the rate of all entries. It is meaningless without a limit.
func (l *ServerLimit) PerSecond() float64 { return l.perSecond }

// Allows reports whether a request may be sent now.
func (l *ServerLimit) Allows(now time.Time) bool {
	if !l.limited {
		return true
	}
	l.refill(now)
	return l.part > 0 && l.tokens >= 1
}

// Until returns the time until a request may be sent, and false if this entry has no part
// of the rate.
func (l *ServerLimit) Until(now time.Time) (wait time.Duration, ok bool) {
	if l.Allows(now) {
		return 0, true
	}
	if l.part <= 0 {
		return 0, false
	}
	return time.Duration((1 - l.tokens) / l.Rate() * float64(time.Second)), true
}

// Rate returns this entry's part of the rate, in requests per second.
func (l *ServerLimit) Rate() float64 { return max(l.perSecond, minServerRate) * l.part }

// Take counts a request that is sent now.
func (l *ServerLimit) Take(now time.Time) {
	if l.limited {
		l.refill(now)
		l.tokens--
	}
}

func (l *ServerLimit) refill(now time.Time) {
	if elapsed := now.Sub(l.at); !l.at.IsZero() && elapsed > 0 {
		l.tokens = min(l.tokens+elapsed.Seconds()*l.Rate(), serverLimitBurst)
	}
	l.at = now
}
