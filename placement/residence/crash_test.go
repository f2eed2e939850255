package residence

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

// TestUnreachableServerIsReplacedSoon simulates a crash that shows only as
// failed connections, with a short period in between in which the server counts
// as reachable.
func TestUnreachableServerIsReplacedSoon(t *testing.T) {
	m := newSim(fourModels(), 5*time.Second)
	for _, other := range []string{"m1", "m2", "m3"} {
		delete(m.engine.Models, other)
	}
	m.start("a", "m0")
	m.start("b")
	m.placement.Demand.Observe("entry", []ModelDemand{{Model: "m0", Arrivals: 1}}, m.now)
	m.run(time.Second)
	assert.Assert(t, m.placement.Servers["b"].work == nil, "one replica suffices")
	crashed := m.now
	for m.now < crashed+600*time.Millisecond && m.placement.Servers["b"].work == nil {
		reachable := m.now == crashed+200*time.Millisecond
		m.placement.SetDown(func(id string) bool { return id == "a" && !reachable }, m.now)
		m.run(100 * time.Millisecond)
	}
	assert.Assert(t, m.placement.Servers["b"].loading("m0"), "no load within %v", m.now-crashed)
}

// TestLoadEndIsDetectedSoon uses a server whose reports are 200 ms old.
func TestLoadEndIsDetectedSoon(t *testing.T) {
	const age, load = 200 * time.Millisecond, time.Second
	s := newState(fleet.Server{ID: "a", Born: 1}, 0)
	s.Report(fleet.Report{Born: 1}, 0)
	s.Begin(s.order(fleet.OrderLoad, Key{Model: "m0"}), 0)
	s.Answered(fleet.OrderAccepted, SourceStore, load, 0)
	now := time.Duration(0)
	for ; s.Working() && now < 2*load; now += 10 * time.Millisecond {
		if s.ReportDue(now) {
			s.Report(fleet.Report{Born: 1, OrderSeq: 1, Busy: now-age < load}, now)
		}
	}
	assert.Assert(t, now < load+age+100*time.Millisecond, "known after %v", now)
}
