package origins

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/store"
)

const (
	recordPrefix = "streams/" // of the keys of rows with records

	// partitions is the number of the table's partitions that hold records. A partition
	// applies some 200 writes per second.
	partitions = 4

	// saveInterval is how long records are gathered before they are written: about the time
	// to the first event of a stream. With more than maxFrequentWriters entries each waits
	// longer, so that their writes together do not grow.
	saveInterval       = 250 * time.Millisecond
	maxFrequentWriters = 100

	// rowSpan is the time for which one row gathers records; it is written anew for each
	// addition.
	rowSpan = 4 * time.Second

	// maxRowRecords bounds a row to about 20 KB; the store allows 64 KB.
	maxRowRecords = 500

	// rowTTL is how long a row is kept: the last record in it expires before.
	rowTTL = recordTTL + rowSpan

	// abandonedTTL is the age at which any entry removes a row. It exceeds rowTTL by more
	// than the wall clocks of two entries differ.
	abandonedTTL = 5 * time.Minute

	maxLoadedRows   = 10_000 // in one partition
	maxRemovedRows  = 50     // abandoned ones, in one read
	minLoadInterval = time.Second
)

// rowValue is the value of a row with records.
type rowValue struct {
	WrittenMS int64   `json:"written_ms"` // Unix time of the last change
	Records   Records `json:"records"`
}

// storedRecords is the state of the records in the store, as this entry knows it.
type storedRecords struct {
	services map[string]bool // whose records are written to the store
	writing  int             // records being written
	records  map[Stream]Record
	loaded   time.Time // when the last read of records began
}

func (r *storedRecords) store(service string, stored bool) {
	if r.services == nil {
		r.services = map[string]bool{}
	}
	r.services[service] = stored
}

// rowWriter divides the records of one process into rows.
type rowWriter struct {
	prefix string // of the keys of this process's rows
	rows   []*recordRow
	made   int // number of rows made
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
	if n := len(w.rows); n > 0 {
		if last := w.rows[n-1]; now.Sub(last.opened) < rowSpan && last.count < maxRowRecords {
			return last
		}
	}
	w.made++
	row := &recordRow{key: fmt.Sprintf("%s-%06d", w.prefix, w.made), opened: now}
	w.rows = append(w.rows, row)
	return row
}

// expired removes and returns the rows whose records have all expired.
func (w *rowWriter) expired(now time.Time) (out []*recordRow) {
	for len(w.rows) > 0 && now.Sub(w.rows[0].opened) >= rowTTL+rowSpan {
		out = append(out, w.rows[0])
		w.rows = w.rows[1:]
	}
	return out
}

// partitionOf returns the partition for the rows of an entry.
func partitionOf(entry string) string {
	return partitionName(int(xxhash.Sum64String(entry) % partitions))
}

func partitionName(i int) string { return "streams-" + strconv.Itoa(i) }

// saveLater makes RunRows write a record. The caller holds mu.
func (g *Registry) saveLater(s Stream) {
	g.unsaved[s] = true
	wake(g.saveWake)
}

// RunRows writes records to the store until ctx is done.
func (g *Registry) RunRows(ctx context.Context) {
	tick := time.NewTicker(rowSpan)
	defer tick.Stop()
	pause := newRowBackoff()
	failing := false
	for {
		select {
		case <-tick.C:
			g.removeExpired(ctx)
			continue
		case <-g.saveWake:
		case <-ctx.Done():
			return
		}
		_ = clock.Sleep(ctx, g.saveDelay())
		err := g.save(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			pause.Reset()
			failing = false
			continue
		}
		if !failing {
			event.Log(g.opts.Log, event.StreamRecordsNotStored, event.Err(err))
		}
		failing = true
		_ = clock.Sleep(ctx, pause.NextBackOff())
	}
}

// saveDelay returns for how long records are gathered before they are written.
func (g *Registry) saveDelay() time.Duration {
	entries := len(g.opts.Peers.Connected()) + 1
	return max(saveInterval, saveInterval*time.Duration(entries)/maxFrequentWriters)
}

