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

// check returns the first broken promise of a finished history, or "".
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
		if broken := w.checkReply(a); broken != "" {
			return broken
		}
	}
	return w.checkEnd()
}

// checkReply checks what one request was told. A not-run is false when the
// request's own attempt ran, or when the action had run before it was asked.
// With the store down the second holds only while no side process restarts.
func (w *world) checkReply(a *actor) string {
	switch a.reply.Outcome {
	case wire.OutcomeNotRun:
		for _, r := range w.runs {
			own := strings.HasPrefix(r.token, a.action.Token+".")
			before := r.step < a.begun && a.reply.Code != CodeStoreDown
			if own || before {
				return fmt.Sprintf("false not-run: %s told %s, run %v", a.action.Token, a.reply.Code, r)
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

func (w *world) checkEnd() string {
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
			return "row says not-run of a run action"
		}
	case StateUnresolved:
		if !w.listed {
			return "unannounced loss"
		}
	default:
		return "never settled"
	}
	return ""
}

func TestPromisesUnderRandomInterleavings(t *testing.T) {
	ends := map[State]int{}
	replies := map[wire.Outcome]int{}
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") })
		w.play(4, 150)
		if broken := w.check(); broken != "" {
			rt.Fatal(broken)
		}
	})
	for seed := uint64(1); seed <= 20000; seed++ {
		w := newWorld(rand.New(rand.NewPCG(seed, 1)).IntN)
		w.play(4, 150)
		assert.Equal(t, w.check(), "", "seed %d", seed)
		if w.row != nil {
			ends[w.row.State]++
		}
		for _, a := range w.actors {
			if a.reply != nil {
				replies[a.reply.Outcome]++
			}
		}
	}
	t.Logf("rows %v, replies %v", ends, replies)
	for _, s := range []State{StateDone, StateNotRun, StateUnresolved} {
		assert.Assert(t, ends[s] > 100, "state %s was hardly reached", s)
	}
	for _, o := range []wire.Outcome{wire.OutcomeCompleted, wire.OutcomeNotRun, wire.OutcomeUnknown} {
		assert.Assert(t, replies[o] > 100, "outcome %s was hardly reached", o)
	}
}

// TestCheckerFindsPlantedDoubleRun takes the guard out of the side processes.
func TestCheckerFindsPlantedDoubleRun(t *testing.T) {
	for seed := uint64(1); seed <= 2000; seed++ {
		w := newWorld(rand.New(rand.NewPCG(seed, 1)).IntN)
		w.unfenced = true
		w.play(4, 150)
		if strings.HasPrefix(w.check(), "double run") {
			t.Logf("found with seed %d", seed)
			return
		}
	}
	t.Fatal("the checker found no double run without the guard")
}

func TestRepeatWithAnotherBodyIsRefused(t *testing.T) {
	w := newWorld(func(n int) int { return n - 1 })
	w.request(ModeRun)
	w.finish()
	second := w.request(ModeRun)
	second.action.Digest = "other"
	w.finish()
	assert.Equal(t, second.reply.Code, CodeMismatch)
	assert.Equal(t, len(w.runs), 1)
}

// TestVerdictOnOwnAttemptIsNotWrittenOverAnother replays a history in which an
// entry learns late that its own attempt was barred while a further attempt of
// another entry is already running.
func TestVerdictOnOwnAttemptIsNotWrittenOverAnother(t *testing.T) {
	now := time.Unix(1000, 0)
	a := Action{Mode: ModeRun, Key: "k", Digest: "d", Token: "a", Deadline: now.Add(time.Minute)}
	further := Record{Key: "k", BodyDigest: "d", Attempt: 2, Token: "b.1", Server: "s1", State: StateClaimed}
	var effect Effect
	for _, e := range []Event{
		Begin{}, Chosen{Server: "s0"}, Written{Version: "1"}, Broken{}, Unreachable{}, Waited{},
		Row{Record: further, Version: "3"}, Judged{Verdict: VerdictAbsent}, Waited{},
		StoreFailed{}, Judged{Verdict: VerdictBarred},
	} {
		a, effect = Step(a, e, now)
	}
	assert.Equal(t, effect, Read{})
}
