package origins

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// killAll replaces all entries by new processes that see one server of each software
// version.
func (n *network) killAll(software ...string) {
	n.mu.Lock()
	names := len(n.entries)
	n.entries = map[string]*Registry{}
	n.mu.Unlock()
	for i := range names {
		n.restart(fmt.Sprintf("entry-%d", i), software...)
	}
}

// save writes the records of an entry, as RunRows does.
func save(t *testing.T, g *Registry) {
	t.Helper()
	assert.NilError(t, g.save(context.Background()))
}

func TestRecordsEndWithAllEntries(t *testing.T) {
	for _, entries := range []int{1, 5, 18, 103} {
		n := newNetwork(entries, "v1", "v2")
		maker := n.entry("entry-0")
		maker.Began(service, model, "a", "v1")
		save(t, maker)
		n.killAll("v1", "v2")
		f := n.entry("entry-0").Find(context.Background(), service, model, "a")
		assert.Equal(t, f.Origin, Known, "%d entries", entries)
		assert.Equal(t, f.Software, "v1")
		assert.Equal(t, f.Source, sourceStore)
	}
}

// TestRecordsOfBeforeSecondVersionEndWithAllEntries has the second version appear after the
// stream has begun.
func TestRecordsOfBeforeSecondVersionEndWithAllEntries(t *testing.T) {
	n := newNetwork(3, "v1")
	maker := n.entry("entry-0")
	maker.Began(service, model, "a", "v1")
	assert.Equal(t, maker.State().Unsaved, 0)
	n.update("v1", "v2")
	save(t, maker)
	n.killAll("v2")
	software, origin := find(n.entry("entry-1"), "a")
	assert.Equal(t, origin, Known)
	assert.Equal(t, software, "v1")
}

// TestVersionThatLeftWithAllEntriesIsUnknown has the only version be replaced by another one
// while no entry runs.
func TestVersionThatLeftWithAllEntriesIsUnknown(t *testing.T) {
	n := newNetwork(3, "v1")
	n.entry("entry-0").Began(service, model, "a", "v1")
	n.killAll("v2")
	_, origin := find(n.entry("entry-1"), "a")
	assert.Equal(t, origin, Unknown)
}

// TestVersionsThatCannotBeReadAreRuledOut has the store be away when all entries start anew.
func TestVersionsThatCannotBeReadAreRuledOut(t *testing.T) {
	n := newNetwork(3, "v1")
	n.entry("entry-0").Began(service, model, "a", "v1")
	n.table.down = true
	n.killAll("v2")
	_, origin := find(n.entry("entry-1"), "a")
	assert.Equal(t, origin, Unknown)
}

func TestStreamIsNamedAfterFailedAttemptFromStore(t *testing.T) {
	n := newNetwork(3, "v1", "v2")
	maker := n.entry("entry-0")
	maker.Began(service, model, "a", "v1")
	save(t, maker)
	maker.Began(service, model, "a", "v2")
	save(t, maker)
	n.killAll("v1", "v2")
	software, origin := find(n.entry("entry-2"), "a")
	assert.Equal(t, origin, Known)
	assert.Equal(t, software, "v2")
}

// TestRecordsAreDroppedWhileStoreIsDown has the store away when a stream begins.
func TestRecordsAreDroppedWhileStoreIsDown(t *testing.T) {
	n := newNetwork(3, "v1", "v2")
	maker := n.entry("entry-0")
	n.table.down = true
	maker.Began(service, model, "a", "v1")
	assert.Assert(t, maker.save(context.Background()) != nil)
	assert.Equal(t, maker.State().Unsaved, 1)
	maker.copyPending()
	n.remove("entry-0")
	_, origin := find(n.entry("entry-1"), "a")
	assert.Equal(t, origin, Known, "other entries have copies meanwhile")
	n.table.down = false
	save(t, maker)
	n.killAll("v1", "v2")
	_, origin = find(n.entry("entry-1"), "a")
	assert.Equal(t, origin, Known)
}

// TestStreamsOfOnlyVersionAreLostWhileStoreIsDown has the entry of a stream end while the
// store is away, after which the lists of servers are too old to rule out other versions.
func TestStreamsOfOnlyVersionAreLostWhileStoreIsDown(t *testing.T) {
	n := newNetwork(3, "v1")
	first := n.entry("entry-0")
	first.Began(service, model, "a", "v1")
	old := viewOf("v1")
	old.ServersRead = time.Now().Add(-2 * freshFor)
	for _, g := range n.entries {
		g.list.read = time.Time{}
		updateEntry(g, old)
	}
	first.Began(service, model, "b", "v1")
	first.copyPending()
	n.remove("entry-0")
	for _, id := range []string{"a", "b"} {
		software, origin := find(n.entry("entry-1"), id)
		assert.Equal(t, origin, Known, id)
		assert.Equal(t, software, "v1")
	}
}

// TestRestartedHolderGetsNoCopies restarts the entries that hold the copies of a stream one
// after the other, then ends the entry that began it, with the store away.
func TestRestartedHolderGetsNoCopies(t *testing.T) {
	n := newNetwork(3, "v1", "v2")
	first := n.entry("entry-0")
	first.Began(service, model, "a", "v1")
	first.copyPending()
	for _, name := range []string{"entry-1", "entry-2"} {
		n.restart(name, "v1", "v2")
		first.PeerConnected(name)
	}
	n.remove("entry-0")
	n.table.down = true
	for _, name := range []string{"entry-1", "entry-2"} {
		software, origin := find(n.entry(name), "a")
		assert.Equal(t, origin, Known, name)
		assert.Equal(t, software, "v1")
	}
}

func TestRecordsAreStoredWhileOneVersionIsInUse(t *testing.T) {
	n := newNetwork(3, "v1")
	before := n.table.writes
	for i := range 100 {
		n.entry("entry-0").Began(service, model, fmt.Sprint(i), "v1")
	}
	save(t, n.entry("entry-0"))
	assert.Equal(t, n.table.writes, before)
}

func TestRowsAreNeverRemoved(t *testing.T) {
	now := time.Now()
	w := newRowWriter("entry-0", now)
	for i := range 5 {
		at := now.Add(time.Duration(i) * rowSpan)
		changed := w.add([]Record{{Stream: Stream{service, fmt.Sprint(i)}, Software: "v1"}}, at)
		assert.Equal(t, len(changed), 1)
	}
	assert.Equal(t, len(w.rows), 5)
	assert.Equal(t, len(w.expired(now.Add(recordTTL))), 0)
	assert.Equal(t, len(w.expired(now.Add(rowTTL+rowSpan))), 1)
	assert.Equal(t, len(w.rows), 4)
}

func TestRowExceedsLimitOfStore(t *testing.T) {
	w := newRowWriter("entry-0", time.Now())
	records := make([]Record, 2*maxRowRecords+1)
	assert.Equal(t, len(w.add(records, time.Now())), 3)
}
