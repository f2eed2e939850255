package placement

import (
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
)

// entryState is where an artifact stands in the ledger.
type entryState int

const (
	reserved  entryState = iota // ordered, outcome not confirmed: counted as taken
	resident                    // confirmed by the engine
	unloading                   // unload ordered, not confirmed: still counted
)

type ledgerEntry struct {
	bytes   int64
	state   entryState
	expires time.Time // of the order that is not confirmed
}

// Ledger is the sole authority over one server's accelerator memory.
//
// Invariant: the bytes of every artifact that may be in memory, by any order
// given, never exceed the capacity.
type Ledger struct {
	capacity int64
	entries  map[wire.Artifact]ledgerEntry
}

// NewLedger returns the ledger of a server with capacity bytes for weights.
func NewLedger(capacity int64) *Ledger {
	return &Ledger{capacity: capacity, entries: map[wire.Artifact]ledgerEntry{}}
}

// Used returns the bytes counted as taken.
func (l *Ledger) Used() int64 {
	var sum int64
	for _, e := range l.entries {
		sum += e.bytes
	}
	return sum
}

// Free returns the bytes that may be reserved.
func (l *Ledger) Free() int64 { return l.capacity - l.Used() }

// Reserve counts an artifact as taken before its load is ordered. The error
// has KindConflict when it is already there and KindRefused when it does not fit.
func (l *Ledger) Reserve(a wire.Artifact, bytes int64, expires time.Time) error {
	if _, ok := l.entries[a]; ok {
		return fault.Newf(fault.KindConflict, "ledger.reserve", "", "%s is already counted", a)
	}
	if bytes > l.Free() {
		return fault.Newf(fault.KindRefused, "ledger.reserve", "", "%s needs %d bytes, %d are free", a, bytes, l.Free())
	}
	l.entries[a] = ledgerEntry{bytes: bytes, state: reserved, expires: expires}
	return nil
}

// Confirm records that the engine holds the artifact.
func (l *Ledger) Confirm(a wire.Artifact) {
	if e, ok := l.entries[a]; ok {
		e.state = resident
		l.entries[a] = e
	}
}

// Unload records that an unload was ordered; the bytes stay counted.
func (l *Ledger) Unload(a wire.Artifact, expires time.Time) {
	if e, ok := l.entries[a]; ok {
		e.state = unloading
		e.expires = expires
		l.entries[a] = e
	}
}

// Release stops counting an artifact that the engine no longer holds.
func (l *Ledger) Release(a wire.Artifact) { delete(l.entries, a) }

// Resident reports whether requests for the artifact may be sent.
func (l *Ledger) Resident(a wire.Artifact) bool {
	e, ok := l.entries[a]
	return ok && e.state == resident
}
