package view

import (
	"context"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
)

// maxConfigChecks is how many calls of checkConfig may be under way. One that is never
// answered takes as long as two or three reads of the registrations are apart, and must not
// delay the next one.
const maxConfigChecks = 3

// startConfigCheck starts checkConfig unless too many are under way.
func (w *Watcher) startConfigCheck(ctx context.Context) {
	w.checks.TryGo(func() error {
		w.checkConfig(ctx)
		return nil
	})
}

// checkConfig asks the store for a configuration that the call that waits for the next one
// has not returned, without waiting. An entry calls it after each read of the registrations
// that the store has answered: a silence that is shorter than the time between two reads may
// take the waiting call alone.
func (w *Watcher) checkConfig(ctx context.Context) {
	position, waiting := w.wait.underWay()
	if !waiting {
		return
	}
	s, err := w.nextConfig(ctx, position, 0)
	switch {
	case ctx.Err() != nil:
		return
	case fault.Is(err, fault.KindConflict):
		w.renewMissedWait() // it returns the conflict, and the configuration is read whole
		return
	case err != nil:
		event.Log(w.logger, event.ConfigFailed, event.Err(err))
		if !fault.Is(err, fault.KindInvalid) {
			return
		}
	}
	w.recordConfigRead()
	if s.Config != nil && w.applyRead(s, decisionlog.SourceStoreCheck) {
		defer w.renewMissedWait()
	}
	w.wait.advance(s.Position)
}
