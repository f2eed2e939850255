package loadplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotchute.example/fleet"
)

// TestOrdersStayWithinLimits generates sequences of demand, lost and late
// orders, outdated registrations, server restarts and lease holder changes. No
// order may exceed a server's memory or adapter slots, and no window may exceed
// the load limit of the weight store.
func TestOrdersStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSim(fiveModels(), 5*time.Second)
		m.refusesAdapters = rapid.Bool().Draw(t, "refuses adapters while busy")
		for i := range 4 {
			s := m.start(fmt.Sprintf("s%d", i), fmt.Sprintf("m%d", i), fmt.Sprintf("m%d", (i+1)%5))
			s.software = rapid.SampledFrom(testSoftware).Draw(t, "software")
			m.snapshot(s)
		}
		m.update(func() int { return 0 })
		for range rapid.IntRange(20, 150).Draw(t, "turns") {
			simulateStep(t, m)
			assert.Equal(t, len(m.violations), 0, "%v", m.violations)
		}
		assertRate(t, m)
	})
}

func fiveModels() *fleet.Engine {
	e := &fleet.Engine{WeightsMB: 205, AdapterSlots: 3, LoadsPerS: 0.4, Models: map[string]fleet.Model{}}
	for i := range 5 {
		name := fmt.Sprintf("m%d", i)
		e.Models[name] = fleet.Model{
			Name: name, WeightsMB: 60 + 10*float64(i), Adapters: 5, AdapterMB: 15,
			Load: 2 * time.Second, DiskLoad: 800 * time.Millisecond, WarmLoad: 200 * time.Millisecond,
		}
	}
	return e
}

func simulateStep(t *rapid.T, m *sim) {
	m.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
	disrupt(t, m)
	m.update(func() int { return rapid.IntRange(0, 2).Draw(t, "registrations behind") })
	observeDemand(t, m)
	for _, step := range m.placement.Plan(m.now) {
		sendOrder(t, m, step.Server, step.Order)
	}
	model := fmt.Sprintf("m%d", rapid.IntRange(0, 4).Draw(t, "model"))
	adapter := fmt.Sprintf("a%d", rapid.IntRange(1, 5).Draw(t, "adapter"))
	software := rapid.SampledFrom([]string{"", oldSoftware, newSoftware}).Draw(t, "software of the adapter's server")
	for range 3 {
		c := m.placement.Choose(Key{Model: model, Adapter: adapter}, software, nil, m.now)
		if c.Outcome == ChoiceOrder {
			sendOrder(t, m, c.Server, c.Order)
		}
	}
	for _, id := range sortedKeys(m.placement.Servers) {
		if m.placement.Servers[id].ReportDue(m.now) && rapid.Bool().Draw(t, "reports") {
			m.report(id)
		}
	}
}

func sendOrder(t *rapid.T, m *sim, id string, o fleet.Order) {
	lost := rapid.IntRange(0, 3).Draw(t, "loss") == 0
	m.order(id, o, lost, lost && rapid.Bool().Draw(t, "late"))
}

func observeDemand(t *rapid.T, m *sim) {
	var demand []ModelDemand
	for i := range 5 {
		demand = append(demand, ModelDemand{
			Model:         fmt.Sprintf("m%d", i),
			Arrivals:      rapid.IntRange(0, 9).Draw(t, "arrivals"),
			PrefillTokens: 9000,
			Waiting:       rapid.IntRange(0, 1).Draw(t, "waiting"),
			Bound:         rapid.SliceOfN(rapid.SampledFrom(testSoftware), 0, 1).Draw(t, "bound"),
		})
	}
	m.placement.Demand.Observe("a", demand, m.now)
}

// disrupt restarts a server, delivers a late order or changes the lease holder.
func disrupt(t *rapid.T, m *sim) {
	switch rapid.IntRange(0, 19).Draw(t, "disruption") {
	case 0:
		id := rapid.SampledFrom(sortedKeys(m.servers)).Draw(t, "restarted")
		m.start(id)
	case 1, 2, 3, 4:
		if len(m.late) > 0 {
			m.carryOut(m.late[0].server, m.late[0].order)
			m.late = m.late[1:]
		}
	case 5:
		m.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond)
		m.placement = NewPlacementState(5*time.Second, 1.1)
		m.placement.Rate.Assume(m.engine.LoadsPerS, m.now)
	}
}

// assertRate checks the loads of each window against the limit plus a small
// allowance for orders that arrive late.
func assertRate(t *rapid.T, m *sim) {
	const allowance = 3
	limit := m.placement.Rate.Limit(m.engine.LoadsPerS) + allowance
	for i := limit; i < len(m.loadStarts); i++ {
		span := m.loadStarts[i] - m.loadStarts[i-limit]
		assert.Assert(t, span > 5*time.Second, "%d loads within %v", limit+1, span)
	}
}
