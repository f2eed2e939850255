package mesh

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// expireAfter is how long an entry must be unreachable before its row is
	// removed and it is no longer dialed. It exceeds the duration of a restart or
	// a short partition.
	expireAfter = 60 * time.Second
	// rememberFor is how long an entry that was dropped still counts as one of the
	// deployment: it may serve on the other side of a split.
	rememberFor = 10 * time.Minute
	// dialDelay is how long an entry waits before it dials one whose name sorts
	// lower, so that the two usually open one connection instead of two.
	dialDelay = 300 * time.Millisecond
	// minRedialInterval and maxRedialInterval bound the wait between dial attempts.
	minRedialInterval = 50 * time.Millisecond
	maxRedialInterval = time.Second
)

// member is another entry.
type member struct {
	id             Identity
	listed         bool      // has a row, as of the last read
	version        string    // version of its row
	disconnectedAt time.Time // zero while connected
	target         *dialTarget
}

// dialTarget is an address to dial until a connection exists.
type dialTarget struct {
	address     string
	nextAttempt time.Time
	retry       *backoff.ExponentialBackOff
}

func newDialTarget(address string, first time.Time) *dialTarget {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRedialInterval
	retry.MaxInterval = maxRedialInterval
	return &dialTarget{address: address, nextAttempt: first, retry: retry}
}

// reset resets the backoff and schedules the next attempt.
func (t *dialTarget) reset(first time.Time) {
	t.retry.Reset()
	t.nextAttempt = first
}

// members holds the other known entries, by name.
type members struct {
	self   string
	all    map[string]*member
	former map[string]time.Time // when entries were dropped; for rememberFor
}

func newMembers(self string) members {
	return members{self: self, all: map[string]*member{}, former: map[string]time.Time{}}
}

// addOrUpdate records an identity learned from a row, from a peer or, if
// fromEntry is set, from the entry itself. While an entry is connected, only its
// own information is accepted. It reports whether the entry was unknown before.
func (ms *members) addOrUpdate(id Identity, fromEntry bool, now time.Time) bool {
	if id.Name == "" || id.Name == ms.self || id.Address == "" {
		return false
	}
	old, known := ms.all[id.Name]
	if !known {
		delete(ms.former, id.Name)
		ms.all[id.Name] = &member{id: id, disconnectedAt: now, target: newDialTarget(id.Address, ms.dialTime(id.Name, now))}
		return true
	}
	if old.disconnectedAt.IsZero() && !fromEntry {
		return false
	}
	if old.id.Address != id.Address {
		old.target = newDialTarget(id.Address, ms.dialTime(id.Name, now))
	}
	old.id = id
	return false
}

// dialTime returns when to dial an entry that was just discovered or disconnected.
func (ms *members) dialTime(name string, now time.Time) time.Time {
	if ms.self < name {
		return now
	}
	return now.Add(dialDelay)
}

// markConnected records that the entry is connected.
func (ms *members) markConnected(name string) {
	m := ms.all[name]
	m.disconnectedAt = time.Time{}
	m.target.retry.Reset()
}

// markDisconnected records that the entry is no longer connected and schedules
// the next dial.
func (ms *members) markDisconnected(name string, now time.Time) {
	if m, ok := ms.all[name]; ok && m.disconnectedAt.IsZero() {
		m.disconnectedAt = now
		m.target.reset(ms.dialTime(name, now))
	}
}

// mergeRows updates the members from a complete read of the rows.
func (ms *members) mergeRows(rows map[string]listedRow, now time.Time) {
	for name, m := range ms.all {
		if _, ok := rows[name]; !ok {
			m.listed, m.version = false, ""
		}
	}
	for name, row := range rows {
		if name == ms.self {
			continue
		}
		m, known := ms.all[name]
		if !known || m.version != row.version { // an unchanged row has no new information
			ms.addOrUpdate(row.id, false, now)
		}
		if m = ms.all[name]; m == nil {
			continue
		}
		if m.version != row.version && !m.disconnectedAt.IsZero() {
			m.disconnectedAt = now // the new row shows that the entry was alive
		}
		m.listed, m.version = true, row.version
	}
}

// expire drops entries that have been unreachable for expireAfter. Those that
// still have a row are kept and returned, so that the caller can remove the row.
// peerConnectedTo reports whether any peer is connected to an entry.
func (ms *members) expire(peerConnectedTo func(name string) bool, now time.Time) []*member {
	var out []*member
	for name, m := range ms.all {
		if m.disconnectedAt.IsZero() || now.Sub(m.disconnectedAt) < expireAfter || peerConnectedTo(name) {
			continue
		}
		if m.listed {
			out = append(out, m)
			continue
		}
		delete(ms.all, name)
		ms.former[name] = now
	}
	slices.SortFunc(out, func(a, b *member) int { return strings.Compare(a.id.Name, b.id.Name) })
	return out
}

// counted returns the names of all entries of the deployment but this one, those dropped
// within rememberFor included.
func (ms *members) counted(now time.Time) []string {
	names := ms.names()
	for name, dropped := range ms.former {
		if now.Sub(dropped) >= rememberFor {
			delete(ms.former, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

// names returns the sorted names of the members.
func (ms *members) names() []string { return slices.Sorted(maps.Keys(ms.all)) }
