package view

import (
	"context"
	"time"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

const (
	// lapseGrace is how long a server that was missing at the end of an outage of
	// the store stays known: live servers are registered again within 2 s.
	lapseGrace = 2300 * time.Millisecond

	// lapseLeast is the shortest time without any reading of the registrations
	// in which they may have lapsed: they are removed once three renewals, one
	// every 1.2 s, are missing, and the first may be due.
	lapseLeast = 2 * time.Second
)

// RunServers reads the registrations until ctx ends. next tells when, from the
// start of the last attempt and the time at which the newest list was read by
// whichever entry read it; zero times mean never.
func (w *Watcher) RunServers(ctx context.Context, next func(attempted, asOf time.Time) time.Time) {
	var attempted time.Time
	for ctx.Err() == nil {
		if left := time.Until(next(attempted, w.Current().ServersRead)); left > 0 {
			_ = clock.Sleep(ctx, left) // a peer may have read meanwhile, so next is asked again
			continue
		}
		attempted = time.Now()
		w.Refresh(ctx)
	}
}

// Refresh reads the registrations once and shares them.
func (w *Watcher) Refresh(ctx context.Context) {
	asked := time.Now()
	reg, err := w.directory.Servers(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.lost(err, asked)
		return
	}
	w.regained()
	if v := w.Take(reg, asked); v != nil {
		w.shareServers(v, reg)
	}
}

// lost notes that a reading that began at the given time has failed.
func (w *Watcher) lost(err error, asked time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lostSince.IsZero() {
		w.lostSince = asked
		w.log.Write(decisionlog.StoreLost{Call: "servers", Err: err})
	}
	if w.gapSince.IsZero() {
		w.gapSince = asked
	}
}

// regained notes that the store has answered this entry. It ends an outage of
// the store, unless peers were answered all along.
func (w *Watcher) regained() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.lostSince.IsZero() {
		w.log.Write(decisionlog.StoreRegained{Call: "servers", Down: now.Sub(w.lostSince)})
	}
	if !w.gapSince.IsZero() {
		w.outageEnd = now
	}
	w.lostSince, w.gapSince = time.Time{}, time.Time{}
}

// heard notes that a peer has read the registrations at the given time, and
// when the outage of the store ended that it knows of.
func (w *Watcher) heard(read, outageEnd time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if outageEnd.After(w.outageEnd) {
		w.outageEnd = outageEnd
	}
	if w.gapSince.IsZero() || !read.After(w.gapSince) {
		return
	}
	if read.Sub(w.current.Load().ServersRead) > lapseLeast && read.After(w.outageEnd) {
		w.outageEnd = read // nobody read them for so long that the peer may have missed the outage
	}
	w.gapSince = time.Time{}
}

// Take applies registrations that were asked for at the given time and returns
// the view that follows, or nil when newer ones are known.
func (w *Watcher) Take(reg fleet.Registry, asked time.Time) *fleet.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.current.Load()
	if reg.Position < w.position || reg.Position == w.position && asked.Before(old.ServersRead) {
		return nil
	}
	w.position = reg.Position
	w.noteUnreadable(reg.Unreadable)
	next := *old
	next.Servers = fleet.Merge(old.Servers, reg, w.inGrace())
	next.ServersRead = asked
	w.store(&next)
	for _, r := range changes(old.Servers, next.Servers, time.Since(asked)) {
		w.log.Write(r)
	}
	return &next
}

// inGrace reports whether registrations may still be missing after an outage
// of the store. The caller holds mu.
func (w *Watcher) inGrace() bool {
	return !w.outageEnd.IsZero() && time.Since(w.outageEnd) < lapseGrace
}

// noteUnreadable logs each row that cannot be understood once.
func (w *Watcher) noteUnreadable(keys []string) {
	for _, k := range keys {
		if !w.unreadable[k] {
			w.log.Write(decisionlog.ServerChanged{Change: decisionlog.ServerUnreadable, Server: k})
		}
		w.unreadable[k] = true
	}
}
