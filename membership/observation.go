package membership

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Row is the row of a backend server in the VM list.
type Row struct {
	Name        string
	Zone        string
	Pool        string
	DataAddress string
	RPCAddress  string
	Leaving     bool
}

// Listed is a complete read of the VM list.
type Listed struct {
	Rows []Row
}

// Heard is a sign of life: a hello, a heartbeat or a response to a request.
type Heard struct {
	Name        string
	Incarnation string
	Draining    bool
	Answered    bool          // a request was answered, which resets the count of consecutive failures
	Next        time.Duration // maximum time to the next heartbeat; 0 if not announced
}

// Lost reports that the connection to an incarnation ended.
type Lost struct {
	Name        string
	Incarnation string
}

// Failed reports a request that received no response.
type Failed struct {
	Name        string
	Incarnation string
}

// Tick reevaluates the states at the current time.
type Tick struct{}

func (o Listed) updates(m Members, now time.Time) []Update {
	rows := make(map[string]Row, len(o.Rows))
	for _, r := range o.Rows {
		rows[r.Name] = r
	}
	silent := silentZones(m, now)
	var out []Update
	for _, name := range names(m, rows) {
		member, known := m[name]
		row, listed := rows[name]
		if !known {
			member = Member{Name: name, Since: now, State: StateSuspect, Reason: "no sign of life yet"}
		}
		member.Listed = listed
		member.ListLeaving = listed && row.Leaving
		if listed {
			member.Zone, member.Pool = row.Zone, row.Pool
			member.DataAddress, member.RPCAddress = row.DataAddress, row.RPCAddress
		}
		u := updateState(member, now, silent[member.Zone])
		if !known {
			u.From = ""
		}
		out = append(out, u)
	}
	return out
}

func (o Heard) updates(m Members, now time.Time) []Update {
	member, ok := m[o.Name]
	if !ok || slices.Contains(member.Retired, o.Incarnation) {
		return nil
	}
	if member.Incarnation != o.Incarnation {
		member = startIncarnation(member, o.Incarnation)
	}
	member.Heard = now
	member.Disconnected = false
	if o.Next > 0 {
		member.Next = o.Next
	}
	member.Draining = member.Draining || o.Draining
	if o.Answered {
		member.Failures = 0
	}
	return []Update{updateState(member, now, false)}
}

// startIncarnation retires the member's current incarnation and resets the fields
// that belong to it.
func startIncarnation(m Member, incarnation string) Member {
	if m.Incarnation != "" {
		m.Retired = append(slices.Clone(m.Retired), m.Incarnation)
	}
	if extra := len(m.Retired) - maxRetired; extra > 0 {
		m.Retired = m.Retired[extra:]
	}
	m.Incarnation = incarnation
	m.Draining = false
	m.Failures = 0
	m.Next = 0
	return m
}

func (o Lost) updates(m Members, now time.Time) []Update {
	member, ok := m[o.Name]
	if !ok || member.Incarnation != o.Incarnation {
		return nil
	}
	member.Disconnected = true
	return []Update{updateState(member, now, false)}
}

func (o Failed) updates(m Members, now time.Time) []Update {
	member, ok := m[o.Name]
	if !ok || member.Incarnation != o.Incarnation {
		return nil
	}
	member.Failures++
	if member.Failures >= FailuresToSuspect {
		member.Failures = 0
		member = penalize(member, now, 0)
	}
	return []Update{updateState(member, now, false)}
}

func (Tick) updates(m Members, now time.Time) []Update {
	silent := silentZones(m, now)
	var out []Update
	for _, name := range names(m, nil) {
		member := m[name]
		if u := updateState(member, now, silent[member.Zone]); u.Changed() {
			out = append(out, u)
		}
	}
	return out
}

// silentZones returns the availability zones in which most members are silent. A
// network partition is then more likely than the loss of so many members.
func silentZones(m Members, now time.Time) map[string]bool {
	total := map[string]int{}
	silent := map[string]int{}
	for _, member := range m {
		total[member.Zone]++
		if now.Sub(member.silentSince()) >= member.Patience() {
			silent[member.Zone]++
		}
	}
	out := map[string]bool{}
	for zone, n := range total {
		out[zone] = n > 1 && 2*silent[zone] > n
	}
	return out
}

func names(m Members, rows map[string]Row) []string {
	out := make([]string, 0, len(m)+len(rows))
	for name := range m {
		out = append(out, name)
	}
	for name := range rows {
		if _, known := m[name]; !known {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// decayFactor returns the factor by which a penalty decays within d.
func decayFactor(d time.Duration) float64 {
	return math.Exp2(-d.Seconds() / penaltyHalfLife.Seconds())
}
