package origins

import "time"

const (
	// recordTTL is longer than clients wait for a stream, over all their requests.
	recordTTL = time.Minute

	maxRecords = 1 << 16 // of one entry; the oldest are dropped
)

// Stream identifies a stream.
type Stream struct {
	Service string `json:"service"`
	ID      string `json:"id"` // of the request that brought its first event
}

// record is the software version that began a stream.
type record struct {
	software string
	at       time.Time // when it was written
}

// table holds the records of the last recordTTL. It is not safe for concurrent
// use.
type table struct {
	records map[Stream]record
	order   []written // the oldest first
}

// written is one write of a record, which a later one may have replaced.
type written struct {
	stream Stream
	at     time.Time
}

func newTable() *table { return &table{records: map[Stream]record{}} }

// put writes a record and drops those that have expired.
func (t *table) put(s Stream, software string, now time.Time) {
	t.records[s] = record{software: software, at: now}
	t.order = append(t.order, written{stream: s, at: now})
	t.expire(now)
}

func (t *table) expire(now time.Time) {
	n := 0
	for n < len(t.order) && (now.Sub(t.order[n].at) >= recordTTL || len(t.order)-n > maxRecords) {
		w := t.order[n]
		if t.records[w.stream].at.Equal(w.at) {
			delete(t.records, w.stream)
		}
		n++
	}
	t.order = t.order[n:]
}

// get returns the software version that began the stream.
func (t *table) get(s Stream, now time.Time) (software string, found bool) {
	r, ok := t.records[s]
	if !ok || now.Sub(r.at) >= recordTTL {
		return "", false
	}
	return r.software, true
}

// ofService returns the records of a service.
func (t *table) ofService(service string, now time.Time) map[Stream]string {
	out := map[Stream]string{}
	for s, r := range t.records {
		if s.Service == service && now.Sub(r.at) < recordTTL {
			out[s] = r.software
		}
	}
	return out
}
