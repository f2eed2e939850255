package origins

import (
	"context"
	"time"

	"peridotchute.example/common/clock"
)

// maxDeriveTime bounds the reads of the store for the derivation of a version.
const maxDeriveTime = minLoadInterval + loadTimeout

// derive finds the version of a stream without a record from the splits. It reads the records and
// the splits in the store, from a moment on at which the client had an event of the stream: a
// record that is not there then was never needed.
func (g *Registry) derive(ctx context.Context, s Stream, artifact string, began time.Time, found *Finding) {
	if g.derivable(s, artifact) == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxDeriveTime)
	defer cancel()
	found.Store = g.readSince(ctx, began)
	found.Records = g.storedCount()
	if found.Store != StoreWasRead {
		return
	}
	g.mu.Lock()
	r, recorded := g.stored.find(s)
	g.mu.Unlock()
	if recorded {
		found.improve(reply{Record: r, source: sourceStore})
		return
	}
	if software := g.derivable(s, artifact); software != "" {
		found.Origin, found.Software, found.Source = Derived, software, sourceSplit
	}
}

// derivable returns the version that all splits of the service give to a stream, or "" if that is
// none, or if another service has a stream of the same ID.
func (g *Registry) derivable(s Stream, artifact string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.usageOf(s.Service)
	if s.ID == "" || !u.current() || g.elsewhere(s) {
		return ""
	}
	return assigned(u.live(), artifact, s.ID)
}

// elsewhere reports whether a service has a record of a stream of the same ID: the route moved
// from it to this one. The caller holds mu.
func (g *Registry) elsewhere(s Stream) bool {
	now := time.Now()
	for service := range g.versions.seen {
		other := Stream{Service: service, ID: s.ID}
		if other == s {
			continue
		}
		_, known := g.table.find(other, now)
		if _, stored := g.stored.find(other); known || stored {
			return true
		}
	}
	return false
}

// readSince returns once all records in the store, and the rows of the services, have been read by
// reads that began after the given time, or cannot be.
func (g *Registry) readSince(ctx context.Context, began time.Time) StoreRead {
	for g.recordsRead().Before(began) {
		if !g.reload(ctx) {
			return StoreFailed
		}
	}
	for g.rowsRead().Before(began) {
		row := g.loads.DoChan("rows", func() (any, error) { return nil, g.readUsages(context.Background()) })
		select {
		case result := <-row:
			if result.Err != nil {
				return StoreFailed
			}
		case <-ctx.Done():
			return StoreFailed
		}
	}
	return StoreWasRead
}

// reload reads the records once more, when that is allowed again. It reports whether that worked.
func (g *Registry) reload(ctx context.Context) bool {
	g.mu.Lock()
	wait := minLoadInterval - time.Since(g.stored.loaded)
	g.mu.Unlock()
	if clock.Sleep(ctx, wait) != nil {
		return false
	}
	_, _, read := g.load(ctx, Stream{})
	return read != StoreFailed
}

// recordsRead returns when the last read of all records began.
func (g *Registry) recordsRead() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stored.read
}

// rowsRead returns when the last read of the rows of all services began.
func (g *Registry) rowsRead() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usagesReadAt
}
