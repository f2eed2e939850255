package decisionlog

import (
	"time"

	"peridotchute.example/common/event"
)

// Routed is the route that a request took.
type Routed struct {
	Route         string
	Service       string
	Model         string // empty for plain services
	Adapter       string // empty for the model itself
	Priority      int    // 0 is the most urgent
	PromptTokens  int
	OutputTokens  int           // most that may be generated
	Deadline      time.Duration // what the caller will wait
	ConfigVersion int64
}

// Chosen is the server that a request is sent to, with what decided it.
type Chosen struct {
	Server     string
	Zone       string
	Attempt    int           // 1 for the first
	Waited     time.Duration // for its turn, all attempts together
	Expected   time.Duration // expected time to first token or answer
	Backlog    time.Duration // of it, work of the requests before this one
	Running    int           // requests at the server, as this process believes
	Cached     int           // prompt tokens that need not be read again
	Candidates int           // servers that could have been chosen
	ViewAge    time.Duration // since the registrations were read
	Reason     string        // why this one
}

// FailureKind says how an attempt failed.
type FailureKind string

// The ways in which an attempt fails.
const (
	FailureConnect     FailureKind = "connect"     // no connection: nothing was sent
	FailureReset       FailureKind = "reset"       // the connection broke
	FailureTruncated   FailureKind = "truncated"   // the answer ended before it was whole
	FailureMalformed   FailureKind = "malformed"   // bytes that are no answer to this request
	FailureTimeout     FailureKind = "timeout"     // no answer in time
	FailureSilent      FailureKind = "silent"      // nothing was heard from the server any more
	FailureStatus      FailureKind = "status"      // the server answered with a failure
	FailureTurnedAway  FailureKind = "turned away" // the server did not run it
	FailureWrongServer FailureKind = "misdirected" // another server, or without the model
)

// AttemptFailed is an attempt that brought no whole answer.
type AttemptFailed struct {
	Server  string
	Attempt int
	Kind    FailureKind
	Status  int           // of the server's answer; 0 when there was none
	NotRun  bool          // the server certainly did not run it
	After   time.Duration // since it was sent
	Events  int           // whole events that the caller had got by then
	Err     error
}

// Retried announces another attempt.
type Retried struct {
	Attempt     int
	Resumed     bool    // the stream goes on after ResumeAfter
	ResumeAfter string  // id of the last event that the caller has
	BudgetLeft  float64 // repeats that the budget still allows for the service
}

// RetryWithheld says why a failed attempt is the last.
type RetryWithheld struct {
	Reason     WithheldReason
	Attempts   int
	BudgetLeft float64
}

// WithheldReason says what forbids another attempt.
type WithheldReason string

// The reasons against another attempt.
const (
	WithheldMayHaveRun WithheldReason = "not idempotent and may have run"
	WithheldAttempts   WithheldReason = "no attempts left"
	WithheldBudget     WithheldReason = "retry budget spent"
	WithheldTime       WithheldReason = "no time left"
	WithheldNoServer   WithheldReason = "no other server"
	WithheldBegun      WithheldReason = "answer already begun"
)

// RefusalReason says why a request was not run.
type RefusalReason string

// The reasons of refusals.
const (
	RefusedNoConfig    RefusalReason = "no configuration yet"
	RefusedNoRoute     RefusalReason = "no route"
	RefusedNoServer    RefusalReason = "no server of the service"
	RefusedNoHolder    RefusalReason = "no server holds the model"
	RefusedNoAdapter   RefusalReason = "no server holds the adapter"
	RefusedTooLate     RefusalReason = "cannot be answered in time"
	RefusedQueueFull   RefusalReason = "too many requests wait"
	RefusedPreempted   RefusalReason = "gave way to more urgent requests"
	RefusedTurnedAway  RefusalReason = "servers turned it away"
	RefusedStopping    RefusalReason = "process is stopping"
	RefusedBadRequest  RefusalReason = "request is malformed"
	RefusedTooLarge    RefusalReason = "request is too large"
	RefusedUnreachable RefusalReason = "no server could be reached"
)

// Refused ends a request that was not run.
type Refused struct {
	Reason        RefusalReason
	Detail        string // what exactly, such as an error
	Status        int
	RetryAfter    time.Duration // 0 when the caller is not told
	Expected      time.Duration // expected wait, when it decided
	Waited        time.Duration // how long it was kept before
	Backlog       time.Duration // of it, work of the requests before this one
	Waiting       int           // requests that wait for the same
	Candidates    int           // servers that could run it
	ViewAge       time.Duration // since the registrations were read
	ConfigVersion int64
	Service       string
	Route         string
	Model         string
	Adapter       string
	PromptTokens  int
	Deadline      time.Duration // what the caller would have waited
}

// Outcome says how a request that was sent to a server ended.
type Outcome int

// The outcomes of requests.
const (
	OutcomeServed     Outcome = iota // whole answer within the objective
	OutcomeLate                      // whole answer after the objective
	OutcomeFailed                    // a failure was answered
	OutcomeCut                       // the answer was broken off
	OutcomeCallerLeft                // the caller closed its connection
)

// String returns the label of the outcome in metrics.
func (o Outcome) String() string {
	return [...]string{"served", "late", "failed", "cut", "caller_left"}[o]
}

// Finished ends a request that was sent to a server.
type Finished struct {
	Outcome       Outcome
	Reason        string // why it failed or was cut
	Status        int    // as the caller saw it
	Service       string
	Route         string
	Model         string
	Adapter       string
	Server        string        // the last one
	Attempts      int           // servers that it was sent to
	Waited        time.Duration // at this entry
	Expected      time.Duration // expected time to first token when the server was chosen
	FirstByte     time.Duration // from its arrival to the first byte for the caller
	Total         time.Duration // from its arrival to the end
	Objective     time.Duration
	GapObjective  time.Duration // for the longest pause
	Deadline      time.Duration // what the caller would have waited
	PromptTokens  int
	Backlog       time.Duration // of it, work of the requests before this one
	ViewAge       time.Duration
	Bytes         int64
	Events        int
	LongestPause  time.Duration // between two events
	ConfigVersion int64
}

// Event implements Record.
func (Routed) Event() event.Event { return event.RequestRouted }

// Event implements Record.
func (Chosen) Event() event.Event { return event.ServerChosen }

// Event implements Record.
func (AttemptFailed) Event() event.Event { return event.AttemptFailed }

// Event implements Record.
func (Retried) Event() event.Event { return event.RequestRetried }

// Event implements Record.
func (RetryWithheld) Event() event.Event { return event.RetryWithheld }

// Event implements Record.
func (Refused) Event() event.Event { return event.RequestRefused }

// Event implements Record.
func (r Finished) Event() event.Event {
	switch r.Outcome {
	case OutcomeServed:
		return event.RequestServed
	case OutcomeLate:
		return event.RequestLate
	case OutcomeCut:
		return event.StreamCut
	case OutcomeCallerLeft:
		return event.CallerLeft
	}
	return event.RequestFailed
}
