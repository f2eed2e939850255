package view

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

// listOf returns registrations as they are read at a position.
func listOf(position int64, servers ...fleet.Server) fleet.Registry {
	return fleet.Registry{Servers: servers, Position: fleet.Position{Version: position}}
}

// TestLapseOfRegistrationMakesLeavingServerLastResortAgain lets the registration of a server that said
// it leaves change and lapse. It must not count as having said so later than it did.
func TestLapseOfRegistrationMakesLeavingServerLastResortAgain(t *testing.T) {
	w := New(nil, nil, decisionlog.New(decisionlog.Options{Out: io.Discard}))
	ready := fleet.Server{ID: "i-1", Born: 7}
	draining := ready
	draining.Draining = true
	w.ApplyServers(listOf(1, ready), time.Now(), decisionlog.SourceStore)
	w.ServerLeaves(ready.Incarnation(), "request r1")
	since := w.Current().Servers[0].LeavingSince
	assert.Assert(t, !since.IsZero())
	for position, list := range []fleet.Registry{listOf(2, draining), listOf(3, ready), listOf(4), listOf(5, ready)} {
		w.ApplyServers(list, time.Now(), decisionlog.SourceStore)
		for _, s := range w.Current().Servers {
			assert.Assert(t, s.Draining, "after list %d", position)
			assert.Equal(t, s.LeavingSince, since, "after list %d", position)
		}
	}
	restarted := ready
	restarted.Born = 8
	w.ApplyServers(listOf(6, restarted), time.Now(), decisionlog.SourceStore)
	assert.Assert(t, !w.Current().Servers[0].Draining)
}

// TestServerOfUnknownStartIsUsedAgain restarts a server whose registration does not say when it started,
// after its registration was gone.
func TestServerOfUnknownStartIsUsedAgain(t *testing.T) {
	w := New(nil, nil, decisionlog.New(decisionlog.Options{Out: io.Discard}))
	unknown := fleet.Server{ID: "i-1"}
	w.ApplyServers(listOf(1, unknown), time.Now(), decisionlog.SourceStore)
	w.ServerLeaves(unknown.Incarnation(), "request r1")
	w.ApplyServers(listOf(2, unknown), time.Now(), decisionlog.SourceStore)
	assert.Assert(t, w.Current().Servers[0].Draining)
	w.ApplyServers(listOf(3), time.Now(), decisionlog.SourceStore)
	w.ApplyServers(listOf(4, unknown), time.Now(), decisionlog.SourceStore)
	assert.Assert(t, !w.Current().Servers[0].Draining)
}

// TestLeavingServersAreBounded hears of many servers, and forgets those that are gone.
func TestLeavingServersAreBounded(t *testing.T) {
	l := newLeavingServers()
	now := time.Unix(1000, 0)
	for born := range int64(2 * maxLeaving) {
		l.add(fleet.Incarnation{Server: "i-1", Born: born + 1}, now, now.Add(time.Duration(born)))
	}
	assert.Equal(t, len(l.all()), maxLeaving)
	last := fleet.Server{ID: "i-1", Born: 2 * maxLeaving}
	l.mark([]fleet.Server{last}, now.Add(leavingTTL/2))
	l.expire(now.Add(leavingTTL + time.Second))
	assert.DeepEqual(t, l.all(), []fleet.Incarnation{last.Incarnation()})
}
