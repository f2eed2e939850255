package origins

import (
	"context"
	"slices"
	"time"

	"peridotchute.example/common/clock"
)

const (
	// gatherTime is how long records are gathered before they are copied: shorter
	// than the time to the first event of a stream.
	gatherTime = 20 * time.Millisecond

	// reviewInterval is how often the age of the list of servers and the stages of versions
	// are looked at.
	reviewInterval = 250 * time.Millisecond
)

// copyLater makes Run copy a record. The caller holds mu.
func (g *Registry) copyLater(s Stream) {
	g.pending[s] = true
	wake(g.copyWake)
}

// Run copies records to other entries until ctx is done.
func (g *Registry) Run(ctx context.Context) {
	tick := time.NewTicker(reviewInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			g.review(time.Now())
			g.tellProgress(time.Now())
			g.reviewSplitWaits(time.Now())
			continue
		case <-g.copyWake:
		case <-ctx.Done():
			return
		}
		_ = clock.Sleep(ctx, gatherTime) // if ctx is done, the last records are still sent
		g.copyPending()
	}
}

func (g *Registry) copyPending() {
	names := g.opts.Peers.Connected()
	g.mu.Lock()
	now := time.Now()
	messages := map[string]*Records{}
	for s := range g.pending {
		r, found := g.table.record(s, now)
		if !found {
			continue
		}
		for _, peer := range holders(s, names, copies) {
			if messages[peer] == nil {
				messages[peer] = &Records{}
			}
			messages[peer].add(r)
		}
	}
	g.pending = map[Stream]bool{}
	g.mu.Unlock()
	for peer, m := range messages {
		g.opts.Peers.Send(peer, *m)
	}
}

// PeerConnected sends an entry what it should know: the stages and splits of the versions, this
// entry's progress with them, and the
// copies of this entry's records that it is to hold. It may have been restarted.
func (g *Registry) PeerConnected(peer string) {
	if u := g.allUsages(); len(u) > 0 {
		g.opts.Peers.SendUsages(peer, u)
	}
	g.opts.Peers.SendProgress(peer, g.ownProgress(time.Now()))
	if m, found := g.copiesFor(peer); found {
		g.opts.Peers.Send(peer, m)
	}
}

// copiesFor returns the copies that an entry is to hold.
func (g *Registry) copiesFor(peer string) (m Records, some bool) {
	names := g.opts.Peers.Connected()
	if !slices.Contains(names, peer) {
		names = append(slices.Clone(names), peer)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for service, copied := range g.copying {
		if !copied {
			continue
		}
		for _, s := range g.table.ownOf(service, now) {
			if r, found := g.table.record(s, now); found && slices.Contains(holders(s, names, copies), peer) {
				m.add(r)
				some = true
			}
		}
	}
	return m, some
}

// Receive stores copies of the records of another entry.
func (g *Registry) Receive(peer string, m Records) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	m.each(func(r Record) { g.table.putCopy(r, peer, now) })
}
