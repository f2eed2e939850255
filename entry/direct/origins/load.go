package origins

import (
	"context"
	"encoding/json"
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
	minLoadInterval = time.Second
)

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
