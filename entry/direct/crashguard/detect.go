package crashguard

import (
	"context"
	"time"

	"peridotchute.example/admission/quarantine"
	"peridotchute.example/common/decisionlog"
)

const (
	// rankDelay is how long each entry waits with a finding for the entry before it in the
	// order of names, so that usually one entry announces it. A message between regions
	// takes less.
	rankDelay = 100 * time.Millisecond
	maxRank   = 10 // entries after this many wait no longer
)

// Run looks for causes on which servers crash until ctx is done.
func (g *Guard) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-g.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if again := g.detect(time.Now()); !again.IsZero() {
			timer.Reset(time.Until(again))
		}
	}
}

// detect quarantines the causes found, and returns when to look again, or zero.
func (g *Guard) detect(now time.Time) (again time.Time) {
	connected := g.opts.Peers.Connected()
	g.mu.Lock()
	defer g.mu.Unlock()
	findings, again := g.detector.Find(now, func(c quarantine.Cause) bool { return g.list.Quarantined(c, now) })
	if len(findings) == 0 {
		g.actAt = time.Time{}
		return again
	}
	if g.actAt.IsZero() {
		g.actAt = now.Add(time.Duration(rank(g.opts.Self, connected)) * rankDelay)
	}
	if now.Before(g.actAt) {
		return g.actAt
	}
	g.actAt = time.Time{}
	g.quarantine(findings, now)
	return now // the crashes that these do not explain may have another cause
}

// quarantine quarantines the causes and tells the other entries. The caller holds mu.
func (g *Guard) quarantine(findings []quarantine.Finding, now time.Time) {
	var states Entries
	for _, f := range findings {
		e := g.list.Quarantine(f.Cause, now)
		g.opts.Log.Write(decisionlog.CauseQuarantined{
			Cause:     loggedCause(f.Cause),
			Source:    sourceCrashes,
			Crashes:   f.Crashes,
			Requests:  f.Requests,
			Remaining: e.Until.Sub(now),
		})
		states = append(states, stateOf(e, now))
		g.cancelWatched(e, now)
		g.saveLater(e)
	}
	g.opts.Peers.BroadcastEntries(states)
}

// rank returns the number of connected entries with lower names than self, up to maxRank.
func rank(self string, connected []string) int {
	n := 0
	for _, name := range connected {
		if name < self {
			n++
		}
	}
	return min(n, maxRank)
}
