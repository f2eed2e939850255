package view

import (
	"strings"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

// changes returns what a reading of the registrations changes, for the log.
// Both lists are in order of ID.
func changes(old, now []fleet.Server, age time.Duration) []decisionlog.Record {
	var out []decisionlog.Record
	i := 0
	for j := range now {
		s := &now[j]
		for i < len(old) && old[i].ID < s.ID {
			out = append(out, changed(&old[i], decisionlog.ServerLeft, age))
			i++
		}
		if i == len(old) || old[i].ID != s.ID {
			out = append(out, changed(s, decisionlog.ServerAppeared, age))
			continue
		}
		out = append(out, differences(&old[i], s, age)...)
		i++
	}
	for ; i < len(old); i++ {
		out = append(out, changed(&old[i], decisionlog.ServerLeft, age))
	}
	return out
}

func changed(s *fleet.Server, what decisionlog.ServerChange, age time.Duration) decisionlog.ServerChanged {
	return decisionlog.ServerChanged{
		Change:     what,
		Server:     s.ID,
		Service:    s.Service,
		Address:    s.Address,
		Zone:       s.Zone,
		RowVersion: s.Registration,
		ViewAge:    age,
		Remaining:  s.Remaining,
		Held:       held(s),
	}
}

func held(s *fleet.Server) string {
	names := make([]string, len(s.Residents))
	for i := range s.Residents {
		names[i] = s.Residents[i].Model
	}
	return strings.Join(names, " ")
}

// differences compares two registrations of one server. An incarnation that
// starts under the ID of the one before knows nothing of it.
func differences(old, now *fleet.Server, age time.Duration) []decisionlog.Record {
	if old.Born != now.Born {
		return []decisionlog.Record{restarted(now, age)}
	}
	var out []decisionlog.Record
	if now.Draining && !old.Draining {
		out = append(out, changed(now, decisionlog.ServerDraining, age))
	}
	for i := range now.Residents {
		if model := now.Residents[i].Model; !old.Holds(model, "") {
			out = append(out, holding(now, model, true, age))
		}
	}
	for i := range old.Residents {
		if model := old.Residents[i].Model; !now.Holds(model, "") {
			out = append(out, holding(now, model, false, age))
		}
	}
	return out
}

func restarted(s *fleet.Server, age time.Duration) decisionlog.ServerChanged {
	r := changed(s, decisionlog.ServerAppeared, age)
	r.Reason = "restarted under its id"
	return r
}

func holding(s *fleet.Server, model string, gained bool, age time.Duration) decisionlog.HoldingChanged {
	return decisionlog.HoldingChanged{Server: s.ID, Model: model, Gained: gained, RowVersion: s.Registration, ViewAge: age}
}

// replaced tells of a configuration that follows old, which may be nil.
func replaced(old, now *fleet.Config) decisionlog.ConfigReplaced {
	r := decisionlog.ConfigReplaced{Version: now.Version, Routes: len(now.Routes), Services: len(now.Services)}
	if old != nil {
		r.Previous = old.Version
	}
	return r
}
