package permit

import (
	"math/rand/v2"
	"time"

	"peridotchute.example/config"
	"peridotchute.example/store"
)

// minHoldTime returns the least time for which a permit row is held. If each of the
// ConcurrentLoads rows is held for ConcurrentLoads / LoadsPerSecond seconds, all
// rows together admit at most LoadsPerSecond loads a second.
func minHoldTime(p config.Policy) time.Duration {
	if p.LoadsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(p.ConcurrentLoads) / p.LoadsPerSecond * float64(time.Second))
}

// randomDelay returns a random delay for a load without a permit. If all servers
// begin a load at the same time, the delays spread the loads to perSecond on
// average.
func randomDelay(servers int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(rand.Float64() * float64(servers) / perSecond * float64(time.Second))
}

// versionSeen is a version of a row and the time when this process first read it.
type versionSeen struct {
	version string
	since   time.Time
}

// leaseTracker detects expired leases with the local clock only, from how long the
// version of a row is unchanged. Its keys are row keys.
type leaseTracker map[string]versionSeen

// freeRows returns the rows that may be taken: rows without a holder, rows whose
// lease has expired, and absent rows, which have an empty Version.
func (s leaseTracker) freeRows(rows []store.Row, permits int, now time.Time) []store.Row {
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
		if decodeRow(row).Holder == "" || s.expired(row, now) {
			out = append(out, row)
		}
	}
	return out
}

func (s leaseTracker) expired(row store.Row, now time.Time) bool {
	if seen, ok := s[row.Key]; ok && seen.version == row.Version {
		return now.Sub(seen.since) >= leaseDuration
	}
	s[row.Key] = versionSeen{version: row.Version, since: now}
	return false
}
