// Package admission decides whether a request is let in now, queued or
// rejected. It is pure: state, request and a clock reading in, a verdict out.
package admission

import "time"

// Action is what becomes of a request at the door.
type Action int

// The actions.
const (
	Admit Action = iota
	Queue
	Reject
)

// State is what the door knows when a request arrives.
type State struct {
	InFlight     int           // requests of all teams in progress
	Limit        int           // most requests in progress; 0 means no limit
	Queued       int           // requests waiting
	QueueLimit   int           // most requests waiting
	TeamInFlight int           // of the request's team
	TeamLimit    int           // 0 means no limit
	TeamTokens   float64       // left in the team's rate bucket; negative means none
	TeamRate     float64       // tokens a second; 0 means no limit
	QueueDelay   time.Duration // expected wait
	Servers      int           // servers that could take the request
}

// Request is what matters of a request at the door.
type Request struct {
	Priority int           // 0 is served first
	Deadline time.Duration // left
}

// Verdict is the decision with its reason. RetryAfter is set when Reject.
type Verdict struct {
	Action     Action
	Reason     string
	RetryAfter time.Duration
}

// Decide lets a request in, queues it, or rejects it with the time after
// which trying again makes sense.
func Decide(s State, r Request, _ time.Time) Verdict {
	switch {
	case s.TeamLimit > 0 && s.TeamInFlight >= s.TeamLimit:
		return Verdict{Action: Reject, Reason: "team concurrency limit", RetryAfter: time.Second}
	case s.TeamRate > 0 && s.TeamTokens < 1:
		wait := time.Duration((1 - s.TeamTokens) / s.TeamRate * float64(time.Second))
		return Verdict{Action: Reject, Reason: "team rate limit", RetryAfter: wait}
	case s.Limit > 0 && s.InFlight >= s.Limit && s.Queued >= s.QueueLimit:
		return Verdict{Action: Reject, Reason: "queue full", RetryAfter: max(s.QueueDelay, time.Second)}
	case s.QueueDelay > r.Deadline:
		return Verdict{Action: Reject, Reason: "deadline cannot be met", RetryAfter: max(s.QueueDelay-r.Deadline, time.Second)}
	case s.Limit > 0 && s.InFlight >= s.Limit:
		return Verdict{Action: Queue, Reason: "at the concurrency limit"}
	}
	return Verdict{Action: Admit, Reason: "below every limit"}
}
