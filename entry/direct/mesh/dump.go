package mesh

import "time"

// Dump is the mesh's section of the state dump.
type Dump struct {
	Self      Identity                `json:"self"`
	Peers     []PeerDump              `json:"peers"`
	Documents map[string]DocumentDump `json:"documents"` // by kind
	Updates   uint64                  `json:"updates"`   // sent since the start
	Taken     uint64                  `json:"documents_taken"`
	RowCalls  uint64                  `json:"row_calls"` // to the table service
}

// PeerDump describes one peer.
type PeerDump struct {
	Identity
	Connected bool  `json:"connected"`
	SilentMS  int64 `json:"silent_ms"`
	AloneMS   int64 `json:"alone_ms"`
	Listed    bool  `json:"listed"`
}

// DocumentDump describes a document that is held.
type DocumentDump struct {
	Version int64 `json:"version"`
	AgeMS   int64 `json:"age_ms"`
	Bytes   int   `json:"bytes"`
	Own     bool  `json:"own"` // read here, not taken from a peer
}

// DumpState returns the mesh's section of the state dump.
func (m *Mesh) DumpState() any {
	d := Dump{Self: m.self, Documents: map[string]DocumentDump{}}
	for _, p := range m.Peers() {
		d.Peers = append(d.Peers, PeerDump{
			Identity: p.Identity, Connected: p.Connected, Listed: p.Listed,
			SilentMS: p.Silent.Milliseconds(), AloneMS: p.Alone.Milliseconds(),
		})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for kind, held := range m.documents {
		age := time.Since(held.asOf).Milliseconds()
		d.Documents[kind] = DocumentDump{Version: held.version, AgeMS: age, Bytes: len(held.body), Own: held.own}
	}
	d.Updates, d.Taken, d.RowCalls = m.counts.updates, m.counts.documents, m.counts.rowCalls
	return d
}
