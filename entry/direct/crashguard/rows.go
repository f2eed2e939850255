package crashguard

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"peridotchute.example/admission/quarantine"
	"peridotchute.example/common/clock"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/store"
)

const (
	rowPrefix     = "quarantine/" // of the keys of all rows; the ID of a part follows,
	requestPrefix = "request/"    // or this and the digest of a request

	rowTimeout  = time.Second // of one call
	maxRows     = 500         // read at a start
	minRowRetry = 500 * time.Millisecond
	maxRowRetry = 5 * time.Second

	// Rows beyond these limits are from another writer: an entry ends a quarantine after
	// quarantine.TTL, and clocks differ by less than a day.
	maxChanges = 1 << 30
	maxAhead   = 24 * time.Hour

	// readInterval is how often an entry that is not connected to all others reads the
	// rows.
	readInterval = 5 * time.Second
)

// causeRow is the value stored in the row of a cause. Its time is one of the wall clock: an
// error of seconds does not matter for quarantine.TTL.
type causeRow struct {
	Changes int   `json:"changes"`
	UntilMS int64 `json:"until_ms"` // Unix time
}

// RunRows reads what is quarantined from the store at the start, and while this entry is
// not connected to all others, and writes those that it finds, until ctx is done.
func (g *Guard) RunRows(ctx context.Context) {
	if g.opts.Table == nil {
		return
	}
	g.retry(ctx, event.QuarantineNotRead, g.readRows)
	tick := time.NewTicker(readInterval)
	defer tick.Stop()
	for {
		select {
		case <-g.save:
			g.retry(ctx, event.QuarantineNotStored, g.writeRows)
		case <-tick.C:
			if !g.opts.Peers.Complete() {
				g.retry(ctx, event.QuarantineNotRead, g.readRows)
			}
		case <-ctx.Done():
			return
		}
	}
}

// retry calls f until it succeeds or ctx is done. It logs the first failure.
func (g *Guard) retry(ctx context.Context, failed event.Event, f func(context.Context) error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minRowRetry, maxRowRetry
	for first := true; ctx.Err() == nil; first = false {
		err := f(ctx)
		if err == nil {
			return
		}
		if first && ctx.Err() == nil {
			event.Log(g.opts.Events, failed, event.Err(err))
		}
		_ = clock.Sleep(ctx, pause.NextBackOff())
	}
}

func (g *Guard) readRows(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	rows, err := g.opts.Table.List(ctx, rowPrefix, "", maxRows)
	if err != nil {
		return err
	}
	for _, row := range rows {
		if err := g.applyRow(ctx, row); err != nil {
			return err
		}
	}
	return nil
}

// applyRow merges the entry of a row. It removes the row if it expired long ago.
func (g *Guard) applyRow(ctx context.Context, row store.Row) error {
	e, err := decodeRow(row)
	if err != nil {
		event.Log(g.opts.Events, event.QuarantineNotRead, event.Subject(row.Key), event.Err(err))
		return nil
	}
	now := time.Now()
	if now.Sub(e.Until) > quarantine.TTL {
		err := g.opts.Table.Delete(ctx, row.Key, row.Version)
		if fault.Is(err, fault.KindConflict) || fault.Is(err, fault.KindNotFound) {
			return nil // another entry has changed it
		}
		return err
	}
	e.Until = now.Add(e.Until.Sub(now)) // from here on a reading of the monotonic clock
	g.mu.Lock()
	defer g.mu.Unlock()
	g.merge(e, sourceStore, now)
	return nil
}

// writeRows writes the rows of all causes that have changed here.
func (g *Guard) writeRows(ctx context.Context) error {
	for _, e := range g.unsavedEntries() {
		if err := g.writeRow(ctx, e); err != nil {
			return err
		}
		g.mu.Lock()
		if g.unsaved[e.Cause] == e {
			delete(g.unsaved, e.Cause)
		}
		g.mu.Unlock()
	}
	return nil
}

func (g *Guard) unsavedEntries() []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.unsaved))
}

// writeRow writes the row of an entry, unless the row has as many changes already. It reads
// the row again if another entry changes it meanwhile.
func (g *Guard) writeRow(ctx context.Context, e quarantine.Entry) error {
	for {
		err := g.tryWriteRow(ctx, e)
		if !fault.Is(err, fault.KindConflict) || ctx.Err() != nil {
			return err
		}
	}
}

func (g *Guard) tryWriteRow(ctx context.Context, e quarantine.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	key := rowKey(e.Cause)
	value, err := json.Marshal(causeRow{Changes: e.Changes, UntilMS: e.Until.UnixMilli()})
	if err != nil {
		return fault.New(fault.KindInternal, "crashguard.row", key, err)
	}
	stored, err := g.opts.Table.Get(ctx, key)
	if fault.Is(err, fault.KindNotFound) {
		_, err = g.opts.Table.PutIfAbsent(ctx, key, value)
		return err
	}
	if err != nil {
		return err
	}
	if known, err := decodeRow(stored); err == nil && known.Changes >= e.Changes && known.Until.After(time.Now()) {
		return nil
	}
	_, err = g.opts.Table.CompareAndSet(ctx, key, stored.Version, value)
	return err
}

func rowKey(c quarantine.Cause) string {
	if c.Kind == quarantine.WholeRequest {
		return rowPrefix + requestPrefix + decisionlog.FormatDigest(c.ID)
	}
	return rowPrefix + decisionlog.FormatPart(c.ID)
}

func decodeRow(row store.Row) (quarantine.Entry, error) {
	id, isRequest := strings.CutPrefix(strings.TrimPrefix(row.Key, rowPrefix), requestPrefix)
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return quarantine.Entry{}, fault.New(fault.KindInvalid, "crashguard.row", row.Key, err)
	}
	var value causeRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return quarantine.Entry{}, fault.New(fault.KindInvalid, "crashguard.row", row.Key, err)
	}
	until := time.UnixMilli(value.UntilMS)
	if value.Changes < 1 || value.Changes > maxChanges || time.Until(until) > maxAhead {
		return quarantine.Entry{}, fault.Newf(fault.KindInvalid, "crashguard.row", row.Key, "no entry writes these numbers")
	}
	cause := CauseState{ID: n, Request: isRequest}.cause()
	return quarantine.Entry{Cause: cause, Changes: value.Changes, Until: until}, nil
}
