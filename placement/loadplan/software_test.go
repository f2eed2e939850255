package loadplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

const (
	oldSoftware = "v1"
	newSoftware = "v2"
)

var testSoftware = []string{oldSoftware, newSoftware}

// softwareServer is a server of a test with several software versions.
type softwareServer struct {
	id       string
	software string
	models   []string
	draining bool
	onDisk   []string
}

// newSoftwareSim returns a simulation whose servers have reported.
func newSoftwareSim(servers ...softwareServer) *sim {
	m := newSim(fourModels(), 5*time.Second)
	for _, v := range servers {
		s := m.start(v.id, v.models...)
		s.software, s.onDisk = v.software, v.onDisk
		m.snapshot(s)
		s.registrations[len(s.registrations)-1].Draining = v.draining
	}
	m.update(func() int { return 0 })
	for _, id := range m.placement.ids() {
		m.report(id)
	}
	return m
}

// boundTo returns demand with a request for model bound to oldSoftware, and an arrival for
// each of the requested models.
func boundTo(model string, requested ...string) []ModelDemand {
	demand := []ModelDemand{{Model: model, Arrivals: 1, Waiting: 1, Bound: []string{oldSoftware}}}
	for _, r := range requested {
		demand = append(demand, ModelDemand{Model: r, Arrivals: 1})
	}
	return demand
}

// planFor applies demand and returns the orders of the next plan, as "server order model".
func (m *sim) planFor(demand []ModelDemand) []string {
	m.placement.Demand.Observe("entry", demand, m.now)
	verbs := map[fleet.OrderKind]string{fleet.OrderLoad: "load", fleet.OrderUnload: "unload"}
	orders := []string{}
	for _, s := range m.placement.Plan(m.now) {
		orders = append(orders, fmt.Sprintf("%s %s %s", s.Server, verbs[s.Order.Kind], s.Order.Model))
	}
	return orders
}

// follow plans and carries out orders with the same demand for d. It returns the servers
// that have loaded the model then.
func (m *sim) follow(demand []ModelDemand, model string, d time.Duration) []string {
	for end := m.now + d; m.now < end; {
		m.placement.Demand.Observe("entry", demand, m.now)
		m.run(100 * time.Millisecond)
	}
	loaded := []string{}
	for _, id := range sortedKeys(m.servers) {
		if _, ok := m.servers[id].models[model]; ok {
			loaded = append(loaded, id)
		}
	}
	return loaded
}

// TestBoundModelIsLoadedAtItsSoftwareVersion plans for requests for m2 that are bound to
// oldSoftware, which no server of that version has loaded. Each server has room for two
// models.
func TestBoundModelIsLoadedAtItsSoftwareVersion(t *testing.T) {
	fresh := softwareServer{id: "n1", software: newSoftware, models: []string{"m2"}}
	for name, c := range map[string]struct {
		servers   []softwareServer
		requested []string
		want      []string
		noRoom    bool
	}{
		"free memory": {
			servers: []softwareServer{fresh, {id: "o1", software: oldSoftware, models: []string{"m0"}}},
			want:    []string{"o1 load m2"},
		},
		"copy on disk": {
			servers: []softwareServer{
				fresh,
				{id: "o1", software: oldSoftware, models: []string{"m0"}},
				{id: "o2", software: oldSoftware, models: []string{"m0"}, onDisk: []string{"m2"}},
			},
			want: []string{"o2 load m2"},
		},
		"room only by evicting": {
			servers: []softwareServer{
				fresh,
				{id: "o1", software: oldSoftware, models: []string{"m0", "m1"}},
				{id: "o2", software: oldSoftware, models: []string{"m0", "m3"}},
				{id: "n2", software: newSoftware, models: []string{"m3"}},
			},
			requested: []string{"m0", "m1", "m3"},
			want:      []string{"o2 unload m0"}, // the others would be missing at their version or everywhere
		},
		"room only by evicting a version's last": {
			servers: []softwareServer{
				fresh,
				{id: "o1", software: oldSoftware, models: []string{"m0", "m1"}},
				{id: "n2", software: newSoftware, models: []string{"m1"}},
			},
			requested: []string{"m0", "m1"},
			want:      []string{"o1 unload m1"},
		},
		"no room": {
			servers:   []softwareServer{fresh, {id: "o1", software: oldSoftware, models: []string{"m0", "m1"}}},
			requested: []string{"m0", "m1"},
			want:      []string{},
			noRoom:    true,
		},
		"one of two servers leaves": {
			servers: []softwareServer{
				fresh,
				{id: "o1", software: oldSoftware, models: []string{"m2"}, draining: true},
				{id: "o2", software: oldSoftware, models: []string{"m0"}},
			},
			want: []string{"o2 load m2"},
		},
		"only a draining server": {
			servers: []softwareServer{fresh, {id: "o1", software: oldSoftware, models: []string{"m2"}, draining: true}},
			want:    []string{},
			noRoom:  true,
		},
		"loaded nowhere": {
			servers: []softwareServer{
				{id: "n1", software: newSoftware, models: []string{"m3"}},
				{id: "o1", software: oldSoftware, models: []string{"m0"}},
			},
			want: []string{"o1 load m2"},
		},
		"loaded at the version": {
			servers: []softwareServer{fresh, {id: "o1", software: oldSoftware, models: []string{"m2"}}},
			want:    []string{},
		},
		"one version in use": {
			servers: []softwareServer{
				{id: "n1", software: newSoftware, models: []string{"m2"}},
				{id: "n2", software: newSoftware},
			},
			want: []string{},
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newSoftwareSim(c.servers...)
			keepOnly(m.engine, c.servers)
			assert.DeepEqual(t, m.planFor(boundTo("m2", c.requested...)), c.want)
			choice := m.placement.Choose(Key{Model: "m2"}, oldSoftware, nil, m.now)
			assert.Equal(t, choice.Outcome == ChoiceNoRoom, c.noRoom)
		})
	}
}

