package faults

import (
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/standin/plain"
)

// Request is one request of a caller and the outcome reported to it.
type Request struct {
	Key     string
	Digest  string // of the body sent
	SentAt  time.Time
	Outcome wire.Outcome // "" if the response was lost or truncated
	Receipt string       // digest in the response, equal to Digest if it belongs to this request
}

// StoredOutcome is the outcome of an action that an entry returns after the last
// fault.
type StoredOutcome struct {
	Found   bool // an outcome is stored
	Outcome wire.Outcome
	Code    string
}

// History holds the requests, executions and outcomes of a run.
type History struct {
	Requests   []Request
	Runs       map[string][]plain.Call  // executions at the backend servers, by key
	Outcomes   map[string]StoredOutcome // by key
	Unresolved map[string]bool          // keys on the operators' list of unresolved actions
}

// Tally counts actions and requests. The counts in Violations must be 0.
type Tally struct {
	Actions           int // distinct keys
	Requests          int // including retries
	RunOnce           int
	NotRun            int
	Unresolved        int
	ReportedCompleted int // requests with this outcome
	ReportedNotRun    int // requests with this outcome
	ReportedUnknown   int // requests with this outcome
	NoResponse        int // requests whose response was lost or truncated
	Violations        Violations
}

// Violations counts violations of the guarantees for non-idempotent actions.
type Violations struct {
	RunTwice      int // more than one execution
	FalseNotRun   int // reported as not run although the action ran
	SilentlyLost  int // outcome is wrong or unknown, and not on the operators' list
	WrongResponse int // a completed request got the response to another request, or only part of its response
	Unsettled     int // still in progress after the last fault and settleTimeout
}

// Any reports whether a guarantee was violated.
func (v Violations) Any() bool { return v != Violations{} }

const codeUnresolved = "unresolved"

// Check counts the outcomes and violations in a history.
func Check(h History) Tally {
	byKey := map[string][]Request{}
	var t Tally
	for _, r := range h.Requests {
		byKey[r.Key] = append(byKey[r.Key], r)
		t.countRequest(r)
	}
	t.Actions = len(byKey)
	for key, requests := range byKey {
		runs := h.Runs[key]
		t.countRuns(len(runs))
		if falseNotRun(requests, runs) {
			t.Violations.FalseNotRun++
		}
		t.checkOutcome(h.Outcomes[key], len(runs), h.Unresolved[key], anyWithOutcome(requests, wire.OutcomeCompleted))
	}
	return t
}

func (t *Tally) countRequest(r Request) {
	t.Requests++
	switch r.Outcome {
	case wire.OutcomeCompleted:
		t.ReportedCompleted++
		if r.Receipt != r.Digest {
			t.Violations.WrongResponse++
		}
	case wire.OutcomeNotRun:
		t.ReportedNotRun++
	case wire.OutcomeUnknown:
		t.ReportedUnknown++
	default:
		t.NoResponse++
	}
}

func (t *Tally) countRuns(n int) {
	switch n {
	case 0:
		t.NotRun++
	case 1:
		t.RunOnce++
	default:
		t.Violations.RunTwice++
	}
}

// falseNotRun reports whether a request got the outcome not-run although the action
// had run before the request was sent, or although no other request can have run it.
func falseNotRun(requests []Request, runs []plain.Call) bool {
	if len(runs) == 0 {
		return false
	}
	otherRequest := false
	for _, r := range requests {
		if r.Outcome != wire.OutcomeNotRun {
			otherRequest = true
		} else if runs[0].At.Before(r.SentAt) {
			return true
		}
	}
	return !otherRequest
}

func anyWithOutcome(requests []Request, o wire.Outcome) bool {
	for _, r := range requests {
		if r.Outcome == o {
			return true
		}
	}
	return false
}

// checkOutcome compares the stored outcome of an action with its executions. listed
// means that the action is on the operators' list, completed that a request was
// reported as completed.
func (t *Tally) checkOutcome(stored StoredOutcome, runs int, listed, completed bool) {
	switch {
	case !stored.Found:
		if runs > 0 || completed {
			t.Violations.SilentlyLost++
		}
	case stored.Outcome == wire.OutcomeCompleted:
		if runs == 0 {
			t.Violations.SilentlyLost++
		}
	case stored.Outcome == wire.OutcomeNotRun:
		if runs > 0 {
			t.Violations.FalseNotRun++
		}
	case stored.Code != codeUnresolved:
		t.Violations.Unsettled++
	case !listed:
		t.Violations.SilentlyLost++
	default:
		t.Unresolved++
	}
}
