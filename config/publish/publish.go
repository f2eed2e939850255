// Package publish keeps the accepted configurations in the platform's service.
//
// One row, the head, names the newest version; it changes by compare-and-set
// alone, which is the moment of acceptance. Each version has a record with the
// delta from the version before, written ahead of the head under a key of its
// own, so that a change which loses leaves nothing but an unreferenced record.
// Every few versions a record refers to a snapshot in the object store.
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
	snapshotEvery = 32        // versions between two snapshots
	maxDeltaBytes = 256 << 10 // a larger record does not fit into a row
	headAttempts  = 3         // reads of the head after a write whose answer was lost
	headRetry     = 100 * time.Millisecond
)

// Store reads and accepts configurations. It is safe for concurrent use.
//
// Invariant: the versions that Read returns never decrease.
type Store struct {
	table   store.Table
	objects store.Objects

	mu     sync.Mutex
	newest *config.Configuration // highest version read or accepted; nil before the first
}

// New returns a store on the platform's table service and object store.
func New(table store.Table, objects store.Objects) *Store {
	return &Store{table: table, objects: objects}
}

// Change is a declared configuration to be accepted.
type Change struct {
	Base     uint64                // version that the operator planned on; 0 when there was none
	Declared *config.Configuration // its Version and ChangeID are ignored
	ChangeID string                // names the change, so that it can be repeated safely
	Author   string                // operator, for the history
	At       time.Time
}

// Conflict is the cause of a KindConflict: another change was accepted first.
type Conflict struct {
	Base    uint64
	Current *config.Configuration
	Changes config.Difference // from the base to the current version
}

// Error formats the versions and the difference.
func (c *Conflict) Error() string {
	return fmt.Sprintf("planned on version %d, but version %d is in force; changed since:\n%s", c.Base, c.Current.Version, c.Changes)
}

// Read returns the newest configuration. KindNotFound means that none was
// accepted yet, KindUnavailable that the platform could not be read. A stale
// answer of the platform gives the version already known.
func (s *Store) Read(ctx context.Context) (*config.Configuration, error) {
	h, _, err := s.readHead(ctx)
	known := s.known()
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
	return s.advance(c), nil
}

// Learn tells the store a version that came from elsewhere, so that reading
// starts from it.
func (s *Store) Learn(c *config.Configuration) { s.advance(c) }

// Version returns one accepted version. KindNotFound means that there is none.
func (s *Store) Version(ctx context.Context, version uint64) (*config.Configuration, error) {
	if known := s.known(); known != nil && known.Version == version {
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

func (s *Store) known() *config.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

// advance keeps the higher of c and what is known, and returns it.
func (s *Store) advance(c *config.Configuration) *config.Configuration {
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
