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
	// documentTimeout is the timeout of a document transfer. The largest documents
	// take a second over the slowest link.
	documentTimeout = 3 * time.Second
	// documentRetryDelay is the wait after a failed transfer.
	documentRetryDelay = 100 * time.Millisecond
	// minAgeRenewal is the minimum decrease in age for which the same version is
	// announced and transferred again.
	minAgeRenewal = 200 * time.Millisecond
)

// Document is a versioned value that is replicated to all entries, such as the
// configuration or the registrations of the backend servers. The newest version
// wins. The mesh does not interpret the body.
type Document struct {
	Kind    string
	Version int64
	Body    []byte
	Age     time.Duration // time since the version was last confirmed to be the newest
	Peer    string        // entry that sent it; empty in Offer
}

// document is a stored document.
type document struct {
	version int64
	asOf    time.Time // when the version was last confirmed to be the newest, by documentTime
	body    []byte
	local   bool // passed to Offer rather than received from a peer
}

// documentTime returns the reading of Options.Clock as a time.
func (m *Mesh) documentTime() time.Time { return time.Unix(0, 0).Add(m.opts.Clock()) }

// newerThan reports whether d should replace other: it has a higher version, or
// the same version confirmed at least minAgeRenewal later.
func (d document) newerThan(other document) bool {
	if d.version != other.version {
		return d.version > other.version
	}
	return d.version > 0 && d.asOf.Sub(other.asOf) >= minAgeRenewal
}

// Offer announces a document to the peers that do not have it. Offering the
// current version again renews its age. Older versions are ignored.
func (m *Mesh) Offer(d Document) {
	m.mu.Lock()
	defer m.mu.Unlock()
	offered := document{version: d.Version, asOf: m.documentTime().Add(-d.Age), body: bytes.Clone(d.Body), local: true}
	if !offered.newerThan(m.documents[d.Kind]) {
		return
	}
	m.documents[d.Kind] = offered
	m.urgent = true
	m.markChanged()
}

// addDocuments adds the versions of this entry's documents to an update.
// Documents received from a peer are announced only with gossip, since most peers
// have received them from the same peer, but by an aggregator with members.
func (m *Mesh) addDocuments(u *update, l *link, withGossip bool) {
	relayed := m.aggregator == m.self.Name && m.hasMembers() && m.exchangesLoad(l)
	for kind, d := range m.documents {
		if !withGossip && !d.local && !relayed || !d.newerThan(l.sentDocuments[kind]) || !d.newerThan(l.peerDocuments[kind]) {
			continue
		}
		l.sentDocuments[kind] = document{version: d.version, asOf: d.asOf}
		if u.Documents == nil {
			u.Documents = map[string]documentVersion{}
		}
		u.Documents[kind] = documentVersion{Version: d.version, AgeMS: m.documentTime().Sub(d.asOf).Milliseconds()}
	}
}

// receiveDocumentVersions records which documents a peer has and starts pulling
// the newer ones.
func (m *Mesh) receiveDocumentVersions(l *link, versions map[string]documentVersion) {
	for kind, version := range versions {
		l.peerDocuments[kind] = document{version: version.Version, asOf: m.documentTime().Add(-time.Duration(version.AgeMS) * time.Millisecond)}
		if m.pulling[kind] || m.stopped || !l.peerDocuments[kind].newerThan(m.documents[kind]) {
			continue
		}
		m.pulling[kind] = true
		ctx := m.ctx
		m.goroutines.Go(func() { m.pull(ctx, kind) })
	}
}

// pull requests a document from peers that have a newer version, until none has.
func (m *Mesh) pull(ctx context.Context, kind string) {
	_ = clock.Sleep(ctx, m.opts.PullDelay[kind])
	for {
		l, current := m.pullSource(kind)
		if l == nil || ctx.Err() != nil {
			return
		}
		sentAt := m.documentTime()
		query := documentQuery{Kind: kind, Sum: digest(current.body)}
		callCtx, cancel := context.WithTimeout(ctx, documentTimeout)
		reply, err := rpc.Call[documentQuery, documentReply](callCtx, l.peer, methodDocument, query)
		cancel()
		if err != nil {
			event.Log(m.log, event.DocumentFailed, event.Peer(l.id.Name), event.Subject(kind), event.Err(err))
			m.forgetPeerVersion(l, kind)
			_ = clock.Sleep(ctx, documentRetryDelay)
			continue
		}
		m.storePulled(l, kind, current.body, reply, sentAt)
	}
}

// pullSource returns a peer that has a newer version of a document, preferably
// one of this entry's region, and the current document. If there is no such peer,
// it returns nil and marks the pull as finished.
func (m *Mesh) pullSource(kind string) (*link, document) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.documents[kind]
	var best *link
	for _, l := range m.links {
		if !l.peerDocuments[kind].newerThan(current) {
			continue
		}
		if best == nil || l.id.Region == m.self.Region && best.id.Region != m.self.Region {
			best = l
		}
	}
	if best == nil || m.stopped {
		m.pulling[kind] = false
		return nil, current
	}
	return best, current
}

// forgetPeerVersion discards a peer's announcement of a document. The document is
// not requested from the peer until the peer announces it again.
func (m *Mesh) forgetPeerVersion(l *link, kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(l.peerDocuments, kind)
}

// storePulled stores a document received from a peer and calls OnDocument if it
// is newer than the current one. The age is counted from the start of the call,
// so that it is never underestimated.
func (m *Mesh) storePulled(l *link, kind string, currentBody []byte, reply documentReply, sentAt time.Time) {
	pulled := document{
		version: reply.Version, body: reply.Body,
		asOf: sentAt.Add(-time.Duration(reply.AgeMS) * time.Millisecond),
	}
	if reply.Same {
		pulled.body = currentBody
	}
	m.mu.Lock()
	l.peerDocuments[kind] = document{version: pulled.version, asOf: pulled.asOf}
	newer := pulled.newerThan(m.documents[kind])
	if newer {
		m.documents[kind] = pulled
		m.counters.documents++
		if m.hasMembers() {
			m.urgent = true
			m.markChanged()
		}
	}
	m.mu.Unlock()
	if !newer {
		return
	}
	event.Log(m.log, event.DocumentReceived, event.Peer(l.id.Name), event.Subject(kind), event.Count(pulled.version))
	if m.opts.OnDocument != nil {
		m.opts.OnDocument(Document{Kind: kind, Version: pulled.version, Body: pulled.body, Age: m.documentTime().Sub(pulled.asOf), Peer: l.id.Name})
	}
}

// handleDocumentQuery answers a peer's request for a document. KindNotFound means
// that this entry does not have it.
func (m *Mesh) handleDocumentQuery(_ context.Context, _ *rpc.Peer, q documentQuery) (documentReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.documents[q.Kind]
	if !ok {
		return documentReply{}, fault.Newf(fault.KindNotFound, methodDocument, "", "no document %q", q.Kind)
	}
	reply := documentReply{Version: d.version, AgeMS: m.documentTime().Sub(d.asOf).Milliseconds()}
	if q.Sum != 0 && q.Sum == digest(d.body) {
		reply.Same = true
		return reply, nil
	}
	reply.Body = d.body
	return reply, nil
}

// digest returns a hash of a body; 0 means that there is no body.
func digest(body []byte) uint64 {
	if body == nil {
		return 0
	}
	return max(xxhash.Sum64(body), 1)
}
