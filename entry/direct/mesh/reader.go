package mesh

import (
	"slices"
	"time"
)

const (
	// ReaderInterval is the interval at which the reader, the entry returned by
	// RegistryReader, reads the registrations. Including propagation to its peers,
	// it leaves time for the last requests of a server that drains for two seconds.
	ReaderInterval = 600 * time.Millisecond
	// MaxRegistryAge is the age of the known registrations at which an entry other
	// than the reader reads them itself.
	MaxRegistryAge = 900 * time.Millisecond
	// readerStagger is added to MaxRegistryAge per lower-named entry other than the
	// reader, so that one entry reads for the others while the reader cannot.
	readerStagger = 100 * time.Millisecond
	// maxStagger bounds the total stagger of an entry.
	maxStagger = 500 * time.Millisecond
)

// RegistryReader returns the name of the entry that reads the registrations for
// all: the lowest of self and the connected peers.
func RegistryReader(self string, peers []string) string {
	reader := self
	for _, p := range peers {
		reader = min(reader, p)
	}
	return reader
}

// NextReading returns when an entry should next read the registrations: the
// reader every ReaderInterval, any other entry once the list it has is too old.
// attempted is the start of its own last read, even if that failed. asOf is when
// its list was read from the store, by any entry. Zero times mean never.
func NextReading(self string, peers []string, attempted, asOf time.Time) time.Time {
	next := attempted.Add(ReaderInterval)
	if RegistryReader(self, peers) == self {
		return next
	}
	fallback := asOf.Add(MaxRegistryAge + stagger(self, peers))
	if fallback.After(next) {
		return fallback
	}
	return next
}

// stagger returns the extra wait of an entry that is not the reader. It grows
// with the number of peers whose names sort before self.
func stagger(self string, peers []string) time.Duration {
	preceding := len(slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return p >= self }))
	return min(time.Duration(max(preceding-1, 0))*readerStagger, maxStagger)
}
