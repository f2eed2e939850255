package loadplan

import (
	"fmt"
	"math"
	"testing"
	"time"

	"peridotchute.example/fleet"
)

const (
	largeModels  = 275
	largeServers = 160
	largeEntries = 103
)

// newLargeDeployment returns a deployment whose models outnumber the memory of their
// servers: two models a server, the busy ones on many servers, 85 on none.
func newLargeDeployment() *sim {
	e := &fleet.Engine{WeightsMB: 200_000, AdapterSlots: 8, LoadsPerS: 23, Models: map[string]fleet.Model{}}
	for i := range largeModels {
		name := largeModel(i)
		e.Models[name] = fleet.Model{Name: name, WeightsMB: 65_000, AdapterMB: 100, Load: 1200 * time.Millisecond, DiskLoad: 820 * time.Millisecond, WarmLoad: 630 * time.Millisecond}
	}
	m := newSim(e, 5*time.Second)
	m.rates = map[string]float64{}
	for i := range largeServers {
		m.start(fmt.Sprintf("s%03d", i), largeModel(i%130), largeModel((i*7+40)%190))
	}
	for i := range largeModels {
		m.rates[largeModel(i)] = 120 / math.Pow(float64(i+1), 1.1)
	}
	return m
}

func largeModel(i int) string { return fmt.Sprintf("m%03d", i) }

// BenchmarkPlanAtSize plans with the demand of all entries, as many models waiting as
// are not loaded.
func BenchmarkPlanAtSize(b *testing.B) {
	m := newLargeDeployment()
	m.run(20 * time.Second)
	for i := range largeEntries {
		m.placement.Demand.Observe(fmt.Sprintf("entry-%d", i), m.entryDemand(i), m.now)
	}
	b.ResetTimer()
	for b.Loop() {
		m.now += time.Millisecond
		m.placement.Plan(m.now)
		for _, s := range m.placement.Servers {
			s.intent = nil
		}
	}
}

// entryDemand returns the demand that one of many entries sees: a few requests for each
// busy model, and one for some that are not loaded.
func (m *sim) entryDemand(entry int) []ModelDemand {
	var out []ModelDemand
	for i := range largeModels {
		name := largeModel(i)
		if i > 40 && (i+entry)%29 != 0 {
			continue
		}
		d := ModelDemand{Model: name, Arrivals: 1, PrefillTokens: 9000}
		if m.replicas(name) == 0 {
			d.Waiting = 1
		} else {
			d.Running = []Running{{Server: fmt.Sprintf("s%03d", (i+entry)%largeServers), Count: 1}}
		}
		out = append(out, d)
	}
	return out
}

// BenchmarkObserveAtSize applies the demand report of one entry.
func BenchmarkObserveAtSize(b *testing.B) {
	m := newLargeDeployment()
	m.run(time.Second)
	demand := m.entryDemand(1)
	b.ResetTimer()
	for b.Loop() {
		m.placement.Demand.Observe("entry-1", demand, m.now)
	}
}

// BenchmarkChooseAtSize chooses a server for an adapter of a loaded model.
func BenchmarkChooseAtSize(b *testing.B) {
	m := newLargeDeployment()
	m.run(20 * time.Second)
	b.ResetTimer()
	for b.Loop() {
		m.placement.Choose(Key{Model: largeModel(1), Adapter: "a1"}, "", nil, m.now)
	}
}
