package losses

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// row counts the requests of one route that were lost or late for one cause.
type row struct {
	route, cause string
	requests     int
	waited       time.Duration // total time in the entry's queue
}

// table holds the rows, sorted by descending number of requests.
type table struct {
	rows  []*row
	ended map[string]int // requests of each route, served ones included
}

// noRoute is printed for requests that match no route.
const noRoute = "(none)"

func (l *logs) table() *table {
	t := &table{ended: map[string]int{}}
	byKey := map[[2]string]*row{}
	for _, p := range l.ordered {
		for _, r := range p.ended {
			route := cmp.Or(r.end.Text("route"), noRoute)
			t.ended[route]++
			cause := p.cause(r)
			if cause == "" {
				continue
			}
			t.add(byKey, route, cause, r.end.Duration("waited_ms"))
		}
	}
	slices.SortStableFunc(t.rows, func(a, b *row) int {
		return cmp.Or(cmp.Compare(b.requests, a.requests), cmp.Compare(a.route, b.route), cmp.Compare(a.cause, b.cause))
	})
	return t
}

func (t *table) add(byKey map[[2]string]*row, route, cause string, waited time.Duration) {
	key := [2]string{route, cause}
	r := byKey[key]
	if r == nil {
		r = &row{route: route, cause: cause}
		byKey[key] = r
		t.rows = append(t.rows, r)
	}
	r.requests++
	r.waited += waited
}

// write writes the table in Markdown. It doesn't count served requests that the
// log's rate limit left out.
func (t *table) write(out io.Writer) error {
	if _, err := fmt.Fprint(out, "| route | cause | requests | of all its requests | mean wait, ms |\n|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, r := range t.rows {
		mean := float64(r.waited.Milliseconds()) / float64(r.requests)
		share := 100 * float64(r.requests) / float64(t.ended[r.route])
		if _, err := fmt.Fprintf(out, "| %s | %s | %d | %.1f%% | %.0f |\n", r.route, r.cause, r.requests, share, mean); err != nil {
			return err
		}
	}
	return nil
}
