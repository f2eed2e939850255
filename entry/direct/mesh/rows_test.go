package mesh

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newIdleMesh returns a mesh that uses the table and is not running.
func newIdleMesh(t *testing.T, name string, table *table) *Mesh {
	opts := options(t, name)
	opts.Table = table
	return New(opts)
}

func TestOverwrittenOwnRowIsRewritten(t *testing.T) {
	table := newTable()
	m := newIdleMesh(t, "a", table)
	written, err := m.syncRows(context.Background(), false)
	assert.NilError(t, err)
	assert.Assert(t, written)
	table.add(t, Identity{Name: "a", Incarnation: "an earlier one, written late"})
	written, err = m.syncRows(context.Background(), written)
	assert.NilError(t, err)
	assert.Assert(t, !written)
	written, err = m.syncRows(context.Background(), written)
	assert.NilError(t, err)
	assert.Assert(t, written)
}

func TestRowsOfExpiredEntriesAreDeleted(t *testing.T) {
	for _, tc := range []struct {
		name, other string
		removed     bool
	}{
		{name: "by the lowest-named", other: "z", removed: true},
		{name: "not by others", other: "a", removed: false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newTable()
			m := newIdleMesh(t, "m", table)
			table.add(t, Identity{Name: "gone", Address: "gone:1"})
			_, err := m.syncRows(context.Background(), false)
			assert.NilError(t, err)
			m.links[tc.other] = &link{id: Identity{Name: tc.other}}
			m.members.all["gone"].disconnectedAt = time.Now().Add(-expireAfter)
			_, err = m.syncRows(context.Background(), true)
			assert.NilError(t, err)
			assert.Equal(t, table.has("gone"), !tc.removed)
		})
	}
}

func TestRewrittenRowIsNotDeleted(t *testing.T) {
	table := newTable()
	m := newIdleMesh(t, "m", table)
	table.add(t, Identity{Name: "back", Address: "back:1"})
	_, err := m.syncRows(context.Background(), false)
	assert.NilError(t, err)
	expired := m.members.all["back"]
	table.add(t, Identity{Name: "back", Address: "back:2"})
	assert.NilError(t, m.removeRow(context.Background(), expired))
	assert.Assert(t, table.has("back"))
}

func TestTableOutageAtStart(t *testing.T) {
	table := newTable()
	table.setDown(true)
	entries := startAll(t, 2, func(_ int, o *Options) { o.Table = table })
	await(t, "a failed call", func() bool { return entries[0].DumpState().(Dump).RowCalls > 1 })
	table.setDown(false)
	awaitAll(t, entries)
}

// TestEntriesOutOfReachAreNotCounted asks an entry for the number of entries before and
// after it has read the rows of others that it never reaches.
func TestEntriesOutOfReachAreNotCounted(t *testing.T) {
	rows := newTable()
	for _, name := range []string{"a", "c", "d"} {
		rows.add(t, Identity{Name: name, Incarnation: "1", Address: "192.0.2.1:1"})
	}
	m := newIdleMesh(t, "b", rows)
	n, _ := m.Entries()
	assert.Equal(t, n, 0, "nothing is known")
	_, err := m.syncRows(t.Context(), false)
	assert.NilError(t, err)
	n, rank := m.Entries()
	assert.Equal(t, n, 4)
	assert.Equal(t, rank, 1)
	rows.setDown(true)
	_, err = m.syncRows(t.Context(), true)
	assert.Assert(t, err != nil)
	n, _ = m.Entries()
	assert.Equal(t, n, 4, "the rows cannot be read")
}
