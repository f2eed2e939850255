package origins

// Stream identifies a stream.
type Stream struct {
	Service string `json:"service"`
	ID      string `json:"id"` // of the request that brought its first event
}

// Record says which software version began a stream.
type Record struct {
	Stream
	Software string `json:"software"`
	Revision int    `json:"revision,omitempty"` // one with a higher revision replaces it
}

// Records are records in a compact form, for messages and rows.
type Records struct {
	First map[string]map[string][]string `json:"first,omitempty"` // of revision 0: the streams, by service and software version
	Later []Record                       `json:"later,omitempty"` // of higher revisions
}

func (m *Records) add(r Record) {
	if r.Revision > 0 {
		m.Later = append(m.Later, r)
		return
	}
	if m.First == nil {
		m.First = map[string]map[string][]string{}
	}
	if m.First[r.Service] == nil {
		m.First[r.Service] = map[string][]string{}
	}
	m.First[r.Service][r.Software] = append(m.First[r.Service][r.Software], r.ID)
}

// each calls f for each record.
func (m *Records) each(f func(Record)) {
	for service, bySoftware := range m.First {
		for software, ids := range bySoftware {
			for _, id := range ids {
				f(Record{Stream: Stream{Service: service, ID: id}, Software: software})
			}
		}
	}
	for _, r := range m.Later {
		f(r)
	}
}
