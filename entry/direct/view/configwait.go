package view

import (
	"context"
	"errors"
	"sync"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

// renewStagger is the delay of a renewed wait per entry of lower rank. All entries find
// their waits in doubt at once, and the store limits the rate of all calls together.
const renewStagger = 5 * time.Millisecond

var errRenewed = errors.New("the wait is begun anew")

// configWait is the state of the call that waits for the next configuration.
type configWait struct {
	mu    sync.Mutex
	check waitCheck
	renew func() // ends the call under way
	rank  func() int
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

// waitForConfig waits for a configuration written after position. It begins the call anew
// when waitCheck finds that it may be lost.
func (w *Watcher) waitForConfig(ctx context.Context, position fleet.Position) (fleet.Snapshot, error) {
	for {
		callCtx, cancel := context.WithCancelCause(ctx)
		length := w.wait.begin(func() { cancel(errRenewed) })
		s, err := w.nextConfig(callCtx, position, length)
		w.wait.end()
		renewed := errors.Is(context.Cause(callCtx), errRenewed)
		cancel(nil)
		if err == nil || !renewed {
			return s, err
		}
	}
}

// begin starts a wait, which renew ends, and returns its length.
func (c *configWait) begin(renew func()) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renew = renew
	return c.check.begin(time.Now())
}

func (c *configWait) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check.end()
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
func (w *Watcher) checkWait(requestedAt time.Time, own bool) {
	w.wait.mu.Lock()
	defer w.wait.mu.Unlock()
	reason := renewNone
	if own {
		reason = w.wait.check.readAnswered(requestedAt)
	} else {
		reason = w.wait.check.peerAnswered(requestedAt)
	}
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
