// Package scan provides what scans of table rows share: it assigns keys to
// shards and tracks how long each row has been unchanged.
package scan

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// trackingTimeout is how long a row is tracked after the last scan that found it.
const trackingTimeout = 10 * time.Minute

// ShardName returns the name of a shard as used in row keys.
func ShardName(n int) string { return fmt.Sprintf("%02x", n) }

// ShardOf returns the name of the shard, one of count, that a key belongs to.
func ShardOf(key string, count int) string {
	return ShardName(int(xxhash.Sum64String(key) % uint64(count)))
}

// Shards calls f with the name of each of count shards for which owns returns
// true. It stops at the first error and returns it with the shard's name.
func Shards(count int, owns func(shard string) bool, f func(shard string) error) (string, error) {
	for n := range count {
		shard := ShardName(n)
		if !owns(shard) {
			continue
		}
		if err := f(shard); err != nil {
			return shard, err
		}
	}
	return "", nil
}

// rowState is the last seen version of a row.
type rowState struct {
	version  string
	since    time.Time // start of the first scan that found this version
	lastSeen time.Time // start of the last scan that found the row
}

// Sightings tracks how long rows have been unchanged, by the local clock. It is
// not safe for concurrent use.
type Sightings struct {
	rows map[string]rowState // by key
}

// NewSightings returns an empty Sightings.
func NewSightings() Sightings { return Sightings{rows: map[string]rowState{}} }

// Unchanged records the version of a row found by a scan that started at now. It
// returns how long the row has had this version, 0 for a new row or version.
func (s Sightings) Unchanged(key, version string, now time.Time) time.Duration {
	row, ok := s.rows[key]
	if !ok || row.version != version {
		row = rowState{version: version, since: now}
	}
	row.lastSeen = now
	s.rows[key] = row
	return now.Sub(row.since)
}

// Drop stops tracking a row.
func (s Sightings) Drop(key string) { delete(s.rows, key) }

// Forget drops the rows that no scan has found for trackingTimeout.
func (s Sightings) Forget(now time.Time) {
	for key, row := range s.rows {
		if now.Sub(row.lastSeen) > trackingTimeout {
			delete(s.rows, key)
		}
	}
}
