// Package publish stores the accepted configurations in the platform's table
// service and object store.
//
// One row, the head, refers to the newest version. It is only changed by
// compare-and-set, and that write accepts a version. Each version has a record
// with the delta from the previous version. The record is written before the head
// under its own key, so a change that is not accepted only leaves an unreferenced
// record. Every snapshotInterval versions, a record refers to a snapshot in the
// object store.
package publish

import (
	"context"
	"fmt"
	"sync"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/config"
	"peridotchute.example/store"
)

const (
	snapshotInterval = 32        // versions per snapshot
	maxDeltaBytes    = 256 << 10 // larger records do not fit in a row
	headReadAttempts = 3         // reads of the head to find the outcome of a change
	headRetryDelay   = 100 * time.Millisecond
)

// Store reads and accepts configurations. It is safe for concurrent use.
//
// Invariant: the versions that Read returns never decrease.
type Store struct {
	table   store.Table
	objects store.Objects

	mu     sync.Mutex
	newest *config.Configuration // highest version read or accepted; nil if none
}

// New returns a Store that uses the given table and object store.
func New(table store.Table, objects store.Objects) *Store {
	return &Store{table: table, objects: objects}
}

// Change is a declared configuration to be accepted.
type Change struct {
	Base     uint64                // version that the change is based on; 0 if there was none
	Declared *config.Configuration // its Version and ChangeID are ignored
	ChangeID string                // unique id, which makes retries safe
	Author   string                // operator that made the change, for the history
	At       time.Time
}

// Conflict is the cause of a KindConflict error: another change with the same base
// was accepted first.
type Conflict struct {
	Base    uint64
	Current *config.Configuration
	Changes config.Difference // from the base to the current version
}

// Error returns a message with the versions and their differences.
func (c *Conflict) Error() string {
	return fmt.Sprintf("planned on version %d, but version %d is active; changes since:\n%s", c.Base, c.Current.Version, c.Changes)
}

// Read returns the newest configuration. KindNotFound means that none has been
// accepted yet, KindUnavailable that the platform could not be read. If the
// platform returns a stale head, Read returns the newest known version.
func (s *Store) Read(ctx context.Context) (*config.Configuration, error) {
	h, _, err := s.readHead(ctx)
	known := s.newestKnown()
	if err != nil {
		if known != nil && fault.Is(err, fault.KindNotFound) {
			return known, nil
		}
		return nil, err
	}
	if known != nil && h.Version <= known.Version {
		return known, nil
	}
	c, err := s.load(ctx, h.Version, h.ChangeID, known)
	if err != nil {
		return nil, err
	}
	return s.setNewest(c), nil
}

// SetKnown stores c, received from another process, as the newest known version
// unless a newer one is known. Later reads only fetch the deltas since then.
func (s *Store) SetKnown(c *config.Configuration) { s.setNewest(c) }

// Version returns the given accepted version. KindNotFound means that it was never
// accepted.
func (s *Store) Version(ctx context.Context, version uint64) (*config.Configuration, error) {
	if known := s.newestKnown(); known != nil && known.Version == version {
		return known, nil
	}
	chain, err := s.chain(ctx, version)
	if err != nil {
		return nil, err
	}
	if len(chain) == 0 || chain[0].Version != version {
		return nil, fault.Newf(fault.KindNotFound, "config.version", "", "version %d was never accepted", version)
	}
	return s.load(ctx, version, chain[0].ChangeID, nil)
}

func (s *Store) newestKnown() *config.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

// setNewest makes c the newest known version unless a newer one is known, and
// returns the newest.
func (s *Store) setNewest(c *config.Configuration) *config.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest == nil || c.Version > s.newest.Version {
		s.newest = c
	}
	return s.newest
}

func (s *Store) readHead(ctx context.Context) (head, store.Row, error) {
	row, err := s.table.Get(ctx, headKey)
	if err != nil {
		return head{}, store.Row{}, err
	}
	h, err := decode[head](row)
	return h, row, err
}