// save writes the unsaved records. Those that could not be written remain unsaved.
func (g *Registry) save(ctx context.Context) error {
	records := g.takeUnsaved()
	table := g.opts.Table.Partition(partitionOf(g.opts.Self))
	var failed error
	for _, row := range g.writer.add(records, time.Now()) {
		if err := writeRow(ctx, table, row); err != nil {
			failed = err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stored.writing = 0
	if failed != nil {
		for _, r := range records {
			g.unsaved[r.Stream] = true
		}
		wake(g.saveWake)
	}
	return failed
}

// takeUnsaved returns the unsaved records and counts them as being written.
func (g *Registry) takeUnsaved() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	records := make([]Record, 0, len(g.unsaved))
	for s := range g.unsaved {
		if r, found := g.table.record(s, now); found {
			records = append(records, r)
		}
	}
	g.unsaved = map[Stream]bool{}
	g.stored.writing = len(records)
	return records
}

func writeRow(ctx context.Context, table store.Table, row *recordRow) error {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	value, err := json.Marshal(rowValue{WrittenMS: time.Now().UnixMilli(), Records: row.records})
	if err != nil {
		return fault.New(fault.KindInternal, "origins.rows", row.key, err)
	}
	written, err := table.Put(ctx, row.key, value)
	if err == nil {
		row.version = written.Version
	}
	return err
}

// removeExpired removes the rows of this process whose records have expired. A row that
// cannot be removed is left to the entries that read it later.
func (g *Registry) removeExpired(ctx context.Context) {
	table := g.opts.Table.Partition(partitionOf(g.opts.Self))
	for _, row := range g.writer.expired(time.Now()) {
		g.removeRow(ctx, table, row.key, row.version)
	}
}

func (g *Registry) removeRow(ctx context.Context, table store.Table, key, version string) {
	if version == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	err := table.Delete(ctx, key, version)
	if err != nil && !fault.Is(err, fault.KindConflict) && ctx.Err() == nil {
		event.Log(g.opts.Log, event.StreamRecordsNotStored, event.Subject(key), event.Err(err))
	}
}

// load finds the record of a stream in the store. It reads all records, unless that was
// done less than minLoadInterval ago.
func (g *Registry) load(ctx context.Context, s Stream) (Record, bool) {
	done := g.loads.DoChan("", func() (any, error) {
		g.mu.Lock()
		recent := time.Since(g.stored.loaded) < minLoadInterval
		g.mu.Unlock()
		if recent {
			return nil, nil
		}
		return nil, g.loadAll()
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r, found := g.stored.records[s]
	return r, found
}

// loadAll reads all records in the store. The result of an incomplete read is kept, but
// the next search reads again.
func (g *Registry) loadAll() error {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	began := time.Now()
	var wait sync.WaitGroup
	var mu sync.Mutex
	records := map[Stream]Record{}
	var failed error
	for i := range partitions {
		wait.Go(func() {
			found, err := g.loadPartition(ctx, partitionName(i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
			}
			for _, r := range found {
				if known, ok := records[r.Stream]; !ok || r.Revision > known.Revision {
					records[r.Stream] = r
				}
			}
		})
	}
	wait.Wait()
	if failed != nil {
		event.Log(g.opts.Log, event.StreamRecordsNotRead, event.Err(failed))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if failed == nil {
		g.stored.loaded = began
	}
	g.stored.records = records
	return failed
}

// loadPartition reads the records in one partition. It removes abandoned rows.
func (g *Registry) loadPartition(ctx context.Context, name string) (records []Record, err error) {
	table := g.opts.Table.Partition(name)
	rows, err := table.List(ctx, recordPrefix, "", maxLoadedRows)
	if err != nil {
		return nil, err
	}
	removed := 0
	for _, row := range rows {
		var value rowValue
		if err := json.Unmarshal(row.Value, &value); err != nil {
			event.Log(g.opts.Log, event.StreamRecordsNotRead, event.Subject(row.Key), event.Err(err))
			continue
		}
		if time.Since(time.UnixMilli(value.WrittenMS)) > abandonedTTL {
			if removed++; removed <= maxRemovedRows {
				g.removeRow(ctx, table, row.Key, row.Version)
			}
			continue
		}
		value.Records.each(func(r Record) { records = append(records, r) })
	}
	return records, nil
}
