package batch

import "slices"

// serverLost records that a server has crashed.
func (e *entry) serverLost(i int) {
	e.states[i].Usable = false
	e.states[i].Restarted()
	e.queue.ServersLost()
	e.processQueue()
}

// serverRestored records that a server has restarted.
func (e *entry) serverRestored(i int) {
	e.states[i].Usable = true
	e.queue.ServerChanged("")
	e.processQueue()
}

// setPeerLoads records the loads that another entry causes at the servers.
func (e *entry) setPeerLoads(from *entry) {
	now := e.clock.now
	for i, s := range from.states {
		e.states[i].Batch.SetPeerLoad(from.name, s.Batch.OwnLoad(now), now, now)
	}
	e.queue.ServerChanged("")
	e.plain.setPeerLoads(from.plain)
}

// withdrawStalled cancels the requests that wait at stalled servers and sends them to
// other servers.
func (e *entry) withdrawStalled() {
	now, stalled := e.clock.now, map[int]bool{}
	for _, a := range slices.Clone(e.waiting) {
		if a.generation == nil {
			continue
		}
		if state := e.states[a.server]; stalled[a.server] || state.Batch.Stalled(now) {
			stalled[a.server] = true
			e.servers[a.server].cancel(a.generation)
			state.Health.Stalled(now)
			e.handleFailure(a, a.generation)
		}
	}
}

func (e *entry) removeWaiting(a *attempt) {
	e.waiting = slices.DeleteFunc(e.waiting, func(other *attempt) bool { return other == a })
}
