package config

import (
	"sync"
	"sync/atomic"
)

// keptDeltas bounds the memory of recent changes.
const keptDeltas = 16

// Holder keeps the configuration in force in one process, and the latest
// changes that led to it.
//
// Invariant: the version held never decreases.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Index]
	changed chan struct{}
	deltas  []Delta // each leads to the version that the next one starts from
}

// NewHolder returns a holder with no configuration.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{})}
}

// Current returns the index in force, or nil before the first one.
func (h *Holder) Current() *Index { return h.current.Load() }

// Version returns the version in force, 0 before the first one.
func (h *Holder) Version() uint64 {
	if x := h.Current(); x != nil {
		return x.Configuration.Version
	}
	return 0
}

// Offer puts c in force when its version is higher than the one held and
// reports whether it did.
func (h *Holder) Offer(c *Configuration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Version <= h.Version() {
		return false
	}
	if held := h.Current(); held != nil {
		h.deltas = append(h.deltas, NewDelta(held.Configuration, c))
		h.deltas = h.deltas[max(0, len(h.deltas)-keptDeltas):]
	}
	h.current.Store(NewIndex(c))
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Since returns the changes that lead from a version to the one held, or false
// when they are no longer known.
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
