package loadplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

// newRareModels returns 12 servers with two places each, a busy model and 22 models that are
// all requested, but rarely, and that load quickly.
func newRareModels(busyRate, rareRate float64) *sim {
	const servers, models = 12, 23
	e := &fleet.Engine{WeightsMB: 140, AdapterSlots: 5, LoadsPerS: 6, Models: map[string]fleet.Model{}}
	m := newSim(e, 5*time.Second)
	m.rates = map[string]float64{}
	for i := range models {
		e.Models[modelName(i)] = fleet.Model{Name: modelName(i), WeightsMB: 65, Load: 1200 * time.Millisecond, DiskLoad: 820 * time.Millisecond, WarmLoad: 630 * time.Millisecond}
		m.rates[modelName(i)] = rareRate
	}
	m.rates[modelName(0)] = busyRate
	for i := range servers {
		m.start(fmt.Sprintf("s%02d", i), modelName((2*i)%models), modelName((2*i+1)%models))
	}
	return m
}

// TestRareModelsKeepAllPlacesFromABusyOne has a model with ten times the work that its
// replicas bear, while each other place holds the last replica of a model that is requested
// about every seven seconds.
func TestRareModelsKeepAllPlacesFromABusyOne(t *testing.T) {
	m := newRareModels(1, 0.15)
	m.run(learningTime + time.Second)
	m.rates[modelName(0)] = 30
	m.run(10 * time.Second)
	assert.Assert(t, m.replicas(modelName(0)) >= 5, "%d replicas", m.replicas(modelName(0)))
	m.run(30 * time.Second)
	assert.Assert(t, m.replicas(modelName(0)) >= 5, "%d replicas", m.replicas(modelName(0)))
	assert.Assert(t, m.longestWait() < 4*time.Second, "%v", m.longestWait())
	assert.Equal(t, len(m.violations), 0, "%v", m.violations)
}

// TestIdleModelIsUnloadedSoonAfterARequest has slow loads, so that a model requested a few
// seconds ago stays.
func TestIdleModelIsUnloadedSoonAfterARequest(t *testing.T) {
	m := newRareModels(1, 0.5)
	for name, model := range m.engine.Models {
		model.Load, model.DiskLoad, model.WarmLoad = 6*time.Second, 5*time.Second, 4*time.Second
		m.engine.Models[name] = model
	}
	m.run(learningTime + time.Second)
	m.rates[modelName(0)] = 30
	m.run(20 * time.Second)
	assert.Equal(t, len(m.modelsNotLoaded()), 0)
}
