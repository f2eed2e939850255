package mesh

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// In a large mesh, telling every entry's load to every other entry takes most of a small
// VM's processor. There each entry tells its load to one aggregator of its availability
// zone, which tells the sum of its group to the other aggregators, and to each member of
// its group the load of all other entries. Each entry chooses its aggregator from its own
// connections and announces it. Groups are disjoint whatever the entries believe of each
// other, because an entry has one aggregator at a time and the sum of a group is built from
// its members' own loads only. After a change an entry's load counts twice until its former
// aggregator has received the change or has lost the connection.

const (
	// maxFlatEntries is the number of entries up to which each tells its load to all.
	maxFlatEntries = 24
	// betterAggregator is by how much the processor of another VM must exceed that of the
	// aggregator for the aggregator to be replaced.
	betterAggregator = 1.5
	// maxQuietMessagesPerSecond bounds the messages that one process sends to entries
	// that it exchanges no load with.
	maxQuietMessagesPerSecond = 48
)

// quietInterval returns the maximum interval between updates to an entry with which no load
// is exchanged.
func quietInterval(peers int) time.Duration {
	return max(minHeartbeatInterval, time.Duration(peers)*time.Second/maxQuietMessagesPerSecond)
}

// aggregatorOf chooses an entry's aggregator among itself and the entries of its availability
// zone to which it is connected: the one with the most processor, or the lowest name. The
// current one stays unless it is gone or another has much more processor.
func aggregatorOf(self Identity, peers []Identity, current string) string {
	if len(peers)+1 <= maxFlatEntries {
		return self.Name
	}
	best, kept := self, Identity{}
	for _, p := range peers {
		if p.Zone != self.Zone {
			continue
		}
		if c := cmp.Or(cmp.Compare(p.Processor, best.Processor), cmp.Compare(best.Name, p.Name)); c > 0 {
			best = p
		}
		if p.Name == current {
			kept = p
		}
	}
	if kept.Name != "" && best.Processor < betterAggregator*kept.Processor {
		return kept.Name
	}
	return best.Name
}

// aggregates reports whether the peer is its own aggregator, as are entries that have
// announced none.
func (l *link) aggregates() bool { return l.peerAggregator == "" || l.peerAggregator == l.id.Name }

// chooseAggregator updates this entry's aggregator. An entry that others have chosen is its
// own: what they tell it goes on to the other aggregators. The caller holds mu.
func (m *Mesh) chooseAggregator() {
	if m.hasMembers() {
		m.setAggregator(m.self.Name)
		return
	}
	peers := make([]Identity, 0, len(m.links))
	for _, l := range m.links {
		peers = append(peers, l.id)
	}
	m.setAggregator(aggregatorOf(m.self, peers, m.aggregator))
}

func (m *Mesh) setAggregator(name string) {
	if name == m.aggregator {
		return
	}
	m.aggregator = name
	m.rolesChanged()
}

// rolesChanged recomputes the totals after a change of an aggregator, this entry's or a
// peer's, and has the loads sent accordingly. The caller holds mu.
func (m *Mesh) rolesChanged() {
	clear(m.totals)
	for _, l := range m.links {
		if !m.countsLoadOf(l) {
			continue
		}
		for _, load := range l.receivedLoad {
			addTotals(m.totals, load, 1)
		}
	}
	m.loadVersion++
	m.markChanged()
}

// countsLoadOf reports whether the load that a peer sends counts: an aggregator counts those of
// its members and of the other aggregators, another entry that of its aggregator, which
// includes all others. The caller holds mu.
func (m *Mesh) countsLoadOf(l *link) bool {
	if m.aggregator != m.self.Name {
		return l.id.Name == m.aggregator
	}
	return l.aggregates() || l.peerAggregator == m.self.Name
}

// exchangesLoad reports whether load is sent to a peer or counted from it. The caller holds
// mu.
func (m *Mesh) exchangesLoad(l *link) bool {
	return m.countsLoadOf(l) || m.aggregator == m.self.Name && l.aggregates()
}

// loadPeers returns the number of peers with which load is exchanged. The caller holds mu.
func (m *Mesh) loadPeers() int {
	n := 0
	for _, l := range m.links {
		if m.exchangesLoad(l) {
			n++
		}
	}
	return n
}

// hasMembers reports whether a peer has this entry as its aggregator. The caller holds mu.
func (m *Mesh) hasMembers() bool {
	for _, l := range m.links {
		if l.peerAggregator == m.self.Name {
			return true
		}
	}
	return false
}

// loadFor returns the load to send to a peer. The caller holds mu.
func (m *Mesh) loadFor(l *link) []ServerLoad {
	switch {
	case m.aggregator != m.self.Name && l.id.Name == m.aggregator:
		return m.load
	case m.aggregator != m.self.Name:
		return nil
	case l.peerAggregator == m.self.Name:
		return m.loadOfOthers(l)
	case l.aggregates():
		return m.loadOfGroup()
	}
	return nil
}

// loadOfOthers returns the load of all entries but a member of this entry's group. The
// caller holds mu.
func (m *Mesh) loadOfOthers(member *link) []ServerLoad {
	sums := maps.Clone(m.totals)
	for _, own := range m.load {
		addTotals(sums, own, 1)
	}
	for _, load := range member.receivedLoad {
		addTotals(sums, load, -1)
	}
	return sortedLoads(sums)
}

// loadOfGroup returns the load of this entry and of the members of its group. The caller
// holds mu.
func (m *Mesh) loadOfGroup() []ServerLoad {
	sums := make(map[string]Totals, len(m.load))
	for _, own := range m.load {
		addTotals(sums, own, 1)
	}
	for _, l := range m.links {
		if l.peerAggregator != m.self.Name {
			continue
		}
		for _, load := range l.receivedLoad {
			addTotals(sums, load, 1)
		}
	}
	return sortedLoads(sums)
}

func sortedLoads(sums map[string]Totals) []ServerLoad {
	out := make([]ServerLoad, 0, len(sums))
	for _, id := range slices.Sorted(maps.Keys(sums)) {
		s := sums[id]
		out = append(out, ServerLoad{ID: id, Requests: s.Requests, Prefill: s.Prefill, Memory: s.Memory})
	}
	return out
}

// receiveAggregator records which aggregator a peer has announced. The caller holds mu.
func (m *Mesh) receiveAggregator(l *link, name string) {
	if name == "" || name == l.peerAggregator {
		return
	}
	l.peerAggregator = name
	m.chooseAggregator()
	m.rolesChanged()
}
