package mesh

import (
	"maps"
	"slices"
)

// ServerLoad is the load that one entry, or some together, put on a backend server.
type ServerLoad struct {
	ID       string
	Requests int
	Prefill  int // remaining prefill time, in ms
	Memory   int // tokens in memory
}

func (l ServerLoad) zero() bool { return l.Requests == 0 && l.Prefill == 0 && l.Memory == 0 }

// Totals is the load that all peers together put on a backend server.
type Totals struct {
	Requests int
	Prefill  int // remaining prefill time, in ms
	Memory   int // tokens in memory
}

func (t Totals) addLoad(l ServerLoad, sign int) Totals {
	return Totals{Requests: t.Requests + sign*l.Requests, Prefill: t.Prefill + sign*l.Prefill, Memory: t.Memory + sign*l.Memory}
}

// sentLoad is the load that was sent to a peer over one connection. Servers are
// identified by small indexes to keep updates short.
type sentLoad struct {
	index       map[string]int
	load        map[string]ServerLoad
	freeIndexes []int // indexes of removed servers, available for reuse
	nextIndex   int   // lowest index that was never assigned
}

func newSentLoad() sentLoad {
	return sentLoad{index: map[string]int{}, load: map[string]ServerLoad{}}
}

// addDelta adds the difference between the sent and the current load to an update.
func (s *sentLoad) addDelta(u *update, current []ServerLoad) {
	present := make(map[string]bool, len(current))
	for _, l := range current {
		present[l.ID] = true
	}
	for id := range s.index {
		if !present[id] {
			u.Removed = append(u.Removed, s.index[id])
			s.remove(id)
		}
	}
	slices.Sort(u.Removed)
	for _, l := range current {
		if _, known := s.index[l.ID]; !known && l.zero() {
			continue
		}
		s.set(u, l)
	}
	s.freeIndexes = append(s.freeIndexes, u.Removed...) // reusable from the next update on
}

func (s *sentLoad) remove(id string) {
	delete(s.index, id)
	delete(s.load, id)
}

func (s *sentLoad) set(u *update, l ServerLoad) {
	i, known := s.index[l.ID]
	if known && s.load[l.ID] == l {
		return
	}
	if !known {
		i = s.allocateIndex()
		s.index[l.ID] = i
		if u.Servers == nil {
			u.Servers = map[string]int{}
		}
		u.Servers[l.ID] = i
	}
	s.load[l.ID] = l
	u.Load = append(u.Load, [4]int{i, l.Requests, l.Prefill, l.Memory})
}

// allocateIndex returns an unused index.
func (s *sentLoad) allocateIndex() int {
	if n := len(s.freeIndexes); n > 0 {
		i := s.freeIndexes[n-1]
		s.freeIndexes = s.freeIndexes[:n-1]
		return i
	}
	s.nextIndex++
	return s.nextIndex - 1
}

// receivedLoad is the load received from a peer over one connection, by index.
type receivedLoad map[int]ServerLoad

// apply applies an update from the peer and adjusts the totals of all peers.
func (r receivedLoad) apply(u *update, totals map[string]Totals) {
	for _, i := range u.Removed {
		addTotals(totals, r[i], -1)
		delete(r, i)
	}
	for id, i := range u.Servers {
		addTotals(totals, r[i], -1)
		r[i] = ServerLoad{ID: id}
	}
	for _, l := range u.Load {
		old, known := r[l[0]]
		if !known {
			continue // the peer must assign an index in Servers before using it
		}
		addTotals(totals, old, -1)
		r[l[0]] = ServerLoad{ID: old.ID, Requests: plausible(l[1]), Prefill: plausible(l[2]), Memory: plausible(l[3])}
		addTotals(totals, r[l[0]], 1)
	}
}

// maxFigure is the highest load figure of a peer that counts. It keeps sums of all peers
// from overflowing.
const maxFigure = 1 << 40

// plausible returns a load figure of a peer within its range: a negative one would attract
// all requests to the server.
func plausible(figure int) int { return min(max(figure, 0), maxFigure) }

// addTotals adds a load to its server's totals, or subtracts it if sign is -1.
// Totals that become zero are deleted.
func addTotals(totals map[string]Totals, l ServerLoad, sign int) {
	t := totals[l.ID].addLoad(l, sign)
	if t == (Totals{}) {
		delete(totals, l.ID)
		return
	}
	totals[l.ID] = t
}

// SetLoad sets the load that this entry puts on all of its backend servers. It
// may be called at any rate; only the latest value is sent to the peers.
func (m *Mesh) SetLoad(load []ServerLoad) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Equal(m.load, load) {
		return
	}
	m.load = slices.Clone(load)
	m.loadVersion++
	m.markChanged()
}

// receiveLoad applies the load in an update from a peer. The caller holds mu.
func (m *Mesh) receiveLoad(l *link, u *update) {
	if len(u.Servers)+len(u.Load)+len(u.Removed) == 0 {
		return
	}
	if !m.countsLoadOf(l) {
		l.receivedLoad.apply(u, map[string]Totals{})
		return
	}
	l.receivedLoad.apply(u, m.totals)
	if m.aggregator == m.self.Name && m.hasMembers() {
		m.loadVersion++
		m.markChanged()
	}
}

// Loads returns the load that the other entries put on the backend servers, by server ID.
func (m *Mesh) Loads() map[string]Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.totals)
}
