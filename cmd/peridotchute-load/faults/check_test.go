package faults

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/standin/plain"
)

// TestEachBrokenPromiseIsFound plants each fault in a history of one action.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	at := time.Unix(1000, 0)
	done := Fate{Known: true, Outcome: wire.OutcomeCompleted}
	notRun := Fate{Known: true, Outcome: wire.OutcomeNotRun}
	lost := Fate{Known: true, Outcome: wire.OutcomeUnknown, Code: codeUnresolved}
	open := Fate{Known: true, Outcome: wire.OutcomeUnknown, Code: "action_in_progress"}
	ask := func(o wire.Outcome, s int) Ask {
		return Ask{Key: "k", Digest: "d", Receipt: "d", Outcome: o, Began: at.Add(time.Duration(s) * time.Second)}
	}
	cases := []struct {
		name   string
		asks   []Ask
		runs   int
		fate   Fate
		listed bool
		want   Broken
	}{
		{"whole", []Ask{ask(wire.OutcomeCompleted, -1)}, 1, done, false, Broken{}},
		{"never run", []Ask{ask(wire.OutcomeNotRun, -1)}, 0, notRun, false, Broken{}},
		{"unresolved and listed", []Ask{ask("", -1)}, 1, lost, true, Broken{}},
		{"not run at first", []Ask{ask(wire.OutcomeNotRun, -2), ask(wire.OutcomeCompleted, -1)}, 1, done, false, Broken{}},
		{"run twice", []Ask{ask(wire.OutcomeCompleted, -1)}, 2, done, false, Broken{RunTwice: 1}},
		{"only told not-run", []Ask{ask(wire.OutcomeNotRun, -1)}, 1, done, false, Broken{NotRunFalse: 1}},
		{"told not-run later", []Ask{ask(wire.OutcomeCompleted, -1), ask(wire.OutcomeNotRun, 1)}, 1, done, false, Broken{NotRunFalse: 1}},
		{"row says not-run", []Ask{ask("", -1)}, 1, notRun, false, Broken{NotRunFalse: 1}},
		{"not listed", []Ask{ask("", -1)}, 1, lost, false, Broken{LostUnannounced: 1}},
		{"no row", []Ask{ask("", -1)}, 1, Fate{}, false, Broken{LostUnannounced: 1}},
		{"completed, never run", []Ask{ask(wire.OutcomeCompleted, -1)}, 0, done, false, Broken{LostUnannounced: 1}},
		{"still open", []Ask{ask("", -1)}, 1, open, false, Broken{Unsettled: 1}},
		{"another's answer", []Ask{{Key: "k", Digest: "d", Receipt: "e", Outcome: wire.OutcomeCompleted}}, 1, done, false, Broken{WrongAnswer: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := History{Asks: c.asks, Runs: map[string][]plain.Call{}, Fates: map[string]Fate{"k": c.fate}, Unresolved: map[string]bool{"k": c.listed}}
			for range c.runs {
				h.Runs["k"] = append(h.Runs["k"], plain.Call{At: at})
			}
			assert.Equal(t, Check(h).Broken, c.want)
		})
	}
}
