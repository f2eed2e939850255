package residence

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNewLeaseHolderRestoresDemand sends the histories of two entries to a new
// lease holder. They cover 30 s, the second half with demand for another model.
func TestNewLeaseHolderRestoresDemand(t *testing.T) {
	entries := map[string]*History{"a": NewHistory(), "b": NewHistory()}
	previous, now := newDemands(), time.Hour
	arrive := func(model string, count int) {
		for name, h := range entries {
			demand := []ModelDemand{{Service: "llm", Model: model, Arrivals: count, PrefillTokens: 900 * count}}
			h.Add(demand, now)
			previous.Observe(name, demand, now)
		}
	}
	for i := range 120 {
		now += 250 * time.Millisecond
		if i < 60 {
			arrive("early", 2)
		} else {
			arrive("late", 1)
		}
		previous.step(now)
	}
	restored := newDemands()
	for _, h := range entries {
		n := h.Note(now)
		restored.Backfill(n.Models, time.Duration(n.SinceMS)*time.Millisecond, now)
	}
	restored.step(now)
	for _, model := range []string{"early", "late"} {
		got, want := restored.models[model].work.slow, previous.models[model].work.slow
		assert.Assert(t, math.Abs(got-want) < 0.01*want, "%s: %v, the previous lease holder had %v", model, got, want)
		assert.Equal(t, restored.models[model].requested, previous.models[model].requested, model)
	}
	assert.Assert(t, restored.settled() && restored.observedTime() >= learningTime)
}

func TestHistoryDropsUnrequestedModels(t *testing.T) {
	h := NewHistory()
	h.Add([]ModelDemand{{Model: "m", Arrivals: 1}}, time.Hour)
	assert.Equal(t, len(h.Note(time.Hour+recentRequestTime).Models), 1)
	assert.Equal(t, len(h.Note(time.Hour+recentRequestTime+time.Second).Models), 0)
}
