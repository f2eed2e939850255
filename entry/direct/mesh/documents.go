package mesh

import (
	"bytes"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/rpc"
)

const (
	// documentTimeout bounds the delivery of a document; the largest take a
	// second over the slowest link.
	documentTimeout = 3 * time.Second
	// documentRetry is the wait before a document that did not come is asked for again.
	documentRetry = 100 * time.Millisecond
	// fresher is the difference in age at which the same version counts as news.
	fresher = 200 * time.Millisecond
)

// Document is something that all entries share in its newest version, such as
// the configuration or the registrations of the backend servers. The mesh does
// not look into it.
type Document struct {
	Kind    string
	Version int64
	Body    []byte
	Age     time.Duration // since its owner knew it to be the newest
}

// document is a document as it is held.
type document struct {
	version int64
	asOf    time.Time // since when it may no longer be the newest
	body    []byte
	own     bool // offered here and not taken from a peer
}

// ahead reports whether d is news to whoever holds other.
func (d document) ahead(other document) bool {
	if d.version != other.version {
		return d.version > other.version
	}
	return d.version > 0 && d.asOf.Sub(other.asOf) >= fresher
}

// Offer shares a document with the peers that are behind. Offering the version
// that is held already renews its age.
func (m *Mesh) Offer(d Document) {
	m.mu.Lock()
	defer m.mu.Unlock()
	offered := document{version: d.Version, asOf: time.Now().Add(-d.Age), body: bytes.Clone(d.Body), own: true}
	if !offered.ahead(m.documents[d.Kind]) {
		return
	}
	m.documents[d.Kind] = offered
	m.urgent = true
	m.changed()
}

// addDocuments tells which documents this entry holds. Those that came from a
// peer are told with gossip only, since most peers have them from the same one.
func (m *Mesh) addDocuments(u *update, l *link, whole bool, now time.Time) {
	for kind, d := range m.documents {
		if !whole && !d.own || !d.ahead(l.saidDoc[kind]) || !d.ahead(l.holds[kind]) {
			continue
		}
		l.saidDoc[kind] = document{version: d.version, asOf: d.asOf}
		if u.Held == nil {
			u.Held = map[string]heldNote{}
		}
		u.Held[kind] = heldNote{Version: d.version, AgeMS: now.Sub(d.asOf).Milliseconds()}
	}
}

// noteHeld takes in what a peer holds and asks for what it has newer.
func (m *Mesh) noteHeld(l *link, held map[string]heldNote, now time.Time) {
	for kind, note := range held {
		l.holds[kind] = document{version: note.Version, asOf: now.Add(-time.Duration(note.AgeMS) * time.Millisecond)}
		if m.pulling[kind] || m.stopped || !l.holds[kind].ahead(m.documents[kind]) {
			continue
		}
		m.pulling[kind] = true
		ctx := m.ctx
		m.writers.Go(func() { m.pull(ctx, kind) })
	}
}

// pull takes a document from the peers that have it newer, until none has.
func (m *Mesh) pull(ctx context.Context, kind string) {
	_ = clock.Sleep(ctx, m.opts.Patience[kind])
	for {
		l, have := m.source(kind)
		if l == nil || ctx.Err() != nil {
			return
		}
		asked := time.Now()
		query := documentQuery{Kind: kind, Sum: sum(have.body)}
		callCtx, cancel := context.WithTimeout(ctx, documentTimeout)
		reply, err := rpc.Call[documentQuery, documentReply](callCtx, l.peer, methodDocument, query)
		cancel()
		if err != nil {
			event.Log(m.log, event.DocumentFailed, event.Peer(l.id.Name), event.Subject(kind), event.Err(err))
			m.distrust(l, kind)
			_ = clock.Sleep(ctx, documentRetry)
			continue
		}
		m.take(l, kind, have.body, reply, asked)
	}
}

// source returns a peer that has a document newer, one of the own region first.
// When there is none, pulling has ended.
func (m *Mesh) source(kind string) (*link, document) {
	m.mu.Lock()
	defer m.mu.Unlock()
	have := m.documents[kind]
	var best *link
	for _, l := range m.links {
		if !l.holds[kind].ahead(have) {
			continue
		}
		if best == nil || l.id.Region == m.self.Region && best.id.Region != m.self.Region {
			best = l
		}
	}
	if best == nil || m.stopped {
		m.pulling[kind] = false
		return nil, have
	}
	return best, have
}

// distrust forgets what a peer said to hold until it says so again.
func (m *Mesh) distrust(l *link, kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(l.holds, kind)
}

// take holds a document that a peer has delivered and hands it on. Its age
// includes the time that the call took, so that it never looks too fresh.
func (m *Mesh) take(l *link, kind string, known []byte, reply documentReply, asked time.Time) {
	taken := document{
		version: reply.Version, body: reply.Body,
		asOf: asked.Add(-time.Duration(reply.AgeMS) * time.Millisecond),
	}
	if reply.Same {
		taken.body = known
	}
	m.mu.Lock()
	l.holds[kind] = document{version: taken.version, asOf: taken.asOf}
	news := taken.ahead(m.documents[kind])
	if news {
		m.documents[kind] = taken
		m.counts.documents++
	}
	m.mu.Unlock()
	if !news {
		return
	}
	event.Log(m.log, event.DocumentTaken, event.Peer(l.id.Name), event.Subject(kind), event.Count(taken.version))
	if m.opts.OnDocument != nil {
		m.opts.OnDocument(Document{Kind: kind, Version: taken.version, Body: taken.body, Age: time.Since(taken.asOf)})
	}
}

// deliver answers a peer that asks for a document.
func (m *Mesh) deliver(_ context.Context, _ *rpc.Peer, q documentQuery) (documentReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.documents[q.Kind]
	if !ok {
		return documentReply{}, fault.Newf(fault.KindNotFound, methodDocument, "", "no document %q", q.Kind)
	}
	reply := documentReply{Version: d.version, AgeMS: time.Since(d.asOf).Milliseconds()}
	if q.Sum != 0 && q.Sum == sum(d.body) {
		reply.Same = true
		return reply, nil
	}
	reply.Body = d.body
	return reply, nil
}

// sum is the digest of a body; 0 stands for none.
func sum(body []byte) uint64 {
	if body == nil {
		return 0
	}
	return max(xxhash.Sum64(body), 1)
}
