package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// TTL is how long a part is quarantined after the latest crash on it. Then its
	// requests are sent again; if servers still crash, it is found anew.
	TTL = 10 * time.Minute

	maxEntries = 256 // the entry that expires first is dropped
)

// Entry is the state of one part. Entries of several processes are merged: that with the
// most changes wins.
type Entry struct {
	Part    uint64
	Changes int       // times that the part was quarantined or released; odd while quarantined
	Until   time.Time // the entry is forgotten then
}

// Quarantined reports whether requests with the part are kept away from servers.
func (e Entry) Quarantined() bool { return e.Changes%2 == 1 }

// List holds the parts that are quarantined, and those released lately so that an
// older entry of another process does not quarantine them again.
type List struct {
	entries map[uint64]Entry
}

// NewList returns an empty list.
func NewList() *List { return &List{entries: map[uint64]Entry{}} }

// Quarantine quarantines a part, or renews its quarantine, and returns its entry.
func (l *List) Quarantine(part uint64, now time.Time) Entry {
	e := l.Get(part, now)
	if !e.Quarantined() {
		e.Changes++
	}
	e.Until = now.Add(TTL)
	l.put(e)
	return e
}

// Release ends the quarantine of a part and returns its entry. It returns false if the
// part is not quarantined.
func (l *List) Release(part uint64, now time.Time) (Entry, bool) {
	e := l.Get(part, now)
	if !e.Quarantined() {
		return e, false
	}
	e.Changes++
	e.Until = now.Add(TTL)
	l.put(e)
	return e, true
}

// Merge adds the entry of another process. It reports whether the part's quarantine
// began or ended.
func (l *List) Merge(e Entry, now time.Time) bool {
	if limit := now.Add(TTL); e.Until.After(limit) {
		e.Until = limit
	}
	known := l.Get(e.Part, now)
	if !e.Until.After(now) || e.Changes < known.Changes || e.Changes == known.Changes && !e.Until.After(known.Until) {
		return false
	}
	l.put(e)
	return e.Quarantined() != known.Quarantined()
}

// Quarantined reports whether the part is quarantined.
func (l *List) Quarantined(part uint64, now time.Time) bool { return l.Get(part, now).Quarantined() }

// Find returns the entry of the first quarantined part among parts.
func (l *List) Find(parts []uint64, now time.Time) (Entry, bool) {
	if len(l.entries) == 0 {
		return Entry{}, false
	}
	for _, p := range parts {
		if e := l.Get(p, now); e.Quarantined() {
			return e, true
		}
	}
	return Entry{}, false
}

// Entries returns all entries in order of their parts.
func (l *List) Entries(now time.Time) []Entry {
	out := make([]Entry, 0, len(l.entries))
	for part, e := range l.entries {
		if !e.Until.After(now) {
			delete(l.entries, part)
			continue
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// Get returns the entry of a part, or an empty one.
func (l *List) Get(part uint64, now time.Time) Entry {
	if e, ok := l.entries[part]; ok && e.Until.After(now) {
		return e
	}
	return Entry{Part: part}
}

func (l *List) put(e Entry) {
	l.entries[e.Part] = e
	if len(l.entries) <= maxEntries {
		return
	}
	first := e
	for _, other := range l.entries {
		if other.Until.Before(first.Until) {
			first = other
		}
	}
	delete(l.entries, first.Part)
}
