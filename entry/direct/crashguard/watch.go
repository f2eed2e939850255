package crashguard

import (
	"context"
	"time"

	"peridotchute.example/admission/quarantine"
)

// QuarantinedError says that a request holds a cause on which servers crash.
type QuarantinedError struct {
	Cause     quarantine.Cause
	Remaining time.Duration // until the quarantine ends
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return "servers crash on " + loggedCause(e.Cause).String()
}

// watch is a request in progress.
type watch struct {
	contents quarantine.Contents
	begun    func() bool
	cancel   context.CancelCauseFunc
}

// Watch returns a context that is canceled with a *QuarantinedError as its cause when
// something that the request holds is quarantined, unless its answer has begun by then. It
// is canceled at once if something is quarantined already. The caller must call stop.
func (g *Guard) Watch(ctx context.Context, c quarantine.Contents, begun func() bool) (watched context.Context, stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	w := &watch{contents: c, begun: begun, cancel: cancel}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(c); err != nil {
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

// Check returns a *QuarantinedError if the request holds something quarantined, and
// otherwise nil.
func (g *Guard) Check(c quarantine.Contents) *QuarantinedError {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.check(c)
}

func (g *Guard) check(c quarantine.Contents) *QuarantinedError {
	now := time.Now()
	e, ok := g.list.Find(c, now)
	if !ok {
		return nil
	}
	return &QuarantinedError{Cause: e.Cause, Remaining: e.Until.Sub(now)}
}

// cancelWatched ends the requests with the cause whose answers have not begun. The caller
// holds mu.
func (g *Guard) cancelWatched(e quarantine.Entry, now time.Time) {
	for w := range g.watches {
		if w.contents.Has(e.Cause) && !w.begun() {
			w.cancel(&QuarantinedError{Cause: e.Cause, Remaining: e.Until.Sub(now)})
		}
	}
}
