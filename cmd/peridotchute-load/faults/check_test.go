package faults

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/standin/plain"
)

// TestCheckFindsEachViolation checks histories of one action with one violation each,
// and some without.
func TestCheckFindsEachViolation(t *testing.T) {
	at := time.Unix(1000, 0)
	done := StoredOutcome{Found: true, Outcome: wire.OutcomeCompleted}
	notRun := StoredOutcome{Found: true, Outcome: wire.OutcomeNotRun}
	lost := StoredOutcome{Found: true, Outcome: wire.OutcomeUnknown, Code: codeUnresolved}
	inProgress := StoredOutcome{Found: true, Outcome: wire.OutcomeUnknown, Code: "action_in_progress"}
	newRequest := func(o wire.Outcome, s int) Request {
		return Request{Key: "k", Digest: "d", Receipt: "d", Outcome: o, SentAt: at.Add(time.Duration(s) * time.Second)}
	}
	cases := []struct {
		name     string
		requests []Request
		runs     int
		outcome  StoredOutcome
		listed   bool
		want     Violations
	}{
		{"whole", []Request{newRequest(wire.OutcomeCompleted, -1)}, 1, done, false, Violations{}},
		{"never run", []Request{newRequest(wire.OutcomeNotRun, -1)}, 0, notRun, false, Violations{}},
		{"unresolved and on the list", []Request{newRequest("", -1)}, 1, lost, true, Violations{}},
		{"not run at first", []Request{newRequest(wire.OutcomeNotRun, -2), newRequest(wire.OutcomeCompleted, -1)}, 1, done, false, Violations{}},
		{"run twice", []Request{newRequest(wire.OutcomeCompleted, -1)}, 2, done, false, Violations{RunTwice: 1}},
		{"only reported not-run", []Request{newRequest(wire.OutcomeNotRun, -1)}, 1, done, false, Violations{FalseNotRun: 1}},
		{"reported not-run later", []Request{newRequest(wire.OutcomeCompleted, -1), newRequest(wire.OutcomeNotRun, 1)}, 1, done, false, Violations{FalseNotRun: 1}},
		{"stored as not-run", []Request{newRequest("", -1)}, 1, notRun, false, Violations{FalseNotRun: 1}},
		{"unresolved and not on the list", []Request{newRequest("", -1)}, 1, lost, false, Violations{SilentlyLost: 1}},
		{"no stored outcome", []Request{newRequest("", -1)}, 1, StoredOutcome{}, false, Violations{SilentlyLost: 1}},
		{"completed, never run", []Request{newRequest(wire.OutcomeCompleted, -1)}, 0, done, false, Violations{SilentlyLost: 1}},
		{"still in progress", []Request{newRequest("", -1)}, 1, inProgress, false, Violations{Unsettled: 1}},
		{"response to another request", []Request{{Key: "k", Digest: "d", Receipt: "e", Outcome: wire.OutcomeCompleted}}, 1, done, false, Violations{WrongResponse: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := History{Requests: c.requests, Runs: map[string][]plain.Call{}, Outcomes: map[string]StoredOutcome{"k": c.outcome}, Unresolved: map[string]bool{"k": c.listed}}
			for range c.runs {
				h.Runs["k"] = append(h.Runs["k"], plain.Call{At: at})
			}
			assert.Equal(t, Check(h).Violations, c.want)
		})
	}
}
