package origins

import (
	"fmt"
	"strconv"
	"time"
)

const (
	// rowSpan is the time for which one row gathers records; it is written anew for each
	// addition.
	rowSpan = 4 * time.Second

	// maxRowRecords bounds a row to about 20 KB; the store allows 64 KB.
	maxRowRecords = 500

	// rowTTL is how long a row is kept: the last record in it expires before.
	rowTTL = recordTTL + rowSpan
)

// rowWriter divides the records of one process into rows.
type rowWriter struct {
	prefix string // of the keys of this process's rows
	rows   []*recordRow
	closed bool // the last of rows takes no further records
	made   int  // number of rows made
}

// recordRow is a row of this process.
type recordRow struct {
	key     string
	records Records
	count   int
	opened  time.Time
	version string // in the store; empty before the first write
}

func newRowWriter(self string, now time.Time) rowWriter {
	return rowWriter{prefix: recordPrefix + self + "/" + strconv.FormatInt(now.UnixMilli(), 36)}
}

// add adds records to the current row, or to new ones, and returns the rows to write.
func (w *rowWriter) add(records []Record, now time.Time) (changed []*recordRow) {
	var row *recordRow
	for _, r := range records {
		if current := w.current(now); current != row {
			row = current
			changed = append(changed, row)
		}
		row.records.add(r)
		row.count++
	}
	return changed
}

// current returns the row that takes further records.
func (w *rowWriter) current(now time.Time) *recordRow {
	if n := len(w.rows); n > 0 && !w.closed {
		if last := w.rows[n-1]; now.Sub(last.opened) < rowSpan && last.count < maxRowRecords {
			return last
		}
	}
	w.closed = false
	w.made++
	row := &recordRow{key: fmt.Sprintf("%s-%06d", w.prefix, w.made), opened: now}
	w.rows = append(w.rows, row)
	return row
}

// close makes further records go to a new row.
func (w *rowWriter) close() { w.closed = true }

// expired removes and returns the rows whose records have all expired.
func (w *rowWriter) expired(now time.Time) (out []*recordRow) {
	for len(w.rows) > 0 && now.Sub(w.rows[0].opened) >= rowTTL+rowSpan {
		out = append(out, w.rows[0])
		w.rows = w.rows[1:]
	}
	return out
}
