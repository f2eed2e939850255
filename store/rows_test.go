package store

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// pages answers List from a fixed list of rows, and fails from a key on.
type pages struct {
	Table
	keys  []string
	broke string
	calls int
}

func (p *pages) List(_ context.Context, _, after string, limit int) ([]Row, error) {
	p.calls++
	var out []Row
	for _, key := range p.keys {
		if key > after && len(out) < limit {
			out = append(out, Row{Key: key})
		}
	}
	if len(out) > 0 && out[0].Key == p.broke {
		return nil, errors.New("down")
	}
	return out, nil
}

func TestEachRowReadsPageByPage(t *testing.T) {
	tests := []struct {
		name  string
		keys  []string
		broke string
		seen  []string
		calls int
	}{
		{name: "no rows", calls: 1},
		{name: "a part of a page", keys: []string{"a"}, seen: []string{"a"}, calls: 1},
		{name: "whole pages", keys: []string{"a", "b", "c", "d"}, seen: []string{"a", "b", "c", "d"}, calls: 3},
		{name: "a page that fails", keys: []string{"a", "b", "c"}, broke: "c", seen: []string{"a", "b"}, calls: 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			table := &pages{keys: tc.keys, broke: tc.broke}
			var seen []string
			err := EachRow(context.Background(), table, "", 2, func(r Row) { seen = append(seen, r.Key) })
			assert.Equal(t, err != nil, tc.broke != "")
			assert.DeepEqual(t, seen, tc.seen)
			assert.Equal(t, table.calls, tc.calls)
		})
	}
}
