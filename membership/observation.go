package membership

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Row is a backend server's row of the VM list.
type Row struct {
	Name        string
	Zone        string
	Pool        string
	DataAddress string
	RPCAddress  string
	Leaving     bool
}

// Listed is one whole reading of the VM list.
type Listed struct {
	Rows []Row
}

// Heard is a sign of life: a hello, a heartbeat or an answer to a request.
type Heard struct {
	Name        string
	Incarnation string
	Draining    bool
	Answered    bool          // a request was answered, which ends a series of failures
	Next        time.Duration // longest silence until the next heartbeat; 0 when it says nothing of it
}

// Lost is the end of the connection to an incarnation.
type Lost struct {
	Name        string
	Incarnation string
}

// Failed is a request that got no answer.
type Failed struct {
	Name        string
	Incarnation string
}

// Tick lets time pass.
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
			member = Member{Name: name, Since: now, State: StateSuspect, Reason: "never heard of"}
		}
		member.Listed = listed
		member.ListLeaving = listed && row.Leaving
		if listed {
			member.Zone, member.Pool = row.Zone, row.Pool
			member.DataAddress, member.RPCAddress = row.DataAddress, row.RPCAddress
		}
		u := judge(member, now, silent[member.Zone])
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
		member = restart(member, o.Incarnation)
	}
	member.Heard = now
	member.Lost = false
	if o.Next > 0 {
		member.Next = o.Next
	}
	member.Draining = member.Draining || o.Draining
	if o.Answered {
		member.Failures = 0
	}
	return []Update{judge(member, now, false)}
}

// restart begins a new incarnation of a member.
func restart(m Member, incarnation string) Member {
	if m.Incarnation != "" {
		m.Retired = append(slices.Clone(m.Retired), m.Incarnation)
	}
	if extra := len(m.Retired) - retiredKept; extra > 0 {
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
	member.Lost = true
	return []Update{judge(member, now, false)}
}

func (o Failed) updates(m Members, now time.Time) []Update {
	member, ok := m[o.Name]
	if !ok || member.Incarnation != o.Incarnation {
		return nil
	}
	member.Failures++
	if member.Failures >= FailuresToDoubt {
		member.Failures = 0
		member = penalize(member, now, 0)
	}
	return []Update{judge(member, now, false)}
}

func (Tick) updates(m Members, now time.Time) []Update {
	silent := silentZones(m, now)
	var out []Update
	for _, name := range names(m, nil) {
		member := m[name]
		if u := judge(member, now, silent[member.Zone]); u.Changed() {
			out = append(out, u)
		}
	}
	return out
}

// silentZones returns the availability zones of which most members are silent:
// the way there is cut more likely than all of them have ended.
func silentZones(m Members, now time.Time) map[string]bool {
	total := map[string]int{}
	silent := map[string]int{}
	for _, member := range m {
		total[member.Zone]++
		if now.Sub(member.lastSign()) >= member.Patience() {
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

// halved returns the factor by which a penalty shrinks within d.
func halved(d time.Duration) float64 {
	return math.Exp2(-d.Seconds() / flapHalfLife.Seconds())
}
