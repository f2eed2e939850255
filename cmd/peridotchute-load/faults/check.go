package faults

import (
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/standin/plain"
)

// Ask is one request of a caller and what it was told.
type Ask struct {
	Key     string
	Digest  string // of the body sent
	Began   time.Time
	Outcome wire.Outcome // "" when the answer did not come or was cut
	Receipt string       // digest in the answer of a completed request
}

// Fate is what the system says of an action once all faults are over.
type Fate struct {
	Known   bool // some outcome is stored
	Outcome wire.Outcome
	Code    string
}

// History is all that was asked, run and told.
type History struct {
	Asks       []Ask
	Runs       map[string][]plain.Call // by key
	Fates      map[string]Fate         // by key
	Unresolved map[string]bool         // keys on the operators' list
}

// Tally counts actions. Those under Broken must be 0.
type Tally struct {
	Asked      int // actions, each under its own key
	Requests   int // including repeats
	RunOnce    int
	NotRun     int
	Unresolved int
	Completed  int // requests told so
	ToldNotRun int // requests told so
	Unknown    int // requests told so
	NoAnswer   int // requests whose answer did not come
	Broken     Broken
}

// Broken counts broken promises.
type Broken struct {
	RunTwice        int
	NotRunFalse     int // told not-run of an action that ran
	LostUnannounced int // its outcome is wrong or unknown, and on no list
	WrongAnswer     int // a completed request got another's answer, or not the whole one
	Unsettled       int // still open after the last fault
}

// Any reports whether a promise was broken.
func (b Broken) Any() bool { return b != Broken{} }

const codeUnresolved = "unresolved"

// Check reads a history.
func Check(h History) Tally {
	byKey := map[string][]Ask{}
	var t Tally
	for _, a := range h.Asks {
		byKey[a.Key] = append(byKey[a.Key], a)
		t.count(a)
	}
	t.Asked = len(byKey)
	for key, asks := range byKey {
		runs := h.Runs[key]
		t.countRuns(len(runs))
		if falseNotRun(asks, runs) {
			t.Broken.NotRunFalse++
		}
		t.checkFate(h.Fates[key], len(runs), h.Unresolved[key], told(asks, wire.OutcomeCompleted))
	}
	return t
}

func (t *Tally) count(a Ask) {
	t.Requests++
	switch a.Outcome {
	case wire.OutcomeCompleted:
		t.Completed++
		if a.Receipt != a.Digest {
			t.Broken.WrongAnswer++
		}
	case wire.OutcomeNotRun:
		t.ToldNotRun++
	case wire.OutcomeUnknown:
		t.Unknown++
	default:
		t.NoAnswer++
	}
}

func (t *Tally) countRuns(n int) {
	switch n {
	case 0:
		t.NotRun++
	case 1:
		t.RunOnce++
	default:
		t.Broken.RunTwice++
	}
}

// falseNotRun reports whether a request was told not-run although the action
// had run before it, or although no other request can have run it.
func falseNotRun(asks []Ask, runs []plain.Call) bool {
	if len(runs) == 0 {
		return false
	}
	explained := false
	for _, a := range asks {
		if a.Outcome != wire.OutcomeNotRun {
			explained = true
		} else if runs[0].At.Before(a.Began) {
			return true
		}
	}
	return !explained
}

func told(asks []Ask, o wire.Outcome) bool {
	for _, a := range asks {
		if a.Outcome == o {
			return true
		}
	}
	return false
}

// checkFate compares the stored outcome with the runs.
func (t *Tally) checkFate(f Fate, runs int, listed, completed bool) {
	switch {
	case !f.Known:
		if runs > 0 || completed {
			t.Broken.LostUnannounced++
		}
	case f.Outcome == wire.OutcomeCompleted:
		if runs == 0 {
			t.Broken.LostUnannounced++
		}
	case f.Outcome == wire.OutcomeNotRun:
		if runs > 0 {
			t.Broken.NotRunFalse++
		}
	case f.Code != codeUnresolved:
		t.Broken.Unsettled++
	case !listed:
		t.Broken.LostUnannounced++
	default:
		t.Unresolved++
	}
}
