// Package idempotency is the state machine of a non-idempotent action. It is
// pure: a record, an event and a clock reading in, a record and effects out.
package idempotency

import "time"

// State is where an action stands in the table.
type State string

// The states of an action.
const (
	StateClaimed    State = "claimed"    // an attempt may be running at the server named
	StateDone       State = "done"       // ended; the answer is stored
	StateNotRun     State = "not-run"    // the attempt was barred before it started
	StateUnresolved State = "unresolved" // nobody can know; an operator settles it
)

// Record is the action's row in the table.
type Record struct {
	Key          string    `json:"key"`
	Team         string    `json:"team"`
	Attempt      int       `json:"attempt"`
	Token        string    `json:"token"` // names the writer of this attempt, for reading back
	Server       string    `json:"server"`
	Incarnation  string    `json:"incarnation"`
	BodyDigest   string    `json:"body_digest"`
	State        State     `json:"state"`
	Status       int       `json:"status,omitempty"`
	ContentType  string    `json:"content_type,omitempty"`
	Answer       []byte    `json:"answer,omitempty"`
	AnswerObject string    `json:"answer_object,omitempty"` // object key of a long answer
	ClaimedAt    time.Time `json:"claimed_at"`
	Expires      time.Time `json:"expires"`
}
