package mesh

import (
	"context"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/ring"
	"peridotchute.example/rpc"
)

// noticesKept is the number of broadcasts that wait for a peer that does not
// read; the oldest is dropped beyond.
const noticesKept = 64

// notice is a broadcast on its way to one peer.
type notice struct {
	method string
	params any
}

// link is the connection to one peer. Mesh.mu guards all but the channels.
type link struct {
	peer   *rpc.Peer
	id     Identity
	dialed bool          // by this entry
	speaks bool          // the accepting end is silent until it has heard of the other
	kick   chan struct{} // holds one when there may be something to send
	out    *ring.Ring[notice]

	heard   time.Time     // when the peer told something last
	next    time.Duration // longest time to its next update, as it announced
	load    heardLoad
	claims  map[string]bool     // entries that it is connected to
	holds   map[string]document // versions and ages only, by kind
	sent    time.Time           // of the last update
	kicked  time.Time           // when the scheduler woke the link last
	seen    uint64              // Mesh.news at the last update
	loads   uint64              // Mesh.loads at the last update
	gossip  time.Time           // of the last update with gossip
	said    saidLoad
	saidDoc map[string]document
	joined  map[string]Identity // entries of which the peer was told
	pace    time.Duration       // announced to the peer
}

func newLink(peer *rpc.Peer, dialed bool, now time.Time) *link {
	return &link{
		peer: peer, id: identityOf(peer.Identity), dialed: dialed, speaks: dialed, heard: now,
		kick: make(chan struct{}, 1), out: ring.New[notice](noticesKept, ring.DropOldest),
		load: heardLoad{}, claims: map[string]bool{}, holds: map[string]document{},
		said: newSaidLoad(), saidDoc: map[string]document{}, joined: map[string]Identity{},
	}
}

// silent reports whether the peer has been quiet for too long.
func (l *link) silent(now time.Time) bool { return now.Sub(l.heard) >= patience(l.next) }

func (l *link) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// admit takes a new connection in, or closes it. Of two connections between
// the same two processes, both ends keep the one that the lower-named dialed.
func (m *Mesh) admit(peer *rpc.Peer, dialed bool) {
	now := time.Now()
	m.mu.Lock()
	l := newLink(peer, dialed, now)
	if m.ctx == nil || m.stopped || !m.welcome(l, now) {
		m.mu.Unlock()
		_ = peer.Close()
		return
	}
	replaced := m.links[l.id.Name]
	if replaced != nil {
		m.unlink(replaced, now)
	}
	news := m.members.learn(l.id, true, now)
	m.members.connected(l.id.Name)
	m.links[l.id.Name] = l
	m.changed()
	m.poke()
	ctx := m.ctx
	m.writers.Go(func() { m.write(ctx, l) })
	m.mu.Unlock()
	l.wake()
	if replaced != nil {
		_ = replaced.peer.Close()
	}
	if news {
		m.readRowsSoon()
	}
	event.Log(m.log, event.EntryLinked, event.Peer(l.id.Name), event.Subject(l.id.Incarnation))
}

// welcome reports whether a new connection is to be used.
func (m *Mesh) welcome(l *link, now time.Time) bool {
	if l.id.Name == "" || l.id.Address == "" || l.id.Name == m.self.Name {
		return false
	}
	return m.preferred(l, now)
}

// preferred reports whether a new connection goes before the one that there is.
func (m *Mesh) preferred(l *link, now time.Time) bool {
	old := m.links[l.id.Name]
	if old == nil || old.id.Incarnation != l.id.Incarnation || old.silent(now) {
		return true
	}
	byLower := func(x *link) bool { return x.dialed == (m.self.Name < x.id.Name) }
	return byLower(l) || !byLower(old)
}

// unlink takes a connection out of use. It reports whether it was in use.
func (m *Mesh) unlink(l *link, now time.Time) bool {
	if m.links[l.id.Name] != l {
		return false
	}
	delete(m.links, l.id.Name)
	l.load.drop(m.totals)
	m.members.disconnected(l.id.Name, now)
	m.changed()
	m.poke()
	return true
}

// lose ends a connection for a reason.
func (m *Mesh) lose(l *link, reason string) {
	m.mu.Lock()
	used := m.unlink(l, time.Now())
	m.mu.Unlock()
	_ = l.peer.Close()
	if used {
		event.Log(m.log, event.EntryUnlinked, event.Peer(l.id.Name), event.Reason(reason))
	}
}

// write sends what a peer lacks whenever the link is woken, until it ends. A
// peer that does not read holds up nobody but this goroutine.
func (m *Mesh) write(ctx context.Context, l *link) {
	for {
		select {
		case <-l.kick:
		case <-l.peer.Done():
			m.lose(l, "connection ended")
			return
		case <-ctx.Done():
			_ = l.peer.Close()
			return
		}
		if err := m.flush(ctx, l); err != nil {
			m.lose(l, err.Error())
			return
		}
	}
}

func (m *Mesh) flush(ctx context.Context, l *link) error {
	if !m.speaks(l) {
		return nil // receive wakes the link
	}
	if u, ok := m.compose(l); ok {
		if err := rpc.Notify(ctx, l.peer, methodUpdate, u); err != nil {
			return err
		}
	}
	for l.out.Len() > 0 {
		n, err := l.out.Take(ctx)
		if err != nil {
			return err
		}
		if err := rpc.Notify(ctx, l.peer, n.method, n.params); err != nil {
			return err
		}
	}
	return nil
}

// speaks reports whether this end may send. The accepting end waits for the
// first update of the other, which by then has taken the connection in.
func (m *Mesh) speaks(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return l.speaks
}

// compose makes the update that a peer is due.
func (m *Mesh) compose(l *link) (update, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var u update
	if pace := heartbeat(len(m.links)); pace != l.pace {
		l.pace = pace
		u.NextMS = pace.Milliseconds()
	}
	l.seen = m.news
	if l.loads != m.loads {
		l.loads = m.loads
		l.said.add(&u, m.load)
	}
	whole := now.Sub(l.gossip) >= gossipInterval
	m.addDocuments(&u, l, whole, now)
	if whole {
		m.addMembers(&u, l)
		l.gossip = now
	}
	if u.empty() && now.Sub(l.sent)+sendSlack < l.pace {
		return u, false
	}
	l.sent = now
	m.counts.updates++
	return u, true
}

// addMembers tells which entries this one is connected to, but for those that
// the peer is connected to itself.
func (m *Mesh) addMembers(u *update, l *link) {
	for name, other := range m.links {
		if other == l || l.claims[name] || l.joined[name] == other.id {
			continue
		}
		l.joined[name] = other.id
		u.Joined = append(u.Joined, other.id)
	}
	for name := range l.joined {
		if m.links[name] == nil {
			delete(l.joined, name)
			u.Left = append(u.Left, name)
		}
	}
}

// receive takes in an update of a peer.
func (m *Mesh) receive(_ context.Context, peer *rpc.Peer, u update) (struct{}, error) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[peer.Identity.Name]
	if l == nil || l.peer != peer {
		return struct{}{}, nil // of a connection that is no longer in use
	}
	l.heard = now
	if u.NextMS > 0 {
		l.next = time.Duration(u.NextMS) * time.Millisecond
	}
	l.load.apply(&u, m.totals)
	for _, id := range u.Joined {
		l.claims[id.Name] = true
		if m.members.learn(id, false, now) {
			m.poke()
		}
	}
	for _, name := range u.Left {
		delete(l.claims, name)
	}
	m.noteHeld(l, u.Held, now)
	if !l.speaks {
		l.speaks = true
		l.wake()
	}
	return struct{}{}, nil
}
