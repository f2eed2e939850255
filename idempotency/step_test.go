package idempotency

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotchute.example/common/wire"
)

// check returns the first invariant violation of a finished simulation, or "".
func (w *world) check() string {
	if len(w.runs) > 1 {
		return fmt.Sprintf("double run: %v", w.runs)
	}
	for _, a := range w.actors {
		if a.reply == nil {
			if !a.dead {
				return "no reply: " + a.action.Token
			}
			continue
		}
		if violation := w.checkReply(a); violation != "" {
			return violation
		}
	}
	return w.checkRow()
}

// checkReply checks the reply to one request. Not-run is wrong if an attempt of
// the request ran, or if the action ran before the request began. The second
// rule does not apply with CodeStoreDown, because a side process may have lost
// its record of the run in a restart.
func (w *world) checkReply(a *actor) string {
	switch a.reply.Outcome {
	case wire.OutcomeNotRun:
		for _, r := range w.runs {
			own := strings.HasPrefix(r.token, a.action.Token+".")
			before := r.step < a.startStep && a.reply.Code != CodeStoreDown
			if own || before {
				return fmt.Sprintf("wrong not-run: %s got %s, run %v", a.action.Token, a.reply.Code, r)
			}
		}
	case wire.OutcomeCompleted:
		if len(w.runs) != 1 {
			return fmt.Sprintf("completed with %d runs", len(w.runs))
		}
		if a.reply.Answer != nil && string(a.reply.Answer.Body) != w.runs[0].token {
			return "answer of another attempt"
		}
	}
	return ""
}

func (w *world) checkRow() string {
	if w.row == nil {
		if len(w.runs) > 0 {
			return "run without a row"
		}
		return ""
	}
	switch w.row.State {
	case StateDone:
		if len(w.runs) != 1 {
			return "done without a run"
		}
	case StateNotRun:
		if len(w.runs) != 0 {
			return "row of an action that ran is not-run"
		}
	case StateUnresolved:
		if !w.listed {
			return "unresolved action not on the list"
		}
	default:
		return "never settled"
	}
	return ""
}

func TestInvariantsUnderRandomInterleavings(t *testing.T) {
	states := map[State]int{}
	replies := map[wire.Outcome]int{}
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") })
		w.simulate(4, 150)
		if violation := w.check(); violation != "" {
			rt.Fatal(violation)
		}
	})
	for seed := uint64(1); seed <= 20000; seed++ {
		w := newWorld(rand.New(rand.NewPCG(seed, 1)).IntN)
		w.simulate(4, 150)
		assert.Equal(t, w.check(), "", "seed %d", seed)
		if w.row != nil {
			states[w.row.State]++
		}
		for _, a := range w.actors {
			if a.reply != nil {
				replies[a.reply.Outcome]++
			}
		}
	}
	t.Logf("rows %v, replies %v", states, replies)
	for _, s := range []State{StateDone, StateNotRun, StateUnresolved} {
		assert.Assert(t, states[s] > 100, "state %s was reached too rarely", s)
	}
	for _, o := range []wire.Outcome{wire.OutcomeCompleted, wire.OutcomeNotRun, wire.OutcomeUnknown} {
		assert.Assert(t, replies[o] > 100, "outcome %s was reached too rarely", o)
	}
}

// TestCheckerFindsInjectedDoubleRun checks that the invariant check reports a
// double run when side processes start every attempt they receive.
func TestCheckerFindsInjectedDoubleRun(t *testing.T) {
	for seed := uint64(1); seed <= 2000; seed++ {
		w := newWorld(rand.New(rand.NewPCG(seed, 1)).IntN)
		w.unfenced = true
		w.simulate(4, 150)
		if strings.HasPrefix(w.check(), "double run") {
			t.Logf("found with seed %d", seed)
			return
		}
	}
	t.Fatal("the checker found no double run with unfenced side processes")
}

func TestRepeatWithDifferentBodyIsRejected(t *testing.T) {
	w := newWorld(func(n int) int { return n - 1 })
	w.request(ModeRun)
	w.runToEnd()
	second := w.request(ModeRun)
	second.action.Digest = "other"
	w.runToEnd()
	assert.Equal(t, second.reply.Code, CodeMismatch)
	assert.Equal(t, len(w.runs), 1)
}

// TestVerdictDoesNotOverwriteAnotherClaim replays a history in which an entry
// learns that its own attempt was fenced only after another entry has claimed the
// next attempt. Writing not-run over that claim could cause a double run.
func TestVerdictDoesNotOverwriteAnotherClaim(t *testing.T) {
	now := time.Unix(1000, 0)
	a := Action{Mode: ModeRun, Key: "k", Digest: "d", Token: "a", Deadline: now.Add(time.Minute)}
	nextClaim := Record{Key: "k", BodyDigest: "d", Attempt: 2, Token: "b.1", Server: "s1", State: StateClaimed}
	var effect Effect
	for _, e := range []Event{
		Begin{}, Chosen{Server: "s0"}, Written{Version: "1"}, Broken{}, Unreachable{}, Waited{},
		Row{Record: nextClaim, Version: "3"}, VerdictResult{Verdict: VerdictAbsent}, Waited{},
		StoreFailed{}, VerdictResult{Verdict: VerdictBarred},
	} {
		a, effect = Step(a, e, now)
	}
	assert.Equal(t, effect, Read{})
}
