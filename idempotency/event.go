package idempotency

import (
	"time"

	"peridotchute.example/common/wire"
)

// Event is an input of Step: the result of the last effect.
type Event interface{ event() }

// The events of Step. Each comment names the effects that the event can follow.
type (
	// Begin starts an action.
	Begin struct{}
	// Chosen follows Choose: the server that was picked.
	Chosen struct{ Server, Incarnation string }
	// NoServer follows Choose: no backend server can accept the action now.
	NoServer struct{}
	// Written follows a successful PutIfAbsent, CompareAndSet or ListUnresolved.
	Written struct{ Version string }
	// Conflict follows a conditional write whose condition did not hold.
	Conflict struct{}
	// StoreFailed follows a failed call to the table service. Unknown means that
	// the write may have taken effect or may still do so.
	StoreFailed struct{ Unknown bool }
	// Row follows Read: the row and its version.
	Row struct {
		Record  Record
		Version string
	}
	// NoRow follows Read: the action has no row.
	NoRow struct{}
	// Answered follows Send: the complete answer was received.
	Answered struct{ Answer *wire.Answer }
	// NotStarted follows Send: no byte was sent, or the side process refused the
	// attempt.
	NotStarted struct{ Reason string }
	// Broken follows Send: bytes may have been sent, but no complete answer was
	// received.
	Broken struct{ Reason string }
	// VerdictResult follows Fence and Query.
	VerdictResult struct {
		Verdict Verdict
		Answer  *wire.Answer
	}
	// Unreachable follows Fence and Query. Removed means that the server's VM no
	// longer exists.
	Unreachable struct{ Removed bool }
	// LookupResult follows Lookup. Conclusive means that VerdictAbsent proves
	// that no attempt was started.
	LookupResult struct {
		Verdict    Verdict
		Answer     *wire.Answer
		Conclusive bool
	}
	// Waited follows Wait.
	Waited struct{}
)

func (Begin) event()         {}
func (Chosen) event()        {}
func (NoServer) event()      {}
func (Written) event()       {}
func (Conflict) event()      {}
func (StoreFailed) event()   {}
func (Row) event()           {}
func (NoRow) event()         {}
func (Answered) event()      {}
func (NotStarted) event()    {}
func (Broken) event()        {}
func (VerdictResult) event() {}
func (Unreachable) event()   {}
func (LookupResult) event()  {}
func (Waited) event()        {}

// Effect is an output of Step: what the entry does next.
type Effect interface{ effect() }

// The effects of Step.
type (
	// Choose picks a backend server other than Exclude; an empty Exclude excludes none.
	Choose struct{ Exclude string }
	// PutIfAbsent writes the row unless it exists.
	PutIfAbsent struct{ Record Record }
	// CompareAndSet writes the row if it still has Version.
	CompareAndSet struct {
		Version string
		Record  Record
	}
	// Read reads the row with a consistent read.
	Read struct{}
	// Send sends the action to the server of the claim, once.
	Send struct{ Record Record }
	// Fence asks the server of the claim never to start the attempt.
	Fence struct{ Record Record }
	// Query asks the server of the claim for the status of the action.
	Query struct{ Record Record }
	// Lookup asks every server of the pool for the status of the action.
	Lookup struct{}
	// ListUnresolved adds the action to the operators' list of unresolved actions.
	ListUnresolved struct{ Record Record }
	// Wait pauses for the given duration.
	Wait struct{ For time.Duration }
	// Reply ends the handling of the action at this entry.
	Reply struct {
		Outcome   wire.Outcome
		Code      Code
		Reason    string
		Answer    *wire.Answer
		Unsettled bool // the row may not record the final outcome yet
	}
)

func (Choose) effect()         {}
func (PutIfAbsent) effect()    {}
func (CompareAndSet) effect()  {}
func (Read) effect()           {}
func (Send) effect()           {}
func (Fence) effect()          {}
func (Query) effect()          {}
func (Lookup) effect()         {}
func (ListUnresolved) effect() {}
func (Wait) effect()           {}
func (Reply) effect()          {}

// Code is the machine-readable reason of a Reply.
type Code string

// The codes of a Reply.
const (
	CodeDone       Code = "done"
	CodeMismatch   Code = "idempotency_key_reused" // same key, different body
	CodeRunning    Code = "action_in_progress"
	CodeStoreDown  Code = "store_unavailable"
	CodeNoServer   Code = "no_server"
	CodeRefused    Code = "refused"
	CodeDeadline   Code = "deadline_exceeded"
	CodeUnresolved Code = "unresolved"
	CodeNotFound   Code = "action_not_found"
	CodeInternal   Code = "internal"
)
