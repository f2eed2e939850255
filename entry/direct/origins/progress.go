package origins

import (
	"maps"
	"slices"
	"time"

	"peridotchute.example/membership"
)

const (
	// resumeTime is how long after the end of a process clients may come back for the streams
	// that they had from it: longer than they wait for an event.
	resumeTime = 20 * time.Second

	// tellInterval is how often an entry repeats its progress while several versions are in use.
	tellInterval = 2 * time.Second
)

// toldProgress is what this entry last told the others of its progress.
type toldProgress struct {
	progress Progress
	at       time.Time
}

// ownProgress returns the progress of this entry.
func (g *Registry) ownProgress(now time.Time) Progress {
	restarted := g.opts.Peers.Restarted()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.progressOf(restarted, now)
}

// progressOf returns the progress of this entry. The caller holds mu.
func (g *Registry) progressOf(restarted bool, now time.Time) Progress {
	return Progress{
		Ready:   !restarted || now.Sub(g.started) >= resumeTime,
		Adopted: maps.Clone(g.adopted),
	}
}

// followed returns the numbers of the splits, by service, that this process has adopted once all
// records of its streams are stored. The caller holds mu.
func (g *Registry) followed() map[string]int64 {
	out := map[string]int64{}
	for service, stored := range g.stored.services {
		if u := g.usageOf(service); stored && len(u.splits) > 0 {
			out[service] = u.newestSplit()
		}
	}
	return out
}

// tellProgress sends the progress to the entries that decide about splits: when it has changed,
// and every tellInterval while several versions are in use.
func (g *Registry) tellProgress(now time.Time) {
	p := g.ownProgress(now)
	g.mu.Lock()
	several := g.severalVersions(now)
	changed := p.Ready != g.told.progress.Ready || !maps.Equal(p.Adopted, g.told.progress.Adopted)
	due := len(several) > 0 && (changed || now.Sub(g.told.at) >= tellInterval)
	if due {
		g.told = toldProgress{p, now}
	}
	g.mu.Unlock()
	if !due {
		return
	}
	names := append(slices.Clone(g.opts.Peers.Connected()), g.opts.Self)
	var peers []string
	for _, service := range several {
		peers = append(peers, membership.Rendezvous(usagePrefix+service, names, maxAnnounceRank)...)
	}
	slices.Sort(peers)
	for _, peer := range slices.Compact(peers) {
		if peer != g.opts.Self {
			g.opts.Peers.SendProgress(peer, p)
		}
	}
}

// severalVersions returns the services of which several versions are in use. The caller holds mu.
func (g *Registry) severalVersions(now time.Time) (services []string) {
	for service := range g.versions.seen {
		if len(g.inUse(service, now)) > 1 {
			services = append(services, service)
		}
	}
	return services
}

// ReceiveProgress takes over the progress of another entry.
func (g *Registry) ReceiveProgress(peer string, p Progress) {
	now := time.Now()
	g.mu.Lock()
	if g.progress[peer] == nil {
		g.progress[peer] = &entryProgress{adopted: map[string]adoption{}}
	}
	g.progress[peer].tell(p, now)
	g.mu.Unlock()
	g.review(now)
}

// nextSplits returns the splits that the row of a service should have with the given stages of its
// versions, and what holds a change of them up. The caller holds mu.
func (g *Registry) nextSplits(service string, stages map[string]stage, now time.Time) ([]Split, splitWait) {
	u := g.usageOf(service)
	if len(stages) <= 1 {
		return nil, splitWait{} // no other has streams that can be resumed
	}
	return nextSplits(splitInputs{
		now:         now,
		service:     service,
		before:      u.stages,
		stages:      stages,
		servers:     g.serverCounts(service),
		splits:      u.splits,
		wentBack:    u.stale,
		newestAge:   now.Sub(u.newestAt),
		shares:      g.shares[service],
		nextNumber:  u.revision + 1,
		waited:      g.waitedForReadiness(service, now),
		own:         g.progressOf(g.members.restarted, now),
		members:     g.members.names,
		membersAge:  now.Sub(g.members.read),
		progress:    g.progress,
		isConnected: func(entry string) bool { return slices.Contains(g.members.connected, entry) },
	})
}

// serverCounts returns the number of registered servers of a service, by software version. The
// caller holds mu.
func (g *Registry) serverCounts(service string) map[string]int {
	counts := map[string]int{}
	for i := range g.servers {
		if g.servers[i].Service == service {
			counts[g.servers[i].Software]++
		}
	}
	return counts
}

// memberList is what this entry last knew of the other entries.
type memberList struct {
	names     []string
	read      time.Time // when the store's list was last read
	connected []string
	restarted bool // as Peers.Restarted
}

// updateMembers looks at the other entries, and has the store's list of them read if that is to
// show that all have adopted a split.
func (g *Registry) updateMembers() {
	list := memberList{connected: g.opts.Peers.Connected(), restarted: g.opts.Peers.Restarted()}
	list.names, list.read = g.opts.Peers.Members()
	g.mu.Lock()
	g.members = list
	refresh := false
	for _, u := range g.usages {
		refresh = refresh || len(u.splits) > 1 && list.read.Before(u.newestAt)
	}
	g.mu.Unlock()
	if refresh {
		g.opts.Peers.RefreshMembers()
	}
}
