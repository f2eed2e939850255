package store

import "context"

// EachRow calls f for every row whose key begins with prefix, in order of key. It
// reads page rows per call and may miss rows that are written in the meantime.
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
