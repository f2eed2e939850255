package view

import (
	"context"
	"errors"
	"sync"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

const (
	// waitLength is how long one call waits for the next configuration.
	waitLength = 20 * time.Second

	// renewStagger is the delay of a renewed wait per entry of lower rank. All entries find
	// their waits in doubt at once, and the store limits the rate of all calls together.
	renewStagger = 5 * time.Millisecond
)

var errRenewed = errors.New("the wait is begun anew")

// configWait is the state of the call that waits for the next configuration.
//
// Invariant: the configuration in use is the newest readable one up to position.
type configWait struct {
	mu       sync.Mutex
	check    waitCheck
	position fleet.Position // in the history of the configuration, up to which it is known
	renew    func()         // ends the call under way
	rank     func() int
}

// StaggerBy sets the function that returns the rank of this entry among all, by which
// renewed waits are spread. It must be called before the Run methods.
func (w *Watcher) StaggerBy(rank func() int) { w.wait.rank = rank }

// ConfigDoubt returns for how long the call that waits for the next configuration has been
// in doubt; zero while it is not.
func (w *Watcher) ConfigDoubt() time.Duration {
	w.wait.mu.Lock()
	defer w.wait.mu.Unlock()
	return w.wait.check.doubted(time.Now())
}

// waitForConfig waits for a configuration written after the known position. It begins the
// call anew when that may be lost.
func (w *Watcher) waitForConfig(ctx context.Context) (fleet.Snapshot, error) {
	for {
		callCtx, cancel := context.WithCancelCause(ctx)
		position := w.wait.begin(func() { cancel(errRenewed) })
		s, err := w.nextConfig(callCtx, position, waitLength)
		w.wait.end()
		renewed := errors.Is(context.Cause(callCtx), errRenewed)
		cancel(nil)
		if err == nil || !renewed {
			return s, err
		}
	}
}

// begin starts a wait, which renew ends, and returns the position to wait from.
func (c *configWait) begin(renew func()) fleet.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renew = renew
	c.check.begin(time.Now())
	return c.position
}

func (c *configWait) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check.end()
}

// underWay returns the position up to which the configuration is known, and whether a call
// waits for the next one.
func (c *configWait) underWay() (fleet.Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position, c.check.waiting()
}

// restart sets the position that a whole read of the configuration returned. The history
// before it may be lost, so that it may be lower than the one before.
func (c *configWait) restart(p fleet.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.position = p
}

// advance records that the configuration is known up to a position.
func (c *configWait) advance(p fleet.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Compare(c.position) > 0 {
		c.position = p
	}
}

// checkWaitAfterFailure puts the wait in doubt after a failed read of this entry.
func (w *Watcher) checkWaitAfterFailure(requestedAt time.Time) {
	w.wait.mu.Lock()
	defer w.wait.mu.Unlock()
	now := time.Now()
	if w.wait.check.readFailed(requestedAt, now) {
		w.log.Write(decisionlog.ConfigWaitDoubted{Waited: now.Sub(w.wait.check.began)})
	}
}

// checkWait renews the wait if an answered read, of this entry or of a peer, shows that it
// may be lost.
func (w *Watcher) checkWait(requestedAt time.Time) {
	w.wait.mu.Lock()
	defer w.wait.mu.Unlock()
	w.renewWait(w.wait.check.readAnswered(requestedAt))
}

// renewMissedWait renews the wait under way, which has not returned a change.
func (w *Watcher) renewMissedWait() {
	w.wait.mu.Lock()
	defer w.wait.mu.Unlock()
	w.renewWait(w.wait.check.missed())
}

// renewWait begins the wait anew if there is a reason. The caller holds wait.mu.
func (w *Watcher) renewWait(reason renewal) {
	if reason == renewNone {
		return
	}
	delay := time.Duration(w.wait.rank()) * renewStagger
	now := time.Now()
	w.log.Write(decisionlog.ConfigWaitRenewed{
		Reason:  string(reason),
		Waited:  now.Sub(w.wait.check.began),
		Doubted: w.wait.check.doubted(now),
		Delay:   delay,
	})
	time.AfterFunc(delay, w.wait.renew)
}
