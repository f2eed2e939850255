// Package membership merges what is known of the other processes: the lagging
// VM list, heartbeats and what requests show. It is pure.
package membership

import "time"

// State is what an entry believes of a member.
type State string

// The states of a member.
const (
	StateLive    State = "live"
	StateSuspect State = "suspect" // not heard of lately; used only when nothing better is left
	StateLeaving State = "leaving" // takes no new work
	StateGone    State = "gone"
)

// Member is one backend server's side process.
type Member struct {
	Name        string
	Zone        string
	Pool        string
	DataAddress string
	RPCAddress  string
	Incarnation string
	State       State
	Since       time.Time // of State
	Heard       time.Time // last report or answer
}
