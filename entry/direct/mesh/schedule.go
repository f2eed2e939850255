package mesh

import (
	"context"
	"maps"
	"slices"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/rpc"
)

const (
	// maxSleep is the maximum time between two passes of the scheduler.
	maxSleep = time.Second
	// dialTimeout is the timeout of one dial attempt; connecting takes two round
	// trips.
	dialTimeout = time.Second
	// seedRetryInterval is the maximum wait between dials of a seed address that
	// belongs to no known entry. Apart from startup, seeds only serve to rejoin a
	// partitioned mesh.
	seedRetryInterval = 5 * time.Second
	// latePassThreshold is the delay of a pass beyond which silence of the peers is
	// attributed to this process, which was frozen or short of CPU time.
	latePassThreshold = 250 * time.Millisecond
	// latePassRecheck is the time to the next pass after a late one, during which
	// pending messages can be read.
	latePassRecheck = 100 * time.Millisecond
)

func newSeedTarget(address string) *dialTarget {
	t := newDialTarget(address, time.Time{})
	t.retry.MaxInterval = seedRetryInterval
	return t
}

// schedule runs passes until ctx ends: it wakes links that have something to
// send, closes silent ones and dials entries that are not connected.
func (m *Mesh) schedule(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-timer.C:
		}
		now := time.Now()
		silent, next := m.runPass(ctx, now)
		for _, l := range silent {
			m.disconnect(l, "silent")
		}
		timer.Reset(next.Sub(now))
	}
}

// runPass performs one pass of the scheduler. It returns the silent links, which
// the caller must close, and the time of the next pass.
func (m *Mesh) runPass(ctx context.Context, now time.Time) ([]*link, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadLinks = m.loadPeers()
	silent, next := m.scheduleLinks(now)
	m.urgent = false
	m.active = m.checkedChanges != m.changes
	m.checkedChanges = m.changes
	if m.active {
		next = earlier(next, now.Add(updateInterval(true, m.loadLinks)))
	}
	m.members.expire(m.peerConnectedTo, now)
	m.nextPass = earlier(next, m.scheduleDials(ctx, now))
	return silent, m.nextPass
}

// scheduleLinks wakes the links that are due for an update. It returns the silent
// links and the time at which the next link needs attention.
func (m *Mesh) scheduleLinks(now time.Time) ([]*link, time.Time) {
	next := now.Add(maxSleep)
	late := !m.nextPass.IsZero() && now.Sub(m.nextPass) > latePassThreshold
	if late {
		next = now.Add(latePassRecheck)
	}
	var silent []*link
	for _, l := range m.links {
		if l.silent(now) && !late {
			silent = append(silent, l)
			continue
		}
		if !l.silent(now) {
			next = earlier(next, l.lastReceived.Add(peerTimeout(l.peerInterval)))
		}
		if l.maySend {
			next = earlier(next, m.scheduleLink(l, now))
		}
	}
	return silent, next
}

// scheduleLink wakes a link if it is due and returns the time to check it again.
func (m *Mesh) scheduleLink(l *link, now time.Time) time.Time {
	due := m.due(l)
	if m.urgent && m.exchangesLoad(l) {
		due = now
	}
	if due.After(now.Add(sendSlack)) {
		return due
	}
	l.lastWoken = now
	l.wake()
	return now.Add(m.announcedInterval(l))
}

// due returns when the next update or heartbeat of a link should be sent.
func (m *Mesh) due(l *link) time.Time {
	due := l.lastSent.Add(l.announcedInterval)
	if l.sentChanges != m.changes {
		due = l.lastSent.Add(m.interval(l))
	}
	if earliest := l.lastWoken.Add(2 * sendSlack); due.Before(earliest) {
		return earliest
	}
	return due
}

// interval returns the minimum interval between updates to a peer.
func (m *Mesh) interval(l *link) time.Duration {
	if !m.exchangesLoad(l) {
		return quietInterval(len(m.links))
	}
	return updateInterval(l.id.Region == m.self.Region, m.loadLinks)
}

// announcedInterval returns the maximum interval between updates to a peer.
func (m *Mesh) announcedInterval(l *link) time.Duration {
	if !m.exchangesLoad(l) {
		return quietInterval(len(m.links))
	}
	return heartbeatInterval(m.loadLinks)
}

// scheduleDials starts the dial attempts that are due and returns the time of the
// next one.
func (m *Mesh) scheduleDials(ctx context.Context, now time.Time) time.Time {
	next := now.Add(maxSleep)
	known := map[string]bool{m.self.Address: true}
	connected := map[string]bool{m.self.Address: true} // addresses in use by connected entries
	for _, l := range m.links {
		connected[l.id.Address] = true
	}
	for name, other := range m.members.all {
		known[other.target.address] = true
		if !other.disconnectedAt.IsZero() && !connected[other.target.address] {
			next = earlier(next, m.scheduleDial(ctx, other.target, name, now))
		}
	}
	for address, seed := range m.seeds {
		if !known[address] {
			next = earlier(next, m.scheduleDial(ctx, seed, "", now))
		}
	}
	return next
}

// scheduleDial starts a dial attempt if it is due and returns the time to check
// again.
func (m *Mesh) scheduleDial(ctx context.Context, t *dialTarget, name string, now time.Time) time.Time {
	if m.dialing[t.address] {
		return now.Add(maxSleep)
	}
	if t.nextAttempt.After(now) {
		return t.nextAttempt
	}
	m.dialing[t.address] = true
	m.goroutines.Go(func() { m.dial(ctx, t, name) })
	return now.Add(maxSleep)
}

// dial makes one attempt to connect to a target. name is the expected entry, or
// empty for a seed address. A connection to a different entry is used, but logged.
func (m *Mesh) dial(ctx context.Context, t *dialTarget, name string) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	peer, err := rpc.Dial(dialCtx, t.address, m.local, m.handlers)
	now := time.Now()
	if err == nil {
		m.admit(peer, true)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.dialing, t.address)
	switch {
	case err != nil:
		t.nextAttempt = now.Add(t.retry.NextBackOff())
	case peer.Identity.Name == m.self.Name:
		delete(m.seeds, t.address)
	default:
		t.nextAttempt = now.Add(maxRedialInterval)
	}
	if err == nil && name != "" && peer.Identity.Name != name {
		event.Log(m.log, event.PeerNameMismatch, event.Peer(name), event.Reason("answers as "+peer.Identity.Name))
	}
	m.wakeScheduler()
}

// connectedPeers returns the sorted names of the connected peers. The caller
// holds mu.
func (m *Mesh) connectedPeers() []string { return slices.Sorted(maps.Keys(m.links)) }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
