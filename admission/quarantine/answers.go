package quarantine

import "time"

const (
	answeredTTL = 5 * time.Minute // for how long at least an answered cause is remembered
	maxServices = 256             // whose latest answer is remembered
	maxAnswered = 1 << 14         // causes of each kind in each of the two generations of answers
)

// answers records when causes were last in an answered request.
type answers struct {
	byKind [WholeRequest + 1]generations
	latest map[string]time.Time // of any answer, by service
}

// generations forgets in two generations.
type generations struct {
	current, previous map[uint64]time.Time
	rotated           time.Time
}

func (a *answers) add(service string, causes []Cause, now time.Time) {
	if a.latest == nil || len(a.latest) >= maxServices {
		a.latest = map[string]time.Time{}
	}
	a.latest[service] = now
	for _, c := range causes {
		a.byKind[c.Kind].add(c.ID, now)
	}
}

// of returns when a cause was last in an answered request, or zero.
func (a *answers) of(c Cause) time.Time { return a.byKind[c.Kind].of(c.ID) }

func (g *generations) add(id uint64, now time.Time) {
	if g.current == nil || len(g.current) >= maxAnswered || now.Sub(g.rotated) >= answeredTTL {
		g.previous, g.current, g.rotated = g.current, map[uint64]time.Time{}, now
	}
	g.current[id] = now
}

func (g *generations) of(id uint64) time.Time {
	if at, ok := g.current[id]; ok {
		return at
	}
	return g.previous[id]
}
