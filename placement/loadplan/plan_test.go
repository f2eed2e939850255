package loadplan

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

const (
	testModels  = 39
	testServers = 18
)

// newDeployment returns a deployment of the usual size: three models per
// server, the busy models on many servers and each of the others on one.
func newDeployment(load time.Duration) *sim {
	e := &fleet.Engine{WeightsMB: 220, AdapterSlots: 5, LoadsPerS: 2.1, Models: map[string]fleet.Model{}}
	for i := range testModels {
		name := modelName(i)
		e.Models[name] = fleet.Model{Name: name, WeightsMB: 70, Load: load, DiskLoad: load / 2, WarmLoad: load / 3}
	}
	m := newSim(e, 5*time.Second)
	m.rates = map[string]float64{}
	for i := range testServers {
		models := []string{modelName(6 + i), modelName(i % 6)}
		if 24+i < testModels {
			models = append(models, modelName(24+i))
		} else {
			models = append(models, modelName((i+1)%6))
		}
		m.start(fmt.Sprintf("s%02d", i), models...)
	}
	for i := range testModels {
		m.rates[modelName(i)] = 0.1
	}
	for i := range 6 {
		m.rates[modelName(i)] = 8
	}
	return m
}

func modelName(i int) string { return fmt.Sprintf("m%02d", i) }

// modelsNotLoaded returns the models that no server has loaded.
func (m *sim) modelsNotLoaded() []string {
	var out []string
	for _, model := range sortedKeys(m.engine.Models) {
		if m.replicas(model) == 0 {
			out = append(out, model)
		}
	}
	return out
}

func TestSteadyDemandCausesNoLoads(t *testing.T) {
	m := newDeployment(time.Second)
	m.run(20 * time.Second)
	settled := len(m.loadStarts)
	m.run(60 * time.Second)
	assert.Assert(t, len(m.loadStarts)-settled <= 3, "%d loads", len(m.loadStarts)-settled)
	assert.Equal(t, len(m.modelsNotLoaded()), 0)
}

func TestPlacementStaysUntilDemandIsKnown(t *testing.T) {
	m := newDeployment(time.Second)
	delete(m.servers, "s17")
	m.rates = nil
	m.run(10 * time.Second)
	assert.DeepEqual(t, m.modelsNotLoaded(), []string{"m23"})
	assert.Equal(t, len(m.unloaded), 0, "%v", m.unloaded)
}

func TestRisingModelsGetReplicasSoon(t *testing.T) {
	m := newDeployment(1200 * time.Millisecond)
	m.run(10 * time.Second)
	for i := range 3 {
		m.rates[modelName(i)], m.rates[modelName(10+i)] = 0.1, 8
	}
	m.run(4 * time.Second)
	for i := range 3 {
		assert.Assert(t, m.replicas(modelName(10+i)) >= 2, "%s has %d", modelName(10+i), m.replicas(modelName(10+i)))
	}
	m.run(10 * time.Second)
	assert.Equal(t, len(m.modelsNotLoaded()), 0)
	assert.Equal(t, len(m.violations), 0, "%v", m.violations)
}

func TestModelsOfCrashedServersAreLoadedElsewhere(t *testing.T) {
	for _, load := range []time.Duration{1200 * time.Millisecond, 5 * time.Second} {
		m := newDeployment(load)
		m.run(10 * time.Second)
		for i := range testServers / 4 {
			delete(m.servers, fmt.Sprintf("s%02d", i*4))
		}
		m.run(30 * time.Second)
		assert.Assert(t, m.longestWait() < 2*load+3*time.Second, "%v with loads of %v", m.longestWait(), load)
		assert.Equal(t, len(m.violations), 0, "%v", m.violations)
	}
}

func TestDrainingServersAreReplacedBeforeRemoval(t *testing.T) {
	m := newDeployment(time.Second)
	for i := range testModels {
		m.rates[modelName(i)] += 0.5
	}
	m.run(10 * time.Second)
	s := m.servers["s03"]
	m.snapshot(s)
	s.registrations[len(s.registrations)-1].Draining = true
	m.run(2500 * time.Millisecond)
	delete(m.servers, "s03")
	assert.Equal(t, len(m.modelsNotLoaded()), 0, "%v", m.modelsNotLoaded())
}

func TestServerChoiceForOneModel(t *testing.T) {
	tests := []struct {
		name      string
		servers   map[string][]string
		copies    string // server with a copy of m2 on its disk
		running   string // model with running requests on all servers
		requested []string
		want      string // server and order
	}{
		{name: "free memory", servers: map[string][]string{"a": {"m0", "m1"}, "b": {"m0"}}, want: "b load m2"},
		{name: "copy on disk", servers: map[string][]string{"a": {"m0"}, "b": {"m0"}}, copies: "b", want: "b load m2"},
		{name: "not the last replica", servers: map[string][]string{"a": {"m0", "m1"}, "b": {"m0", "m3"}},
			requested: []string{"m0", "m1", "m3"}, want: "a unload m0"},
		{name: "without running requests", servers: map[string][]string{"a": {"m0", "m1"}, "b": {"m0", "m1"}},
			running: "m0", requested: []string{"m0", "m1"}, want: "a unload m1"},
		{name: "unrequested last replica", servers: map[string][]string{"a": {"m0", "m1"}},
			requested: []string{"m0"}, want: "a unload m1"},
		{name: "requested last replica stays", servers: map[string][]string{"a": {"m0", "m1"}},
			requested: []string{"m0", "m1"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			m := newSim(fourModels(), 5*time.Second)
			for _, id := range sortedKeys(tc.servers) {
				s := m.start(id, tc.servers[id]...)
				if id == tc.copies {
					s.onDisk = []string{"m2"}
				}
			}
			m.update(func() int { return 0 })
			for _, id := range m.placement.ids() {
				m.report(id)
			}
			m.placement.Demand.Observe("entry", waitingFor("m2", tc.requested, tc.running, sortedKeys(tc.servers)), m.now)
			assert.Equal(t, stepFor("m2", m.placement.Plan(m.now)), tc.want)
		})
	}
}

// stepFor returns the step that loads the model or unloads another one for it.
func stepFor(model string, steps []Step) string {
	verbs := map[fleet.OrderKind]string{fleet.OrderLoad: "load", fleet.OrderUnload: "unload"}
	for _, s := range steps {
		if s.Order.Model == model || strings.HasSuffix(s.Reason, " for "+model) {
			return s.Server + " " + verbs[s.Order.Kind] + " " + s.Order.Model
		}
	}
	return ""
}

func fourModels() *fleet.Engine {
	e := &fleet.Engine{WeightsMB: 200, LoadsPerS: 2, Models: map[string]fleet.Model{}}
	for i := range 4 {
		name := fmt.Sprintf("m%d", i)
		e.Models[name] = fleet.Model{Name: name, WeightsMB: 100, Load: 4 * time.Second, DiskLoad: time.Second, WarmLoad: time.Second}
	}
	return e
}

// waitingFor returns demand with a waiting request for model, an arrival for each
// of the requested models, and requests of the model running on the servers.
func waitingFor(model string, requested []string, running string, servers []string) []ModelDemand {
	demand := []ModelDemand{{Model: model, Arrivals: 1, Waiting: 1}}
	for _, a := range requested {
		demand = append(demand, ModelDemand{Model: a, Arrivals: 1})
	}
	for _, id := range servers {
		demand = append(demand, ModelDemand{Model: running, Running: []Running{{Server: id, Count: 5}}})
	}
	return demand
}
