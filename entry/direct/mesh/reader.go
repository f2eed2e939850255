package mesh

import (
	"slices"
	"time"
)

const (
	// ReaderInterval is between readings of the registrations by the reader:
	// with the way to its peers it leaves a leaving server's last requests
	// time within a drain of two seconds.
	ReaderInterval = 600 * time.Millisecond
	// FreshLimit is the age of the registrations at which an entry reads them itself.
	FreshLimit = 900 * time.Millisecond
	// readerStagger is added for each entry that goes before, so that one of
	// them reads for the others while the reader cannot.
	readerStagger = 100 * time.Millisecond
	// maxStagger bounds the sum, so that no entry waits long.
	maxStagger = 500 * time.Millisecond
)

// Reader returns the entry that reads the registrations for the others: the
// lowest-named of self and the peers that it is connected to.
func Reader(self string, peers []string) string {
	reader := self
	for _, p := range peers {
		reader = min(reader, p)
	}
	return reader
}

// NextReading returns when an entry reads the registrations: the reader every
// ReaderInterval, any other once its list is too old. attempted is the start
// of its own last reading, failed ones included, and asOf the time at which its
// newest list was read by whoever read it; zero times mean never.
func NextReading(self string, peers []string, attempted, asOf time.Time) time.Time {
	next := attempted.Add(ReaderInterval)
	if Reader(self, peers) == self {
		return next
	}
	own := asOf.Add(FreshLimit + stagger(self, peers))
	if own.After(next) {
		return own
	}
	return next
}

// stagger grows with the number of peers that go before self.
func stagger(self string, peers []string) time.Duration {
	before := len(slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return p >= self }))
	return min(time.Duration(max(before-1, 0))*readerStagger, maxStagger)
}
