package view

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

func TestDiffServers(t *testing.T) {
	serverWith := func(id string, born int64, models ...string) fleet.Server {
		s := fleet.Server{ID: id, Born: born}
		for _, m := range models {
			s.Residents = append(s.Residents, fleet.Resident{Model: m})
		}
		return s
	}
	old := []fleet.Server{serverWith("a", 1), serverWith("b", 1, "m1", "m2"), serverWith("c", 1, "m1"), serverWith("e", 1)}
	leaving := serverWith("b", 1, "m2", "m3")
	leaving.Draining = true
	now := []fleet.Server{leaving, serverWith("c", 2), serverWith("d", 1), serverWith("e", 1)}

	const age = time.Second
	server := func(change decisionlog.ServerChange, id, loaded, reason string) decisionlog.Record {
		return decisionlog.ServerChanged{Change: change, Server: id, ViewAge: age, LoadedModels: loaded, Reason: reason}
	}
	assert.DeepEqual(t, diffServers(old, now, age), []decisionlog.Record{
		server(decisionlog.ServerLeft, "a", "", ""),
		server(decisionlog.ServerDraining, "b", "m2 m3", ""),
		decisionlog.ModelChanged{Server: "b", Model: "m3", Loaded: true, ViewAge: age},
		decisionlog.ModelChanged{Server: "b", Model: "m1", ViewAge: age},
		server(decisionlog.ServerAppeared, "c", "", "restarted under the same ID"),
		server(decisionlog.ServerAppeared, "d", "", ""),
	})
	assert.DeepEqual(t, diffServers(old, nil, age)[3], server(decisionlog.ServerLeft, "e", "", ""))
	assert.Equal(t, len(diffServers(old, old, age)), 0)
}
