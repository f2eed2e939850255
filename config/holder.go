package config

import (
	"sync"
	"sync/atomic"
)

// maxDeltas is the number of recent deltas that a Holder keeps.
const maxDeltas = 16

// Holder stores the active configuration of one process and the most recent
// deltas. It is safe for concurrent use.
//
// Invariant: the active version never decreases.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Index]
	changed chan struct{}
	deltas  []Delta // consecutive, oldest first
}

// NewHolder returns a holder without a configuration.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{})}
}

// Current returns the index of the active configuration, or nil if there is none
// yet.
func (h *Holder) Current() *Index { return h.current.Load() }

// Version returns the active version, or 0 if there is none yet.
func (h *Holder) Version() uint64 {
	if x := h.Current(); x != nil {
		return x.Configuration.Version
	}
	return 0
}

// SetIfNewer makes c the active configuration if its version is higher than the active
// one, and reports whether it did.
func (h *Holder) SetIfNewer(c *Configuration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Version <= h.Version() {
		return false
	}
	if current := h.Current(); current != nil {
		h.deltas = append(h.deltas, NewDelta(current.Configuration, c))
		h.deltas = h.deltas[max(0, len(h.deltas)-maxDeltas):]
	}
	h.current.Store(NewIndex(c))
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the active configuration changes
// next.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Since returns the deltas from the given version to the active one, or false if
// they are no longer stored.
func (h *Holder) Since(version uint64) ([]Delta, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, d := range h.deltas {
		if d.From == version {
			return append([]Delta(nil), h.deltas[i:]...), true
		}
	}
	return nil, false
}
