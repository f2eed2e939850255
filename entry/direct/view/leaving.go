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

// Leaving says that an incarnation of a server has said in an answer that it leaves. Entries
// exchange it; times are ages, since their clocks differ.
type Leaving struct {
	fleet.Incarnation
	AgeMS int64 `json:"age_ms"` // since it said so first
}

// leavingServers remembers which incarnations of servers have said in an answer that they
// leave. An incarnation never takes that back, so it counts as draining whatever its
// registration says, also if that lapses and comes back.
type leavingServers struct {
	heard map[fleet.Incarnation]leavingTimes
}

type leavingTimes struct {
	since time.Time // when it was first said; zero if unknown
	last  time.Time // when it was last said or registered
}

func newLeavingServers() leavingServers {
	return leavingServers{heard: map[fleet.Incarnation]leavingTimes{}}
}

// add remembers an incarnation and reports whether it was unknown.
func (l *leavingServers) add(s fleet.Incarnation, since, now time.Time) bool {
	times, known := l.heard[s]
	if !known {
		times.since = since
	}
	times.last = now
	l.heard[s] = times
	if len(l.heard) > maxLeaving {
		delete(l.heard, slices.MinFunc(slices.Collect(maps.Keys(l.heard)), l.compare))
	}
	return !known
}

// compare orders incarnations by when they were last heard of.
func (l *leavingServers) compare(a, b fleet.Incarnation) int {
	return l.heard[a].last.Compare(l.heard[b].last)
}

// expire forgets the incarnations that are gone.
func (l *leavingServers) expire(now time.Time) {
	maps.DeleteFunc(l.heard, func(_ fleet.Incarnation, t leavingTimes) bool { return now.Sub(t.last) >= leavingTTL })
}

// mark marks the servers that have said that they leave. Another entry's list may have
// marked them already.
func (l *leavingServers) mark(servers []fleet.Server, now time.Time) {
	registered := map[fleet.Incarnation]bool{}
	for i := range servers {
		s := &servers[i]
		registered[s.Incarnation()] = true
		if s.Leaving {
			l.add(s.Incarnation(), time.Time{}, now)
		}
		times, leaves := l.heard[s.Incarnation()]
		if !leaves {
			continue
		}
		l.add(s.Incarnation(), times.since, now)
		s.Leaving, s.LeavingSince = s.Leaving || !s.Draining, times.since
		s.Draining = true
	}
	// Without the time of its start, a process that registers anew may be another one.
	maps.DeleteFunc(l.heard, func(s fleet.Incarnation, _ leavingTimes) bool { return s.Born == 0 && !registered[s] })
}

// all returns the incarnations in order of their servers' IDs.
func (l *leavingServers) all() []fleet.Incarnation {
	return slices.SortedFunc(maps.Keys(l.heard), func(a, b fleet.Incarnation) int { return cmp.Compare(a.Server, b.Server) })
}

// OnLeaving sets the function that is called when an answer to this entry is the first to
// say that its server leaves. It must be called before the Run methods, and f must not
// block.
func (w *Watcher) OnLeaving(f func(Leaving)) { w.shareLeaving = f }

// Leaving returns the incarnations that are known to leave by their own word.
func (w *Watcher) Leaving() []Leaving {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var out []Leaving
	for _, s := range w.leaving.all() {
		out = append(out, Leaving{Incarnation: s, AgeMS: now.Sub(w.leaving.heard[s].since).Milliseconds()})
	}
	return out
}

// ServerLeaves records that an answer to this entry says that its server leaves. source
// names the answer in the log.
func (w *Watcher) ServerLeaves(s fleet.Incarnation, source string) {
	if w.markLeaving(s, time.Now(), "it says so in the answer to "+source) {
		w.shareLeaving(Leaving{Incarnation: s})
	}
}

// PeerSaysLeaving records what another entry has learned of a server.
func (w *Watcher) PeerSaysLeaving(l Leaving, peer string) {
	since := time.Now().Add(-time.Duration(max(l.AgeMS, 0)) * time.Millisecond)
	w.markLeaving(l.Incarnation, since, "told by "+peer)
}

// markLeaving reports whether it was not known that the server leaves.
func (w *Watcher) markLeaving(s fleet.Incarnation, since time.Time, reason string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.leaving.add(s, since, now) {
		return false
	}
	old := w.current.Load()
	next := *old
	next.Servers = slices.Clone(old.Servers)
	w.leaving.mark(next.Servers, now)
	w.setView(&next)
	w.logChanges(old.Servers, next.Servers, time.Since(next.ServersRead), func(c *decisionlog.ServerChanged) { c.Reason = reason })
	return true
}
