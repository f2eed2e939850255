package mesh

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/store"
)

const (
	// rowPrefix begins the keys of the rows of the entries.
	rowPrefix = "entries/"
	// rowPage is the number of rows that one call reads at most.
	rowPage = 500
	// rowTimeout bounds one call to the table service.
	rowTimeout = time.Second
	// rowInterval is between readings: entries mostly hear of each other from peers.
	rowInterval = 5 * time.Second
	// rowIntervalPerPeer keeps the readings of all entries together at two a second.
	rowIntervalPerPeer = 500 * time.Millisecond
	// rowGap is the least time between readings that meetings with new peers cause.
	rowGap = time.Second
	// firstRowRetry is the first wait after a failed call; rowInterval is the longest.
	firstRowRetry = 500 * time.Millisecond
)

// listedRow is a row that was read.
type listedRow struct {
	id      Identity
	version string
}

// listInterval returns the time between readings.
func listInterval(peers int) time.Duration {
	return max(rowInterval, time.Duration(peers)*rowIntervalPerPeer)
}

// readRowsSoon asks for an early reading.
func (m *Mesh) readRowsSoon() {
	select {
	case m.rowsSoon <- struct{}{}:
	default:
	}
}

// keepRows writes the own row, reads the others and removes those of entries
// that are gone.
func (m *Mesh) keepRows(ctx context.Context) {
	if m.opts.Table == nil {
		return
	}
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstRowRetry, rowInterval
	written, failing := false, false
	for ctx.Err() == nil {
		var err error
		written, err = m.syncRows(ctx, written)
		if err == nil {
			if failing {
				event.Log(m.log, event.EntryRowsBack)
			}
			failing = false
			wait.Reset()
			m.awaitRows(ctx)
			continue
		}
		if !failing && ctx.Err() == nil {
			event.Log(m.log, event.EntryRowsFailed, event.Err(err))
		}
		failing = true
		_ = clock.Sleep(ctx, wait.NextBackOff())
	}
}

// awaitRows waits for the next reading.
func (m *Mesh) awaitRows(ctx context.Context) {
	_ = clock.Sleep(ctx, rowGap)
	timer := time.NewTimer(listInterval(len(m.Connected())) - rowGap)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.rowsSoon:
	}
}

// syncRows writes the own row unless it is written, and takes in all rows. It
// reports whether the own row is as it should be: it may have been removed while
// this entry was cut off, or overwritten by a late write of its last incarnation.
func (m *Mesh) syncRows(ctx context.Context, written bool) (bool, error) {
	if !written {
		if err := m.writeRow(ctx); err != nil {
			return false, err
		}
	}
	rows, err := m.readRows(ctx)
	if err != nil {
		return written, err
	}
	for _, gone := range m.takeRows(rows, time.Now()) {
		if err := m.removeRow(ctx, gone); err != nil {
			return true, err
		}
	}
	return rows[m.self.Name].id == m.self, nil
}

func (m *Mesh) writeRow(ctx context.Context) error {
	value, err := json.Marshal(m.self)
	if err != nil {
		return fault.New(fault.KindInternal, "mesh.row", m.self.Name, err)
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	m.countRowCall()
	_, err = m.opts.Table.Put(ctx, rowPrefix+m.self.Name, value)
	return err
}

func (m *Mesh) readRows(ctx context.Context) (map[string]listedRow, error) {
	rows := map[string]listedRow{}
	after := ""
	for {
		page, err := m.readPage(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, row := range page {
			m.decode(row, rows)
		}
		if len(page) < rowPage {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

func (m *Mesh) readPage(ctx context.Context, after string) ([]store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	m.countRowCall()
	return m.opts.Table.List(ctx, rowPrefix, after, rowPage)
}

func (m *Mesh) decode(row store.Row, rows map[string]listedRow) {
	var id Identity
	name := strings.TrimPrefix(row.Key, rowPrefix)
	err := json.Unmarshal(row.Value, &id)
	if err != nil || id.Name != name {
		event.Log(m.log, event.EntryRowUnreadable, event.Subject(row.Key), event.Err(err))
		return
	}
	rows[name] = listedRow{id: id, version: row.Version}
}

// takeRows takes in all rows and returns the entries whose row this one is to
// remove: the lowest-named removes those that nobody reaches.
func (m *Mesh) takeRows(rows map[string]listedRow, now time.Time) []*member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.list(rows, now)
	gone := m.members.forget(m.claimed, now)
	m.poke()
	if Reader(m.self.Name, m.connected()) != m.self.Name {
		return nil
	}
	return gone
}

// claimed reports whether a peer is connected to an entry. The caller holds mu.
func (m *Mesh) claimed(name string) bool {
	for _, l := range m.links {
		if l.claims[name] {
			return true
		}
	}
	return false
}

// removeRow removes the row as it was read. A row that was written since stays.
func (m *Mesh) removeRow(ctx context.Context, gone *member) error {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	m.countRowCall()
	err := m.opts.Table.Delete(ctx, rowPrefix+gone.id.Name, gone.version)
	if err == nil {
		event.Log(m.log, event.EntryRowRemoved, event.Peer(gone.id.Name))
		return nil
	}
	if fault.Is(err, fault.KindConflict) || fault.Is(err, fault.KindNotFound) {
		return nil // the next reading tells what is there now
	}
	return err
}

func (m *Mesh) countRowCall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.rowCalls++
}
