package crashguard

import (
	"context"
	"fmt"
	"slices"
	"time"

	"peridotchute.example/admission/quarantine"
	"peridotchute.example/common/decisionlog"
)

// QuarantinedError says that a request has a part on which servers crash.
type QuarantinedError struct {
	Part      uint64
	Remaining time.Duration // until the quarantine ends
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("servers crash on prompt part %s", decisionlog.FormatPart(e.Part))
}

// watch is a request in progress.
type watch struct {
	parts  []uint64
	begun  func() bool
	cancel context.CancelCauseFunc
}

// Watch returns a context that is canceled with a *QuarantinedError as its cause when a
// part of the request is quarantined, unless its answer has begun by then. It is canceled
// at once if a part is quarantined already. The caller must call stop.
func (g *Guard) Watch(ctx context.Context, parts []uint64, begun func() bool) (watched context.Context, stop func()) {
	if len(parts) == 0 {
		return ctx, func() {}
	}
	watched, cancel := context.WithCancelCause(ctx)
	w := &watch{parts: parts, begun: begun, cancel: cancel}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(parts); err != nil {
		cancel(err)
		return watched, func() {}
	}
	g.watches[w] = struct{}{}
	return watched, func() {
		g.mu.Lock()
		delete(g.watches, w)
		g.mu.Unlock()
		cancel(nil)
	}
}

// Check returns a *QuarantinedError if a part is quarantined, and otherwise nil.
func (g *Guard) Check(parts []uint64) *QuarantinedError {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.check(parts)
}

func (g *Guard) check(parts []uint64) *QuarantinedError {
	now := time.Now()
	e, ok := g.list.Find(parts, now)
	if !ok {
		return nil
	}
	return &QuarantinedError{Part: e.Part, Remaining: e.Until.Sub(now)}
}

// cancelWatched ends the requests with the part whose answers have not begun. The caller
// holds mu.
func (g *Guard) cancelWatched(e quarantine.Entry, now time.Time) {
	for w := range g.watches {
		if slices.Contains(w.parts, e.Part) && !w.begun() {
			w.cancel(&QuarantinedError{Part: e.Part, Remaining: e.Until.Sub(now)})
		}
	}
}
