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
