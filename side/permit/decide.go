package permit

import (
	"math/rand/v2"
	"time"

	"peridotchute.example/config"
	"peridotchute.example/store"
)

// hold returns the least time for which a row stays taken. Rows that each
// begin one load in ConcurrentLoads / LoadsPerSecond seconds begin together
// LoadsPerSecond loads a second.
func hold(p config.Policy) time.Duration {
	if p.LoadsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(p.ConcurrentLoads) / p.LoadsPerSecond * float64(time.Second))
}

// spread draws the delay of a load that has no permit: loads of as many servers
// at one moment then begin at the given rate on average.
func spread(servers int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(rand.Float64() * float64(servers) / perSecond * float64(time.Second))
}

// sighting is when this process first saw a version of a row.
type sighting struct {
	version string
	since   time.Time
}

// sightings judge leases by this process's own clock. By key.
type sightings map[string]sighting

// free returns the rows that may be taken: absent ones without a version, free
// ones, and those unchanged for longer than their lease.
func (s sightings) free(rows []store.Row, permits int, now time.Time) []store.Row {
	present := make(map[string]store.Row, len(rows))
	for _, row := range rows {
		present[row.Key] = row
	}
	var out []store.Row
	for n := range permits {
		row, ok := present[rowKey(n)]
		if !ok {
			out = append(out, store.Row{Key: rowKey(n)})
			continue
		}
		if decode(row).Holder == "" || s.expired(row, now) {
			out = append(out, row)
		}
	}
	return out
}

func (s sightings) expired(row store.Row, now time.Time) bool {
	if known, ok := s[row.Key]; ok && known.version == row.Version {
		return now.Sub(known.since) >= lease
	}
	s[row.Key] = sighting{version: row.Version, since: now}
	return false
}
