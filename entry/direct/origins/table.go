package origins

import "time"

const (
	// recordTTL is longer than clients wait for a stream, over all their requests.
	recordTTL = time.Minute

	// MaxSplitTimeout is the longest time that a request for a stream may take to which splits
	// apply: one that lasts longer may outlive its record before its client resumes it, and then
	// nothing would tell it from a stream that never needed a record.
	MaxSplitTimeout = recordTTL - resumeTime

	maxRecords = 1 << 16 // of one entry; the oldest are dropped
)

// record is what an entry knows of the software version that began a stream.
type record struct {
	software string
	revision int
	maker    string    // entry whose record this is a copy of; empty for a record of this entry
	at       time.Time // when it was written

	exposed bool // the store may have it
	other   bool // the store may have one of another version, which this one replaced
}

// own reports whether this entry made the record, so that no other is newer.
func (r record) own() bool { return r.maker == "" }

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

// put writes a record of this entry and drops those that have expired. It replaces one of
// another version.
func (t *table) put(s Stream, software string, now time.Time) {
	revision := 0
	if old, found := t.find(s, now); found {
		revision = old.revision
		if old.software != software {
			revision++
		}
	}
	t.write(s, record{software: software, revision: revision, at: now})
}

// replaced takes over from the record that the latest one replaced what the store may have of it.
// writing says that it was being written to the store.
func (t *table) replaced(s Stream, old record, writing bool) {
	r := t.records[s]
	if r.software == old.software {
		r.exposed, r.other = old.exposed, old.other
	} else {
		r.other = old.other || old.exposed || writing
	}
	t.records[s] = r
}

// markExposed records that the store may have the records, as far as they have not been replaced.
func (t *table) markExposed(records []Record) {
	for _, written := range records {
		r, known := t.records[written.Stream]
		if known && r.own() && r.software == written.Software {
			r.exposed = true
			t.records[written.Stream] = r
		}
	}
}

// putCopy writes a copy of another entry's record unless a newer record is known.
func (t *table) putCopy(r Record, maker string, now time.Time) {
	old, found := t.find(r.Stream, now)
	if found && (old.revision > r.Revision || old.own() && old.revision == r.Revision) {
		return
	}
	if found && old.revision == r.Revision && old.maker == maker && now.Sub(old.at) < recordTTL/2 {
		return // sent again
	}
	t.write(r.Stream, record{software: r.Software, revision: r.Revision, maker: maker, at: now})
}

func (t *table) write(s Stream, r record) {
	t.records[s] = r
	t.order = append(t.order, written{stream: s, at: r.at})
	t.expire(r.at)
}

func (t *table) expire(now time.Time) {
	n := 0
	for n < len(t.order) && (now.Sub(t.order[n].at) >= recordTTL || len(t.records) > maxRecords) {
		w := t.order[n]
		if t.records[w.stream].at.Equal(w.at) {
			delete(t.records, w.stream)
		}
		n++
	}
	t.order = t.order[n:]
}

// find returns the record of the stream.
func (t *table) find(s Stream, now time.Time) (record, bool) {
	r, ok := t.records[s]
	if !ok || now.Sub(r.at) >= recordTTL {
		return record{}, false
	}
	return r, true
}

// get returns the software version that began the stream.
func (t *table) get(s Stream, now time.Time) (software string, found bool) {
	r, found := t.find(s, now)
	return r.software, found
}

// ownOf returns the streams of a service of which this entry has made the records.
func (t *table) ownOf(service string, now time.Time) []Stream {
	var out []Stream
	for s, r := range t.records {
		if s.Service == service && r.own() && now.Sub(r.at) < recordTTL {
			out = append(out, s)
		}
	}
	return out
}

// record returns the record of the stream in the form for messages and rows.
func (t *table) record(s Stream, now time.Time) (Record, bool) {
	r, found := t.find(s, now)
	return Record{Stream: s, Software: r.software, Revision: r.revision}, found
}
