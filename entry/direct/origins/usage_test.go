package origins

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// step applies what a row should become, as the entry that writes it does.
func step(t *testing.T, u *usage, registered []string, now time.Time) {
	t.Helper()
	if stages, change := u.next(registered, nil, true, now); change {
		u.apply(Usage{Stages: stages, Revision: u.revision + 1, Row: "1"}, true, now)
	}
}

func TestFirstVersionWaitsForStreams(t *testing.T) {
	now := time.Now()
	u := newUsage()
	step(t, u, []string{"v1"}, now)
	assert.DeepEqual(t, u.stages, map[string]stage{"v1": stageSettled})
	assert.Assert(t, u.settled("v1", now, now))
}

func TestNewVersionGetsStreamsAtOnce(t *testing.T) {
	now := time.Now()
	u := newUsage()
	step(t, u, []string{"v1"}, now)
	step(t, u, []string{"v1", "v2"}, now)
	assert.DeepEqual(t, u.stages, map[string]stage{"v1": stageSettled, "v2": stageAnnounced})
	assert.Assert(t, !u.settled("v2", now, now.Add(freshFor)), "an entry with a list of %v may not know it", freshFor)
	step(t, u, []string{"v1", "v2"}, now.Add(settleTime))
	assert.DeepEqual(t, u.stages, map[string]stage{"v1": stageSettled, "v2": stageSettled})
}

func TestVersionThatCannotBeAnnouncedIsNeverUsed(t *testing.T) {
	now := time.Now()
	u := newUsage()
	assert.Assert(t, !u.settled("v1", now, now.Add(settleTime)))
	assert.Assert(t, u.settled("v1", now, now.Add(announceTimeout)))
}

func TestVersionIsForgottenWhileItsStreamsMayBeResumed(t *testing.T) {
	now := time.Now()
	u := newUsage()
	step(t, u, []string{"v1"}, now)
	step(t, u, []string{"v2"}, now)
	assert.Equal(t, u.stages["v1"], stageLeft)
	step(t, u, []string{"v2"}, now.Add(versionTTL-time.Second))
	assert.Equal(t, u.stages["v1"], stageLeft)
	step(t, u, []string{"v2"}, now.Add(versionTTL))
	_, known := u.stages["v1"]
	assert.Assert(t, !known)
}

func TestOldListTakesVersionForGone(t *testing.T) {
	now := time.Now()
	u := newUsage()
	step(t, u, []string{"v1", "v2"}, now)
	_, change := u.next([]string{"v1"}, nil, false, now)
	assert.Assert(t, !change)
}

// TestVersionThatComesBackGetsStreamsAtOnce has a version leave and register again. An entry may
// have forgotten it meanwhile, or never have known it.
func TestVersionThatComesBackGetsStreamsAtOnce(t *testing.T) {
	now := time.Now()
	u := newUsage()
	step(t, u, []string{"v1", "v2"}, now)
	step(t, u, []string{"v2"}, now)
	step(t, u, []string{"v1", "v2"}, now)
	assert.Equal(t, u.stages["v1"], stageAnnounced)
	assert.Assert(t, !u.settled("v1", now, now.Add(freshFor)))
	step(t, u, []string{"v1", "v2"}, now.Add(settleTime))
	assert.Equal(t, u.stages["v1"], stageSettled)
}

func TestOnlyVersionThatComesBackWaitsForStreams(t *testing.T) {
	now := time.Now()
	u := newUsage()
	step(t, u, []string{"v1"}, now)
	step(t, u, nil, now)
	assert.Equal(t, u.stages["v1"], stageLeft)
	step(t, u, []string{"v1"}, now)
	assert.Equal(t, u.stages["v1"], stageSettled)
}

// TestSuspensionIsNotCounted suspends the machine between two lists of servers, and after a
// list.
func TestSuspensionIsNotCounted(t *testing.T) {
	now := time.Now()
	var a listAge
	assert.Assert(t, a.update(now, time.Hour), "there was no list before")
	assert.Assert(t, !a.update(now.Add(time.Second), time.Hour))
	assert.Equal(t, a.of(now.Add(time.Second), time.Hour), time.Duration(0))
	assert.Equal(t, a.of(now.Add(time.Second), time.Hour+5*time.Second), 5*time.Second)
	assert.Assert(t, a.update(now.Add(2*time.Second), time.Hour+5*time.Second), "versions may have come and left meanwhile")
	assert.Equal(t, a.of(now.Add(2*time.Second), time.Hour+5*time.Second), 5*time.Second, "the request may have been sent before")
	assert.Assert(t, a.update(now.Add(3*time.Second), time.Hour+5*time.Second), "for the same reason")
	assert.Equal(t, a.of(now.Add(3*time.Second), time.Hour+5*time.Second), time.Duration(0))
	assert.Assert(t, !a.update(now.Add(4*time.Second), time.Hour+5*time.Second))
}
