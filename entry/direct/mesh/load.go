package mesh

import (
	"slices"
	"time"
)

// ServerLoad is what one entry has in progress at a backend server.
type ServerLoad struct {
	ID       string
	Requests int
	Prefill  int // prompt tokens still to prefill
	Memory   int // tokens in memory
}

func (l ServerLoad) idle() bool { return l.Requests == 0 && l.Prefill == 0 && l.Memory == 0 }

// Totals is what all peers together have in progress at a backend server.
type Totals struct {
	Requests int
	Prefill  int // prompt tokens still to prefill
	Memory   int // tokens in memory
}

func (t Totals) plus(l ServerLoad, sign int) Totals {
	return Totals{Requests: t.Requests + sign*l.Requests, Prefill: t.Prefill + sign*l.Prefill, Memory: t.Memory + sign*l.Memory}
}

// saidLoad is the load that a peer was told over one connection.
type saidLoad struct {
	index map[string]int
	load  map[string]ServerLoad
	free  []int // indexes of servers that are gone
	next  int   // lowest index that was never given
}

func newSaidLoad() saidLoad {
	return saidLoad{index: map[string]int{}, load: map[string]ServerLoad{}}
}

// add puts the difference between what was told and now into the update.
func (s *saidLoad) add(u *update, now []ServerLoad) {
	present := make(map[string]bool, len(now))
	for _, l := range now {
		present[l.ID] = true
	}
	for id := range s.index {
		if !present[id] {
			u.Gone = append(u.Gone, s.index[id])
			s.forget(id)
		}
	}
	slices.Sort(u.Gone)
	for _, l := range now {
		if _, known := s.index[l.ID]; !known && l.idle() {
			continue
		}
		s.tell(u, l)
	}
	s.free = append(s.free, u.Gone...) // not before the next update, which tells their new meaning
}

func (s *saidLoad) forget(id string) {
	delete(s.index, id)
	delete(s.load, id)
}

func (s *saidLoad) tell(u *update, l ServerLoad) {
	i, known := s.index[l.ID]
	if known && s.load[l.ID] == l {
		return
	}
	if !known {
		i = s.take()
		s.index[l.ID] = i
		if u.Servers == nil {
			u.Servers = map[string]int{}
		}
		u.Servers[l.ID] = i
	}
	s.load[l.ID] = l
	u.Load = append(u.Load, [4]int{i, l.Requests, l.Prefill, l.Memory})
}

// take returns an index that no server has.
func (s *saidLoad) take() int {
	if n := len(s.free); n > 0 {
		i := s.free[n-1]
		s.free = s.free[:n-1]
		return i
	}
	s.next++
	return s.next - 1
}

// heardLoad is the load that a peer told over one connection, by index.
type heardLoad map[int]ServerLoad

// apply takes an update in and keeps the totals of all peers.
func (h heardLoad) apply(u *update, totals map[string]Totals) {
	for _, i := range u.Gone {
		add(totals, h[i], -1)
		delete(h, i)
	}
	for id, i := range u.Servers {
		add(totals, h[i], -1)
		h[i] = ServerLoad{ID: id}
	}
	for _, l := range u.Load {
		old, known := h[l[0]]
		if !known {
			continue // its name was never told, which a sound peer does first
		}
		add(totals, old, -1)
		h[l[0]] = ServerLoad{ID: old.ID, Requests: l[1], Prefill: l[2], Memory: l[3]}
		add(totals, h[l[0]], 1)
	}
}

// drop takes everything that the peer told out of the totals.
func (h heardLoad) drop(totals map[string]Totals) {
	for i, l := range h {
		add(totals, l, -1)
		delete(h, i)
	}
}

// add adds a load to its server's totals, or with sign -1 takes it out. Servers
// without load have no entry.
func add(totals map[string]Totals, l ServerLoad, sign int) {
	t := totals[l.ID].plus(l, sign)
	if t == (Totals{}) {
		delete(totals, l.ID)
		return
	}
	totals[l.ID] = t
}

// SetLoad tells what this entry has in progress, for all of its backend
// servers. It may be called at any rate; peers get the newest.
func (m *Mesh) SetLoad(load []ServerLoad) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Equal(m.load, load) {
		return
	}
	m.load = slices.Clone(load)
	m.loads++
	m.changed()
}

// Load returns what the peers have in progress at a backend server, and how
// long ago the peer that was heard of longest ago told its part.
func (m *Mesh) Load(serverID string) (Totals, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var age time.Duration
	for _, l := range m.links {
		age = max(age, now.Sub(l.heard))
	}
	return m.totals[serverID], age
}
