package quarantine

import "time"

const (
	answeredTTL = 5 * time.Minute // for how long at least an answered part is remembered
	maxAnswered = 1 << 14         // parts in each of the two generations of answers
)

// answers records when parts were last in an answered request. It forgets in two
// generations.
type answers struct {
	current, previous map[uint64]time.Time
	rotated           time.Time
	latest            time.Time // of any answer
}

func (a *answers) add(parts []uint64, now time.Time) {
	if a.current == nil || len(a.current) >= maxAnswered || now.Sub(a.rotated) >= answeredTTL {
		a.previous, a.current, a.rotated = a.current, map[uint64]time.Time{}, now
	}
	a.latest = now
	for _, p := range parts {
		a.current[p] = now
	}
}

// of returns when a part was last in an answered request, or zero.
func (a *answers) of(part uint64) time.Time {
	if at, ok := a.current[part]; ok {
		return at
	}
	return a.previous[part]
}
