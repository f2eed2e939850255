package idempotency

import (
	"time"

	"peridotchute.example/common/wire"
)

// Event is what an entry has learned since its last effect.
type Event interface{ event() }

// The events of Step. Each answers the effect named in its comment.
type (
	// Begin starts an action.
	Begin struct{}
	// Chosen answers Choose.
	Chosen struct{ Server, Incarnation string }
	// NoServer answers Choose: no backend server can take the action now.
	NoServer struct{}
	// Written answers PutIfAbsent, CompareAndSet and Announce.
	Written struct{ Version string }
	// Conflict answers a conditional write that lost.
	Conflict struct{}
	// StoreFailed answers any call of the table. Unknown means that the write
	// may take effect, even later.
	StoreFailed struct{ Unknown bool }
	// Row answers Read.
	Row struct {
		Record  Record
		Version string
	}
	// NoRow answers Read.
	NoRow struct{}
	// Answered answers Send: the whole answer came.
	Answered struct{ Answer *wire.Answer }
	// NotStarted answers Send: not one byte left, or the side process refused
	// the attempt.
	NotStarted struct{ Reason string }
	// Broken answers Send: bytes may have left and no whole answer came.
	Broken struct{ Reason string }
	// Judged answers Bar and Query.
	Judged struct {
		Verdict Verdict
		Answer  *wire.Answer
	}
	// Unreachable answers Bar and Query. Gone means that the VM has left for good.
	Unreachable struct{ Gone bool }
	// Looked answers Lookup. Sure means that every server of the pool replied.
	Looked struct {
		Verdict Verdict
		Answer  *wire.Answer
		Sure    bool
	}
	// Waited answers Wait.
	Waited struct{}
)

func (Begin) event()       {}
func (Chosen) event()      {}
func (NoServer) event()    {}
func (Written) event()     {}
func (Conflict) event()    {}
func (StoreFailed) event() {}
func (Row) event()         {}
func (NoRow) event()       {}
func (Answered) event()    {}
func (NotStarted) event()  {}
func (Broken) event()      {}
func (Judged) event()      {}
func (Unreachable) event() {}
func (Looked) event()      {}
func (Waited) event()      {}

// Effect is what an entry has to do next.
type Effect interface{ effect() }

// The effects of Step.
type (
	// Choose picks a backend server other than Exclude, which may be empty.
	Choose struct{ Exclude string }
	// PutIfAbsent writes the row unless there is one.
	PutIfAbsent struct{ Record Record }
	// CompareAndSet writes the row if it still has Version.
	CompareAndSet struct {
		Version string
		Record  Record
	}
	// Read reads the row, consistently.
	Read struct{}
	// Send sends the action to the server of the claim, once.
	Send struct{ Record Record }
	// Bar asks the server of the claim never to start the attempt.
	Bar struct{ Record Record }
	// Query asks the server of the claim what became of the action.
	Query struct{ Record Record }
	// Lookup asks every server of the pool what became of the action.
	Lookup struct{}
	// Announce puts the action on the operators' list of unresolved actions.
	Announce struct{ Record Record }
	// Wait lets time pass.
	Wait struct{ For time.Duration }
	// Reply ends the action at this entry.
	Reply struct {
		Outcome   wire.Outcome
		Code      Code
		Reason    string
		Answer    *wire.Answer
		Unsettled bool // the row does not say yet what became of the action
	}
)

func (Choose) effect()        {}
func (PutIfAbsent) effect()   {}
func (CompareAndSet) effect() {}
func (Read) effect()          {}
func (Send) effect()          {}
func (Bar) effect()           {}
func (Query) effect()         {}
func (Lookup) effect()        {}
func (Announce) effect()      {}
func (Wait) effect()          {}
func (Reply) effect()         {}

// Code says why an action ended as it did.
type Code string

// The codes.
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
