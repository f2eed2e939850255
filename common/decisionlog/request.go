package decisionlog

import (
	"time"

	"peridotchute.example/common/event"
)

// Routed records the route of a request.
type Routed struct {
	Route         string
	Service       string
	Model         string // empty for plain services
	Adapter       string // empty for the base model
	Priority      int    // 0 is the most urgent
	Account       string // client account; empty if the request has none
	PromptTokens  int
	OutputTokens  int           // maximum that the request may generate
	PromptParts   []uint64      // IDs of the prompt's parts, in order
	Deadline      time.Duration // how long the caller waits
	ConfigVersion int64
}

// StreamResumed records that a client resumes a stream that an earlier request
// brought.
type StreamResumed struct {
	Resumes     string // the request that brought the first event; empty if the client named none
	LastEventID string // the stream resumes after this event
}

// OriginSought records what is known of the software version that began a stream which
// its client resumes.
type OriginSought struct {
	Origin     string // known, any or unknown
	Software   string // the version; empty if it is unknown
	Source     string // where the record was found; empty without one
	Versions   string // versions of the service in use lately, joined by spaces
	Unanswered int    // other entries that were asked and did not answer
	Store      string // whether the records in the store were read: not needed, read, failed or kept from an earlier read
	Records    int    // read from the store
	Splits     int    // that divide the service's streams among versions and of which some may be in progress
	ServersAge time.Duration
}

// Chosen records the server that a request is sent to and the inputs of the
// choice.
type Chosen struct {
	Server     string
	Software   string // version of the server's software
	Zone       string
	Attempt    int           // 1 for the first
	Waited     time.Duration // in the queue, over all attempts
	Expected   time.Duration // expected time to first token or answer
	Backlog    time.Duration // part of Expected due to earlier requests
	Running    int           // requests at the server, as known to this process
	Cached     int           // prompt tokens in the server's prefix cache
	Candidates int           // servers that could have been chosen
	ViewAge    time.Duration // since the servers' registrations were read from the store
	Kept       bool          // the server has no readable registration and is kept for a while
	Stopping   time.Duration // since the process began to stop; 0 before
	Reason     string        // why this server was chosen
}

// FailureKind is the way in which an attempt failed.
type FailureKind string

// The kinds of failed attempts.
const (
	FailureConnect     FailureKind = "connect"      // no connection, so nothing was sent
	FailureReset       FailureKind = "reset"        // the connection broke
	FailureTruncated   FailureKind = "truncated"    // the response ended early
	FailureMalformed   FailureKind = "malformed"    // not a valid response to this request
	FailureTimeout     FailureKind = "timeout"      // no response in time
	FailureSilent      FailureKind = "silent"       // the server stopped sending anything
	FailureWithdrawn   FailureKind = "withdrawn"    // the entry gave it up because an earlier attempt went on
	FailureQuarantined FailureKind = "quarantined"  // the entry gave it up because of a part of its prompt
	FailureNotDurable  FailureKind = "not recorded" // the version of the stream could not be recorded in time
	FailureStatus      FailureKind = "status"       // the server responded with an error status
	FailureRejected    FailureKind = "turned away"  // the server rejected the request without running it
	FailureWrongServer FailureKind = "misdirected"  // the address belongs to another server, or the model is not loaded
)

// AttemptFailed records an attempt without a complete response.
type AttemptFailed struct {
	Server  string
	Attempt int
	Kind    FailureKind
	Status  int           // HTTP status of the response; 0 if there was none
	NotRun  bool          // the server is known not to have run the request
	After   time.Duration // time since the attempt was sent
	Events  int           // complete stream events that the caller had received
	Digest  uint64        // of the request, if its connection broke; 0 if not
	Err     error
}

// ServerSilent records that the server of an attempt sent nothing for a while on
// any connection of this process.
type ServerSilent struct {
	Server  string
	Attempt int
	Silent  time.Duration // since the server last sent anything
}

// HandlerPanicked records a panic while a request was handled.
type HandlerPanicked struct {
	Reason string // the panic's value and stack
}

// Retried records that a request is attempted again.
type Retried struct {
	Attempt     int
	Resumed     bool    // the stream continues after ResumeAfter
	ResumeAfter string  // id of the last event that the caller received
	BudgetLeft  float64 // retries that the service's retry budget still allows
}

// RetryWithheld records that a failed attempt is not retried.
type RetryWithheld struct {
	Reason     WithheldReason
	Attempts   int
	BudgetLeft float64
}

// WithheldReason is the reason why a failed attempt is not retried.
type WithheldReason string

// The reasons against a retry.
const (
	WithheldMayHaveRun      WithheldReason = "not idempotent and may have run"
	WithheldAttempts        WithheldReason = "no attempts left"
	WithheldBudget          WithheldReason = "retry budget spent"
	WithheldTime            WithheldReason = "no time left"
	WithheldStopping        WithheldReason = "process is stopping"
	WithheldNoServer        WithheldReason = "no other server"
	WithheldPart            WithheldReason = "servers crash on a part of the prompt"
	WithheldRequest         WithheldReason = "servers crash on the request"
	WithheldResponseStarted WithheldReason = "answer already begun"
)

