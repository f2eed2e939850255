package origins

import "time"

// shiftTimes moves all times that the registry keeps but those of records.
func (g *Registry) shiftTimes(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started, g.list.read, g.told.at = g.started.Add(d), g.list.read.Add(d), g.told.at.Add(d)
	for _, u := range g.usages {
		u.newestAt = u.newestAt.Add(d)
		for software := range u.since {
			u.since[software] = u.since[software].Add(d)
		}
	}
	for _, bySoftware := range g.versions.seen {
		for software, s := range bySoftware {
			s.since, s.at = s.since.Add(d), s.at.Add(d)
			bySoftware[software] = s
		}
	}
	for _, p := range g.progress {
		for service, a := range p.adopted {
			a.heard = a.heard.Add(d)
			p.adopted[service] = a
		}
	}
	for _, w := range g.splitWaits {
		w.since = w.since.Add(d)
	}
}
