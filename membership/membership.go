// Package membership merges what is known of the backend servers' side
// processes: the lagging VM list, heartbeats and what requests show. It is
// pure: the members, an observation and a time in, the changed members out.
//
// Direct evidence goes before the list, which may be late, and only the list
// together with silence makes a member gone. So a cut between regions, in which
// many fall silent at once, makes suspects and no dead.
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

// Times and limits of the rules.
const (
	SuspectAfter    = 5 * time.Second  // of silence, at least
	missedReports   = 2.5              // of the member's own pace that make a suspect
	GoneAfter       = 10 * time.Second // of silence, at least, when the list does not show the member
	MassGoneAfter   = 2 * time.Minute  // the same, while most members of its zone are silent
	FailuresToDoubt = 3                // consecutive failed requests that make a suspect
	flapHalfLife    = time.Minute      // of Penalty
	flapFree        = 2                // losses within the half-life that are not damped
	holdUnit        = 4 * time.Second  // first hold of a damped member; doubles with each loss
	longestHold     = time.Minute      // bound of the doubling
	retiredKept     = 4                // incarnations of a member that are known to be over
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
	Reason      string        // of State
	Since       time.Time     // of State
	Heard       time.Time     // last heartbeat or answer; zero when never
	Next        time.Duration // longest silence that the member has announced
	Listed      bool          // in the newest VM list
	ListLeaving bool          // the VM list shows it as leaving
	Draining    bool          // said so itself, in this incarnation
	Lost        bool          // its connection ended and it was not heard of since
	Failures    int           // consecutive failed requests
	Penalty     float64       // recent losses, halved every minute
	PenaltyAt   time.Time     // when Penalty held
	HoldUntil   time.Time     // stays suspect until then
	Retired     []string      // earlier incarnations, the latest last
}

// Members are the known members by name.
type Members map[string]Member

// Update is a member's new value. State did not change when From equals it.
type Update struct {
	Member Member
	From   State // empty for a new member
}

// Changed reports whether the state changed.
func (u Update) Changed() bool { return u.From != u.Member.State }

// Apply stores updates. Members that are gone are removed.
func (m Members) Apply(updates []Update) {
	for _, u := range updates {
		if u.Member.State == StateGone {
			delete(m, u.Member.Name)
			continue
		}
		m[u.Member.Name] = u.Member
	}
}

// Observation is one piece of evidence.
type Observation interface {
	updates(m Members, now time.Time) []Update
}

// Merge returns the members that an observation changes. The members given are
// left as they are.
func Merge(m Members, o Observation, now time.Time) []Update { return o.updates(m, now) }

// judge sets the state that the member's evidence gives.
func judge(m Member, now time.Time, zoneSilent bool) Update {
	from := m.State
	state, reason := verdict(m, now, zoneSilent)
	if state == from {
		return Update{Member: m, From: from}
	}
	if state == StateSuspect && from == StateLive {
		m = penalize(m, now, flapFree)
	}
	m.State, m.Reason, m.Since = state, reason, now
	return Update{Member: m, From: from}
}

func verdict(m Member, now time.Time, zoneSilent bool) (State, string) {
	silence := now.Sub(m.lastSign())
	goneAfter := max(GoneAfter, 2*m.Patience())
	if zoneSilent {
		goneAfter = max(MassGoneAfter, 2*m.Patience())
	}
	switch {
	case !m.Listed && silence >= goneAfter:
		return StateGone, "silent and not in the VM list"
	case m.Draining:
		return StateLeaving, "drains"
	case m.ListLeaving:
		return StateLeaving, "leaving in the VM list"
	case m.Heard.IsZero():
		return StateSuspect, "never heard of"
	case m.Lost:
		return StateSuspect, "connection lost"
	case silence >= m.Patience():
		return StateSuspect, "silent"
	case now.Before(m.HoldUntil):
		return StateSuspect, "failed or was lost too often lately"
	}
	return StateLive, "heard of"
}

// Patience returns the silence after which the member is suspect.
func (m Member) Patience() time.Duration {
	return max(SuspectAfter, time.Duration(missedReports*float64(m.Next)))
}

// lastSign returns when the member was last heard of, or first known.
func (m Member) lastSign() time.Time {
	if m.Heard.IsZero() {
		return m.Since
	}
	return m.Heard
}

// penalize counts a loss and holds the member once it has more than free of
// them within the half-life.
func penalize(m Member, now time.Time, free int) Member {
	if !m.PenaltyAt.IsZero() {
		m.Penalty *= halved(now.Sub(m.PenaltyAt))
	}
	m.Penalty++
	m.PenaltyAt = now
	excess := int(m.Penalty) - free
	if excess <= 0 {
		return m
	}
	hold := holdUnit
	for range excess - 1 {
		hold = min(2*hold, longestHold)
	}
	m.HoldUntil = now.Add(hold)
	return m
}
