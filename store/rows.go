package store

import "context"

// EachRow calls f with every row whose key begins with prefix, in order of key.
// It reads page rows at a time, so that rows written meanwhile may be missed.
func EachRow(ctx context.Context, t Table, prefix string, page int, f func(Row)) error {
	after := ""
	for {
		rows, err := t.List(ctx, prefix, after, page)
		if err != nil {
			return err
		}
		for _, row := range rows {
			f(row)
			after = row.Key
		}
		if len(rows) < page {
			return nil
		}
	}
}
