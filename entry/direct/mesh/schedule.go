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
	// longestSleep bounds the time between two looks of the scheduler.
	longestSleep = time.Second
	// dialTimeout bounds one attempt: connecting takes two round trips.
	dialTimeout = time.Second
	// seedInterval is between attempts at a seed that does not answer, or that
	// is not known as an entry: seeds only heal a mesh that has come apart.
	seedInterval = 5 * time.Second
	// lateLook is how late a look may be before the silence of the peers is
	// put down to this process, which was frozen or short of processor time.
	lateLook = 250 * time.Millisecond
	// secondLook leaves the connections time to be read after a late look.
	secondLook = 100 * time.Millisecond
)

func newSeed(address string) *target {
	t := newTarget(address, time.Time{})
	t.wait.MaxInterval = seedInterval
	return t
}

// schedule wakes the links that have something to send, ends those that are
// silent and dials the entries that are not connected.
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
		lost, next := m.step(ctx, now)
		for _, l := range lost {
			m.lose(l, "silent")
		}
		timer.Reset(next.Sub(now))
	}
}

// step does what is due and returns the links that are silent and the time of
// the next step.
func (m *Mesh) step(ctx context.Context, now time.Time) ([]*link, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lost, next := m.stepLinks(now)
	m.urgent = false
	m.active = m.looked != m.news
	m.looked = m.news
	if m.active {
		next = earlier(next, now.Add(updateInterval(true, len(m.links))))
	}
	m.members.forget(m.claimed, now)
	m.planned = earlier(next, m.stepDials(ctx, now))
	return lost, m.planned
}

// stepLinks wakes the links that are due. It returns those that are silent and
// the time at which the next is due.
func (m *Mesh) stepLinks(now time.Time) ([]*link, time.Time) {
	next := now.Add(longestSleep)
	late := !m.planned.IsZero() && now.Sub(m.planned) > lateLook
	if late {
		next = now.Add(secondLook)
	}
	var lost []*link
	for _, l := range m.links {
		if l.silent(now) && !late {
			lost = append(lost, l)
			continue
		}
		if !l.silent(now) {
			next = earlier(next, l.heard.Add(patience(l.next)))
		}
		if l.speaks {
			next = earlier(next, m.stepLink(l, now))
		}
	}
	return lost, next
}

// stepLink wakes a link that is due and returns when it is due again.
func (m *Mesh) stepLink(l *link, now time.Time) time.Time {
	due := m.due(l)
	if m.urgent {
		due = now
	}
	if due.After(now.Add(sendSlack)) {
		return due
	}
	l.kicked = now
	l.wake()
	return now.Add(heartbeat(len(m.links)))
}

// due returns when a link has something to send.
func (m *Mesh) due(l *link) time.Time {
	due := l.sent.Add(l.pace)
	if l.seen != m.news {
		due = l.sent.Add(m.interval(l))
	}
	if spaced := l.kicked.Add(2 * sendSlack); due.Before(spaced) {
		return spaced
	}
	return due
}

func (m *Mesh) interval(l *link) time.Duration {
	return updateInterval(l.id.Region == m.self.Region, len(m.links))
}

// stepDials starts the attempts that are due and returns the time of the next.
func (m *Mesh) stepDials(ctx context.Context, now time.Time) time.Time {
	next := now.Add(longestSleep)
	known := map[string]bool{m.self.Address: true}
	taken := map[string]bool{m.self.Address: true} // by an entry that is connected
	for _, l := range m.links {
		taken[l.id.Address] = true
	}
	for name, other := range m.members.all {
		known[other.target.address] = true
		if !other.alone.IsZero() && !taken[other.target.address] {
			next = earlier(next, m.stepDial(ctx, other.target, name, now))
		}
	}
	for address, seed := range m.seeds {
		if !known[address] {
			next = earlier(next, m.stepDial(ctx, seed, "", now))
		}
	}
	return next
}

// stepDial starts an attempt that is due and returns the time to look again.
func (m *Mesh) stepDial(ctx context.Context, t *target, name string, now time.Time) time.Time {
	if m.dialing[t.address] {
		return now.Add(longestSleep)
	}
	if t.next.After(now) {
		return t.next
	}
	m.dialing[t.address] = true
	m.writers.Go(func() { m.dial(ctx, t, name) })
	return now.Add(longestSleep)
}

// dial makes one attempt to connect to the entry of the given name, or to any
// when the name is empty.
func (m *Mesh) dial(ctx context.Context, t *target, name string) {
	attempt, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	peer, err := rpc.Dial(attempt, t.address, m.local, m.handlers)
	now := time.Now()
	if err == nil {
		m.admit(peer, true)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.dialing, t.address)
	switch {
	case err != nil:
		t.next = now.Add(t.wait.NextBackOff())
	case peer.Identity.Name == m.self.Name:
		delete(m.seeds, t.address)
	default:
		t.next = now.Add(longestRedial)
	}
	if err == nil && name != "" && peer.Identity.Name != name {
		event.Log(m.log, event.PeerMistaken, event.Peer(name), event.Reason("answers as "+peer.Identity.Name))
	}
	m.poke()
}

// connected returns the names of the peers that are connected. The caller holds mu.
func (m *Mesh) connected() []string { return slices.Sorted(maps.Keys(m.links)) }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
