package residence

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNewLeaseHolderRestoresDemand tells a new holder what two entries saw over half
// a minute, the second half with other models in demand.
func TestNewLeaseHolderRestoresDemand(t *testing.T) {
	entries := map[string]*History{"a": NewHistory(), "b": NewHistory()}
	old, now := newDemands(), time.Hour
	arrive := func(model string, count int) {
		for name, h := range entries {
			seen := []ModelDemand{{Service: "llm", Model: model, Arrivals: count, PrefillTokens: 900 * count}}
			h.Add(seen, now)
			old.Observe(name, seen, now)
		}
	}
	for i := range 120 {
		now += 250 * time.Millisecond
		if i < 60 {
			arrive("early", 2)
		} else {
			arrive("late", 1)
		}
		old.step(now)
	}
	taken := newDemands()
	for _, h := range entries {
		n := h.Note(now)
		taken.Backfill(n.Models, time.Duration(n.SinceMS)*time.Millisecond, now)
	}
	taken.step(now)
	for _, model := range []string{"early", "late"} {
		got, want := taken.models[model].work.slow, old.models[model].work.slow
		assert.Assert(t, math.Abs(got-want) < 0.01*want, "%s: %v, the holder before had %v", model, got, want)
		assert.Equal(t, taken.models[model].requested, old.models[model].requested, model)
	}
	assert.Assert(t, taken.settled() && taken.observedTime() >= learningTime)
}

func TestHistoryDropsUnrequestedModels(t *testing.T) {
	h := NewHistory()
	h.Add([]ModelDemand{{Model: "m", Arrivals: 1}}, time.Hour)
	assert.Equal(t, len(h.Note(time.Hour+recentRequestTime).Models), 1)
	assert.Equal(t, len(h.Note(time.Hour+recentRequestTime+time.Second).Models), 0)
}
