// Package idempotency is the state machine of a non-idempotent action. It is
// pure: a state, an event and a clock reading in, a state and an effect out.
//
// Step decides for an entry, Mark for the side process. Together they keep:
//
//   - An attempt is sent at most once, by the entry whose token is in the claim.
//   - A further attempt is claimed only after the record says not-run, and it
//     says so only after the former attempt was refused, never sent, or barred.
//   - A side process starts an attempt only under its own incarnation, and never
//     two attempts of one action.
package idempotency

import (
	"net/url"
	"time"

	"peridotchute.example/common/wire"
)

// State is where an action stands in the table.
type State string

// The states of an action.
const (
	StateClaimed    State = "claimed"    // the attempt may be running at the server named
	StateDone       State = "done"       // ended; the answer is stored
	StateNotRun     State = "not-run"    // the attempt never started and never will
	StateUnresolved State = "unresolved" // nobody can know; an operator settles it
)

// Record is the action's row in the table.
type Record struct {
	Team        string       `json:"team"`
	Key         string       `json:"key"`
	Entry       string       `json:"entry"` // that claimed the attempt
	Attempt     int          `json:"attempt"`
	Token       string       `json:"token"` // unique to the attempt, for reading back
	Server      string       `json:"server"`
	Incarnation string       `json:"incarnation"`
	BodyDigest  string       `json:"body_digest"`
	State       State        `json:"state"`
	Answer      *wire.Answer `json:"answer,omitempty"`
	Object      string       `json:"answer_object,omitempty"` // holds the answer in place of the row
	Reason      string       `json:"reason,omitempty"`        // of not-run and unresolved
	SettledBy   string       `json:"settled_by,omitempty"`
	ClaimedAt   time.Time    `json:"claimed_at"`
	Expires     time.Time    `json:"expires"`
}

// Claim returns the claim that travels to the side process.
func (r Record) Claim() wire.Claim {
	return wire.Claim{Key: ScopedKey(r.Team, r.Key), Attempt: r.Attempt, Incarnation: r.Incarnation}
}

// ScopedKey joins team and key, so that teams cannot meet each other's keys.
func ScopedKey(team, key string) string { return url.PathEscape(team) + "/" + key }

// Verdict is what a side process says of one action.
type Verdict string

// The verdicts of a side process.
const (
	VerdictAbsent    Verdict = "absent"    // not started, and not barred either
	VerdictBarred    Verdict = "barred"    // the attempt never started and never will
	VerdictRunning   Verdict = "running"   // started, not ended
	VerdictDone      Verdict = "done"      // ended with a whole answer
	VerdictLost      Verdict = "lost"      // started, and its end cannot be known
	VerdictForgotten Verdict = "forgotten" // the claim names an earlier incarnation
)
