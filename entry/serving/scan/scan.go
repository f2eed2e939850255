// Package scan has what the scans of durable rows share: rows are spread over
// shards, and each entry remembers since when it has seen a row unchanged.
package scan

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// forgetAfter is when a row that no scan meets any more is forgotten.
const forgetAfter = 10 * time.Minute

// ShardName returns the name of a shard as it stands in the keys of rows.
func ShardName(n int) string { return fmt.Sprintf("%02x", n) }

// ShardOf returns the shard of a key, out of count.
func ShardOf(key string, count int) string {
	return ShardName(int(xxhash.Sum64String(key) % uint64(count)))
}

// Shards calls f with each of count shards that is owned, until one fails. It
// returns the shard that failed.
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

// sighting is one state of a row.
type sighting struct {
	version string
	since   time.Time
	last    time.Time // start of the last scan that met it
}

// Sightings remember since when rows are unchanged, by this entry's own clock.
type Sightings struct {
	rows map[string]sighting // by key
}

// NewSightings remembers nothing yet.
func NewSightings() Sightings { return Sightings{rows: map[string]sighting{}} }

// Unchanged notes that a row was met and returns for how long it has had the
// same version. now is the start of the scan.
func (s Sightings) Unchanged(key, version string, now time.Time) time.Duration {
	row, ok := s.rows[key]
	if !ok || row.version != version {
		row = sighting{version: version, since: now}
	}
	row.last = now
	s.rows[key] = row
	return now.Sub(row.since)
}

// Drop forgets a row.
func (s Sightings) Drop(key string) { delete(s.rows, key) }

// Forget forgets the rows that no scan has met for long.
func (s Sightings) Forget(now time.Time) {
	for key, row := range s.rows {
		if now.Sub(row.last) > forgetAfter {
			delete(s.rows, key)
		}
	}
}
