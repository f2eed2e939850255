package loadplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

// TestModelOfLimitedServerIsReplicatedByDemand limits the only server with a model to one
// request a second.
func TestModelOfLimitedServerIsReplicatedByDemand(t *testing.T) {
	const demandInterval = 500 * time.Millisecond
	for name, c := range map[string]struct {
		every  int // a request in each of that many intervals
		loaded bool
	}{
		"more requests than the limit leaves room for": {1, true},
		"fewer": {8, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := newSim(fourModels(), 5*time.Second)
			for _, other := range []string{"m1", "m2", "m3"} {
				delete(m.engine.Models, other)
			}
			m.start("a", "m0")
			m.start("b")
			for i := range 60 {
				m.placement.SetLimits(func(id string) (float64, bool) { return 1, id == "a" })
				arrivals := 0
				if i%c.every == 0 {
					arrivals = 1
				}
				m.placement.Demand.Observe("entry", []ModelDemand{{Model: "m0", Arrivals: arrivals}}, m.now)
				m.run(demandInterval)
			}
			assert.Equal(t, m.placement.Servers["b"].serves("m0"), c.loaded)
		})
	}
}

func TestLimitedServerGetsNoLoads(t *testing.T) {
	m := newSim(fourModels(), 5*time.Second)
	m.start("a")
	m.run(100 * time.Millisecond)
	s := m.placement.Servers["a"]
	m.placement.SetLimits(func(string) (float64, bool) { return 1, true })
	assert.Assert(t, m.placement.usable(s))
	assert.Assert(t, !m.placement.takesLoads(s))
	m.placement.SetLimits(func(string) (float64, bool) { return 0, false })
	assert.Assert(t, m.placement.takesLoads(s))
}

// TestAdapterOfLimitedServerIsLoadedElsewhere asks for an adapter that a limited server has loaded.
func TestAdapterOfLimitedServerIsLoadedElsewhere(t *testing.T) {
	registration := func(id string, adapters ...string) fleet.Server {
		return fleet.Server{ID: id, Born: 1, Residents: []fleet.Resident{{Model: "m0", Version: 1, Adapters: adapters}}}
	}
	e := fourModels()
	e.AdapterSlots = 4
	m0 := e.Models["m0"]
	m0.Adapters = 3
	e.Models["m0"] = m0
	ps := NewPlacementState(5*time.Second, 1.1)
	ps.Update(e, []fleet.Server{registration("a", "a1"), registration("b")}, 0)
	for _, s := range ps.Servers {
		s.Report(fleet.Report{Born: 1, Residents: s.Server.Residents}, 0)
	}
	key := Key{Model: "m0", Adapter: "a1"}
	assert.Equal(t, ps.Choose(key, "", nil, time.Second).Server, "a")
	ps.SetLimits(func(id string) (float64, bool) { return 1, id == "a" })
	c := ps.Choose(key, "", []string{"a"}, time.Second)
	assert.Equal(t, c.Outcome, ChoiceOrder)
	assert.Equal(t, c.Server, "b")
	ps.SetLimits(func(string) (float64, bool) { return 1, true }) // no other server is better
	assert.Equal(t, ps.Choose(key, "", nil, time.Second).Server, "a")
}

// TestModelsOfOneLimitedServerShareItsLimit gives a limited server two models of which each alone
// would leave room.
func TestModelsOfOneLimitedServerShareItsLimit(t *testing.T) {
	ps := NewPlacementState(5*time.Second, 1.1)
	ps.Update(fourModels(), []fleet.Server{{ID: "a", Born: 1, Residents: []fleet.Resident{{Model: "m0"}, {Model: "m1"}}}}, 0)
	for model, rate := range map[string]float64{"m0": 0.2, "m1": 0.25} {
		ps.Demand.estimate(model).rate.slow = rate
	}
	s := ps.Servers["a"]
	assert.Assert(t, ps.sufficesFor("m0", s) && ps.sufficesFor("m1", s))
	ps.SetLimits(func(string) (float64, bool) { return 1, true })
	assert.Assert(t, ps.sufficesFor("m0", s))
	assert.Assert(t, !ps.sufficesFor("m1", s))
	ps.SetLimits(func(string) (float64, bool) { return 2, true })
	assert.Assert(t, ps.sufficesFor("m1", s))
}
