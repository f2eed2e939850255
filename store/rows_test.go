package store

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// pagedTable returns rows with fixed keys from List, or an error for a page that
// starts with the key failAt.
type pagedTable struct {
	Table
	keys   []string
	failAt string
	calls  int
}

func (p *pagedTable) List(_ context.Context, _, after string, limit int) ([]Row, error) {
	p.calls++
	var out []Row
	for _, key := range p.keys {
		if key > after && len(out) < limit {
			out = append(out, Row{Key: key})
		}
	}
	if len(out) > 0 && out[0].Key == p.failAt {
		return nil, errors.New("down")
	}
	return out, nil
}

func TestEachRow(t *testing.T) {
	tests := []struct {
		name   string
		keys   []string
		failAt string
		seen   []string
		calls  int
	}{
		{name: "no rows", calls: 1},
		{name: "a part of a page", keys: []string{"a"}, seen: []string{"a"}, calls: 1},
		{name: "whole pages", keys: []string{"a", "b", "c", "d"}, seen: []string{"a", "b", "c", "d"}, calls: 3},
		{name: "a page that fails", keys: []string{"a", "b", "c"}, failAt: "c", seen: []string{"a", "b"}, calls: 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			table := &pagedTable{keys: tc.keys, failAt: tc.failAt}
			var seen []string
			err := EachRow(context.Background(), table, "", 2, func(r Row) { seen = append(seen, r.Key) })
			assert.Equal(t, err != nil, tc.failAt != "")
			assert.DeepEqual(t, seen, tc.seen)
			assert.Equal(t, table.calls, tc.calls)
		})
	}
}
