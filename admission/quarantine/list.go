package quarantine

import (
	"slices"
	"time"
)

const (
	// TTL is how long a cause is quarantined after the latest crash on it. Then its
	// requests are sent again; if servers still crash, it is found anew.
	TTL = 10 * time.Minute

	maxEntries = 256 // of each kind; the entry that expires first is dropped
)

// Entry is the state of one cause. Entries of several processes are merged: that with the
// most changes wins.
type Entry struct {
	Cause   Cause
	Changes int       // times that the cause was quarantined or released; odd while quarantined
	Until   time.Time // the entry is forgotten then
}

// Quarantined reports whether requests with the cause are kept away from servers.
func (e Entry) Quarantined() bool { return e.Changes%2 == 1 }

// List holds the causes that are quarantined, and those released lately so that an
// older entry of another process does not quarantine them again.
type List struct {
	entries map[Cause]Entry
	counts  [WholeRequest + 1]int // entries by kind
}

// NewList returns an empty list.
func NewList() *List { return &List{entries: map[Cause]Entry{}} }

// Quarantine quarantines a cause, or renews its quarantine, and returns its entry.
func (l *List) Quarantine(c Cause, now time.Time) Entry {
	e := l.Get(c, now)
	if !e.Quarantined() {
		e.Changes++
	}
	e.Until = now.Add(TTL)
	l.put(e)
	return e
}

// Release ends the quarantine of a cause and returns its entry. It returns false if the
// cause is not quarantined.
func (l *List) Release(c Cause, now time.Time) (Entry, bool) {
	e := l.Get(c, now)
	if !e.Quarantined() {
		return e, false
	}
	e.Changes++
	e.Until = now.Add(TTL)
	l.put(e)
	return e, true
}

// Merge adds the entry of another process. It reports whether the cause's quarantine
// began or ended.
func (l *List) Merge(e Entry, now time.Time) bool {
	if limit := now.Add(TTL); e.Until.After(limit) {
		e.Until = limit
	}
	known := l.Get(e.Cause, now)
	if !e.Until.After(now) || e.Changes < known.Changes || e.Changes == known.Changes && !e.Until.After(known.Until) {
		return false
	}
	l.put(e)
	return e.Quarantined() != known.Quarantined()
}

// Quarantined reports whether the cause is quarantined.
func (l *List) Quarantined(c Cause, now time.Time) bool { return l.Get(c, now).Quarantined() }

// Find returns the entry of the first quarantined cause that a request holds.
func (l *List) Find(c Contents, now time.Time) (Entry, bool) {
	if l.counts[PromptPart] > 0 {
		for _, p := range c.Parts {
			if e := l.Get(Part(p), now); e.Quarantined() {
				return e, true
			}
		}
	}
	if l.counts[WholeRequest] > 0 {
		e := l.Get(Request(c.Digest()), now)
		return e, e.Quarantined()
	}
	return Entry{}, false
}

// Entries returns all entries in order of their causes.
func (l *List) Entries(now time.Time) []Entry {
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		if !e.Until.After(now) {
			l.remove(e.Cause)
			continue
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return a.Cause.compare(b.Cause) })
	return out
}

// Get returns the entry of a cause, or an empty one.
func (l *List) Get(c Cause, now time.Time) Entry {
	if e, ok := l.entries[c]; ok && e.Until.After(now) {
		return e
	}
	return Entry{Cause: c}
}

func (l *List) put(e Entry) {
	if _, known := l.entries[e.Cause]; !known {
		l.counts[e.Cause.Kind]++
	}
	l.entries[e.Cause] = e
	if l.counts[e.Cause.Kind] <= maxEntries {
		return
	}
	first := e
	for _, other := range l.entries {
		if other.Cause.Kind == e.Cause.Kind && other.Until.Before(first.Until) {
			first = other
		}
	}
	l.remove(first.Cause)
}

func (l *List) remove(c Cause) {
	delete(l.entries, c)
	l.counts[c.Kind]--
}
