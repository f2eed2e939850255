package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestListsConverge applies changes to several lists in random order and merges them in
// random order; all must agree on what is quarantined.
func TestListsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lists, ids = 3, 3
		now := time.Unix(1000, 0)
		all := [lists]*List{NewList(), NewList(), NewList()}
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			l := all[rapid.IntRange(0, lists-1).Draw(t, "list")]
			cause := Cause{Kind: Kind(rapid.IntRange(0, 1).Draw(t, "kind")), ID: rapid.Uint64Range(1, ids).Draw(t, "id")}
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				l.Quarantine(cause, now)
			case 1:
				l.Release(cause, now)
			case 2:
				merge(all[rapid.IntRange(0, lists-1).Draw(t, "from")], l, now)
			}
		}
		for range 2 {
			for _, from := range all {
				for _, to := range all {
					merge(from, to, now)
				}
			}
		}
		for _, l := range all {
			assert.DeepEqual(t, l.Entries(now), all[0].Entries(now))
		}
	})
}

func merge(from, to *List, now time.Time) {
	for _, e := range from.Entries(now) {
		to.Merge(e, now)
	}
}

func TestQuarantineExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewList()
	l.Quarantine(Part(7), now)
	assert.Assert(t, l.Quarantined(Part(7), now.Add(TTL-1)))
	assert.Assert(t, !l.Quarantined(Part(7), now.Add(TTL)))
	assert.Equal(t, len(l.Entries(now.Add(TTL))), 0)
}

// TestReleaseOutlastsOlderQuarantine merges the entry of a process that missed the release.
func TestReleaseOutlastsOlderQuarantine(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewList()
	old := l.Quarantine(Part(7), now)
	_, ok := l.Release(Part(7), now)
	assert.Assert(t, ok)
	assert.Assert(t, !l.Merge(old, now))
	assert.Assert(t, !l.Quarantined(Part(7), now))
}

func TestListIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewList()
	l.Quarantine(Request(1), now)
	for p := range uint64(2 * maxEntries) {
		l.Quarantine(Part(p), now.Add(time.Duration(p)))
	}
	assert.Equal(t, len(l.Entries(now)), maxEntries+1)
	assert.Assert(t, l.Quarantined(Part(2*maxEntries-1), now))
	assert.Assert(t, l.Quarantined(Request(1), now))
}

// TestRemoteExpiryIsLimited merges an entry whose sender's clock is ahead.
func TestRemoteExpiryIsLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewList()
	l.Merge(Entry{Cause: Part(7), Changes: 1, Until: now.Add(24 * time.Hour)}, now)
	assert.Assert(t, !l.Quarantined(Part(7), now.Add(TTL)))
}
