package view

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/entry/direct/mesh"
)

// check compares what entries offer with what the store knows.
func (s *simulation) check(storeTroubled time.Time) {
	now := time.Now()
	storeCalm := now.Sub(storeTroubled) >= simCalm && now.Sub(s.started) >= simCalm
	outage := now.Sub(storeTroubled) < simReturn && !s.regions
	for _, e := range s.entries {
		if storeCalm && now.Sub(e.troubled) >= simCalm {
			s.checkLeft(e, now)
		}
		if outage && e.troubled.Equal(storeTroubled) {
			s.checkMissing(e)
		}
	}
}

// checkLeft notes for how long after its leaving an entry in touch offers a server.
func (s *simulation) checkLeft(e *simEntry, now time.Time) {
	view := e.Current()
	for i := range view.Servers {
		v := s.byID[view.Servers[i].ID]
		if view.Servers[i].Draining || v.leftAt.IsZero() || !v.leftCalm || now.Sub(v.leftAt) <= s.late {
			continue
		}
		s.late = now.Sub(v.leftAt)
		s.lateHow = fmt.Sprintf("%s offers %s at %v, list of %v ago, kept %v", e.name, v.ID, now.Sub(s.started), now.Sub(view.ServersRead), view.Servers[i].Kept)
	}
}

// checkMissing notes which live servers an entry does not offer during and after an outage of the store
// alone.
func (s *simulation) checkMissing(e *simEntry) {
	view := e.Current()
	for _, v := range s.servers {
		if !v.leftAt.IsZero() || v.first.IsZero() || !v.first.Before(s.downStart.Add(-simReturn)) {
			continue
		}
		s.due++
		if view.Server(v.ID) == nil {
			s.missing++
			if up := time.Since(s.downEnd); up < s.missingUp || s.missingHow == "" {
				s.missingUp = up
			} else {
				continue
			}
			s.missingHow = fmt.Sprintf("%s lacks %s, up since %v, down for %v, list of %v ago", e.name, v.ID, time.Since(s.downEnd), s.downEnd.Sub(s.downStart), time.Since(view.ServersRead))
		}
	}
}

// run plays the given time.
func (s *simulation) run(t *testing.T, length time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	for _, e := range s.entries {
		loops.Go(func() {
			e.RunServers(ctx, func(attempted, asOf time.Time) time.Time { return mesh.NextRead(e.name, e.peers(), attempted, asOf) })
		})
	}
	var storeTroubled time.Time
	nextDisruption, nextLeave := 6*time.Second, 5*time.Second
	for time.Since(s.started) < length {
		time.Sleep(simStep)
		s.mu.Lock()
		passed := time.Since(s.started)
		if passed > nextDisruption {
			s.disrupt()
			nextDisruption = passed + s.between(s.minPause, 2*s.minPause+8*time.Second)
		}
		s.step()
		if s.down {
			storeTroubled = time.Now()
		}
		if passed > nextLeave {
			s.leave(time.Since(storeTroubled) >= simCalm)
			nextLeave = passed + s.between(100*time.Millisecond, time.Second)
		}
		s.check(storeTroubled)
		s.mu.Unlock()
	}
	cancel()
	loops.Wait()
}

// TestLeftServersAreNotOfferedForLong plays disruptions of the store, the regions and single entries while
// servers leave. An entry in touch must stop offering a server in time for its last request to
// arrive within the drain time.
func TestLeftServersAreNotOfferedForLong(t *testing.T) {
	const seeds = 8
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(seed, cmp.Or(int(seed%3)*9, 5))
				s.run(t, time.Minute)
				t.Logf("longest: %v (%s); missing: %d of %d", s.late, s.lateHow, s.missing, s.due)
				assert.Assert(t, s.late <= simDrain-simSendMargin, "%v: %s", s.late, s.lateHow)
			})
		})
	}
}

// TestServersStayWhileStoreIsDown plays outages of the store alone, during which registrations expire.
// Entries must go on to offer the live servers, and after them, until these have registered
// again. A server that only one entry knows to be missing for an outage shorter than a registration lasts
// may be out of use for a moment.
func TestServersStayWhileStoreIsDown(t *testing.T) {
	const seeds = 6
	const maxMissing = 0.005 // of all checks
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(seed, cmp.Or(int(seed%3)*9, 5))
				s.storeOnly, s.minPause = true, 12*time.Second // outages last up to 8 s
				s.run(t, 2*time.Minute)
				t.Logf("missing: %d of %d (%s); longest: %v", s.missing, s.due, s.missingHow, s.late)
				assert.Assert(t, float64(s.missing) <= maxMissing*float64(s.due), "%d of %d: %s", s.missing, s.due, s.missingHow)
				assert.Assert(t, s.due > 0)
			})
		})
	}
}
