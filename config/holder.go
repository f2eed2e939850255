package config

import (
	"sync"
	"sync/atomic"
)

// Holder keeps the configuration in force in one process.
//
// Invariant: the version held never decreases.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Index]
	changed chan struct{}
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
