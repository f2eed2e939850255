package origins

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

// splitNetwork returns entries that follow one split between two versions.
func splitNetwork(t *testing.T, entries int) *network {
	t.Helper()
	n := newNetwork(entries)
	n.updateServers(append(serversOf("v1", 4, model), serversOf("v2", 4, model)...))
	for range 4 { // the stages, the split, its adoption, the end of what was before
		n.step()
	}
	for name, g := range n.entries {
		assert.Equal(t, len(g.State().Splits[service]), 1, name)
	}
	return n
}

func (n *network) updateServers(servers []fleet.Server) {
	for _, g := range n.entries {
		updateEntry(g, &fleet.View{ServersRead: time.Now(), Servers: servers})
	}
}

// step has each entry do once what its loops would do.
func (n *network) step() {
	for _, g := range n.entries {
		g.review(time.Now())
		_ = g.save(context.Background()) // fails while the table is down
		g.copyPending()
		g.mu.Lock()
		g.told.at = time.Time{}
		g.mu.Unlock()
		g.tellProgress(time.Now())
	}
	for _, g := range n.entries {
		g.review(time.Now())
		g.mu.Lock()
		for service := range g.noticed {
			g.noticed[service] = time.Now().Add(-maxAnnounceRank * announceStagger)
		}
		g.mu.Unlock()
		_ = g.syncUsages(context.Background())
	}
}

// idOf returns an ID of a stream that the split of an entry gives to a version.
func idOf(g *Registry, software, prefix string) string {
	for i := 0; ; i++ {
		id := fmt.Sprint(prefix, i)
		if assigned(g.State().Splits[service], model, id) == software {
			return id
		}
	}
}

// TestStreamsBegunWithoutStoreEndWithAllEntries has streams begin while the store is away, and
// replaces all entries before it is back.
func TestStreamsBegunWithoutStoreEndWithAllEntries(t *testing.T) {
	n := splitNetwork(t, 3)
	g := n.entry("entry-0")
	n.table.setDown(true)
	began := map[string]string{}
	for _, software := range []string{"v1", "v2"} {
		id := idOf(g, software, "a")
		g.Began(service, model, id, software)
		assert.NilError(t, g.AwaitDurable(context.Background(), service, model, id, software))
		began[id] = software
	}
	n.table.setDown(false)
	n.killAll()
	for id, software := range began {
		f := n.entry("entry-1").Find(context.Background(), service, model, id)
		assert.Equal(t, f.Origin, Derived)
		assert.Equal(t, f.Software, software)
		assert.Equal(t, f.Store, StoreWasRead)
	}
}

// TestStreamIsJoinedAcrossVersionsWithoutItsRecord has a stream begin at another version than the
// split gives to it. Its first event waits for its record.
func TestStreamIsJoinedAcrossVersionsWithoutItsRecord(t *testing.T) {
	n := splitNetwork(t, 3)
	g := n.entry("entry-0")
	id := idOf(g, "v1", "a")
	g.Began(service, model, id, "v2")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, g.AwaitDurable(ctx, service, model, id, "v2"), context.DeadlineExceeded)
	released := make(chan error)
	go func() { released <- g.AwaitDurable(context.Background(), service, model, id, "v2") }()
	save(t, g)
	assert.NilError(t, <-released)
	n.killAll()
	software, origin := find(n.entry("entry-1"), id)
	assert.Equal(t, origin, Known)
	assert.Equal(t, software, "v2")
}

// TestStreamIsHeldForever has the store refuse the record of a stream that is held back.
func TestStreamIsHeldForever(t *testing.T) {
	n := splitNetwork(t, 1)
	g := n.entry("entry-0")
	id := idOf(g, "v1", "a")
	assigned := g.Assigned(service, model, id)
	assert.Equal(t, assigned.Software, "v1")
	assert.Assert(t, !assigned.Required)
	n.table.setDown(true)
	g.Began(service, model, id, "v2")
	for range maxSaveFailures {
		assert.Assert(t, g.save(context.Background()) != nil)
	}
	assert.ErrorIs(t, g.AwaitDurable(context.Background(), service, model, id, "v2"), ErrNotDurable)
	assert.Assert(t, g.Assigned(service, model, id).Required, "the store takes no records")
	n.table.setDown(false)
	save(t, g)
	assert.NilError(t, g.AwaitDurable(context.Background(), service, model, id, "v2"))
	assert.Assert(t, !g.Assigned(service, model, id).Required)
}

