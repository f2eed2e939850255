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
	// rowPrefix is the key prefix of the entries' rows.
	rowPrefix = "entries/"
	// rowPageSize is the maximum number of rows read by one call.
	rowPageSize = 500
	// rowTimeout is the timeout of one call to the table service.
	rowTimeout = time.Second
	// rowInterval is the minimum interval between regular reads of the rows.
	// Entries usually learn about each other from peers.
	rowInterval = 5 * time.Second
	// rowIntervalPerPeer limits the reads of all entries to two per second in total.
	rowIntervalPerPeer = 500 * time.Millisecond
	// minRowReadInterval is the minimum interval between reads triggered by the
	// discovery of new peers.
	minRowReadInterval = time.Second
	// minRowRetry is the initial retry delay after a failed call; rowInterval is
	// the maximum.
	minRowRetry = 500 * time.Millisecond
)

// listedRow is a decoded row.
type listedRow struct {
	id      Identity
	version string
}

// rowReadInterval returns the interval between regular reads.
func rowReadInterval(peers int) time.Duration {
	return max(rowInterval, time.Duration(peers)*rowIntervalPerPeer)
}

// requestRowRead requests a read before the next regular one.
func (m *Mesh) requestRowRead() {
	select {
	case m.rowsWake <- struct{}{}:
	default:
	}
}

// maintainRows writes this entry's row, reads all rows and removes those of
// expired entries, until ctx ends.
func (m *Mesh) maintainRows(ctx context.Context) {
	if m.opts.Table == nil {
		return
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRowRetry, rowInterval
	written, failing := false, false
	for ctx.Err() == nil {
		var err error
		written, err = m.syncRows(ctx, written)
		if err == nil {
			if failing {
				event.Log(m.log, event.EntryRowsAvailable)
			}
			failing = false
			retry.Reset()
			m.awaitNextRowRead(ctx)
			continue
		}
		if !failing && ctx.Err() == nil {
			event.Log(m.log, event.EntryRowsFailed, event.Err(err))
		}
		failing = true
		_ = clock.Sleep(ctx, retry.NextBackOff())
	}
}

// awaitNextRowRead waits until the next regular or requested read, but at least
// minRowReadInterval.
func (m *Mesh) awaitNextRowRead(ctx context.Context) {
	_ = clock.Sleep(ctx, minRowReadInterval)
	timer := time.NewTimer(rowReadInterval(len(m.Connected())) - minRowReadInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.rowsWake:
	}
}

// syncRows writes this entry's row unless written is set, then applies all rows.
// It reports whether this entry's row is correct. Other entries may have removed
// it during a partition, or a late write of the previous incarnation may have
// overwritten it.
func (m *Mesh) syncRows(ctx context.Context, written bool) (bool, error) {
	if err := m.findFormer(ctx); err != nil {
		return false, err
	}
	if !written {
		if err := m.writeRow(ctx); err != nil {
			return false, err
		}
	}
	began := time.Now()
	rows, err := m.readRows(ctx)
	if err != nil {
		return written, err
	}
	for _, expired := range m.applyRows(rows, time.Now()) {
		if err := m.removeRow(ctx, expired); err != nil {
			return true, err
		}
	}
	m.mu.Lock()
	m.rowsReadAt = began
	m.mu.Unlock()
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
		if len(page) < rowPageSize {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

func (m *Mesh) readPage(ctx context.Context, after string) ([]store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	m.countRowCall()
	return m.opts.Table.List(ctx, rowPrefix, after, rowPageSize)
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

// applyRows updates the members from all rows and returns the entries whose rows
// this entry must remove. The lowest-named of the connected entries removes the
// rows of unreachable ones.
func (m *Mesh) applyRows(rows map[string]listedRow, now time.Time) []*member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rowsRead = true
	m.members.mergeRows(rows, now)
	expired := m.members.expire(m.peerConnectedTo, now)
	m.wakeScheduler()
	if RegistryReader(m.self.Name, m.connectedPeers()) != m.self.Name {
		return nil
	}
	return expired
}

// peerConnectedTo reports whether any peer is connected to an entry. The caller
// holds mu.
func (m *Mesh) peerConnectedTo(name string) bool {
	for _, l := range m.links {
		if l.peerLinks[name] {
			return true
		}
	}
	return false
}

// removeRow removes the row of an expired entry unless the row has changed since
// it was read.
func (m *Mesh) removeRow(ctx context.Context, expired *member) error {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	m.countRowCall()
	err := m.opts.Table.Delete(ctx, rowPrefix+expired.id.Name, expired.version)
	if err == nil {
		event.Log(m.log, event.EntryRowRemoved, event.Peer(expired.id.Name))
		return nil
	}
	if fault.Is(err, fault.KindConflict) || fault.Is(err, fault.KindNotFound) {
		return nil // the next read returns the current state
	}
	return err
}

func (m *Mesh) countRowCall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.rowCalls++
}
