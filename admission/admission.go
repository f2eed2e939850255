// Package admission decides whether a request is let in now, queued or
// rejected. It is pure: state, request and a clock reading in, a verdict out.
package admission

import "time"

// Action is what becomes of an arriving request.
type Action int

// The actions.
const (
	Admit Action = iota
	Queue
	Reject
)

// State is what the entry knows when a request arrives.
type State struct {
	Queued       int           // requests waiting
	QueueLimit   int           // most requests waiting; 0 means no limit
	FlowQueued   int           // of them, of the request's team and model
	FlowLimit    int           // most of one team and model; 0 means no limit
	TeamInFlight int           // of the request's team, waiting or in progress
	TeamLimit    int           // 0 means no limit
	TeamRate     float64       // requests a second; 0 means no limit
	TeamWait     time.Duration // until the team's rate allows the request
	Full         bool          // every server that could take the request is at its limit
	Wait         time.Duration // expected until the first token
}

// Request is what matters of an arriving request.
type Request struct {
	Priority int           // 0 is served first
	Deadline time.Duration // left until the caller gives up
}

// Verdict is the decision with its reason. RetryAfter is set when Reject.
type Verdict struct {
	Action     Action
	Reason     string
	RetryAfter time.Duration
	Wait       time.Duration // that was expected, where it decided a rejection
}

// leastRetry is the shortest time after which trying again makes sense.
const leastRetry = time.Second

// Decide lets a request in, queues it, or rejects it with the time after
// which trying again makes sense.
func Decide(s State, r Request, _ time.Time) Verdict {
	switch {
	case s.TeamLimit > 0 && s.TeamInFlight >= s.TeamLimit:
		return reject("team concurrency limit", leastRetry)
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
	return Verdict{Action: Reject, Reason: reason, RetryAfter: max(after, leastRetry)}
}
