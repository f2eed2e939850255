package origins

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"peridotchute.example/common/event"
)

const (
	// abandonedTTL is the age at which any entry removes a row. It exceeds rowTTL by more
	// than the wall clocks of two entries differ.
	abandonedTTL = 5 * time.Minute

	// loadTimeout bounds the read of all records from the store.
	loadTimeout = time.Second

	maxLoadedRows   = 10_000 // in one partition
	maxRemovedRows  = 50     // abandoned ones, in one read
	minLoadInterval = 500 * time.Millisecond
)

// StoreRead says whether the records in the store were read for a search.
type StoreRead int

// The values of StoreRead.
const (
	StoreNotNeeded StoreRead = iota
	StoreWasRead
	StoreFailed
	StoreKept // read less than minLoadInterval before, and not again
)

// String returns the name of the value in logs.
func (r StoreRead) String() string { return [...]string{"not needed", "read", "failed", "kept"}[r] }

// storedRecords is the state of the records in the store, as this entry knows it.
type storedRecords struct {
	services map[string]bool // whose records are written to the store
	writing  map[Stream]bool // records being written
	records  [partitions]map[Stream]Record
	loaded   time.Time // when the last read of records began
	read     time.Time // when the last one began that read all records
	failing  bool      // it failed
}

func (r *storedRecords) store(service string, stored bool) {
	if r.services == nil {
		r.services = map[string]bool{}
	}
	r.services[service] = stored
}

// find returns the newest record of a stream.
func (r *storedRecords) find(s Stream) (newest Record, found bool) {
	for _, records := range r.records {
		if known, ok := records[s]; ok && (!found || known.Revision > newest.Revision) {
			newest, found = known, true
		}
	}
	return newest, found
}

// storedCount returns how many records are known from the store.
func (g *Registry) storedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, records := range g.stored.records {
		n += len(records)
	}
	return n
}

// load finds the record of a stream in the store. It reads all records, unless that was
// tried less than minLoadInterval ago.
func (g *Registry) load(ctx context.Context, s Stream) (newest Record, found bool, read StoreRead) {
	done := g.loads.DoChan("", func() (any, error) {
		g.mu.Lock()
		recent := time.Since(g.stored.loaded) < minLoadInterval
		if !recent {
			g.stored.loaded = time.Now()
		}
		g.mu.Unlock()
		if recent {
			return StoreKept, nil
		}
		return g.loadAll(), nil
	})
	read = StoreFailed
	select {
	case result := <-done:
		read = result.Val.(StoreRead)
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	newest, found = g.stored.find(s)
	return newest, found, read
}

// loadAll reads all records in the store. What is known of a partition that cannot be read
// is kept.
func (g *Registry) loadAll() StoreRead {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	var wait sync.WaitGroup
	var errs [partitions]error
	for i := range partitions {
		wait.Go(func() {
			records, err := g.loadPartition(ctx, partitionName(i))
			errs[i] = err
			if err == nil {
				g.mu.Lock()
				g.stored.records[i] = records
				g.mu.Unlock()
			}
		})
	}
	wait.Wait()
	err := errors.Join(errs[:]...)
	g.mu.Lock()
	failedBefore := g.stored.failing
	g.stored.failing = err != nil
	if err == nil {
		g.stored.read = began
	}
	g.mu.Unlock()
	if err != nil && !failedBefore {
		event.Log(g.opts.Log, event.StreamRecordsNotRead, event.Err(err))
	}
	if err != nil {
		return StoreFailed
	}
	return StoreWasRead
}

// loadPartition reads the records in one partition. It removes abandoned rows.
func (g *Registry) loadPartition(ctx context.Context, name string) (map[Stream]Record, error) {
	table := g.opts.Table.Partition(name)
	rows, err := table.List(ctx, recordPrefix, "", maxLoadedRows)
	if err != nil {
		return nil, err
	}
	records := map[Stream]Record{}
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
		value.Records.each(func(r Record) {
			if known, ok := records[r.Stream]; !ok || r.Revision > known.Revision {
				records[r.Stream] = r
			}
		})
	}
	return records, nil
}
