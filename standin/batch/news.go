package batch

import "slices"

// lost notes that a server has gone.
func (e *entry) lost(i int) {
	e.known[i].Usable = false
	e.known[i].Restarted()
	e.queue.ServersLost()
	e.decide()
}

// back notes that a server has come up again.
func (e *entry) back(i int) {
	e.known[i].Usable = true
	e.queue.ServerChanged("")
	e.decide()
}

// hear takes in what another entry has under way.
func (e *entry) hear(from *entry) {
	now := e.clock.now
	for i, s := range from.known {
		e.known[i].Batch.SetPeerLoad(from.name, s.Batch.OwnLoad(now), now, now)
	}
	e.queue.ServerChanged("")
	e.plain.hear(from.plain)
}

// rescue takes requests back from servers that have gone silent and sends them
// elsewhere.
func (e *entry) rescue() {
	now, silent := e.clock.now, map[int]bool{}
	for _, a := range slices.Clone(e.waiting) {
		if a.run == nil {
			continue
		}
		if known := e.known[a.server]; silent[a.server] || known.Batch.Stalled(now) {
			silent[a.server] = true
			e.servers[a.server].cancel(a.run)
			known.Health.Stalled(now)
			e.broken(a, a.run)
		}
	}
}

func (e *entry) unwait(a *attempt) {
	e.waiting = slices.DeleteFunc(e.waiting, func(other *attempt) bool { return other == a })
}
