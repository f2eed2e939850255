package mesh

import (
	"context"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/ring"
	"peridotchute.example/rpc"
)

// maxPendingBroadcasts is the number of broadcasts queued for a peer. When the
// queue is full, the oldest is dropped.
const maxPendingBroadcasts = 64

// broadcast is a broadcast message queued for one peer.
type broadcast struct {
	method string
	params any
}

// link is the connection to one peer. Mesh.mu guards maySend and the fields
// after broadcasts; the others are never reassigned.
type link struct {
	peer       *rpc.Peer
	id         Identity
	dialed     bool          // this entry opened the connection
	maySend    bool          // false on the accepting end until the first update arrives
	wakeup     chan struct{} // signals that there may be something to send
	broadcasts *ring.Ring[broadcast]

	lastReceived      time.Time     // time of the last update from the peer
	peerInterval      time.Duration // maximum interval between updates that the peer announced
	receivedLoad      receivedLoad
	peerAggregator    string              // announced by the peer; empty if none was
	sentAggregator    string              // announced to the peer
	peerLinks         map[string]bool     // entries to which the peer is connected
	peerDocuments     map[string]document // what the peer has, by kind; without bodies
	lastSent          time.Time           // time of the last update to the peer
	lastWoken         time.Time           // when the scheduler last woke the link
	sentChanges       uint64              // Mesh.changes at the last update
	loadVersion       uint64              // Mesh.loadVersion at the last update
	lastGossip        time.Time           // time of the last update with gossip
	sentLoad          sentLoad
	sentDocuments     map[string]document // announced to the peer, by kind; without bodies
	sentJoined        map[string]Identity // connected entries announced to the peer
	announcedInterval time.Duration       // maximum interval between updates announced to the peer
}

func newLink(peer *rpc.Peer, dialed bool, now time.Time) *link {
	return &link{
		peer: peer, id: identityOf(peer.Identity), dialed: dialed, maySend: dialed, lastReceived: now,
		wakeup: make(chan struct{}, 1), broadcasts: ring.New[broadcast](maxPendingBroadcasts, ring.DropOldest),
		receivedLoad: receivedLoad{}, peerLinks: map[string]bool{}, peerDocuments: map[string]document{},
		sentLoad: newSentLoad(), sentDocuments: map[string]document{}, sentJoined: map[string]Identity{},
	}
}

// silent reports whether the peer's updates have been missing for longer than
// its timeout.
func (l *link) silent(now time.Time) bool {
	return now.Sub(l.lastReceived) >= peerTimeout(l.peerInterval)
}

func (l *link) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// admit starts using a new connection or closes it. Of two connections between
// the same two processes, both ends keep the one dialed by the entry whose name
// sorts lower.
func (m *Mesh) admit(peer *rpc.Peer, dialed bool) {
	now := time.Now()
	m.mu.Lock()
	l := newLink(peer, dialed, now)
	if m.ctx == nil || m.stopped || !m.acceptable(l, now) {
		m.mu.Unlock()
		_ = peer.Close()
		return
	}
	replaced := m.links[l.id.Name]
	if replaced != nil {
		m.unlink(replaced, now)
	}
	added := m.members.addOrUpdate(l.id, true, now)
	m.members.markConnected(l.id.Name)
	m.links[l.id.Name] = l
	m.chooseAggregator()
	if m.firstConnected.IsZero() {
		m.firstConnected = now
	}
	m.markChanged()
	m.wakeScheduler()
	ctx := m.ctx
	m.goroutines.Go(func() { m.writeLoop(ctx, l) })
	m.mu.Unlock()
	l.wake()
	if replaced != nil {
		_ = replaced.peer.Close()
	}
	if added {
		m.requestRowRead()
	}
	event.Log(m.log, event.EntryConnected, event.Peer(l.id.Name), event.Subject(l.id.Incarnation))
	if m.opts.OnConnect != nil {
		m.opts.OnConnect(l.id.Name)
	}
}

// acceptable reports whether a new connection should be used.
func (m *Mesh) acceptable(l *link, now time.Time) bool {
	if l.id.Name == "" || l.id.Address == "" || l.id.Name == m.self.Name {
		return false
	}
	return m.preferred(l, now)
}

// preferred reports whether a new connection should replace the existing one. A
// silent connection and one to a different incarnation are always replaced;
// otherwise the rule described at admit decides.
func (m *Mesh) preferred(l *link, now time.Time) bool {
	old := m.links[l.id.Name]
	if old == nil || old.id.Incarnation != l.id.Incarnation || old.silent(now) {
		return true
	}
	dialedByLowerName := func(x *link) bool { return x.dialed == (m.self.Name < x.id.Name) }
	return dialedByLowerName(l) || !dialedByLowerName(old)
}

