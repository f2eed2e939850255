package mesh

// Dump is the mesh section of the state dump.
type Dump struct {
	Self              Identity                `json:"self"`
	Peers             []PeerDump              `json:"peers"`
	Aggregator        string                  `json:"aggregator"`      // name of the entry that this one tells its load to; its own if it tells all
	Documents         map[string]DocumentDump `json:"documents"`       // by kind
	Updates           uint64                  `json:"updates"`         // updates sent since the start
	DocumentsReceived uint64                  `json:"documents_taken"` // documents received from peers since the start
	RowCalls          uint64                  `json:"row_calls"`       // calls to the table service since the start
}

// PeerDump is the state of one peer.
type PeerDump struct {
	Identity
	Connected bool  `json:"connected"`
	SilentMS  int64 `json:"silent_ms"` // time since the last update, if connected
	AloneMS   int64 `json:"alone_ms"`  // time since the disconnect, otherwise
	Listed    bool  `json:"listed"`    // has a row in the table
}

// DocumentDump is the state of one stored document.
type DocumentDump struct {
	Version int64 `json:"version"`
	AgeMS   int64 `json:"age_ms"`
	Bytes   int   `json:"bytes"`
	Own     bool  `json:"own"` // read by this entry rather than received from a peer
}

// DumpState returns the mesh section of the state dump.
func (m *Mesh) DumpState() any {
	d := Dump{Self: m.self, Documents: map[string]DocumentDump{}}
	for _, p := range m.Peers() {
		d.Peers = append(d.Peers, PeerDump{
			Identity: p.Identity, Connected: p.Connected, Listed: p.Listed,
			SilentMS: p.SinceLastUpdate.Milliseconds(), AloneMS: p.DisconnectedFor.Milliseconds(),
		})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for kind, doc := range m.documents {
		age := m.documentTime().Sub(doc.asOf).Milliseconds()
		d.Documents[kind] = DocumentDump{Version: doc.version, AgeMS: age, Bytes: len(doc.body), Own: doc.local}
	}
	d.Aggregator = m.aggregator
	d.Updates, d.DocumentsReceived, d.RowCalls = m.counters.updates, m.counters.documents, m.counters.rowCalls
	return d
}