// keepOnly removes the models other than m2 that no server has loaded: these would be
// loaded in free memory.
func keepOnly(e *fleet.Engine, servers []softwareServer) {
	loaded := map[string]bool{"m2": true}
	for _, s := range servers {
		for _, model := range s.models {
			loaded[model] = true
		}
	}
	for name := range e.Models {
		if !loaded[name] {
			delete(e.Models, name)
		}
	}
}

// TestBoundLoadWaitsForTheLoadRate uses up the weight store's rate. A load from a server's
// disk does not count.
func TestBoundLoadWaitsForTheLoadRate(t *testing.T) {
	for name, onDisk := range map[string][]string{"weight store": nil, "disk": {"m2"}} {
		t.Run(name, func(t *testing.T) {
			m := newSoftwareSim(
				softwareServer{id: "n1", software: newSoftware, models: []string{"m2", "m0"}},
				softwareServer{id: "o1", software: oldSoftware, models: []string{"m0"}, onDisk: onDisk},
			)
			delete(m.engine.Models, "m1")
			delete(m.engine.Models, "m3")
			m.placement.Rate.Assume(m.engine.LoadsPerS, m.now)
			orders := m.planFor(boundTo("m2"))
			if onDisk != nil {
				assert.DeepEqual(t, orders, []string{"o1 load m2"})
				return
			}
			assert.DeepEqual(t, orders, []string{})
			assert.Equal(t, m.placement.Choose(Key{Model: "m2"}, oldSoftware, nil, m.now).Outcome, ChoiceNoModel)
			m.now += m.placement.Rate.Window + time.Millisecond
			assert.DeepEqual(t, m.planFor(boundTo("m2")), []string{"o1 load m2"})
		})
	}
}

// TestBoundModelStaysWhileRequested has requests wait for m3, for which m2 must be unloaded
// at a server of one version. The one at oldSoftware is preferred, unless requests for m2
// are bound to that version.
func TestBoundModelStaysWhileRequested(t *testing.T) {
	m := newSoftwareSim(
		softwareServer{id: "n1", software: newSoftware, models: []string{"m2", "m1"}},
		softwareServer{id: "o1", software: oldSoftware, models: []string{"m2", "m0"}},
	)
	plan := func(demand ...ModelDemand) []string {
		m.placement.Servers["n1"].lostAt = m.now
		for _, s := range m.placement.Servers {
			s.intent = nil
		}
		return m.planFor(append(demand, waitingFor("m3", []string{"m0", "m1"}, "", nil)...))
	}
	assert.DeepEqual(t, plan(boundTo("m2")...), []string{"n1 unload m2"})
	m.now += boundRequestTime - time.Millisecond
	assert.DeepEqual(t, plan(), []string{"n1 unload m2"})
	m.now += time.Millisecond
	assert.DeepEqual(t, plan(), []string{"o1 unload m2"})
}

