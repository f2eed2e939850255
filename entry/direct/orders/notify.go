package orders

import (
	"context"
	"time"
)

// notifyInterval is the least time between two wake-ups of the goroutines that wait for
// a change: each of them searches all servers again.
const notifyInterval = 20 * time.Millisecond

// runNotifier wakes the goroutines that wait for a change of the placement state, until
// ctx ends.
func (m *Manager) runNotifier(ctx context.Context) {
	for {
		select {
		case <-m.notify:
		case <-ctx.Done():
			return
		}
		m.mu.Lock()
		m.notifyChangedLocked()
		m.mu.Unlock()
		if !sleep(ctx, notifyInterval) {
			return
		}
	}
}

// markChanged has the goroutines that wait for a change of the placement state woken soon.
func (m *Manager) markChanged() {
	select {
	case m.notify <- struct{}{}:
	default:
	}
}

// notifyChangedLocked wakes the goroutines that wait for a change of the placement
// state. m.mu is held.
func (m *Manager) notifyChangedLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}
