package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func row(name string, leaving bool) Row {
	return Row{Name: name, Zone: "zone-" + name[:1], Pool: "p", Leaving: leaving}
}

// step is an observation at an offset from start.
type step struct {
	offset      time.Duration
	observation Observation
}

// applySteps merges the observations of steps and returns the resulting members.
func applySteps(m Members, steps ...step) Members {
	for _, s := range steps {
		m.Apply(Merge(m, s.observation, start.Add(s.offset)))
	}
	return m
}

func heartbeat(incarnation string) Contact { return Contact{Name: "a1", Incarnation: incarnation} }

func TestMemberState(t *testing.T) {
	listed := VMList{Rows: []Row{row("a1", false)}}
	const s = time.Second
	tests := []struct {
		name  string
		steps []step
		want  State
	}{
		{"listed only", []step{{0, listed}}, StateSuspect},
		{"listed with a heartbeat", []step{{0, listed}, {s, heartbeat("1")}}, StateLive},
		{"silent", []step{{0, listed}, {s, heartbeat("1")}, {7 * s, Tick{}}}, StateSuspect},
		{"within its announced interval", []step{{0, listed}, {s, Contact{Name: "a1", Incarnation: "1", MaxInterval: 20 * s}}, {40 * s, Tick{}}}, StateLive},
		{"silent beyond its announced interval", []step{{0, listed}, {s, Contact{Name: "a1", Incarnation: "1", MaxInterval: 20 * s}}, {52 * s, Tick{}}}, StateSuspect},
		{"silent for long but listed", []step{{0, listed}, {s, heartbeat("1")}, {900 * s, Tick{}}}, StateSuspect},
		{"silent and not listed", []step{{0, listed}, {s, heartbeat("1")}, {2 * s, VMList{}}, {12 * s, Tick{}}}, StateRemoved},
		{"heartbeat but not listed", []step{{0, listed}, {s, heartbeat("1")}, {2 * s, VMList{}}, {12 * s, heartbeat("1")}, {13 * s, Tick{}}}, StateLive},
		{"connection lost", []step{{0, listed}, {s, heartbeat("1")}, {2 * s, Disconnected{"a1", "1"}}, {3 * s, Tick{}}}, StateSuspect},
		{"connection restored", []step{{0, listed}, {s, heartbeat("1")}, {2 * s, Disconnected{"a1", "1"}}, {3 * s, heartbeat("1")}}, StateLive},
		{"leaving in the list", []step{{0, listed}, {s, heartbeat("1")}, {2 * s, VMList{Rows: []Row{row("a1", true)}}}, {3 * s, heartbeat("1")}}, StateLeaving},
		{"drains", []step{{0, listed}, {s, Contact{Name: "a1", Incarnation: "1", Draining: true}}, {2 * s, heartbeat("1")}}, StateLeaving},
		{"restarted after draining", []step{{0, listed}, {s, Contact{Name: "a1", Incarnation: "1", Draining: true}}, {2 * s, heartbeat("2")}}, StateLive},
		{"late heartbeat of the old incarnation", []step{{0, listed}, {s, heartbeat("1")}, {2 * s, heartbeat("2")}, {3 * s, Contact{Name: "a1", Incarnation: "1", Draining: true}}}, StateLive},
		{"old connection ends after a restart", []step{{0, listed}, {s, heartbeat("1")}, {2 * s, heartbeat("2")}, {3 * s, Disconnected{"a1", "1"}}}, StateLive},
		{"requests fail", []step{{0, listed}, {s, heartbeat("1")}, {s, RequestFailed{"a1", "1"}}, {s, RequestFailed{"a1", "1"}}, {s, RequestFailed{"a1", "1"}}, {2 * s, heartbeat("1")}}, StateSuspect},
		{"live again after the suspect time", []step{{0, listed}, {s, heartbeat("1")}, {s, RequestFailed{"a1", "1"}}, {s, RequestFailed{"a1", "1"}}, {s, RequestFailed{"a1", "1"}}, {6 * s, heartbeat("1")}}, StateLive},
		{"a response resets the failure count", []step{{0, listed}, {s, heartbeat("1")}, {s, RequestFailed{"a1", "1"}}, {s, RequestFailed{"a1", "1"}}, {s, Contact{Name: "a1", Incarnation: "1", Answered: true}}, {s, RequestFailed{"a1", "1"}}}, StateLive},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			m := applySteps(Members{}, tc.steps...)
			got, known := m["a1"]
			if tc.want == StateRemoved {
				assert.Assert(t, !known)
				return
			}
			assert.Equal(t, got.State, tc.want, got.Reason)
		})
	}
}

