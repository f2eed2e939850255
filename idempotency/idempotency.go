// Package idempotency implements the state machine that runs a non-idempotent
// action at most once. It does no I/O: its functions map a state, an event and
// the current time to a new state and an effect.
//
// Step decides for an entry, Mark for a side process. Together they guarantee:
//
//   - An attempt is sent at most once, by the entry whose token is in the claim.
//   - Another attempt is claimed only after the row has state not-run, which is
//     written only after the previous attempt was refused, never sent, or fenced.
//   - A side process starts an attempt only if the claim names its current
//     incarnation, and never starts two attempts of one action.
package idempotency

import (
	"net/url"
	"time"

	"peridotchute.example/common/wire"
)

// State is the state of an action in the table.
type State string

// The states of an action.
const (
	StateClaimed    State = "claimed"    // the attempt may be running on the claimed server
	StateDone       State = "done"       // completed; the answer may be stored
	StateNotRun     State = "not-run"    // the attempt never started and never will
	StateUnresolved State = "unresolved" // the outcome cannot be determined; an operator settles it
)

// Record is the action's row in the table.
type Record struct {
	Team        string       `json:"team"`
	Key         string       `json:"key"`
	Entry       string       `json:"entry"` // entry that claimed the attempt
	Attempt     int          `json:"attempt"`
	Token       string       `json:"token"` // unique to the attempt; identifies its claim when the row is read
	Server      string       `json:"server"`
	Incarnation string       `json:"incarnation"`
	BodyDigest  string       `json:"body_digest"`
	State       State        `json:"state"`
	Answer      *wire.Answer `json:"answer,omitempty"`
	Object      string       `json:"answer_object,omitempty"` // key of the object that holds a long answer
	Reason      string       `json:"reason,omitempty"`        // why the state is not-run or unresolved
	SettledBy   string       `json:"settled_by,omitempty"`
	ClaimedAt   time.Time    `json:"claimed_at"`
	Expires     time.Time    `json:"expires"`
}

// Claim returns the claim that is sent to the side process with the attempt.
func (r Record) Claim() wire.Claim {
	return wire.Claim{Key: ScopedKey(r.Team, r.Key), Attempt: r.Attempt, Incarnation: r.Incarnation}
}

// ScopedKey prefixes key with the team, so that keys of different teams never collide.
func ScopedKey(team, key string) string { return url.PathEscape(team) + "/" + key }

// Verdict is what a side process reports about an action.
type Verdict string

// The verdicts of a side process.
const (
	VerdictAbsent    Verdict = "absent"    // not started and not fenced
	VerdictBarred    Verdict = "barred"    // the attempt never started and never will
	VerdictRunning   Verdict = "running"   // started and still running
	VerdictDone      Verdict = "done"      // ended with a complete answer
	VerdictLost      Verdict = "lost"      // started; its result cannot be determined
	VerdictForgotten Verdict = "forgotten" // the claim names an earlier incarnation
)
