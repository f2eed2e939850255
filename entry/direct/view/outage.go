package view

import (
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
)

const (
	// outageGrace is how long after a store outage servers without a
	// registration stay in the view: live servers register again within 2 s.
	outageGrace = 2300 * time.Millisecond

	// maxGraceAfterFailure bounds the grace from the start of this entry's last failed read.
	// That read may have failed although the store answered again right after its start. It
	// ends well before an entry whose connections have healed counts as undisturbed, which
	// takes 4 s.
	maxGraceAfterFailure = 3500 * time.Millisecond

	// maxUnconfirmedUse is how long after the last read that found its registration a server stays
	// in the view after an outage of which only another entry knows and which is too short for a
	// registration to expire: the other entry alone may have been cut off. It leaves time for
	// the last requests of a server that drains for 2.5 s.
	maxUnconfirmedUse = 2 * time.Second

	// maxAnswerTime is the longest time that a read takes while the store answers. A read that
	// took longer may have begun in an outage.
	maxAnswerTime = 500 * time.Millisecond

	// minExpiryGap is the shortest time between two reads of the registrations
	// in which a registration may have expired unseen. Registrations are renewed
	// every 1.2 s and removed after three missed renewals, the first of which
	// may already be due at the earlier read.
	minExpiryGap = 2 * time.Second
)

// outage is a time in which reads of the registrations failed and none is known to have
// succeeded, so that registrations may have expired. The zero value means that there was none.
type outage struct {
	start time.Time // of the first failed read; zero if unknown
	end   time.Time // when the store answered the first read after it
	limit time.Time // no server is kept later; zero if only the end bounds this
	local bool      // the store answered other entries all the while

	position int64 // in the store, of the first list after it; 0 until there is one
}

// storeReads is what an entry knows of the reads of the registrations, its own ones and those
// of its peers.
type storeReads struct {
	since       time.Time // no outage is known from then on; zero if that is long ago
	last        time.Time // start of the newest read that succeeded; zero if none has
	firstFailed time.Time // start of this entry's first failed read since then; zero if none failed
	lastFailed  time.Time // start of the latest one
	outage      outage    // the last one
}

// failed records a read of this entry that failed.
func (r *storeReads) failed(requestedAt time.Time) {
	if r.firstFailed.IsZero() {
		r.firstFailed = requestedAt
	}
	r.lastFailed = requestedAt
}

// succeeded records a read of this entry, which the store answered at answeredAt. It reports
// whether there was an outage before it.
func (r *storeReads) succeeded(requestedAt, answeredAt time.Time) (afterOutage bool) {
	afterOutage = !r.firstFailed.IsZero()
	switch {
	case afterOutage:
		r.begin(outage{start: r.firstFailed, end: answeredAt})
	case r.last.IsZero() || answeredAt.Sub(r.last) > minExpiryGap || answeredAt.Sub(requestedAt) > maxAnswerTime:
		r.since = answeredAt
	}
	r.advance(requestedAt)
	return afterOutage
}

// peerSucceeded records that a peer read the registrations at the given time. last is the last
// outage that the peer knows of: without a start, the peer knows of no read before its end. The
// zero value means that the peer knows of none for long. It reports whether this changes the
// last outage.
func (r *storeReads) peerSucceeded(read time.Time, last outage) (changed bool) {
	if r.last.IsZero() {
		r.since, r.outage = last.end, last
		r.advance(read)
		return !last.end.IsZero()
	}
	changed = r.outage.answered(last.end, read)
	unseen := read.Sub(r.last) > minExpiryGap // a registration may have expired since the last known read
	switch {
	case !last.start.IsZero() && !r.last.After(last.start) && r.outage.end.Before(last.start):
		r.begin(last)
		changed = true
	case unseen && last.end.After(r.last.Add(minExpiryGap)):
		r.begin(outage{start: r.last, end: last.end})
		changed = true
	case unseen && !r.firstFailed.IsZero() && read.After(r.firstFailed):
		r.begin(outage{start: r.firstFailed, end: read, local: true})
		changed = true
	}
	if last.end.Before(r.since) && (r.outage.local || read.After(r.since)) {
		r.since = last.end
	}
	r.advance(read)
	return changed
}

// advance makes a successful read the newest one unless a newer one is known.
func (r *storeReads) advance(read time.Time) {
	if !read.After(r.last) {
		return
	}
	r.last = read
	if !r.firstFailed.After(read) {
		r.firstFailed = time.Time{}
	}
}

// begin makes o the last outage.
func (r *storeReads) begin(o outage) {
	switch {
	case !r.firstFailed.IsZero():
		o.limit = r.lastFailed.Add(maxGraceAfterFailure)
	case o.end.Sub(r.last) <= minExpiryGap:
		o.limit = r.last.Add(maxUnconfirmedUse)
	}
	r.outage, r.since = o, o.end
}

// answered corrects the outage with the knowledge that the store answered others from since,
// which is zero if that is long ago, to read. An outage never ends later than was known. It
// reports whether this changed it.
func (o *outage) answered(since, read time.Time) (changed bool) {
	switch {
	case o.end.IsZero() || o.local || !since.Before(o.end) || !read.After(o.start):
		return false
	case since.After(o.start):
		o.end = since
	case read.Before(o.end):
		o.start = read
	default:
		o.local = true
	}
	return true
}

// mayHaveExpired reports whether the registration of a server in the given region may have
// expired during the outage. If the store answered other entries, it may have done so only in
// the region of this entry, if that was cut off for long enough.
func (o *outage) mayHaveExpired(inOwnRegion bool) bool {
	return !o.end.IsZero() && (!o.local || inOwnRegion && o.end.Sub(o.start) > minExpiryGap)
}

// graceEnd returns until when servers whose registrations may have expired during the outage are
// kept.
func (o *outage) graceEnd() time.Time {
	end := o.end.Add(outageGrace)
	if !o.limit.IsZero() && o.limit.Before(end) {
		return o.limit
	}
	return end
}

// keepUntil returns until when a server that has no registration stays in the view;
// the zero time if it does not. A server that has registered again after the last outage and is
// missing now has left. The caller holds mu.
func (w *Watcher) keepUntil(s *fleet.Server) time.Time {
	o := &w.reads.outage
	registeredAgain := o.position > 0 && s.Registration > o.position
	if o.start.IsZero() { // before this entry knew any server
		registeredAgain = !w.registered[s.ID].IsZero()
	}
	if registeredAgain || !o.mayHaveExpired(w.regions[s.Zone] == w.region) {
		return time.Time{}
	}
	return o.graceEnd()
}

// keep reports whether a server without a readable registration stays in the view. The caller
// holds mu.
func (w *Watcher) keep(s *fleet.Server) bool { return time.Now().Before(w.keepUntil(s)) }

// nextDrop returns when the first of the kept servers is no longer kept if a list does not find
// its registration; the zero time if no server is kept.
func (w *Watcher) nextDrop() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	var next time.Time
	for i := range w.current.Load().Servers {
		s := &w.current.Load().Servers[i]
		if !s.Kept {
			continue
		}
		if until := w.keepUntil(s); next.IsZero() || until.Before(next) {
			next = until
		}
	}
	return next
}

// logOutage logs the last store outage. The caller holds mu.
func (w *Watcher) logOutage(source, reason string) {
	now := time.Now()
	o := &w.reads.outage
	if o.local {
		reason += "; the store answered other entries meanwhile"
	}
	r := decisionlog.StoreOutage{End: now.Sub(o.end), Source: source, Reason: reason}
	if !o.start.IsZero() {
		r.Start = now.Sub(o.start)
	}
	w.log.Write(r)
}
