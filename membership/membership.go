// Package membership tracks the backend servers' side processes. It merges the VM
// list, which may lag, with heartbeats and the outcomes of requests. It is free
// of side effects: Merge takes the members, an observation and a time and returns
// the changed members.
//
// Direct evidence takes precedence over the VM list. A member is removed only if
// it is both silent and absent from the list. A partition between regions, which
// silences many members at once, therefore makes them suspect but does not remove
// them.
package membership

import "time"

// State is the state of a member as seen by an entry.
type State string

// The states of a member.
const (
	StateLive    State = "live"
	StateSuspect State = "suspect" // silent, disconnected or failing; used only if no better member is available
	StateLeaving State = "leaving" // accepts no new work
	StateRemoved State = "gone"
)

// Time limits and counts of the state rules.
const (
	SuspectAfter          = 5 * time.Second  // minimum silence that makes a member suspect
	suspectIntervals      = 2.5              // silence that makes a member suspect, in announced intervals
	RemoveAfter           = 10 * time.Second // minimum silence after which an unlisted member is removed
	SilentZoneRemoveAfter = 2 * time.Minute  // the same while most members of its zone are silent
	FailuresToSuspect     = 3                // consecutive failed requests that make a member suspect
	penaltyHalfLife       = time.Minute      // half-life of Penalty
	freeLosses            = 2                // penalty up to which losses are not damped
	minSuspectDuration    = 4 * time.Second  // initial time for which a damped member stays suspect; doubles with each further loss
	maxSuspectDuration    = time.Minute      // maximum of that time
	maxRetired            = 4                // ended incarnations remembered per member
)

// Member is one backend server's side process.
type Member struct {
	Name         string
	Zone         string
	Pool         string
	DataAddress  string
	RPCAddress   string
	Incarnation  string
	State        State
	Reason       string        // why the member is in State
	Since        time.Time     // when State was entered
	LastContact  time.Time     // time of the last heartbeat or response; zero if none
	MaxInterval  time.Duration // maximum interval between heartbeats that the member announced; 0 if unknown
	Listed       bool          // in the latest VM list
	ListLeaving  bool          // marked as leaving in the VM list
	Draining     bool          // reported by the member in this incarnation
	Disconnected bool          // connection ended, with no contact since
	Failures     int           // consecutive failed requests
	Penalty      float64       // losses so far, decaying with penaltyHalfLife
	PenaltyAt    time.Time     // time at which Penalty was computed
	SuspectUntil time.Time     // suspect at least until then
	Retired      []string      // ended incarnations, most recent last
}

// Members maps names to the known members.
type Members map[string]Member

// Update is the new value of a member and its previous state.
type Update struct {
	Member Member
	From   State // previous state; empty for a new member
}

// Changed reports whether the member's state changed.
func (u Update) Changed() bool { return u.From != u.Member.State }

// Apply stores updates and deletes members in StateRemoved.
func (m Members) Apply(updates []Update) {
	for _, u := range updates {
		if u.Member.State == StateRemoved {
			delete(m, u.Member.Name)
			continue
		}
		m[u.Member.Name] = u.Member
	}
}

// Observation is one piece of evidence about members.
type Observation interface {
	updates(m Members, now time.Time) []Update
}

// Merge returns the updates that follow from an observation. It does not modify m.
func Merge(m Members, o Observation, now time.Time) []Update { return o.updates(m, now) }

// updateState sets the member's state according to its evidence. It penalizes the
// member if a live one becomes suspect.
func updateState(m Member, now time.Time, zoneSilent bool) Update {
	from := m.State
	state, reason := evaluateState(m, now, zoneSilent)
	if state == from {
		return Update{Member: m, From: from}
	}
	if state == StateSuspect && from == StateLive {
		m = penalize(m, now, freeLosses)
	}
	m.State, m.Reason, m.Since = state, reason, now
	return Update{Member: m, From: from}
}

// evaluateState returns the state that the member's evidence implies, and the
// reason. zoneSilent is set if most members of its zone are silent.
func evaluateState(m Member, now time.Time, zoneSilent bool) (State, string) {
	silence := now.Sub(m.silentSince())
	removeAfter := max(RemoveAfter, 2*m.SuspectTimeout())
	if zoneSilent {
		removeAfter = max(SilentZoneRemoveAfter, 2*m.SuspectTimeout())
	}
	switch {
	case !m.Listed && silence >= removeAfter:
		return StateRemoved, "silent and not in the VM list"
	case m.Draining:
		return StateLeaving, "drains"
	case m.ListLeaving:
		return StateLeaving, "marked as leaving in the VM list"
	case m.LastContact.IsZero():
		return StateSuspect, "no message received yet"
	case m.Disconnected:
		return StateSuspect, "connection lost"
	case silence >= m.SuspectTimeout():
		return StateSuspect, "silent"
	case now.Before(m.SuspectUntil):
		return StateSuspect, "too many recent failures or lost connections"
	}
	return StateLive, "message received"
}

// SuspectTimeout returns the duration of silence that makes the member suspect.
func (m Member) SuspectTimeout() time.Duration {
	return max(SuspectAfter, time.Duration(suspectIntervals*float64(m.MaxInterval)))
}

// silentSince returns the time of the last contact or, if there was none, the
// time since which the member has been in its state.
func (m Member) silentSince() time.Time {
	if m.LastContact.IsZero() {
		return m.Since
	}
	return m.LastContact
}

// penalize adds a loss to the member's penalty. If the penalty exceeds free, the
// member stays suspect for a time that doubles with the excess.
func penalize(m Member, now time.Time, free int) Member {
	if !m.PenaltyAt.IsZero() {
		m.Penalty *= decayFactor(now.Sub(m.PenaltyAt))
	}
	m.Penalty++
	m.PenaltyAt = now
	excess := int(m.Penalty) - free
	if excess <= 0 {
		return m
	}
	duration := minSuspectDuration
	for range excess - 1 {
		duration = min(2*duration, maxSuspectDuration)
	}
	m.SuspectUntil = now.Add(duration)
	return m
}
