package loadplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

// startAll starts the servers with the given loaded models and applies a report
// of each.
func startAll(m *sim, servers map[string][]string) {
	for _, id := range sortedKeys(servers) {
		m.start(id, servers[id]...)
	}
	m.update(func() int { return 0 })
	for _, id := range m.placement.ids() {
		m.report(id)
	}
}

// TestFencedServersAreSkipped checks that after a change of the lease holder a
// waiting model is loaded on another server if the cheapest one is fenced for
// seconds.
func TestFencedServersAreSkipped(t *testing.T) {
	m := newSim(fourModels(), 5*time.Second)
	startAll(m, map[string][]string{"a": {"m0"}, "b": {"m0", "m1"}})
	m.placement.SetInherited("a", Inherited{FencedUntil: m.now + 3*time.Second})
	m.placement.Demand.Observe("entry", waitingFor("m2", []string{"m0", "m1"}, "", nil), m.now)
	assert.Equal(t, stepFor("m2", m.placement.Plan(m.now)), "b unload m0")
	c := m.placement.Choose(Key{Model: "m0", Adapter: "a1"}, "", []string{"a"}, m.now)
	assert.Assert(t, c.Outcome != ChoiceOrder || c.Server != "a")
}

// TestInheritedLoadIsNotRepeated changes the lease holder while a model that
// requests wait for is being loaded.
func TestInheritedLoadIsNotRepeated(t *testing.T) {
	m := newSim(fourModels(), 5*time.Second)
	startAll(m, map[string][]string{"a": {"m0"}, "b": {"m0", "m1"}})
	m.order("a", m.placement.Servers["a"].order(fleet.OrderLoad, Key{Model: "m2"}), false, false)
	work, seq, ok := m.placement.Servers["a"].InProgress()
	assert.Assert(t, ok)

	m.placement = NewPlacementState(5*time.Second, 1.1)
	m.placement.SetInherited("a", Inherited{Work: &work, Seq: seq})
	m.update(func() int { return 0 })
	for _, report := range []bool{false, true} {
		if report {
			m.report("a")
			m.report("b")
		}
		m.placement.Demand.Observe("entry", waitingFor("m2", []string{"m0", "m1"}, "", nil), m.now)
		assert.Equal(t, stepFor("m2", m.placement.Plan(m.now)), "", "after reports: %v", report)
	}
	m.advance(5 * time.Second)
	m.report("a")
	assert.Assert(t, m.placement.Servers["a"].serves("m2"))
}

// TestServerReportedBusyIsSkipped plans a load on a server that then reports an
// order of another lease holder in progress.
func TestServerReportedBusyIsSkipped(t *testing.T) {
	m := newSim(fourModels(), 5*time.Second)
	startAll(m, map[string][]string{"a": {"m0"}, "b": {"m0", "m1"}})
	m.placement.Demand.Observe("entry", waitingFor("m2", []string{"m0", "m1"}, "", nil), m.now)
	assert.Equal(t, stepFor("m2", m.placement.Plan(m.now)), "a load m2")
	m.carryOut("a", m.placement.Servers["a"].order(fleet.OrderLoad, Key{Model: "m3"}))
	m.report("a")
	m.placement.Demand.Observe("entry", waitingFor("m2", []string{"m0", "m1"}, "", nil), m.now)
	assert.Equal(t, stepFor("m2", m.placement.Plan(m.now)), "b unload m0")
}

// TestLoadingReplicaDoesNotReplaceServingOne needs memory for a model while one
// of the two replicas of another is still loading. The serving replica must not
// be unloaded.
func TestLoadingReplicaDoesNotReplaceServingOne(t *testing.T) {
	m := newSim(fourModels(), 5*time.Second)
	startAll(m, map[string][]string{"a": {"m0", "m1"}, "b": {"m3"}, "c": {"m1", "m3"}})
	m.order("b", m.placement.Servers["b"].order(fleet.OrderLoad, Key{Model: "m0"}), false, false)
	m.placement.Demand.Observe("entry", waitingFor("m2", []string{"m0", "m1", "m3"}, "", nil), m.now)
	step := stepFor("m2", m.placement.Plan(m.now))
	assert.Assert(t, step != "a unload m0" && step != "", "%q", step)
}

// TestOverdueUnloadIsBypassed lets a model wait for an unload that is blocked
// by a long request. After maxUnloadWait another server must be used.
func TestOverdueUnloadIsBypassed(t *testing.T) {
	m := newSim(fourModels(), 5*time.Second)
	loaded := map[string][]string{}
	for i := range 3 {
		loaded[fmt.Sprintf("s%d", i)] = []string{"m0", "m1"}
	}
	startAll(m, loaded)
	plan := func() string {
		m.placement.Demand.Observe("entry", waitingFor("m2", []string{"m0", "m1"}, "", nil), m.now)
		steps := m.placement.Plan(m.now)
		for _, s := range steps {
			m.order(s.Server, s.Order, false, false)
		}
		return stepFor("m2", steps)
	}
	assert.Equal(t, plan(), "s0 unload m0")
	m.servers["s0"].busy.Due = m.now + time.Minute
	for end := m.now + maxUnloadWait - 200*time.Millisecond; m.now < end; {
		m.advance(100 * time.Millisecond)
		assert.Equal(t, plan(), "", "after %v", end-m.now)
	}
	m.advance(400 * time.Millisecond)
	assert.Equal(t, plan(), "s1 unload m1")
}
