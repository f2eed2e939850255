package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestLimitHoldsForTheSumOfAllEntries lets entries send whenever they may, while the ones that
// share the limit, their number and the rate change.
func TestLimitHoldsForTheSumOfAllEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, slack, factor = 4 * time.Second, 5, 1.5
		entries := rapid.IntRange(1, 30).Draw(t, "entries")
		perSecond := rapid.Float64Range(0, 20).Draw(t, "rate")
		limits := make([]ServerLimit, entries)
		now := time.Unix(1000, 0)
		share := func() {
			sharers := LimitSharers(perSecond, entries)
			first := rapid.IntRange(0, entries-1).Draw(t, "first")
			for i := range limits {
				part := 0.0
				if (i-first+entries)%entries < sharers {
					part = 1 / float64(sharers)
				}
				limits[i].Set(perSecond, part, now)
			}
		}
		share()
		var sent []time.Time
		for step := range 400 {
			now = now.Add(50 * time.Millisecond)
			if step%100 == 99 && rapid.Bool().Draw(t, "change") {
				share()
			}
			for i := range limits {
				if limits[i].Allows(now) {
					limits[i].Take(now)
					sent = append(sent, now)
				}
			}
		}
		first := 0
		for i := range sent {
			for sent[i].Sub(sent[first]) > window {
				first++
			}
			allowed := factor*perSecond*window.Seconds() + slack
			assert.Assert(t, float64(i-first+1) <= allowed, "%d in the window, %v allowed", i-first+1, allowed)
		}
	})
}

func TestLimitIsUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	var l ServerLimit
	assert.Assert(t, l.Allows(now))
	l.Set(2, 1, now)
	assert.Assert(t, !l.Allows(now))
	sent := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if l.Allows(now) {
			l.Take(now)
			sent++
		}
	}
	assert.Equal(t, sent, 20) // of 2 a second in 10 s
	l.Lift()
	assert.Assert(t, l.Allows(now))
}

func TestEntryWithoutPartSendsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	var l ServerLimit
	l.Set(100, 0, now)
	assert.Assert(t, !l.Allows(now.Add(time.Hour)))
}

func TestLimitSharers(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		entries   int
		want      int
	}{{0, 5, 4}, {0.5, 3, 3}, {1, 5, 5}, {1, 25, 5}, {6.5, 25, 10}, {100, 5, 5}, {1e300, 5, 5}, {3, 0, 1}} {
		assert.Equal(t, LimitSharers(c.perSecond, c.entries), c.want)
	}
}
