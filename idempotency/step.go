package idempotency

import (
	"time"

	"peridotchute.example/common/wire"
)

const (
	// claimGrace is how long another entry's claim may stay unstarted before
	// its attempt is barred.
	claimGrace = 2 * time.Second
	// minPoll and maxPoll bound the wait between two questions about a running
	// action; the wait doubles each time.
	minPoll = 50 * time.Millisecond
	maxPoll = 2 * time.Second
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// maxStoreTries bounds how often one write whose answer was lost is tried.
	maxStoreTries = 4
)

// Mode is what an entry wants of an action.
type Mode int

// The modes.
const (
	ModeRun    Mode = iota // run it for a caller, once
	ModeSettle             // find out what became of it, without a new attempt
)

// phase is the effect whose event is awaited.
type phase int

const (
	phaseNew phase = iota
	phaseChoosing
	phaseClaiming
	phaseReading
	phaseSending
	phaseAsking // Bar or Query
	phaseLooking
	phaseWaiting
	phaseVoiding   // writing not-run
	phaseRecording // writing done
	phaseAnnouncing
	phaseUnresolving // writing unresolved
	phaseEnded
)

// Action is one entry's view of one action. The exported fields are set before
// the first Step and not changed after.
type Action struct {
	Mode      Mode
	Team      string
	Key       string
	Minted    bool   // the entry made the key, so that no other entry knows it
	Entry     string // name of this entry
	Token     string // unique to this request
	Digest    string // of method, path and body
	Retention time.Duration
	Deadline  time.Time // a reply is due by then

	phase    phase
	record   Record // row last read or written
	version  string // of record; empty when there is no row
	next     Record // row being written
	own      Record // claim of the own attempt
	asked    Record // subject of the last question to a side process
	sent     bool   // the own attempt was sent to its server
	void     string // reason why the own attempt never starts; empty otherwise
	answer   *wire.Answer
	attempts int // claimed by this request
	tries    int // of the write in progress
	polls    int // waits so far
	announce int // times announced as unresolved
	avoid    string
	noServer bool
	foreign  string    // token of another entry's claim
	since    time.Time // when that claim was first seen
}

// Step takes one event and returns the effect to carry out next. Every effect
// but Reply is answered by one event.
func Step(a Action, e Event, now time.Time) (Action, Effect) {
	switch e := e.(type) {
	case Begin:
		return a.begin()
	case Chosen:
		return a.claim(e, now)
	case NoServer:
		return a.withoutServer()
	case Written:
		return a.written(e, now)
	case Conflict:
		return a.conflict()
	case StoreFailed:
		return a.storeFailed(e)
	case Row:
		return a.follow(e, now)
	case NoRow:
		return a.noRow()
	case Answered:
		a.answer = e.Answer
		return a.recordDone()
	case NotStarted:
		a.void = e.Reason
		a.avoid = a.own.Server
		return a.recordNotRun(e.Reason)
	case Broken:
		return a.bar(a.own)
	case Judged:
		return a.judged(e, now)
	case Unreachable:
		return a.unreachable(e, now)
	case Looked:
		return a.looked(e)
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
	return a, Choose{Exclude: a.avoid}
}

func (a Action) read() (Action, Effect) {
	a.phase = phaseReading
	return a, Read{}
}

func (a Action) bar(r Record) (Action, Effect) {
	a.phase = phaseAsking
	a.asked = r
	return a, Bar{Record: r}
}

func (a Action) query(r Record) (Action, Effect) {
	a.phase = phaseAsking
	a.asked = r
	return a, Query{Record: r}
}

func (a Action) wait(d time.Duration) (Action, Effect) {
	a.phase = phaseWaiting
	return a, Wait{For: d}
}

func (a Action) late(now time.Time) bool { return !now.Before(a.Deadline) }

// reply ends the action.
func (a Action) reply(outcome wire.Outcome, code Code, reason string) (Action, Effect) {
	a.phase = phaseEnded
	open := a.record.State == StateClaimed || a.own.Token != "" && a.record.Token == ""
	return a, Reply{Outcome: outcome, Code: code, Reason: reason, Answer: a.answer, Unsettled: open}
}

// withoutServer answers a request for which there is no server: a repeat may
// still find its answer in the table.
func (a Action) withoutServer() (Action, Effect) {
	a.noServer = true
	if a.version != "" {
		return a.reply(wire.OutcomeNotRun, CodeNoServer, a.record.Reason)
	}
	return a.read()
}