// TestStreamIsHeldThoughStoreIsKnownToFail has a stream begin after a read of the store failed, before
// any record could not be written. Held back, it would begin anew at the cost of a retry.
func TestStreamIsHeldThoughStoreIsKnownToFail(t *testing.T) {
	n := splitNetwork(t, 1)
	g := n.entry("entry-0")
	assert.Assert(t, !g.Assigned(service, model, "a").Required)
	g.StoreFailed(time.Now())
	assert.Assert(t, g.Assigned(service, model, "a").Required)
	n.updateServers(g.servers)
	assert.Assert(t, !g.Assigned(service, model, "a").Required, "another entry reads the store")
}

// TestStreamThatBeginsAnewIsHeld has a stream begin anew at the version of its split, after its
// record of another version could not be stored. It waits for the store only if the store may have
// that record.
func TestStreamThatBeginsAnewIsHeld(t *testing.T) {
	n := splitNetwork(t, 1)
	g := n.entry("entry-0")
	isDurable := func(id string) bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.isDurable(Stream{Service: service, ID: id}, model, "v1")
	}
	refused, stored := idOf(g, "v1", "a"), idOf(g, "v1", "b")
	g.Began(service, model, stored, "v2")
	save(t, g)
	n.table.setDown(true)
	g.Began(service, model, refused, "v2")
	assert.Assert(t, g.save(context.Background()) != nil)
	for _, id := range []string{refused, stored} {
		g.Began(service, model, id, "v1")
	}
	assert.Assert(t, isDurable(refused))
	assert.Assert(t, !isDurable(stored))
	g.Began(service, model, stored, "v1")
	assert.Assert(t, !isDurable(stored))
	n.table.setDown(false)
	save(t, g)
	assert.Assert(t, isDurable(stored))
}

func TestStreamsAreHeldWithoutNeed(t *testing.T) {
	n := newNetwork(1, "v1")
	g := n.entry("entry-0")
	g.Began(service, model, "a", "v1")
	assert.NilError(t, g.AwaitDurable(context.Background(), service, model, "a", "v1"), "one version is in use")
	n = splitNetwork(t, 1)
	g = n.entry("entry-0")
	g.Began(service, "other", "a", "v1")
	assert.NilError(t, g.AwaitDurable(context.Background(), service, "other", "a", "v1"), "no split covers the model")
	assert.Equal(t, g.Assigned(service, "other", "a").Software, "")
}

// TestStreamOfMovedRouteIsDerived has a route move to another service. Its splits say nothing of
// the streams that began at the first.
func TestStreamOfMovedRouteIsDerived(t *testing.T) {
	n := splitNetwork(t, 2)
	g := n.entry("entry-0")
	other := fleet.Server{ID: "other", Service: "other", Software: "v1"}
	n.updateServers(append(append(serversOf("v1", 4, model), serversOf("v2", 4, model)...), other))
	g.mu.Lock()
	g.table.put(Stream{Service: "other", ID: "a"}, "v1", time.Now())
	g.mu.Unlock()
	assert.Equal(t, g.Find(context.Background(), service, model, "a").Origin, Unknown)
	assert.Equal(t, g.Find(context.Background(), service, model, "b").Origin, Derived)
	assert.Equal(t, g.Find(context.Background(), service, model, "").Origin, Unknown)
}

// TestVersionIsDerivedWhileStoreIsAway has an entry look for a stream without being able to read
// the records.
func TestVersionIsDerivedWhileStoreIsAway(t *testing.T) {
	n := splitNetwork(t, 2)
	n.table.setDown(true)
	f := n.entry("entry-1").Find(context.Background(), service, model, "a")
	assert.Equal(t, f.Origin, Unknown)
	assert.Equal(t, f.Store, StoreFailed)
}

// TestCanceledSearchIsDerived ends the search of a client that left.
func TestCanceledSearchIsDerived(t *testing.T) {
	n := splitNetwork(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g := n.entry("entry-1")
	g.mu.Lock()
	g.stored.loaded = time.Now()
	g.mu.Unlock()
	f := g.Find(ctx, service, model, "a")
	assert.Assert(t, f.Origin == Unknown && errors.Is(ctx.Err(), context.Canceled), "%v", f)
}
