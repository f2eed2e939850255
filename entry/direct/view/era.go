package view

import (
	"context"
	"errors"
	"sync"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
)

// errNewEra is the cause with which a wait for a configuration is canceled when the store
// has returned from an older copy.
var errNewEra = errors.New("the store has returned from an older copy")

// storeEra is the newest era of the store that this entry knows of, from its own calls or
// from other entries.
type storeEra struct {
	mu     sync.Mutex
	newest int64
	risen  chan struct{} // closed and replaced when newest rises
}

func newStoreEra() *storeEra { return &storeEra{risen: make(chan struct{})} }

// observe records that the store was or is in the given era.
func (e *storeEra) observe(era int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.newest {
		return
	}
	e.newest = era
	close(e.risen)
	e.risen = make(chan struct{})
}

// later reports whether a later era than the given one is known, and returns a channel that
// is closed when the newest era rises.
func (e *storeEra) later(era int64) (bool, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest > era, e.risen
}

// watch returns a context that is canceled with errNewEra once a later era than the given
// one is known. The caller must call stop.
func (e *storeEra) watch(ctx context.Context, era int64) (watched context.Context, stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	known, risen := e.later(era)
	if known {
		cancel(errNewEra)
		return watched, func() {}
	}
	go func() {
		select {
		case <-risen:
			cancel(errNewEra)
		case <-watched.Done():
		}
	}()
	return watched, func() { cancel(nil) }
}

// nextConfig waits up to wait for a configuration written after the position. The error has
// KindConflict if the store has returned from an older copy since: what was written after
// that may have an earlier version than the position, so that the wait misses it.
func (w *Watcher) nextConfig(ctx context.Context, position fleet.Position, wait time.Duration) (fleet.Snapshot, error) {
	watched, stop := w.era.watch(ctx, position.Era)
	defer stop()
	s, err := w.directory.NextConfig(watched, position, wait)
	if err == nil {
		w.era.observe(s.Position.Era)
	}
	if later, _ := w.era.later(position.Era); later && ctx.Err() == nil {
		return fleet.Snapshot{}, fault.New(fault.KindConflict, "view.config", "", errNewEra)
	}
	return s, err
}

// wholeConfig reads the active configuration. The error has KindConflict if the answer is of
// an earlier era of the store.
func (w *Watcher) wholeConfig(ctx context.Context) (fleet.Snapshot, error) {
	s, err := w.directory.Config(ctx)
	if err != nil && !fault.Is(err, fault.KindNotFound) && !fault.Is(err, fault.KindInvalid) {
		return s, err
	}
	w.era.observe(s.Position.Era)
	if later, _ := w.era.later(s.Position.Era); later {
		return fleet.Snapshot{}, fault.New(fault.KindConflict, "view.config", "", errNewEra)
	}
	return s, err
}

// storeReturned records that the newest registrations are from an older copy of the store.
// Registrations written since that copy are missing until their servers repeat them, as after
// an outage. Servers that were known to leave still do, whatever the copy says. The caller
// holds mu.
func (w *Watcher) storeReturned(reg fleet.Registry, old *fleet.View, requestedAt time.Time) {
	now := time.Now()
	w.log.Write(decisionlog.StoreWentBack{Version: reg.Position.Version, Previous: w.position.Version})
	w.reads.begin(outage{start: requestedAt, end: now})
	w.logOutage(decisionlog.SourceStore, "the store has returned from an older copy")
	for _, s := range old.Servers {
		if s.Draining {
			w.leaving.add(s.Incarnation(), s.LeavingSince, now)
		}
	}
}
