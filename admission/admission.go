// Package admission decides whether a request is admitted, queued or rejected.
// It does no I/O and reads no clock: callers pass the state and the time.
package admission

import "time"

// Action is what to do with a request.
type Action int

// The actions.
const (
	Admit Action = iota
	Queue
	Reject
)

// State is what the entry knows when a request arrives. The limits count
// requests.
type State struct {
	Queued       int           // requests waiting
	QueueLimit   int           // maximum of Queued; 0 means no limit
	FlowQueued   int           // waiting requests of the same team and model
	FlowLimit    int           // maximum of FlowQueued; 0 means no limit
	TeamInFlight int           // requests of the team, waiting or in progress
	TeamLimit    int           // maximum of TeamInFlight; 0 means no limit
	TeamRate     float64       // requests per second; 0 means no limit
	TeamWait     time.Duration // time until the team's rate allows the request
	Full         bool          // every server that could take the request is at its limit
	Wait         time.Duration // expected time to the first token
}

// Request describes an arriving request.
type Request struct {
	Priority int           // 0 is the most urgent
	Deadline time.Duration // time left until the caller's deadline
}

// Verdict is a decision with its reason.
type Verdict struct {
	Action     Action
	Reason     string
	RetryAfter time.Duration // set if Action is Reject
	Wait       time.Duration // expected wait; set in an Outcome if Action is Reject
}

// minRetryAfter is the lower bound of RetryAfter in verdicts of Decide.
const minRetryAfter = time.Second

// Decide admits, queues or rejects a request. A rejection states when the
// caller should retry.
func Decide(s State, r Request, _ time.Time) Verdict {
	switch {
	case s.TeamLimit > 0 && s.TeamInFlight >= s.TeamLimit:
		return reject("team concurrency limit", minRetryAfter)
	case s.TeamRate > 0 && s.TeamWait > 0:
		return reject("team rate limit", s.TeamWait)
	case s.Wait > r.Deadline:
		return reject("deadline cannot be met", s.Wait-r.Deadline)
	case !s.Full:
		return Verdict{Action: Admit, Reason: "below every limit"}
	case s.QueueLimit > 0 && s.Queued >= s.QueueLimit:
		return reject("queue full", s.Wait)
	case s.FlowLimit > 0 && s.FlowQueued >= s.FlowLimit:
		return reject("queue of the team and model full", s.Wait)
	}
	return Verdict{Action: Queue, Reason: "servers at their limit"}
}

func reject(reason string, after time.Duration) Verdict {
	return Verdict{Action: Reject, Reason: reason, RetryAfter: max(after, minRetryAfter)}
}
