package view

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

// returnedDirectory is a fleet.Directory whose store has returned from an older copy: waits
// for a configuration get no answer, and reads return the newest one.
type returnedDirectory struct {
	fleet.Directory

	mu       sync.Mutex
	snapshot fleet.Snapshot
	waits    int
}

func (d *returnedDirectory) set(s fleet.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snapshot = s
}

func (d *returnedDirectory) Config(context.Context) (fleet.Snapshot, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot, nil
}

func (d *returnedDirectory) NextConfig(ctx context.Context, _ fleet.Position, _ time.Duration) (fleet.Snapshot, error) {
	d.mu.Lock()
	d.waits++
	d.mu.Unlock()
	<-ctx.Done()
	return fleet.Snapshot{}, ctx.Err()
}

func (d *returnedDirectory) waiting(n int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waits >= n
}

func snapshot(era, position, version int64) fleet.Snapshot {
	return fleet.Snapshot{Config: &fleet.Config{Version: version}, Position: fleet.Position{Era: era, Version: position}}
}

func waitUntil(t *testing.T, condition string, met func() bool) {
	t.Helper()
	const timeout = 5 * time.Second
	for started := time.Now(); !met(); time.Sleep(time.Millisecond) {
		if time.Since(started) > timeout {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// TestWaitForConfigurationEndsInNewEra lets an entry that waits for a configuration learn
// from another call that the store has returned from an older copy. The configuration in the
// store then has an earlier position than the one from which the entry waits.
func TestWaitForConfigurationEndsInNewEra(t *testing.T) {
	d := &returnedDirectory{snapshot: snapshot(1, 50, 2)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	w := New(d, nil, decisionlog.New(decisionlog.Options{Out: io.Discard}))
	w.logger = logger
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { w.RunConfig(ctx) })
	defer running.Wait()
	defer cancel()
	version := func() int64 {
		if c := w.Current().Config; c != nil {
			return c.Version
		}
		return 0
	}
	waitUntil(t, "the entry waits", func() bool { return d.waiting(1) && version() == 2 })

	d.set(snapshot(2, 30, 1)) // not repeated by the operator yet
	w.ApplyServers(fleet.Registry{Position: fleet.Position{Era: 2, Version: 30}}, time.Now(), "store")
	waitUntil(t, "the entry waits in the new era", func() bool { return d.waiting(2) })
	assert.Equal(t, version(), int64(2), "an earlier configuration is not applied")

	d.set(snapshot(3, 20, 3))
	w.ApplyServers(fleet.Registry{Position: fleet.Position{Era: 3, Version: 20}}, time.Now(), "store")
	waitUntil(t, "the new configuration is active", func() bool { return version() == 3 })
}

// refreshAt makes the watcher read registrations of the given servers at a position.
func (r *testWatcher) refreshAt(t *testing.T, at fleet.Position, servers ...fleet.Server) Document {
	t.Helper()
	r.store.reg, r.store.err = fleet.Registry{Position: at, Servers: servers}, nil
	r.Refresh(context.Background())
	return r.shared
}

// TestServersOfNewEra lets the store return from an older copy, with lower versions. Lists
// of the new era replace those of the old one, which may still arrive later, also from peers.
func TestServersOfNewEra(t *testing.T) {
	a, b := newTestWatcher(), newTestWatcher()
	one, two, three := fleet.Server{ID: "1", Born: 1}, fleet.Server{ID: "2", Born: 2}, fleet.Server{ID: "3", Born: 3}
	old := a.refreshAt(t, fleet.Position{Era: 1, Version: 50}, one, two)
	b.apply(t, old)
	b.assertServers(t, "1", "2")

	returned := a.refreshAt(t, fleet.Position{Era: 2, Version: 20}, one, three)
	a.assertServers(t, "1", "2", "3") // server 2 may not have registered again yet
	b.apply(t, returned)
	b.assertServers(t, "1", "2", "3")

	for _, w := range []*testWatcher{a, b} {
		w.reads.outage = outage{} // the time for registering again is over
	}
	b.apply(t, a.refreshAt(t, fleet.Position{Era: 2, Version: 21}, one, three))
	a.assertServers(t, "1", "3")
	b.assertServers(t, "1", "3")
	old.Age = 0
	b.apply(t, old)
	b.assertServers(t, "1", "3")
	a.refreshAt(t, fleet.Position{Era: 1, Version: 60}, two)
	a.assertServers(t, "1", "3")
}

// TestDrainingServerIsNotUsedAfterReturn lets the store return from a copy of before a server
// registered as draining.
func TestDrainingServerIsNotUsedAfterReturn(t *testing.T) {
	w := newTestWatcher()
	ready, draining := fleet.Server{ID: "1", Born: 1}, fleet.Server{ID: "1", Born: 1, Draining: true}
	w.refreshAt(t, fleet.Position{Era: 1, Version: 50}, ready)
	w.refreshAt(t, fleet.Position{Era: 1, Version: 51}, draining)
	w.refreshAt(t, fleet.Position{Era: 2, Version: 40}, ready)
	assert.Assert(t, w.Current().Server("1").Draining)
	w.refreshAt(t, fleet.Position{Era: 2, Version: 44}, ready)
	assert.Assert(t, w.Current().Server("1").Draining)
	w.refreshAt(t, fleet.Position{Era: 2, Version: 45}, fleet.Server{ID: "1", Born: 2})
	assert.Assert(t, !w.Current().Server("1").Draining, "another incarnation")
}
