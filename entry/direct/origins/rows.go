package origins

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
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

	// heldSaveInterval replaces saveInterval while a stream's first event may have to wait for
	// the write.
	heldSaveInterval = 100 * time.Millisecond
)

// rowValue is the value of a row with records.
type rowValue struct {
	WrittenMS int64   `json:"written_ms"` // Unix time of the last change
	Records   Records `json:"records"`
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
	calls := newRetrier(g.opts.Log, event.StreamRecordsNotStored)
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
		calls.wait(ctx, g.save(ctx)) // save wakes this loop again if it fails
	}
}

// saveDelay returns for how long records are gathered before they are written.
func (g *Registry) saveDelay() time.Duration {
	entries := len(g.opts.Peers.Connected()) + 1
	g.mu.Lock()
	interval := saveInterval
	if g.durability.hurry || g.durability.held > 0 {
		interval = heldSaveInterval
	}
	g.mu.Unlock()
	return max(interval, saveInterval*time.Duration(entries)/maxFrequentWriters)
}

// save writes the unsaved records. Those that could not be written remain unsaved.
func (g *Registry) save(ctx context.Context) error {
	records, followed := g.takeUnsaved()
	table := g.opts.Table.Partition(partitionOf(g.opts.Self))
	var failed error
	exposed := false
	for _, row := range g.writer.add(records, time.Now()) {
		err := writeRow(ctx, table, row)
		if err != nil {
			failed = err
			g.writer.close() // the write may be applied later, and must not replace a newer one
		}
		exposed = exposed || !fault.Is(err, fault.KindUnavailable)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if exposed {
		g.table.markExposed(records)
	}
	g.stored.writing = map[Stream]bool{}
	g.durability.endWrite(failed)
	if failed != nil {
		for _, r := range records {
			g.unsaved[r.Stream] = true
		}
		wake(g.saveWake)
		return fmt.Errorf("%d records wait: %w", len(g.unsaved), failed)
	}
	maps.Copy(g.adopted, followed)
	return nil
}

// takeUnsaved returns the unsaved records and counts them as being written. followed has the
// numbers of the splits, by service, that this entry has adopted once all are written.
func (g *Registry) takeUnsaved() (records []Record, followed map[string]int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.durability.beginWrite(now)
	followed = g.followed()
	records = make([]Record, 0, len(g.unsaved))
	for s := range g.unsaved {
		if r, found := g.table.record(s, now); found {
			records = append(records, r)
		}
	}
	g.unsaved, g.stored.writing = map[Stream]bool{}, g.unsaved
	return records, followed
}

func writeRow(ctx context.Context, table store.Table, row *recordRow) error {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	value, err := json.Marshal(rowValue{WrittenMS: time.Now().UnixMilli(), Records: row.records})
	if err != nil {
		return fault.New(fault.KindInternal, "origins.rows", row.key, err)
	}
	var written store.Row
	if row.version == "" {
		written, err = table.PutIfAbsent(ctx, row.key, value)
	} else {
		written, err = table.CompareAndSet(ctx, row.key, row.version, value)
	}
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