// unlink stops using a connection and reports whether it was in use. The caller
// holds mu.
func (m *Mesh) unlink(l *link, now time.Time) bool {
	if m.links[l.id.Name] != l {
		return false
	}
	delete(m.links, l.id.Name)
	m.chooseAggregator()
	m.rolesChanged()
	m.members.markDisconnected(l.id.Name, now)
	m.markChanged()
	m.wakeScheduler()
	return true
}

// disconnect closes a connection and logs the reason if it was in use.
func (m *Mesh) disconnect(l *link, reason string) {
	m.mu.Lock()
	unlinked := m.unlink(l, time.Now())
	m.mu.Unlock()
	_ = l.peer.Close()
	if unlinked {
		event.Log(m.log, event.EntryLost, event.Peer(l.id.Name), event.Reason(reason))
	}
}

// writeLoop sends pending updates and broadcasts whenever the link is woken,
// until the connection or ctx ends. A peer that does not read blocks only this
// goroutine.
func (m *Mesh) writeLoop(ctx context.Context, l *link) {
	for {
		select {
		case <-l.wakeup:
		case <-l.peer.Done():
			m.disconnect(l, "connection ended")
			return
		case <-ctx.Done():
			_ = l.peer.Close()
			return
		}
		if err := m.flush(ctx, l); err != nil {
			m.disconnect(l, err.Error())
			return
		}
	}
}

func (m *Mesh) flush(ctx context.Context, l *link) error {
	if !m.maySend(l) {
		return nil // handleUpdate wakes the link
	}
	if u, ok := m.composeUpdate(l); ok {
		if err := rpc.Notify(ctx, l.peer, methodUpdate, u); err != nil {
			return err
		}
	}
	for l.broadcasts.Len() > 0 {
		n, err := l.broadcasts.Take(ctx)
		if err != nil {
			return err
		}
		if err := rpc.Notify(ctx, l.peer, n.method, n.params); err != nil {
			return err
		}
	}
	return nil
}

// maySend reports whether this end may send. The accepting end waits for the
// first update, which shows that the other end has admitted the connection.
func (m *Mesh) maySend(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return l.maySend
}

// composeUpdate returns the next update for a peer. It returns false if there is
// nothing to send and no heartbeat is due.
func (m *Mesh) composeUpdate(l *link) (update, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var u update
	if announcedInterval := m.announcedInterval(l); announcedInterval != l.announcedInterval {
		l.announcedInterval = announcedInterval
		u.NextMS = announcedInterval.Milliseconds()
	}
	l.sentChanges = m.changes
	if l.loadVersion != m.loadVersion {
		l.loadVersion = m.loadVersion
		l.sentLoad.addDelta(&u, m.loadFor(l))
	}
	if l.sentAggregator != m.aggregator {
		l.sentAggregator, u.Aggregator = m.aggregator, m.aggregator
	}
	withGossip := now.Sub(l.lastGossip) >= gossipInterval
	m.addDocuments(&u, l, withGossip)
	if withGossip {
		m.addMembers(&u, l)
		l.lastGossip = now
	}
	if u.empty() && now.Sub(l.lastSent)+sendSlack < l.announcedInterval {
		return u, false
	}
	l.lastSent = now
	m.counters.updates++
	return u, true
}

// addMembers adds changes in this entry's connections to an update. It omits
// entries to which the peer itself is connected.
func (m *Mesh) addMembers(u *update, l *link) {
	for name, other := range m.links {
		if other == l || l.peerLinks[name] || l.sentJoined[name] == other.id {
			continue
		}
		l.sentJoined[name] = other.id
		u.Joined = append(u.Joined, other.id)
	}
	for name := range l.sentJoined {
		if m.links[name] == nil {
			delete(l.sentJoined, name)
			u.Left = append(u.Left, name)
		}
	}
}

// handleUpdate applies an update from a peer.
func (m *Mesh) handleUpdate(_ context.Context, peer *rpc.Peer, u update) (struct{}, error) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[peer.Identity.Name]
	if l == nil || l.peer != peer {
		return struct{}{}, nil // the connection is no longer in use
	}
	l.lastReceived = now
	if u.NextMS > 0 {
		l.peerInterval = time.Duration(min(u.NextMS, maxAnnounced.Milliseconds())) * time.Millisecond
	}
	m.receiveAggregator(l, u.Aggregator)
	m.receiveLoad(l, &u)
	for _, id := range u.Joined {
		l.peerLinks[id.Name] = true
		if m.members.addOrUpdate(id, false, now) {
			m.wakeScheduler()
		}
	}
	for _, name := range u.Left {
		delete(l.peerLinks, name)
	}
	m.receiveDocumentVersions(l, u.Documents)
	if !l.maySend {
		l.maySend = true
		l.wake()
	}
	return struct{}{}, nil
}
