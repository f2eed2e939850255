package idempotency

import (
	"time"

	"peridotchute.example/common/wire"
)

const (
	// claimStartTimeout is how long an attempt claimed by another entry may stay
	// unstarted before it is fenced.
	claimStartTimeout = 2 * time.Second
	// minPoll and maxPoll bound the interval at which a running action is
	// polled; it doubles after each poll.
	minPoll = 50 * time.Millisecond
	maxPoll = 2 * time.Second
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// maxWriteTries bounds the tries of a write whose result is unknown, and
	// those of ListUnresolved.
	maxWriteTries = 4
)

// Mode is the goal of an entry for an action.
type Mode int

// The modes of an Action.
const (
	ModeRun    Mode = iota // run the action at most once
	ModeSettle             // determine the outcome without claiming a new attempt
)

// phase identifies the effect whose event Step expects next.
type phase int

const (
	phaseNew phase = iota
	phaseChoosing
	phaseClaiming
	phaseReading
	phaseSending
	phaseQuerying // Fence or Query
	phaseLookup
	phaseWaiting
	phaseRecordingNotRun
	phaseRecordingDone
	phaseListing
	phaseRecordingUnresolved
	phaseEnded
)

// Action is the state of one action at one entry. The exported fields are set
// before the first Step and do not change afterwards.
type Action struct {
	Mode         Mode
	Team         string
	Key          string
	GeneratedKey bool   // the entry generated Key, so no other entry uses it
	Entry        string // name of this entry
	Token        string // unique to this request
	Digest       string // digest of pool, method, path and body
	Retention    time.Duration
	Deadline     time.Time // when the reply is due

	phase         phase
	record        Record // row as last read or written
	version       string // version of record; empty if there is no row
	next          Record // row being written
	ownClaim      Record // claim of this request's current attempt
	queried       Record // claim of the last Fence or Query
	sent          bool   // the attempt of ownClaim was sent to its server
	notRunReason  string // why the attempt of ownClaim never starts; empty if it may start
	answer        *wire.Answer
	attempts      int // attempts claimed by this request
	writeTries    int // tries of the write in progress
	polls         int // number of waits between polls
	listTries     int // tries of ListUnresolved
	excludeServer string
	noServer      bool
	otherToken    string    // token of the last seen claim of another request
	otherSince    time.Time // when otherToken was first seen
}

// Step processes an event and returns the new state and the next effect. The
// caller executes the effect and passes its result to Step as the next event;
// Reply is the last effect.
func Step(a Action, e Event, now time.Time) (Action, Effect) {
	switch e := e.(type) {
	case Begin:
		return a.begin()
	case Chosen:
		return a.claim(e, now)
	case NoServer:
		return a.handleNoServer()
	case Written:
		return a.handleWritten(e, now)
	case Conflict:
		return a.handleConflict()
	case StoreFailed:
		return a.handleStoreFailed(e)
	case Row:
		return a.handleRow(e, now)
	case NoRow:
		return a.handleNoRow()
	case Answered:
		a.answer = e.Answer
		return a.recordDone()
	case NotStarted:
		a.notRunReason = e.Reason
		a.excludeServer = a.ownClaim.Server
		return a.recordNotRun(e.Reason)
	case Broken:
		return a.fence(a.ownClaim)
	case VerdictResult:
		return a.handleVerdict(e, now)
	case Unreachable:
		return a.handleUnreachable(e, now)
	case LookupResult:
		return a.handleLookup(e)
	case Waited:
		return a.read()
	}
	return a.reply(wire.OutcomeUnknown, CodeInternal, "unexpected event")
}

func (a Action) begin() (Action, Effect) {
	if a.Mode == ModeSettle {
		return a.read()
	}
	return a.choose()
}

func (a Action) choose() (Action, Effect) {
	a.phase = phaseChoosing
	return a, Choose{Exclude: a.excludeServer}
}

func (a Action) read() (Action, Effect) {
	a.phase = phaseReading
	return a, Read{}
}

func (a Action) fence(r Record) (Action, Effect) {
	a.phase = phaseQuerying
	a.queried = r
	return a, Fence{Record: r}
}

func (a Action) query(r Record) (Action, Effect) {
	a.phase = phaseQuerying
	a.queried = r
	return a, Query{Record: r}
}

func (a Action) wait(d time.Duration) (Action, Effect) {
	a.phase = phaseWaiting
	return a, Wait{For: d}
}

func (a Action) expired(now time.Time) bool { return !now.Before(a.Deadline) }

// reply returns the final effect of the action.
func (a Action) reply(outcome wire.Outcome, code Code, reason string) (Action, Effect) {
	a.phase = phaseEnded
	unsettled := a.record.State == StateClaimed || a.ownClaim.Token != "" && a.record.Token == ""
	return a, Reply{Outcome: outcome, Code: code, Reason: reason, Answer: a.answer, Unsettled: unsettled}
}

// handleNoServer ends a request for which no server is available. If the row
// has not been read yet, it reads it first: an earlier request with the same key
// may have stored an answer.
func (a Action) handleNoServer() (Action, Effect) {
	a.noServer = true
	if a.version != "" {
		return a.reply(wire.OutcomeNotRun, CodeNoServer, a.record.Reason)
	}
	return a.read()
}
