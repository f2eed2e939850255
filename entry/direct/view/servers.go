package view

import (
	"context"
	"time"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

const (
	// outageGrace is how long after a store outage servers without a
	// registration stay in the view: live servers register again within 2 s.
	outageGrace = 2300 * time.Millisecond

	// minExpiryGap is the shortest time between two reads of the registrations
	// in which a registration may have expired unseen. Registrations are renewed
	// every 1.2 s and removed after three missed renewals, the first of which
	// may already be due at the earlier read.
	minExpiryGap = 2 * time.Second
)

// RunServers reads the registrations repeatedly until ctx is done. next returns
// the time of the next read, given the start of this entry's last attempt and
// the time of the newest list read by any entry. These times are zero if there
// is none.
func (w *Watcher) RunServers(ctx context.Context, next func(attempted, asOf time.Time) time.Time) {
	var attempted time.Time
	for ctx.Err() == nil {
		if left := time.Until(next(attempted, w.Current().ServersRead)); left > 0 {
			_ = clock.Sleep(ctx, left) // check again, since a peer may have read meanwhile
			continue
		}
		attempted = time.Now()
		w.Refresh(ctx)
	}
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
		w.recordStoreFailure(err, requestedAt)
		w.checkWaitAfterFailure(requestedAt)
		return
	}
	w.recordStoreAnswer()
	w.checkWait(requestedAt, true)
	if v := w.ApplyServers(reg, requestedAt); v != nil {
		w.shareServers(v, reg)
	}
}

// recordStoreFailure records a failed read that began at the given time.
func (w *Watcher) recordStoreFailure(err error, requestedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failingSince.IsZero() {
		w.failingSince = requestedAt
		w.log.Write(decisionlog.StoreLost{Call: "servers", Err: err})
	}
	if w.unreadSince.IsZero() {
		w.unreadSince = requestedAt
	}
}

// recordStoreAnswer records that the store answered this entry. An outage ends
// now unless a peer has read the registrations since it began.
func (w *Watcher) recordStoreAnswer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.failingSince.IsZero() {
		w.log.Write(decisionlog.StoreRecovered{Call: "servers", Down: now.Sub(w.failingSince)})
	}
	if !w.unreadSince.IsZero() {
		w.outage = outage{start: w.unreadSince, end: now}
	}
	w.failingSince, w.unreadSince = time.Time{}, time.Time{}
}

// outage is a time in which the store did not answer.
type outage struct {
	start time.Time // zero if unknown
	end   time.Time
}

// recordPeerRead records that a peer read the registrations at the given time. last
// is the last store outage known to the peer, or zero. It returns false if the
// peer's list must not be applied: the store answered others during that outage, and
// the list has servers that left meanwhile.
func (w *Watcher) recordPeerRead(read time.Time, last outage) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.current.Load().ServersRead
	if !last.start.IsZero() && known.After(last.start) && w.outage.end.Before(last.start) {
		return false
	}
	if last.end.After(w.outage.end) {
		w.outage = last
	}
	if w.unreadSince.IsZero() || !read.After(w.unreadSince) {
		return true
	}
	if read.Sub(known) > minExpiryGap && read.After(w.outage.end) {
		w.outage = outage{start: w.unreadSince, end: read} // without reads for so long, the peer may not have noticed it
	}
	w.unreadSince = time.Time{}
	return true
}

// ApplyServers applies registrations that were requested at the given time. It
// returns the new view, or nil if newer registrations are known.
func (w *Watcher) ApplyServers(reg fleet.Registry, requestedAt time.Time) *fleet.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.current.Load()
	if reg.Position < w.position || reg.Position == w.position && requestedAt.Before(old.ServersRead) {
		return nil
	}
	w.position = reg.Position
	w.logUnreadable(reg.Unreadable)
	next := *old
	next.Servers = fleet.Merge(old.Servers, reg, w.inGrace())
	w.leaving.expire(requestedAt)
	w.leaving.mark(next.Servers, time.Now())
	next.ServersRead = requestedAt
	w.setView(&next)
	for _, r := range diffServers(old.Servers, next.Servers, time.Since(requestedAt)) {
		w.log.Write(r)
	}
	return &next
}

// inGrace reports whether live servers may still lack a registration after a
// store outage. The caller holds mu.
func (w *Watcher) inGrace() bool {
	return !w.outage.end.IsZero() && time.Since(w.outage.end) < outageGrace
}

// logUnreadable logs each undecodable registration when it is first seen.
func (w *Watcher) logUnreadable(keys []string) {
	for _, k := range keys {
		if !w.unreadable[k] {
			w.log.Write(decisionlog.ServerChanged{Change: decisionlog.ServerUnreadable, Server: k})
		}
		w.unreadable[k] = true
	}
}
