package view

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

const (
	maxLeaving = 1024             // incarnations remembered; the one not heard of for longest is dropped
	leavingTTL = 10 * time.Minute // for how long one is remembered without a registration
)

// leavingServers remembers which incarnations of servers have said in an answer that they
// leave. An incarnation never takes that back, so it counts as draining whatever its
// registration says, also if that lapses and comes back.
type leavingServers struct {
	heard map[fleet.Incarnation]time.Time // when it was last said or registered
}

// add remembers an incarnation and reports whether it was unknown.
func (l *leavingServers) add(s fleet.Incarnation, now time.Time) bool {
	_, known := l.heard[s]
	l.heard[s] = now
	if len(l.heard) > maxLeaving {
		delete(l.heard, slices.MinFunc(slices.Collect(maps.Keys(l.heard)), l.compare))
	}
	return !known
}

// compare orders incarnations by when they were last heard of.
func (l *leavingServers) compare(a, b fleet.Incarnation) int { return l.heard[a].Compare(l.heard[b]) }

// expire forgets the incarnations that are gone.
func (l *leavingServers) expire(now time.Time) {
	maps.DeleteFunc(l.heard, func(_ fleet.Incarnation, at time.Time) bool { return now.Sub(at) >= leavingTTL })
}

// mark marks the servers that have said that they leave. Another entry's list may have
// marked them already.
func (l *leavingServers) mark(servers []fleet.Server, now time.Time) {
	for i := range servers {
		s := &servers[i]
		if s.Leaving {
			l.add(s.Incarnation(), now)
		}
		if _, leaves := l.heard[s.Incarnation()]; !leaves {
			continue
		}
		l.heard[s.Incarnation()] = now
		s.Leaving = s.Leaving || !s.Draining
		s.Draining = true
	}
}

// all returns the incarnations in order of their servers' IDs.
func (l *leavingServers) all() []fleet.Incarnation {
	return slices.SortedFunc(maps.Keys(l.heard), func(a, b fleet.Incarnation) int { return cmp.Compare(a.Server, b.Server) })
}

// OnLeaving sets the function that is called when an answer to this entry is the first to
// say that its server leaves. It must be called before the Run methods, and f must not
// block.
func (w *Watcher) OnLeaving(f func(fleet.Incarnation)) { w.shareLeaving = f }

// Leaving returns the incarnations that are known to leave by their own word.
func (w *Watcher) Leaving() []fleet.Incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving.all()
}

// ServerLeaves records that an answer to this entry says that its server leaves. source
// names the answer in the log.
func (w *Watcher) ServerLeaves(s fleet.Incarnation, source string) {
	if w.markLeaving(s, "it says so in the answer to "+source) {
		w.shareLeaving(s)
	}
}

// PeerSaysLeaving records what another entry has learned of a server.
func (w *Watcher) PeerSaysLeaving(s fleet.Incarnation, peer string) {
	w.markLeaving(s, "told by "+peer)
}

// markLeaving reports whether it was not known that the server leaves.
func (w *Watcher) markLeaving(s fleet.Incarnation, reason string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.leaving.add(s, now) {
		return false
	}
	old := w.current.Load()
	next := *old
	next.Servers = slices.Clone(old.Servers)
	w.leaving.mark(next.Servers, now)
	w.setView(&next)
	for _, r := range diffServers(old.Servers, next.Servers, time.Since(next.ServersRead)) {
		if change, ok := r.(decisionlog.ServerChanged); ok {
			change.Reason = reason
			r = change
		}
		w.log.Write(r)
	}
	return true
}