// TestLastReplicaOfVersionIsUnloadedLast has requests wait for m3. The server of which the
// model is unloaded would be o1, whose m2 no other server of its version has.
func TestLastReplicaOfVersionIsUnloadedLast(t *testing.T) {
	for name, c := range map[string]struct {
		requested []string // of m0, m1 and m2
		want      string
	}{
		"streams may be resumed": {[]string{"m0", "m1", "m2"}, "n1 unload m2"},
		"none was requested":     {[]string{"m0", "m1"}, "o1 unload m2"},
	} {
		t.Run(name, func(t *testing.T) {
			m := newSoftwareSim(
				softwareServer{id: "n1", software: newSoftware, models: []string{"m2", "m1"}},
				softwareServer{id: "n2", software: newSoftware, models: []string{"m2", "m1"}},
				softwareServer{id: "o1", software: oldSoftware, models: []string{"m2", "m0"}},
			)
			m.placement.Servers["n1"].lostAt, m.placement.Servers["n2"].lostAt = m.now, m.now
			got := m.planFor(waitingFor("m3", c.requested, "", nil))
			assert.DeepEqual(t, got, []string{c.want})
		})
	}
}

// TestUnloadIsDroppedForBoundRequests plans an unload of m2 at oldSoftware, for which
// requests that are bound to this version come before the order is issued.
func TestUnloadIsDroppedForBoundRequests(t *testing.T) {
	m := newSoftwareSim(
		softwareServer{id: "n1", software: newSoftware, models: []string{"m2", "m1"}},
		softwareServer{id: "o1", software: oldSoftware, models: []string{"m2", "m0"}},
	)
	s := m.placement.Servers["o1"]
	s.intent = &Intent{Load: "m3", Unload: []string{"m2"}, Reason: ReasonWaiting}
	assert.DeepEqual(t, m.planFor(boundTo("m2", "m0", "m1")), []string{})
	assert.Assert(t, s.intent == nil)
}

// TestBoundModelIsLoadedAndKept carries out the orders for bound requests at a full server.
func TestBoundModelIsLoadedAndKept(t *testing.T) {
	m := newSoftwareSim(
		softwareServer{id: "n1", software: newSoftware, models: []string{"m0", "m1"}},
		softwareServer{id: "n2", software: newSoftware, models: []string{"m2", "m3"}},
		softwareServer{id: "o1", software: oldSoftware, models: []string{"m0", "m1"}},
	)
	demand := boundTo("m2", "m0", "m1", "m2", "m3")
	assert.DeepEqual(t, m.follow(demand, "m2", 6*time.Second), []string{"n2", "o1"})
	assert.DeepEqual(t, m.follow(demand, "m2", 30*time.Second), []string{"n2", "o1"})
	assert.Equal(t, len(m.violations), 0, "%v", m.violations)
	assert.Equal(t, len(m.loadStarts), 1)
}

// TestRoomIsFoundAgain has no room for bound requests until the server's models are no
// longer requested.
func TestRoomIsFoundAgain(t *testing.T) {
	m := newSoftwareSim(
		softwareServer{id: "n1", software: newSoftware, models: []string{"m2", "m3"}},
		softwareServer{id: "o1", software: oldSoftware, models: []string{"m0", "m1"}},
	)
	key := Key{Model: "m2"}
	assert.DeepEqual(t, m.planFor(boundTo("m2", "m0", "m1")), []string{})
	assert.Equal(t, m.placement.Choose(key, oldSoftware, nil, m.now).Outcome, ChoiceNoRoom)
	assert.Equal(t, m.placement.Choose(key, newSoftware, nil, m.now).Outcome, ChoiceLoaded)
	m.now += recentRequestTime
	assert.DeepEqual(t, m.planFor(boundTo("m2", "m0")), []string{"o1 unload m1"})
	assert.Equal(t, m.placement.Choose(key, oldSoftware, nil, m.now).Outcome, ChoiceNoModel)
}

// TestStreamsLoseTheLastServerOfTheirVersion has the only server of oldSoftware with m2
// drain while streams run there. Another server of that version gets m2 before clients take
// the streams up again.
func TestStreamsLoseTheLastServerOfTheirVersion(t *testing.T) {
	for name, c := range map[string]struct {
		draining bool
		running  int
		want     []string
	}{
		"streams of a draining server": {true, 3, []string{"o2 load m2"}},
		"no streams":                   {true, 0, []string{}},
		"server stays":                 {false, 3, []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			servers := []softwareServer{
				{id: "n1", software: newSoftware, models: []string{"m2"}},
				{id: "o1", software: oldSoftware, models: []string{"m2"}, draining: c.draining},
				{id: "o2", software: oldSoftware, models: []string{"m0"}},
			}
			m := newSoftwareSim(servers...)
			keepOnly(m.engine, servers)
			demand := []ModelDemand{{Model: "m2", Arrivals: 1, Running: []Running{{Server: "o1", Count: c.running}}}}
			assert.DeepEqual(t, m.planFor(demand), c.want)
		})
	}
}
