package view

import (
	"strings"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

// diffServers returns log records of the differences between two lists of
// servers, both sorted by ID. age is the age of the new list.
func diffServers(old, now []fleet.Server, age time.Duration) []decisionlog.Record {
	var out []decisionlog.Record
	i := 0
	for j := range now {
		s := &now[j]
		for i < len(old) && old[i].ID < s.ID {
			out = append(out, serverChanged(&old[i], decisionlog.ServerLeft, age))
			i++
		}
		if i == len(old) || old[i].ID != s.ID {
			out = append(out, serverChanged(s, decisionlog.ServerAppeared, age))
			continue
		}
		out = append(out, diffServer(&old[i], s, age)...)
		i++
	}
	for ; i < len(old); i++ {
		out = append(out, serverChanged(&old[i], decisionlog.ServerLeft, age))
	}
	return out
}

func serverChanged(s *fleet.Server, change decisionlog.ServerChange, age time.Duration) decisionlog.ServerChanged {
	return decisionlog.ServerChanged{
		Change:       change,
		Server:       s.ID,
		Service:      s.Service,
		Software:     s.Software,
		Address:      s.Address,
		Zone:         s.Zone,
		RowVersion:   s.Registration,
		ViewAge:      age,
		Remaining:    s.Remaining,
		LoadedModels: loadedModels(s),
	}
}

func loadedModels(s *fleet.Server) string {
	names := make([]string, len(s.Residents))
	for i := range s.Residents {
		names[i] = s.Residents[i].Model
	}
	return strings.Join(names, " ")
}

// diffServer returns log records of the differences between two registrations
// of one server. A new incarnation under the same ID starts without state, so
// only its restart is logged.
func diffServer(old, now *fleet.Server, age time.Duration) []decisionlog.Record {
	if old.Born != now.Born {
		return []decisionlog.Record{serverRestarted(now, age)}
	}
	var out []decisionlog.Record
	if now.Kept && !old.Kept {
		out = append(out, serverChanged(now, decisionlog.ServerKept, age))
	}
	if now.Draining && !old.Draining {
		out = append(out, serverChanged(now, decisionlog.ServerDraining, age))
	}
	for i := range now.Residents {
		if model := now.Residents[i].Model; !old.HasLoaded(model, "") {
			out = append(out, modelChanged(now, model, true, age))
		}
	}
	for i := range old.Residents {
		if model := old.Residents[i].Model; !now.HasLoaded(model, "") {
			out = append(out, modelChanged(now, model, false, age))
		}
	}
	return out
}

// logChanges logs the differences between two lists of servers. add completes the records
// of changed servers.
func (w *Watcher) logChanges(old, now []fleet.Server, age time.Duration, add func(*decisionlog.ServerChanged)) {
	for _, r := range diffServers(old, now, age) {
		if change, ok := r.(decisionlog.ServerChanged); ok {
			add(&change)
			r = change
		}
		w.log.Write(r)
	}
}

func serverRestarted(s *fleet.Server, age time.Duration) decisionlog.ServerChanged {
	r := serverChanged(s, decisionlog.ServerAppeared, age)
	r.Reason = "restarted under the same ID"
	return r
}

func modelChanged(s *fleet.Server, model string, loaded bool, age time.Duration) decisionlog.ModelChanged {
	return decisionlog.ModelChanged{Server: s.ID, Model: model, Loaded: loaded, RowVersion: s.Registration, ViewAge: age}
}

// configReplaced returns the log record of a configuration that replaces old,
// which may be nil. source is where it came from.
func configReplaced(old, now *fleet.Config, source string) decisionlog.ConfigReplaced {
	r := decisionlog.ConfigReplaced{Version: now.Version, Routes: len(now.Routes), Services: len(now.Services), Source: source}
	if old != nil {
		r.Previous = old.Version
	}
	return r
}