// RefusalReason is the reason why a request was not run.
type RefusalReason string

// The reasons for refusing a request.
const (
	RefusedNoConfig         RefusalReason = "no configuration yet"
	RefusedNoRoute          RefusalReason = "no route"
	RefusedNoServer         RefusalReason = "no server of the service"
	RefusedModelNotLoaded   RefusalReason = "no server holds the model"
	RefusedAdapterNotLoaded RefusalReason = "no server holds the adapter"
	RefusedTooLate          RefusalReason = "cannot be answered in time"
	RefusedQueueFull        RefusalReason = "too many requests wait"
	RefusedPreempted        RefusalReason = "gave way to more urgent requests"
	RefusedByServers        RefusalReason = "servers turned it away"
	RefusedStopping         RefusalReason = "process is stopping"
	RefusedVersionUnknown   RefusalReason = "the software version that began the stream is not known"
	RefusedVersionGone      RefusalReason = "no server of the software version that began the stream"
	RefusedPart             RefusalReason = "servers crash on a part of the prompt"
	RefusedRequest          RefusalReason = "servers crash on the request"
	RefusedBadRequest       RefusalReason = "request is malformed"
	RefusedTooLarge         RefusalReason = "request is too large"
	RefusedUnreachable      RefusalReason = "no server could be reached"
	RefusedMemory           RefusalReason = "no memory for its body"
	RefusedKeyUnknown       RefusalReason = "no client account holds the key"
	RefusedQuota            RefusalReason = "the client account's quota is used up"
	RefusedQuotaUnknown     RefusalReason = "no entry answered for the client account's quota"
)

// Refused records the end of a request that was not run.
type Refused struct {
	Reason        RefusalReason
	Detail        string // more detail, such as an error text
	Cause         Cause  // on which servers crash, if that is the reason
	Status        int
	RetryAfter    time.Duration // 0 if the response has no Retry-After
	Expected      time.Duration // expected wait, if it was the reason for the refusal
	Waited        time.Duration // time in the queue before the refusal
	Backlog       time.Duration // part of Expected due to earlier requests
	Waiting       int           // requests in the same queue
	Candidates    int           // servers that could run the request
	ViewAge       time.Duration // since the registrations were read
	ConfigVersion int64
	Service       string
	Route         string
	Model         string
	Adapter       string
	Account       string // client account; empty if unknown
	PromptTokens  int
	Deadline      time.Duration // how long the caller would have waited
}

// Outcome is the way in which a request that was sent to a server ended.
type Outcome int

// The outcomes of requests.
const (
	OutcomeServed     Outcome = iota // complete response within the objective
	OutcomeLate                      // complete response after the objective
	OutcomeFailed                    // the caller got an error
	OutcomeCut                       // the response was cut off
	OutcomeCallerLeft                // the caller closed its connection
)

// String returns the label of the outcome in metrics.
func (o Outcome) String() string {
	return [...]string{"served", "late", "failed", "cut", "caller_left"}[o]
}

// Finished records the end of a request that was sent to a server.
type Finished struct {
	Outcome       Outcome
	Reason        string // why it failed or was cut off
	Status        int    // sent to the caller
	Service       string
	Route         string
	Model         string
	Adapter       string
	Account       string        // client account; empty if the request has none
	Server        string        // of the last attempt
	Attempts      int           // number of attempts
	Waited        time.Duration // in the queue of this entry
	Expected      time.Duration // expected time to first token when the server was chosen
	FirstByte     time.Duration // from arrival to the first byte sent to the caller
	Total         time.Duration // from arrival to the end
	Objective     time.Duration
	GapObjective  time.Duration // upper bound for LongestPause
	Deadline      time.Duration // how long the caller would have waited
	PromptTokens  int
	Backlog       time.Duration // part of Expected due to earlier requests
	ViewAge       time.Duration
	Bytes         int64
	Events        int
	LongestPause  time.Duration // between two events
	Held          time.Duration // for which the first event waited until the stream's version was recorded
	ConfigVersion int64
}

// Event implements Record.
func (Routed) Event() event.Event { return event.RequestRouted }

// Event implements Record.
func (StreamResumed) Event() event.Event { return event.StreamResumed }

// Event implements Record.
func (OriginSought) Event() event.Event { return event.OriginSought }

// Event implements Record.
func (Chosen) Event() event.Event { return event.ServerChosen }

// Event implements Record.
func (AttemptFailed) Event() event.Event { return event.AttemptFailed }

// Event implements Record.
func (ServerSilent) Event() event.Event { return event.ServerSilent }

// Event implements Record.
func (HandlerPanicked) Event() event.Event { return event.HandlerPanicked }

// Event implements Record.
func (Retried) Event() event.Event { return event.RequestRetried }

// Event implements Record.
func (RetryWithheld) Event() event.Event { return event.RetryWithheld }

// Event implements Record.
func (r Refused) Event() event.Event {
	switch r.Reason {
	case RefusedKeyUnknown:
		return event.KeyUnknown
	case RefusedQuota, RefusedQuotaUnknown:
		return event.OverQuota
	}
	return event.RequestRefused
}

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
