package mesh

import (
	"context"
	"time"

	"peridotchute.example/common/fault"
)

// formerRow says whether the store had a row of this entry's name before this process wrote its
// own. Rows of entries that are out of reach are removed after expireAfter.
type formerRow int

const (
	formerUnknown formerRow = iota
	formerNone
	formerFound
)

// findFormer looks for the row that an earlier process of this entry left, unless it has been
// looked for. It must succeed before this process writes its own.
func (m *Mesh) findFormer(ctx context.Context) error {
	m.mu.Lock()
	known := m.former != formerUnknown
	m.mu.Unlock()
	if known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	m.countRowCall()
	_, err := m.opts.Table.Get(ctx, rowPrefix+m.self.Name)
	former := formerFound
	if fault.Is(err, fault.KindNotFound) {
		former, err = formerNone, nil
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.former = former
	return nil
}

// Restarted reports whether an earlier process of this entry may have run within expireAfter
// before this one started. It is true until the store has been read.
func (m *Mesh) Restarted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.former != formerNone
}

// Members returns the names of the other entries, those out of reach included until their rows
// are removed, and when the last complete read of the rows began, zero if there was none.
func (m *Mesh) Members() (names []string, read time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.names(), m.rowsReadAt
}

// RefreshMembers has the rows read soon.
func (m *Mesh) RefreshMembers() { m.requestRowRead() }
