package view

import (
	"context"
	"time"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

// maxUnreadable is how many keys of unreadable rows are remembered, so that each is logged once.
const maxUnreadable = 10_000

// RunServers reads the registrations repeatedly until ctx is done. next returns
// the time of the next read, given the start of this entry's last attempt and
// the time of the newest list read by any entry. These times are zero if there
// is none.
func (w *Watcher) RunServers(ctx context.Context, next func(attempted, asOf time.Time) time.Time) {
	var attempted time.Time
	defer func() { _ = w.checks.Wait() }()
	for ctx.Err() == nil {
		if left := time.Until(w.nextRead(attempted, next)); left > 0 {
			_ = clock.Sleep(ctx, left) // check again, since a peer may have read meanwhile
			continue
		}
		attempted = time.Now()
		w.Refresh(ctx)
	}
}

// nextRead returns when this entry should read the registrations, given the start of its last
// attempt. A kept server is dropped by a list only, since the store may be down again: the
// list is read as soon as the server need not be kept.
func (w *Watcher) nextRead(attempted time.Time, next func(attempted, asOf time.Time) time.Time) time.Time {
	asOf := w.Current().ServersRead
	at := next(attempted, asOf)
	if drop := w.nextDrop(); drop.After(asOf) && drop.After(attempted) && drop.Before(at) {
		return drop
	}
	return at
}

// Refresh reads the registrations once, applies them and shares the resulting
// servers with other entries.
func (w *Watcher) Refresh(ctx context.Context) {
	requestedAt := time.Now()
	reg, err := w.directory.Servers(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.readFailed(requestedAt, w.recordStoreFailure(err, requestedAt))
		w.checkWaitAfterFailure(requestedAt)
		return
	}
	w.recordStoreAnswer(requestedAt)
	w.checkWait(requestedAt)
	w.startConfigCheck(ctx)
	if v := w.ApplyServers(reg, requestedAt, decisionlog.SourceStore); v != nil {
		w.shareServers(v, reg)
	}
}

// recordStoreFailure records a failed read that began at the given time. It reports whether the read
// before succeeded.
func (w *Watcher) recordStoreFailure(err error, requestedAt time.Time) (first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	first = w.failingSince.IsZero()
	if first {
		w.failingSince = requestedAt
		w.log.Write(decisionlog.StoreLost{Call: "servers", Err: err})
	}
	w.reads.failed(requestedAt)
	return first
}

// recordStoreAnswer records that the store answered a read of this entry that began at the
// given time.
func (w *Watcher) recordStoreAnswer(requestedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.failingSince.IsZero() {
		w.log.Write(decisionlog.StoreRecovered{Call: "servers", Down: time.Since(w.failingSince)})
	}
	w.failingSince = time.Time{}
	if w.reads.succeeded(requestedAt, time.Now()) {
		w.logOutage(decisionlog.SourceStore, "reads of this entry failed, and it got no list from others")
	}
}

// recordPeerRead records that the named peer read the registrations at the given time. last is
// the last store outage known to the peer, or zero.
func (w *Watcher) recordPeerRead(peer string, read time.Time, last outage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reads.peerSucceeded(read, last) {
		w.logOutage(peer, "by the list of the other entry")
	}
}

// ApplyServers applies registrations that were requested at the given time. source is
// decisionlog.SourceStore, or the entry that sent them. It returns the new view, or nil if
// newer registrations are known.
func (w *Watcher) ApplyServers(reg fleet.Registry, requestedAt time.Time, source string) *fleet.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.current.Load()
	if source == decisionlog.SourceStore {
		w.followStoreBack(reg, old, requestedAt)
	}
	order := reg.Position.Compare(w.position)
	if requestedAt.Before(w.wentBackAt) || order < 0 || order == 0 && requestedAt.Before(old.ServersRead) {
		w.ignoreServers(reg.Position, requestedAt, source, "newer ones are in use")
		return nil
	}
	if reg.Position.Era > w.position.Era && !old.ServersRead.IsZero() {
		w.storeReturned(reg, old, requestedAt)
	}
	w.era.observe(reg.Position.Era)
	w.position, w.appliedAt, w.ignoring = reg.Position, time.Now(), false
	w.logUnreadable(reg.Unreadable)
	w.noteRegistered(reg, requestedAt)
	if w.reads.outage.position == 0 {
		w.reads.outage.position = reg.Position.Version
	}
	next := *old
	next.Servers = fleet.Merge(old.Servers, reg, w.keep)
	w.leaving.expire(requestedAt)
	w.leaving.mark(next.Servers, time.Now())
	next.ServersRead = requestedAt
	w.setView(&next)
	w.logChanges(old.Servers, next.Servers, time.Since(requestedAt), func(c *decisionlog.ServerChanged) { w.describe(c, &next, source) })
	return &next
}

// followStoreBack accepts lower versions of the store. A read that began after the list in
// use was received must return the same version or a higher one, unless the store lost what was
// written last. Otherwise all lists would be ignored until the versions have passed the earlier
// ones. Registrations that were lost as well come back like those that expire in an outage. The
// caller holds mu.
func (w *Watcher) followStoreBack(reg fleet.Registry, old *fleet.View, requestedAt time.Time) {
	if reg.Position.Compare(w.position) >= 0 || reg.Position.Era < w.position.Era || !requestedAt.After(w.appliedAt) {
		return
	}
	w.storeReturned(reg, old, requestedAt)
	w.position, w.wentBackAt = fleet.Position{Era: reg.Position.Era}, requestedAt
}

// noteRegistered notes which servers are registered by a list that was requested at the given
// time. The caller holds mu.
func (w *Watcher) noteRegistered(reg fleet.Registry, requestedAt time.Time) {
	before := w.registered
	w.registered = map[string]time.Time{}
	for i := range w.current.Load().Servers {
		id := w.current.Load().Servers[i].ID
		w.registered[id] = before[id]
	}
	for i := range reg.Servers {
		if s := &reg.Servers[i]; !s.Kept {
			w.registered[s.ID] = requestedAt
		}
	}
}

// describe adds to the record of a changed server who read the list, and for how long a
// server without a readable registration is kept. The caller holds mu.
func (w *Watcher) describe(c *decisionlog.ServerChanged, v *fleet.View, source string) {
	c.Source = source
	if c.Change != decisionlog.ServerKept {
		return
	}
	c.Reason, c.Keep = "outage of the store", time.Until(w.keepUntil(v.Server(c.Server)))
}

// ignoreServers logs the first of a series of lists that are not applied and that were read
// later than the list in use. Older ones are common. The caller holds mu.
func (w *Watcher) ignoreServers(position fleet.Position, read time.Time, source, reason string) {
	if w.ignoring || !read.After(w.current.Load().ServersRead) {
		return
	}
	w.ignoring = true
	w.log.Write(decisionlog.ServersIgnored{Version: position.Version, Previous: w.position.Version, ViewAge: time.Since(read), Source: source, Reason: reason})
}

// logUnreadable logs each undecodable registration when it is first seen. The caller holds mu.
func (w *Watcher) logUnreadable(keys []string) {
	for _, k := range keys[:min(len(keys), maxUnreadable)] {
		if w.unreadable[k] {
			continue
		}
		if len(w.unreadable) >= maxUnreadable {
			w.unreadable = map[string]bool{}
		}
		w.unreadable[k] = true
		w.log.Write(decisionlog.ServerChanged{Change: decisionlog.ServerUnreadable, Server: k})
	}
}