func TestRegionPartitionKeepsMembers(t *testing.T) {
	m := Members{}
	var rows []Row
	for i := range 10 {
		rows = append(rows, row(fmt.Sprint("a", i), false), row(fmt.Sprint("b", i), false))
	}
	m = applySteps(m, step{0, VMList{Rows: rows}})
	for name := range m {
		m = applySteps(m, step{time.Second, Contact{Name: name, Incarnation: "1"}})
	}
	// Zone b becomes silent and disappears from the VM list as well.
	for at := 2 * time.Second; at <= 62*time.Second; at += time.Second {
		var remaining []Row
		for _, r := range rows {
			if r.Zone == "zone-a" {
				m = applySteps(m, step{at, Contact{Name: r.Name, Incarnation: "1"}})
				remaining = append(remaining, r)
			}
		}
		m = applySteps(m, step{at, VMList{Rows: remaining}}, step{at, Tick{}})
	}
	assert.Equal(t, len(m), 20)
	assert.Equal(t, m["b1"].State, StateSuspect)
	assert.Equal(t, m["a1"].State, StateLive)
	m = applySteps(m, step{63 * time.Second, Contact{Name: "b1", Incarnation: "1"}})
	assert.Equal(t, m["b1"].State, StateLive)
}

func TestFlappingIsDamped(t *testing.T) {
	m := applySteps(Members{}, step{0, VMList{Rows: []Row{row("a1", false)}}})
	changes := 0
	for i := range 120 {
		at := time.Duration(i) * time.Second
		for _, o := range []Observation{heartbeat("1"), Disconnected{"a1", "1"}} {
			updates := Merge(m, o, start.Add(at))
			if updates[0].Changed() {
				changes++
			}
			m.Apply(updates)
		}
	}
	assert.Assert(t, changes <= 30, "%d changes in two minutes", changes)
	m = applySteps(m, step{300 * time.Second, heartbeat("1")})
	assert.Equal(t, m["a1"].State, StateLive)
}

func TestMergeInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Members{}
		now := start
		draining := map[string]bool{} // incarnations that reported draining
		retired := map[string]bool{}
		current := ""
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			incarnation := rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "incarnation")
			var o Observation
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				c := Contact{Name: "a1", Incarnation: incarnation, Draining: rapid.Bool().Draw(t, "draining")}
				if _, known := m["a1"]; known && !retired[incarnation] {
					if current != incarnation {
						retired[current] = true
						current = incarnation
					}
					draining[incarnation] = draining[incarnation] || c.Draining
				}
				o = c
			case 1:
				o = VMList{Rows: []Row{row("a1", rapid.Bool().Draw(t, "leaving"))}}
			case 2:
				o = VMList{}
			case 3:
				o = Disconnected{"a1", incarnation}
			default:
				o = Tick{}
			}
			m.Apply(Merge(m, o, now))
			got, known := m["a1"]
			if !known {
				draining, retired, current = map[string]bool{}, map[string]bool{}, ""
				continue
			}
			if got.State == StateLive {
				assert.Assert(t, !got.ListLeaving && !draining[got.Incarnation], "member is live although it is leaving")
				assert.Assert(t, now.Sub(got.LastContact) < SuspectAfter || !isTick(o), "member is live although it is silent")
			}
			assert.Equal(t, got.Incarnation, current)
		}
	})
}

func isTick(o Observation) bool {
	_, ok := o.(Tick)
	return ok
}
